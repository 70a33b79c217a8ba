package claim

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// verdict is what a claim's place in the log means for it. It depends on the log's order alone, so that every
// reader comes to the same.
type verdict int

const (
	// undecided is the verdict of entries that change nothing: copies and releases.
	undecided verdict = iota
	// won means that the claim holds the key.
	won
	// lost means that the claim is void for ever.
	lost
)

// keyEntry is what the log says of one key.
type keyEntry struct {
	// holder is the claim that holds the key; its ID is empty when none does.
	holder Entry
	// void holds the ids of claims that lost or were released. A later copy of them has no effect.
	void []string
	// keyTime is the latest key time that any claim named.
	keyTime clock.Millis
}

// index holds the keys that the log names. Entries are applied in log order.
type index struct {
	keys map[string]*keyEntry
}

func newIndex() *index {
	return &index{keys: make(map[string]*keyEntry)}
}

// holder returns the claim that holds key.
func (x *index) holder(key string) (Entry, bool) {
	k, ok := x.keys[key]
	if !ok || k.holder.ID == "" {
		return Entry{}, false
	}
	return k.holder, true
}

// apply takes the next entry of the log.
func (x *index) apply(e Entry) verdict {
	k, ok := x.keys[e.Key]
	if !ok {
		k = &keyEntry{}
		x.keys[e.Key] = k
	}
	k.keyTime = max(k.keyTime, e.KeyTime)
	if e.Kind == KindRelease {
		k.release(e.ID)
		return undecided
	}
	return k.claim(e)
}

func (k *keyEntry) release(id string) {
	if k.holder.ID == id {
		k.holder = Entry{}
	}
	if !slices.Contains(k.void, id) {
		k.void = append(k.void, id)
	}
}

func (k *keyEntry) claim(e Entry) verdict {
	if k.holder.ID == e.ID || slices.Contains(k.void, e.ID) {
		return undecided
	}
	if k.holder.ID == "" {
		k.holder = e
		return won
	}
	if e.succeeds(k.holder) {
		k.void = append(k.void, k.holder.ID)
		k.holder = e
		return won
	}
	k.void = append(k.void, e.ID)
	return lost
}

// succeeds reports whether e is a later attempt of the request that holds the key. A router makes one only
// when the agent of the earlier attempt has answered that it did not start and never will.
func (e Entry) succeeds(holder Entry) bool {
	return e.Request != "" && e.Request == holder.Request && e.Attempt > holder.Attempt
}

// expire forgets keys made before the given time.
func (x *index) expire(before clock.Millis) {
	for key, k := range x.keys {
		if k.keyTime < before {
			delete(x.keys, key)
		}
	}
}
