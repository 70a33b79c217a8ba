package eventstream_test

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring/internal/eventstream"
)

// TestFeedInPieces feeds a stream in pieces cut at random offsets and checks that the complete events come out in order
// and the incomplete one stays in Rest.
func TestFeedInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		last := ""
		for range rapid.IntRange(0, 6).Draw(t, "events") {
			last = rapid.StringMatching(`[0-9]{1,3}`).Draw(t, "id")
			end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
			text.WriteString("id: " + last + end + "data: " + rapid.StringMatching(`[a-z ]{0,9}`).Draw(t, "data") + end + end)
		}
		complete := text.String()
		text.WriteString("id: 999\ndata: ha")
		in := text.String()
		var s eventstream.Splitter
		var out strings.Builder
		for len(in) > 0 {
			n := rapid.IntRange(1, len(in)).Draw(t, "cut")
			out.Write(s.Feed([]byte(in[:n])))
			in = in[n:]
		}
		if out.String() != complete {
			t.Fatalf("complete events %q, want %q", out.String(), complete)
		}
		if s.LastID() != last {
			t.Fatalf("last id %q, want %q", s.LastID(), last)
		}
		if string(s.Rest()) != "id: 999\ndata: ha" {
			t.Fatalf("incomplete event %q", s.Rest())
		}
	})
}
