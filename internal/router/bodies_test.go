package router

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// TestBodies reserves up to the limit of a team and up to the total limit, and checks that nothing stays
// reserved in the end.
func TestBodies(t *testing.T) {
	b := bodyQuota{byTeam: make(map[string]int64)}
	if !b.reserve("a", maxTeamReservedBytes) || b.reserve("a", 1) {
		t.Error("a team could reserve more than its limit")
	}
	for _, team := range []string{"b", "c", "d"} {
		if !b.reserve(team, maxTeamReservedBytes) {
			t.Errorf("team %s could not reserve up to its limit", team)
		}
	}
	if b.reserve("e", 1) {
		t.Error("teams could reserve more than the total limit")
	}
	b.release("a", 1)
	if !b.reserve("e", 1) {
		t.Error("released bytes could not be reserved again")
	}
	b.release("e", 1)
	b.release("a", maxTeamReservedBytes-1)
	for _, team := range []string{"b", "c", "d"} {
		b.release(team, maxTeamReservedBytes)
	}
	if b.total != 0 || len(b.byTeam) != 0 {
		t.Errorf("%d bytes of %d teams are still reserved", b.total, len(b.byTeam))
	}
}

// TestAnnouncedBytesAreNotReserved guards against callers that announce long bodies, do not send them, and so keep other
// requests of their team out. What has arrived must stay reserved, and nothing after the request.
func TestAnnouncedBytesAreNotReserved(t *testing.T) {
	for _, announced := range []int64{-1, 200_000, maxBody} {
		r := &Router{bodyQuota: bodyQuota{byTeam: make(map[string]int64)}}
		c := &call{}
		c.request.Team = "a"
		most := int64(0)
		sent := 200_000
		body := iotest.HalfReader(strings.NewReader(strings.Repeat("x", sent)))
		req := &http.Request{ContentLength: announced, Body: io.NopCloser(io.MultiReader(body, readerFunc(func([]byte) (int, error) {
			most = r.bodyQuota.total
			if announced == maxBody {
				return 0, io.ErrUnexpectedEOF
			}
			return 0, io.EOF
		})))}
		err := r.bufferBody(c, req)
		if (err != nil) != (announced == maxBody) || most < int64(sent) || most > int64(sent)+reserveStep {
			t.Errorf("announced %d: %d bytes reserved for %d, error %v", announced, most, sent, err)
		}
		r.releaseBody(c)
		if r.bodyQuota.total != 0 {
			t.Errorf("announced %d: %d bytes stay reserved", announced, r.bodyQuota.total)
		}
	}
	r := &Router{bodyQuota: bodyQuota{byTeam: make(map[string]int64)}}
	r.bodyQuota.reserve("a", maxTeamReservedBytes)
	c := &call{}
	c.request.Team = "a"
	var refused *badRequestError
	err := r.bufferBody(c, &http.Request{ContentLength: 1, Body: io.NopCloser(strings.NewReader("x"))})
	if !errors.As(err, &refused) || refused.Status != http.StatusTooManyRequests {
		t.Errorf("error %v without memory", err)
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
