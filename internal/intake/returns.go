package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// refusalTable holds the requests that this or another router refused recently, by the fingerprint of their content. It
// recognises retries: a retried request is already late, and its caller was told when to retry. Half a fingerprint is
// enough among maxRefusals, and halves the messages to peers in a flood.
type refusalTable struct {
	// refused holds when each request was first refused; at most maxRefusals entries.
	refused map[uint32]clock.Millis
	// pending holds this router's refusals that are still sent to the peers, oldest first.
	pending []refusal
}

// refusal is a request that this router refused.
type refusal struct {
	fingerprint uint32
	at          clock.Millis
}

const (
	// refusalTTL is how long a refusal is remembered: no longer than callers of the present services wait.
	refusalTTL = 15 * clock.Second
	// updateTTL is how long a refusal is sent to the peers: in several messages, as some are lost.
	updateTTL   = 400 * clock.Millis(1)
	maxRefusals = 1 << 15
	// maxUpdates limits the refusals in one message.
	maxUpdates = 256
)

// firstRefused returns when the request was first refused, or false if no refusal is known.
func (t *refusalTable) firstRefused(now clock.Millis, fingerprint uint32) (clock.Millis, bool) {
	at, ok := t.refused[fingerprint]
	return at, ok && now-at <= refusalTTL
}

// record adds a refusal by this router, which is also sent to the peers.
func (t *refusalTable) record(now clock.Millis, fingerprint uint32) {
	t.add(now, fingerprint)
	t.pending = append(t.pending, refusal{fingerprint: fingerprint, at: now})
}

// add adds a refusal unless an earlier one of the same request is known or the table is full.
func (t *refusalTable) add(now clock.Millis, fingerprint uint32) {
	if _, ok := t.firstRefused(now, fingerprint); ok {
		return
	}
	if len(t.refused) >= maxRefusals {
		t.prune(now)
	}
	if len(t.refused) < maxRefusals {
		t.refused[fingerprint] = now
	}
}

func (t *refusalTable) prune(now clock.Millis) {
	for f, at := range t.refused {
		if now-at > refusalTTL {
			delete(t.refused, f)
		}
	}
}

// updates returns the refusals to send to the peers.
func (t *refusalTable) updates(now clock.Millis) []uint32 {
	i := 0
	for i < len(t.pending) && (now-t.pending[i].at > updateTTL || len(t.pending)-i > maxUpdates) {
		i++
	}
	t.pending = append(t.pending[:0], t.pending[i:]...)
	out := make([]uint32, 0, len(t.pending))
	for _, r := range t.pending {
		out = append(out, r.fingerprint)
	}
	return out
}
