package lineage_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/lineage"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestRecordedOriginsAreForgotten guards against streams that are refused although their origin is in the platform's
// record: it plays any order in which one router begins streams, hears of those of its peers, records origins, reads the
// record and drops what has expired.
func TestRecordedOriginsAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := lineage.New()
		tr.SetLongestRequest(longestRequest)
		now := clock.Millis(1000)
		tr.SetList(now, entries([]string{"v1", "v2"}))
		tr.Admit(now, []laburnumring.SoftwareVersion{software("v1"), software("v2")})
		tr.SetRecorded(now, laburnumring.VersionList{Complete: true})
		// record holds what the platform has, of which the router has read the first origins up to next.
		var record []laburnumring.StreamOrigin
		next := 0
		type open struct {
			laburnumring.StreamOrigin
			id       string
			at       clock.Millis
			recorded bool
		}
		var streams []*open
		write := func(list []laburnumring.StreamOrigin) {
			record = append(record, list...)
			for _, o := range list {
				for _, s := range streams {
					s.recorded = s.recorded || s.StreamOrigin == o
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"begin", "peer", "relayed", "peer_writes", "write", "read", "wait", "wait", "take_up"}).Draw(t, "step") {
			case "begin", "peer":
				s := &open{id: fmt.Sprint("s", len(streams)), at: now}
				s.StreamOrigin = laburnumring.NewStreamOrigin(s.id, entries([]string{"v2"})[0])
				streams = append(streams, s)
				if rapid.Bool().Draw(t, "own") {
					tr.Begin(now, s.StreamOrigin, "llm")
				}
			case "relayed":
				// Messages name a stream for some rounds after it began.
				for _, s := range streams {
					if now-s.at < 3*clock.Second && rapid.Bool().Draw(t, "named") {
						tr.Relayed(now, []laburnumring.StreamOrigin{s.StreamOrigin})
					}
				}
			case "peer_writes":
				for _, s := range streams {
					if !s.recorded && rapid.Bool().Draw(t, "written") {
						write([]laburnumring.StreamOrigin{s.StreamOrigin})
					}
				}
			case "write":
				list := tr.Unrecorded(now, 100, true)
				write(list)
				tr.Recorded(list)
			case "read":
				tr.Learn(now, record[next:])
				next = len(record)
			case "wait":
				now += clock.Millis(rapid.SampledFrom([]int64{100, 1000, 4000}).Draw(t, "ms"))
				tr.SetList(now, entries([]string{"v1", "v2"}))
				tr.Prune(now, 0)
			case "take_up":
				tr.Learn(now, record[next:])
				next = len(record)
				for _, s := range streams {
					if _, r := tr.Resolve("llm", s.Stream, true, true); s.recorded && now-s.at <= longestRequest && r != lineage.Known {
						t.Fatalf("stream %s, begun %v ago, is recorded, but its resolution is %d", s.id, now-s.at, r)
					}
				}
			}
		}
	})
}

// TestOriginVerifiedWhileItIsRecorded guards against origins that stay unverified for all other routers: one is verified
// while the platform records it.
func TestOriginVerifiedWhileItIsRecorded(t *testing.T) {
	tr := lineage.New()
	server := entries([]string{"v2"})[0]
	tr.SetList(1000, entries([]string{"v1", "v2"}))
	tr.SetRecorded(1000, laburnumring.VersionList{Complete: true})
	o := laburnumring.NewStreamOrigin("s", server)
	tr.Begin(1000, o, "llm")
	tr.VerifyLater(1000, o.Stream, server)
	written := tr.Unrecorded(1000, 100, true)
	tr.ListRead(1100)
	tr.Verify(1100, func(string) (laburnumring.ServerEntry, bool) { return server, true })
	tr.Recorded(written)
	if again := tr.Unrecorded(1200, 100, true); len(again) != 1 || !again[0].IsVerified() {
		t.Errorf("%v is left to record, want the verified origin", again)
	}
}
