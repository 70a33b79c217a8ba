package peer_test

import (
	"errors"
	"reflect"
	"testing"

	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// The runs at the two ends of the session under test.
const (
	thisRouter = "router-1.0a1b"
	thisAgent  = "c2d3"
)

// TestSessionRoundTrip packs and unpacks: what arrives is what was sent, with the ids of the session's ends.
func TestSessionRoundTrip(t *testing.T) {
	s := peer.NewSession(thisRouter, thisAgent)
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

// TestForeignIDs packs ids that have no number in the session, each in every place where an id may stand.
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
	s := peer.NewSession(thisRouter, thisAgent)
	good := ticket.Offer{ID: thisAgent + ".1", Router: thisRouter, Request: thisRouter + ".1", Attempt: 1}
	for name, id := range ids {
		request, offer := id[0], id[1]
		wrongOffer, wrongRequest, wrongRouter := good, good, good
		wrongOffer.ID, wrongRequest.Request, wrongRouter.Router = offer, request, "x"+request
		places := map[string]func() error{
			"leave":    func() error { _, err := s.Pack(peer.Batch{Leave: []ticket.Ticket{{Request: request}}}); return err },
			"withdraw": func() error { _, err := s.Pack(peer.Batch{Withdraw: []string{request}}); return err },
			"decline":  func() error { _, err := s.Pack(peer.Batch{Decline: []string{offer}}); return err },
			"refused":  func() error { _, err := s.PackRequests([]string{request}); return err },
			"offer":    func() error { _, err := s.PackOffers([]ticket.Offer{good, wrongOffer}); return err },
			"offered":  func() error { _, err := s.PackOffers([]ticket.Offer{good, wrongRequest}); return err },
			"router":   func() error { _, err := s.PackOffers([]ticket.Offer{good, wrongRouter}); return err },
		}
		for place, pack := range places {
			var foreign *peer.ForeignIDError
			if err := pack(); !errors.As(err, &foreign) {
				t.Errorf("%s in %s: error %v", name, place, err)
			}
		}
	}
}

// TestBadNumbers unpacks messages that no session's end packs.
func TestBadNumbers(t *testing.T) {
	s := peer.NewSession(thisRouter, thisAgent)
	nameless := peer.NewSession("", "")
	places := map[string]func() error{
		"leave 0":    func() error { _, err := s.Unpack(peer.ExchangeArgs{Leave: []peer.Ticket{{}}}); return err },
		"withdraw 0": func() error { _, err := s.Unpack(peer.ExchangeArgs{Withdraw: []uint64{1, 0}}); return err },
		"decline 0":  func() error { _, err := s.Unpack(peer.ExchangeArgs{Decline: []uint64{0}}); return err },
		"refused 0":  func() error { _, err := s.UnpackRequests([]uint64{0}); return err },
		"offer 0":    func() error { _, err := s.UnpackOffers([]peer.Offer{{Request: 1}}); return err },
		"offered 0":  func() error { _, err := s.UnpackOffers([]peer.Offer{{Number: 1}}); return err },
		"no router":  func() error { _, err := nameless.UnpackRequests([]uint64{1}); return err },
		"no agent":   func() error { _, err := nameless.Unpack(peer.ExchangeArgs{Decline: []uint64{1}}); return err },
	}
	for name, unpack := range places {
		var bad *peer.BadNumberError
		if err := unpack(); !errors.As(err, &bad) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	smuggled := peer.Ticket{Request: 1, Rest: ticket.Ticket{Request: "router-2.0a1b.7"}}
	var foreign *peer.ForeignIDError
	if _, err := s.Unpack(peer.ExchangeArgs{Leave: []peer.Ticket{smuggled}}); !errors.As(err, &foreign) {
		t.Errorf("a ticket with two ids: error %v", err)
	}
}

// TestNumbersOfOtherIncarnations reads one message under the sessions of earlier and later runs: none of them
// resolves to an id of this one.
func TestNumbersOfOtherIncarnations(t *testing.T) {
	here, err := peer.NewSession(thisRouter, thisAgent).UnpackOffers([]peer.Offer{{Number: 7, Request: 7, Attempt: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for _, ends := range [][2]string{{"router-1.9f9f", "b1b1"}, {"router-1.0a1b.7", "c2d3.7"}, {"router-1", "c2"}} {
		there, err := peer.NewSession(ends[0], ends[1]).UnpackOffers([]peer.Offer{{Number: 7, Request: 7, Attempt: 1}})
		if err != nil {
			t.Fatal(err)
		}
		if there[0].ID == here[0].ID || there[0].Request == here[0].Request || there[0].Router == here[0].Router {
			t.Errorf("%q: %+v resolves as %+v", ends, there[0], here[0])
		}
	}
}
