package peer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// ForeignIDError reports an id that belongs to another process than the session's, or to none.
type ForeignIDError struct {
	// ID is the invalid id.
	ID string
	// Owner is the process to which the id should belong, with its incarnation.
	Owner string
}

// Error implements error.
func (e *ForeignIDError) Error() string {
	return fmt.Sprintf("id %q is none of %q", e.ID, e.Owner)
}

// BadNumberError reports a number that does not stand for an id.
type BadNumberError struct {
	// Number is the invalid number.
	Number uint64
	// Owner is the process to which the id should belong, with its incarnation.
	Owner string
}

// Error implements error.
func (e *BadNumberError) Error() string {
	return fmt.Sprintf("number %d is no id of %q", e.Number, e.Owner)
}

// ids converts between the ids that one run of a process assigns, in the form "owner.number", and their numbers.
// Numbers start at 1.
type ids struct {
	// owner is unique to one run of a process. When it is empty, no id is valid.
	owner string
}

func (d ids) number(id string) (uint64, error) {
	digits, ok := strings.CutPrefix(id, d.owner+".")
	n, err := strconv.ParseUint(digits, 10, 64)
	if !ok || err != nil || n == 0 || d.owner == "" || strconv.FormatUint(n, 10) != digits {
		return 0, &ForeignIDError{ID: id, Owner: d.owner}
	}
	return n, nil
}

func (d ids) id(n uint64) (string, error) {
	if n == 0 || d.owner == "" {
		return "", &BadNumberError{Number: n, Owner: d.owner}
	}
	return d.owner + "." + strconv.FormatUint(n, 10), nil
}

// IDCodec converts between full ids and the short numbers that replace them in the messages of one session. The
// errors of all its methods are of type *ForeignIDError or *BadNumberError.
type IDCodec struct {
	// requests converts the router's request ids and offers the agent's offer ids.
	requests, offers ids
}

// NewIDCodec returns the id conversion for a session between a router and an agent. The arguments are the owners in
// the ids of the two processes, for example router-1.0a1b and c2d3.
func NewIDCodec(router, agent string) IDCodec {
	return IDCodec{requests: ids{router}, offers: ids{agent}}
}

// Batch holds changes from a router, with full ids. The changes of each kind are in the order in which they were
// made.
type Batch struct {
	// Leave holds tickets to be left with the agent, Withdraw the ids of requests whose tickets are withdrawn,
	// and Decline the ids of declined offers.
	Leave    []ticket.Ticket
	Withdraw []string
	Decline  []string
	// Suspects holds updates on requests that may crash backend servers.
	Suspects []suspect.Entry
}

// Empty reports whether the batch holds no changes.
func (b Batch) Empty() bool {
	return len(b.Leave)+len(b.Withdraw)+len(b.Decline)+len(b.Suspects) == 0
}

// Pack returns b as a message.
func (s IDCodec) Pack(b Batch) (ExchangeArgs, error) {
	args := ExchangeArgs{Suspects: b.Suspects}
	var err error
	if args.Leave, err = convert(b.Leave, s.packTicket); err != nil {
		return ExchangeArgs{}, err
	}
	if args.Withdraw, err = convert(b.Withdraw, s.requests.number); err != nil {
		return ExchangeArgs{}, err
	}
	if args.Decline, err = convert(b.Decline, s.offers.number); err != nil {
		return ExchangeArgs{}, err
	}
	return args, nil
}

// Unpack returns the batch in a message.
func (s IDCodec) Unpack(args ExchangeArgs) (Batch, error) {
	b := Batch{Suspects: args.Suspects}
	var err error
	if b.Leave, err = convert(args.Leave, s.unpackTicket); err != nil {
		return Batch{}, err
	}
	if b.Withdraw, err = convert(args.Withdraw, s.requests.id); err != nil {
		return Batch{}, err
	}
	if b.Decline, err = convert(args.Decline, s.offers.id); err != nil {
		return Batch{}, err
	}
	return b, nil
}

// PackRequests returns the numbers of request ids.
func (s IDCodec) PackRequests(requests []string) ([]uint64, error) {
	return convert(requests, s.requests.number)
}

// UnpackRequests returns the request ids for numbers.
func (s IDCodec) UnpackRequests(numbers []uint64) ([]string, error) {
	return convert(numbers, s.requests.id)
}

// PackOffers returns offers in the form of the messages.
func (s IDCodec) PackOffers(offers []ticket.Offer) ([]Offer, error) {
	return convert(offers, s.packOffer)
}

// UnpackOffers returns the offers in a message with full ids.
func (s IDCodec) UnpackOffers(offers []Offer) ([]ticket.Offer, error) {
	return convert(offers, s.unpackOffer)
}

func (s IDCodec) packTicket(t ticket.Ticket) (Ticket, error) {
	n, err := s.requests.number(t.Request)
	t.Request = ""
	return Ticket{Request: n, Rest: t}, err
}

func (s IDCodec) unpackTicket(t Ticket) (ticket.Ticket, error) {
	if t.Rest.Request != "" {
		return ticket.Ticket{}, &ForeignIDError{ID: t.Rest.Request, Owner: s.requests.owner}
	}
	out := t.Rest
	var err error
	out.Request, err = s.requests.id(t.Request)
	return out, err
}

func (s IDCodec) packOffer(o ticket.Offer) (Offer, error) {
	if o.Router != s.requests.owner {
		return Offer{}, &ForeignIDError{ID: o.Router, Owner: s.requests.owner}
	}
	n, err := s.offers.number(o.ID)
	if err != nil {
		return Offer{}, err
	}
	request, err := s.requests.number(o.Request)
	return Offer{Number: n, Request: request, Attempt: o.Attempt}, err
}

func (s IDCodec) unpackOffer(o Offer) (ticket.Offer, error) {
	id, err := s.offers.id(o.Number)
	if err != nil {
		return ticket.Offer{}, err
	}
	request, err := s.requests.id(o.Request)
	return ticket.Offer{ID: id, Router: s.requests.owner, Request: request, Attempt: o.Attempt}, err
}

// convert applies f to each element and returns the results, or the first error.
func convert[T, U any](in []T, f func(T) (U, error)) ([]U, error) {
	if len(in) == 0 {
		return nil, nil
	}
	out := make([]U, len(in))
	for i, v := range in {
		var err error
		if out[i], err = f(v); err != nil {
			return nil, err
		}
	}
	return out, nil
}
