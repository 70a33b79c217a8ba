package peer_test

import (
	"errors"
	"reflect"
	"testing"

	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// The owners of the ids at the two ends of the session under test.
const (
	thisRouter = "router-1.0a1b"
	thisAgent  = "c2d3"
)

// TestSessionRoundTrip checks that unpacking what was packed restores it, with the full ids of the router and
// the agent.
func TestSessionRoundTrip(t *testing.T) {
	s := peer.NewIDCodec(thisRouter, thisAgent)
	batch := peer.Batch{
		Leave: []ticket.Ticket{
			{Request: thisRouter + ".1", Attempt: 2, Team: "a", Cost: 3, Age: 4, Remaining: 5, Keyed: true, Fingerprint: 6, Suspect: true},
			{Request: thisRouter + ".18446744073709551615", Attempt: 1},
		},
		Withdraw: []string{thisRouter + ".10"},
		Decline:  []string{thisAgent + ".7", thisAgent + ".300"},
		Suspects: []suspect.Entry{{Fingerprint: 1, Version: 2}},
	}
	args, err := s.Pack(batch)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := s.Unpack(args); err != nil || !reflect.DeepEqual(got, batch) {
		t.Errorf("batch %+v, error %v, want %+v", got, err, batch)
	}
	offers := []ticket.Offer{{ID: thisAgent + ".12", Router: thisRouter, Request: thisRouter + ".1", Attempt: 2}}
	packed, err := s.PackOffers(offers)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := s.UnpackOffers(packed); err != nil || !reflect.DeepEqual(got, offers) {
		t.Errorf("offers %+v, error %v, want %+v", got, err, offers)
	}
	requests := []string{thisRouter + ".2", thisRouter + ".128"}
	numbers, err := s.PackRequests(requests)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := s.UnpackRequests(numbers); err != nil || !reflect.DeepEqual(got, requests) {
		t.Errorf("requests %q, error %v, want %q", got, err, requests)
	}
}

// TestForeignIDs packs ids that are invalid in the session, each in every field that holds an id.
func TestForeignIDs(t *testing.T) {
	suffixes := map[string]string{
		"no number": "", "zero": ".0", "leading zero": ".07", "sign": ".+7", "negative": ".-7", "space": ". 7",
		"hexadecimal": ".0x7", "exponent": ".1e3", "underscore": ".1_0", "two numbers": ".7.7", "words": ".seven",
		"overflow": ".18446744073709551616", "longer owner": "f.7", "only a dot": ".",
	}
	ids := map[string][2]string{
		"empty": {"", ""}, "bare number": {"7", "7"}, "dot and number": {".7", ".7"},
		"old incarnation": {"router-1.9f9f.7", "b1b1.7"}, "another process": {"router-2.0a1b.7", "ffff.7"},
		"the other end's": {thisAgent + ".7", thisRouter + ".7"},
	}
	for name, suffix := range suffixes {
		ids[name] = [2]string{thisRouter + suffix, thisAgent + suffix}
	}
	s := peer.NewIDCodec(thisRouter, thisAgent)
	good := ticket.Offer{ID: thisAgent + ".1", Router: thisRouter, Request: thisRouter + ".1", Attempt: 1}
	for name, id := range ids {
		request, offer := id[0], id[1]
		wrongOffer, wrongRequest, wrongRouter := good, good, good
		wrongOffer.ID, wrongRequest.Request, wrongRouter.Router = offer, request, "x"+request
		packers := map[string]func() error{
			"leave":    func() error { _, err := s.Pack(peer.Batch{Leave: []ticket.Ticket{{Request: request}}}); return err },
			"withdraw": func() error { _, err := s.Pack(peer.Batch{Withdraw: []string{request}}); return err },
			"decline":  func() error { _, err := s.Pack(peer.Batch{Decline: []string{offer}}); return err },
			"refused":  func() error { _, err := s.PackRequests([]string{request}); return err },
			"offer":    func() error { _, err := s.PackOffers([]ticket.Offer{good, wrongOffer}); return err },
			"offered":  func() error { _, err := s.PackOffers([]ticket.Offer{good, wrongRequest}); return err },
			"router":   func() error { _, err := s.PackOffers([]ticket.Offer{good, wrongRouter}); return err },
		}
		for field, pack := range packers {
			var foreign *peer.ForeignIDError
			if err := pack(); !errors.As(err, &foreign) {
				t.Errorf("%s in %s: error %v", name, field, err)
			}
		}
	}
}

// TestBadNumbers unpacks messages that neither router nor agent would pack.
func TestBadNumbers(t *testing.T) {
	s := peer.NewIDCodec(thisRouter, thisAgent)
	unnamed := peer.NewIDCodec("", "")
	unpackers := map[string]func() error{
		"leave 0":    func() error { _, err := s.Unpack(peer.ExchangeArgs{Leave: []peer.Ticket{{}}}); return err },
		"withdraw 0": func() error { _, err := s.Unpack(peer.ExchangeArgs{Withdraw: []uint64{1, 0}}); return err },
		"decline 0":  func() error { _, err := s.Unpack(peer.ExchangeArgs{Decline: []uint64{0}}); return err },
		"refused 0":  func() error { _, err := s.UnpackRequests([]uint64{0}); return err },
		"offer 0":    func() error { _, err := s.UnpackOffers([]peer.Offer{{Request: 1}}); return err },
		"offered 0":  func() error { _, err := s.UnpackOffers([]peer.Offer{{Number: 1}}); return err },
		"no router":  func() error { _, err := unnamed.UnpackRequests([]uint64{1}); return err },
		"no agent":   func() error { _, err := unnamed.Unpack(peer.ExchangeArgs{Decline: []uint64{1}}); return err },
	}
	for name, unpack := range unpackers {
		var bad *peer.BadNumberError
		if err := unpack(); !errors.As(err, &bad) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	twoIDs := peer.Ticket{Request: 1, Rest: ticket.Ticket{Request: "router-2.0a1b.7"}}
	var foreign *peer.ForeignIDError
	if _, err := s.Unpack(peer.ExchangeArgs{Leave: []peer.Ticket{twoIDs}}); !errors.As(err, &foreign) {
		t.Errorf("a ticket with two ids: error %v", err)
	}
}

// TestNumbersOfOtherIncarnations unpacks the same message in sessions of other runs of the processes. None of
// them may resolve the numbers to ids of the current runs.
func TestNumbersOfOtherIncarnations(t *testing.T) {
	current, err := peer.NewIDCodec(thisRouter, thisAgent).UnpackOffers([]peer.Offer{{Number: 7, Request: 7, Attempt: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for _, ends := range [][2]string{{"router-1.9f9f", "b1b1"}, {"router-1.0a1b.7", "c2d3.7"}, {"router-1", "c2"}} {
		other, err := peer.NewIDCodec(ends[0], ends[1]).UnpackOffers([]peer.Offer{{Number: 7, Request: 7, Attempt: 1}})
		if err != nil {
			t.Fatal(err)
		}
		if other[0].ID == current[0].ID || other[0].Request == current[0].Request || other[0].Router == current[0].Router {
			t.Errorf("%q: %+v resolves as %+v", ends, other[0], current[0])
		}
	}
}
