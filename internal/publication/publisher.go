package publication

import (
	"context"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/interval"
)

// Publisher carries publications out on a log.
type Publisher struct {
	log   laburnumring.Log
	clock laburnumring.Clock
	// pause is the time between two tries to reach the log.
	pause time.Duration
}

// NewPublisher returns a publisher on log.
func NewPublisher(log laburnumring.Log, clock laburnumring.Clock, pause time.Duration) *Publisher {
	return &Publisher{log: log, clock: clock, pause: pause}
}

// State returns the state that the log's readers come to. Its errors are of type *HistoryLostError or
// *NotPublishedError.
func (p *Publisher) State(ctx context.Context) (configuration.State, error) {
	pub := New(Options{From: Current})
	for {
		err := p.read(ctx, pub)
		if err == nil && pub.c.Following() {
			return pub.c.State(), nil
		}
		interval.Sleep(ctx, p.pause)
		if ctx.Err() != nil {
			return configuration.State{}, pub.GiveUp(cause(ctx, err))
		}
	}
}

// Publish carries out one publication and returns the version that it made. It appends until it has read back
// what became of the change, so lost replies are settled by reading. Its errors are of the types of this
// package.
func (p *Publisher) Publish(ctx context.Context, o Options) (int64, error) {
	pub := New(o)
	for {
		err := p.read(ctx, pub)
		version, done, result := pub.Result()
		if done {
			return version, result
		}
		if err == nil {
			err = p.append(ctx, pub)
		}
		if err == nil {
			err = p.read(ctx, pub)
		}
		if version, done, result = pub.Result(); done {
			return version, result
		}
		interval.Sleep(ctx, p.pause)
		if ctx.Err() != nil {
			return 0, pub.GiveUp(cause(ctx, err))
		}
	}
}

// cause prefers what the log said over the end of the time limit.
func cause(ctx context.Context, err error) error {
	if err != nil {
		return err
	}
	return ctx.Err()
}

// read reads the stream to its end.
func (p *Publisher) read(ctx context.Context, pub *Publication) error {
	if !pub.begun {
		page, err := p.log.Read(ctx, configuration.Stream, configuration.End, 0)
		if err != nil {
			return err
		}
		pub.Begin(page.First, page.Next)
	}
	for {
		page, err := p.log.Read(ctx, configuration.Stream, pub.Next(), 0)
		if err != nil {
			return err
		}
		pub.Take(p.clock.Now(), configuration.Decode(page))
		if pub.CaughtUp() {
			return nil
		}
	}
}

func (p *Publisher) append(ctx context.Context, pub *Publication) error {
	record, ok := pub.Append()
	if !ok {
		return nil
	}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = p.log.Append(ctx, configuration.Stream, data)
	return err
}
