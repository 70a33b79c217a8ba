package claim

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// verdict is the effect of an entry. It depends only on the order of entries in the log, so all readers come to the
// same verdict, unless one knows entries that the log has lost.
type verdict int

const (
	// noEffect means that the entry decides no claim: it is a copy or a release.
	noEffect verdict = iota
	// won means that the claim holds the key.
	won
	// lost means that the claim is void and can never win.
	lost
)

// keyState is the state of one key.
type keyState struct {
	// holder is the claim that holds the key; its ID is empty when there is none.
	holder Entry
	// void holds the ids of claims that lost, and released those of claims that were released. Later copies of them have
	// no effect.
	void     []string
	released []string
	// keyTime is the latest key time of all entries.
	keyTime clock.Millis
}

// index holds the state of all keys in the log, by digest. Entries must be applied in log order.
type index struct {
	states map[string]*keyState
}

func newIndex() *index {
	return &index{states: make(map[string]*keyState)}
}

// holder returns the claim that holds key.
func (x *index) holder(key string) (Entry, bool) {
	k, ok := x.states[key]
	if !ok || k.holder.ID == "" {
		return Entry{}, false
	}
	return k.holder, true
}

// apply applies the next entry of the log.
func (x *index) apply(e Entry) verdict {
	k, ok := x.states[e.Key]
	if !ok {
		k = &keyState{}
		x.states[e.Key] = k
	}
	k.keyTime = max(k.keyTime, e.KeyTime)
	switch e.Kind {
	case KindRelease:
		k.release(e.ID)
	case KindHeld:
		k.hold(e)
	case KindClaim:
		return k.claim(e)
	}
	return noEffect
}

// hold applies a claim that held the key before the log came back.
func (k *keyState) hold(e Entry) {
	if k.holder.ID == e.ID || slices.Contains(k.released, e.ID) {
		return
	}
	if k.holder.ID != "" {
		k.void = append(k.void, k.holder.ID)
	}
	k.holder = e
}

func (k *keyState) release(id string) {
	if k.holder.ID == id {
		k.holder = Entry{}
	}
	if !slices.Contains(k.released, id) {
		k.released = append(k.released, id)
	}
}

func (k *keyState) claim(e Entry) verdict {
	if k.holder.ID == e.ID || slices.Contains(k.void, e.ID) || slices.Contains(k.released, e.ID) {
		return noEffect
	}
	if k.holder.ID == "" {
		k.holder = e
		return won
	}
	if e.supersedes(k.holder) {
		k.void = append(k.void, k.holder.ID)
		k.holder = e
		return won
	}
	k.void = append(k.void, e.ID)
	return lost
}

// supersedes reports whether e is a later attempt of the request that holds the key. A router makes a later attempt
// only after the earlier attempt's agent has replied that it did not start and never will.
func (e Entry) supersedes(holder Entry) bool {
	return e.Request != "" && e.Request == holder.Request && e.Attempt > holder.Attempt
}

// expire removes keys whose time is before the given one.
func (x *index) expire(before clock.Millis) {
	for key, k := range x.states {
		if k.keyTime < before {
			delete(x.states, key)
		}
	}
}
