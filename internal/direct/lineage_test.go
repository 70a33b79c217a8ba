package direct

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestRecordReadBeforeTheCallerAsked guards against streams that go on at another version because a router that stood
// still trusts a record which it had asked for before the stream began: its clock did not go on meanwhile.
func TestRecordReadBeforeTheCallerAsked(t *testing.T) {
	r := &Router{record: newRecord()}
	r.record.begun = 1
	asked := r.recordReads()
	// The read that had begun by then ends.
	r.record.succeeded = 1
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if r.awaitRecord(ctx, asked) {
		t.Error("a record that was asked for before the caller came counts as read since")
	}
}

// manualClock stands still unless it is set.
type manualClock struct{ now clock.Millis }

// Now implements laburnumring.Clock.
func (c *manualClock) Now() clock.Millis { return c.now }

// TestListConfirmedByMessagesOfAStandstill guards against streams that go on at another version, and requests to servers
// that have left, because a router that stood still takes its old list for the newest: the messages that it received
// meanwhile name that list, and seem to have been sent just now.
func TestListConfirmedByMessagesOfAStandstill(t *testing.T) {
	c := &manualClock{now: 1000}
	r := New(Options{
		Clock: c, Address: netip.MustParseAddrPort("127.0.0.1:7400"),
		Logger: event.NewLogger(io.Discard, "logfmt", "router"),
	})
	m := gossip.Message{
		ConfigurationAge: gossip.UnknownAge,
		Relayed:          &gossip.Ages{Configuration: gossip.UnknownAge, Roster: gossip.UnknownAge},
	}
	r.beat()
	r.received(netip.MustParseAddr("127.0.0.2"), m)
	if at := r.listReads.NewestAt(); at != c.now {
		t.Fatalf("the list was the newest at %v, want %v", at, c.now)
	}
	c.now += 5 * clock.Second
	for range 3 {
		r.received(netip.MustParseAddr("127.0.0.2"), m)
		if at := r.listReads.NewestAt(); at > 1000 {
			t.Fatalf("%v after the last beat, an old message says that the list was the newest at %v", c.now-1000, at)
		}
		c.now += 20
		r.beat()
	}
	for range 50 {
		c.now += 10
		r.beat()
	}
	r.received(netip.MustParseAddr("127.0.0.2"), m)
	if at := r.listReads.NewestAt(); at != c.now {
		t.Errorf("the list was the newest at %v, want %v", at, c.now)
	}
}

// restoringLog is a record that loses its latest changes while it answers the first call of each kind.
type restoringLog struct {
	laburnumring.LineageLog
	restore func()
	added   int
	origins int
}

// AddVersions implements laburnumring.LineageLog.
func (l *restoringLog) AddVersions(context.Context, []laburnumring.SoftwareVersion) error {
	if l.added++; l.added == 1 {
		l.restore()
	}
	return nil
}

// AppendOrigins implements laburnumring.LineageLog.
func (l *restoringLog) AppendOrigins(context.Context, []laburnumring.StreamOrigin) error {
	if l.origins++; l.origins == 1 {
		l.restore()
	}
	return nil
}

// TestWriteAcknowledgedBeforeRecoveryCountsAsRecorded guards against versions and origins that are missing from the record
// because the platform recovered from a copy between its answer and the moment at which the router handled that.
func TestWriteAcknowledgedBeforeRecoveryCountsAsRecorded(t *testing.T) {
	l := &restoringLog{}
	r := New(Options{
		Clock: &manualClock{now: 1000}, Address: netip.MustParseAddrPort("127.0.0.1:7400"), Lineage: l,
		Logger: event.NewLogger(io.Discard, "logfmt", "router"),
	})
	list := laburnumring.ServerList{Revision: 1}
	for _, v := range []string{"v1", "v2"} {
		list.Entries = append(list.Entries, laburnumring.ServerEntry{ID: "server-" + v, Service: "llm", Version: v})
	}
	l.restore = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		list.Era++
		list.Revision++
		r.applyServers(list, r.o.Clock.Now(), "platform")
	}
	r.applyServers(list, r.o.Clock.Now(), "platform")
	r.admit(t.Context())
	if l.added != 2 {
		t.Errorf("versions were recorded %d times, want 2", l.added)
	}
	r.lineage.Begin(r.o.Clock.Now(), laburnumring.NewStreamOrigin("s", list.Entries[1]), "llm")
	for range 3 {
		r.appendOrigins(t.Context())
	}
	if l.origins != 2 {
		t.Errorf("the origin was recorded %d times, want 2", l.origins)
	}
}
