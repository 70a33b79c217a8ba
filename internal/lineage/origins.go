package lineage

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// origin is the origin of a stream.
type origin struct {
	laburnumring.StreamOrigin
	at clock.Millis
	// own is set if the stream began at this router.
	own bool
	// relayed is set if a peer's message named it, and it was not read from the record since. It is kept until it is
	// recorded and no more messages name it.
	relayed bool
}

// unverified is a stream that began here, and the entry of its server as it was then. since is a time at which the
// server's process was taking requests.
type unverified struct {
	stream uint64
	entry  laburnumring.ServerEntry
	since  clock.Millis
}

// begun is a stream whose origin is not recorded yet.
type begun struct {
	stream uint64
	// service is the stream's service; empty if a peer began the stream.
	service string
	// delegable is set if the stream began while there were several versions, so that peers record its origin. relays
	// counts the messages that named it.
	delegable bool
	relays    int
	at        clock.Millis
}

// Begin records that a server brings the first event of a stream of a service.
func (t *Tracker) Begin(now clock.Millis, o laburnumring.StreamOrigin, service string) {
	if t.add(o.Stream, origin{StreamOrigin: o, at: now, own: true}) {
		t.unrecorded = append(t.unrecorded, begun{stream: o.Stream, service: service, delegable: t.Several(service), at: now})
	}
}

// add adds the origin of a stream, or that it is verified, and reports whether either was not known.
func (t *Tracker) add(stream uint64, o origin) bool {
	if known, ok := t.origins[stream]; ok {
		return t.verify(stream, known, o)
	}
	if len(t.origins) >= maxOrigins {
		return false
	}
	t.origins[stream] = o
	return true
}

// verify records that the known origin of a stream is verified, if o is, and reports whether it was not.
func (t *Tracker) verify(stream uint64, known, o origin) bool {
	if known.IsVerified() || !o.IsVerified() || known.Software != o.Software {
		return false
	}
	known.StreamOrigin = o.StreamOrigin
	t.origins[stream] = known
	return true
}

// Origin returns the origin of a stream as far as it is known.
func (t *Tracker) Origin(stream uint64) (laburnumring.StreamOrigin, bool) {
	o, ok := t.origins[stream]
	return o.StreamOrigin, ok
}

// VerifyLater records that the origin of a stream that begins here is to be verified by the entry of its server, in a list
// that is read after the given time, at which the process that began the stream was taking requests.
func (t *Tracker) VerifyLater(since clock.Millis, stream uint64, e laburnumring.ServerEntry) {
	t.unverified = append(t.unverified, unverified{stream: stream, entry: e, since: since})
}

// Verify verifies the origins of streams that began here before the list was read. entry returns a server's entry in that
// list. A server writes its entry before it takes requests, so an entry that is still the same names the version which
// began the stream. That does not hold for a list that may have gone back.
func (t *Tracker) Verify(now clock.Millis, entry func(id string) (laburnumring.ServerEntry, bool)) {
	if len(t.unverified) == 0 || !t.Settled() {
		return
	}
	t.unverified = slices.DeleteFunc(t.unverified, func(u unverified) bool {
		if u.since >= t.listAt {
			return false
		}
		known, ok := t.origins[u.stream]
		e, listed := entry(u.entry.ID)
		if !ok || !listed || e.Born != u.entry.Born || e.Software() != u.entry.Software() {
			return true
		}
		if t.verify(u.stream, known, origin{StreamOrigin: known.Verified()}) {
			t.recordAgain(now, u.stream, e.Service)
		}
		return true
	})
}

// recordAgain makes peers record the origin of a stream that began here once more.
func (t *Tracker) recordAgain(now clock.Millis, stream uint64, service string) {
	if i := t.unrecordedIndex(stream); i >= 0 {
		t.unrecorded[i].relays, t.unrecorded[i].at = 0, now
		return
	}
	t.unrecorded = append(t.unrecorded, begun{stream: stream, service: service, delegable: t.Several(service), at: now})
}

// Relays returns at most n origins of streams begun here that a message to the peers should name, the newest first. A
// stream is named in the given number of messages.
func (t *Tracker) Relays(n, times int) []laburnumring.StreamOrigin {
	var out []laburnumring.StreamOrigin
	for i := len(t.unrecorded) - 1; i >= 0 && len(out) < n; i-- {
		if b := &t.unrecorded[i]; b.delegable && b.relays < times {
			b.relays++
			out = append(out, t.origins[b.stream].StreamOrigin)
		}
	}
	return out
}

// Relayed records the origins that a peer's message names, which this router has to record.
func (t *Tracker) Relayed(now clock.Millis, origins []laburnumring.StreamOrigin) {
	for _, o := range origins {
		_, known := t.origins[o.Stream]
		if t.add(o.Stream, origin{StreamOrigin: o, at: now, relayed: true}) && (!known || t.unrecordedIndex(o.Stream) < 0) {
			t.unrecorded = append(t.unrecorded, begun{stream: o.Stream, at: now})
		}
	}
}

// unrecordedIndex returns the index of a stream in unrecorded, or -1. It looks at the newest first.
func (t *Tracker) unrecordedIndex(stream uint64) int {
	for i := len(t.unrecorded) - 1; i >= 0; i-- {
		if t.unrecorded[i].stream == stream {
			return i
		}
	}
	return -1
}

// Learn adds origins that were read from the record. They are not read again, so one that a message has named is kept
// like the others from now on.
func (t *Tracker) Learn(now clock.Millis, origins []laburnumring.StreamOrigin) {
	for _, o := range origins {
		if known, ok := t.origins[o.Stream]; ok && known.relayed {
			known.relayed, known.at = false, now
			t.origins[o.Stream] = known
		}
		t.add(o.Stream, origin{StreamOrigin: o, at: now})
	}
}

// Unrecorded returns at most n origins that this router has to record, the oldest first. Only some routers are writers:
// they record the streams that messages of the others name. The others record those that began before there were several
// versions, and those that found no room in a message.
func (t *Tracker) Unrecorded(now clock.Millis, n int, writer bool) []laburnumring.StreamOrigin {
	var out []laburnumring.StreamOrigin
	if !t.AnySeveral() {
		return nil
	}
	for _, b := range t.unrecorded {
		if len(out) == n {
			break
		}
		switch {
		case b.service == "" && !writer:
			continue
		case b.service != "" && !t.Several(b.service):
			continue
		case b.delegable && !writer && (b.relays > 0 || now-b.at < delegateTime):
			continue
		}
		if o, ok := t.origins[b.stream]; ok {
			out = append(out, o.StreamOrigin)
		}
	}
	return out
}

// Recorded records that the platform has accepted origins. Those that were verified meanwhile have to be recorded again.
func (t *Tracker) Recorded(origins []laburnumring.StreamOrigin) {
	done := make(map[uint64]laburnumring.StreamOrigin, len(origins))
	for _, o := range origins {
		done[o.Stream] = o
	}
	t.unrecorded = slices.DeleteFunc(t.unrecorded, func(b begun) bool {
		o, ok := done[b.stream]
		return ok && o == t.origins[b.stream].StreamOrigin
	})
}
