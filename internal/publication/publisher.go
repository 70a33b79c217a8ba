package publication

import (
	"context"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/interval"
)

// Publisher publishes configurations on a log.
type Publisher struct {
	log   laburnumring.Log
	clock laburnumring.Clock
	// retryPause is the time between two attempts to reach the log.
	retryPause time.Duration
}

// NewPublisher returns a publisher that uses log and pauses for the given time between attempts.
func NewPublisher(log laburnumring.Log, clock laburnumring.Clock, retryPause time.Duration) *Publisher {
	return &Publisher{log: log, clock: clock, retryPause: retryPause}
}

// State returns the state that results from the log's records. It retries until ctx ends; its errors are of type
// *HistoryLostError or *NotPublishedError.
func (p *Publisher) State(ctx context.Context) (configuration.State, error) {
	pub := New(Options{From: Current})
	for {
		err := p.read(ctx, pub)
		if err == nil && pub.reader.Following() {
			return pub.reader.State(), nil
		}
		interval.Sleep(ctx, p.retryPause)
		if ctx.Err() != nil {
			return configuration.State{}, pub.GiveUp(cause(ctx, err))
		}
	}
}

// Publish publishes a configuration and returns the version that it created. It appends until it has read the outcome
// back from the log, so a lost reply does no harm. It retries until ctx ends. Its errors are of the types of this
// package, or the Err of a configuration.Decision when the record is invalid.
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
		interval.Sleep(ctx, p.retryPause)
		if ctx.Err() != nil {
			return 0, pub.GiveUp(cause(ctx, err))
		}
	}
}

// cause returns err, or the error of ctx when err is nil: an error of the log says more than an expired context.
func cause(ctx context.Context, err error) error {
	if err != nil {
		return err
	}
	return ctx.Err()
}

// read reads the stream to its end.
func (p *Publisher) read(ctx context.Context, pub *Publication) error {
	if !pub.started {
		page, err := p.log.Read(ctx, configuration.Stream, configuration.End, 0)
		if err != nil {
			return err
		}
		pub.StartNearEnd(page.First, page.Next)
	}
	for {
		page, err := p.log.Read(ctx, configuration.Stream, pub.Next(), 0)
		if err != nil {
			return err
		}
		pub.Apply(p.clock.Now(), configuration.Decode(page))
		if pub.CaughtUp() {
			return nil
		}
	}
}

// append appends the publication's record when it has one to append.
func (p *Publisher) append(ctx context.Context, pub *Publication) error {
	record, ok := pub.RecordToAppend()
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
