package configuration

import (
	"context"
	"fmt"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
)

// LostRaceError reports a change that another one from the same version preceded.
type LostRaceError struct {
	// From is the version that the change was made from.
	From int64
	// Current is the version in force.
	Current int64
}

// Error implements error.
func (e *LostRaceError) Error() string {
	return fmt.Sprintf("the change was made from version %d, but version %d is in force; nothing was changed",
		e.From, e.Current)
}

// Publisher puts configurations on the log.
type Publisher struct {
	log laburnumring.Log
	// pause is the time between two tries to reach the log.
	pause time.Duration
}

// NewPublisher returns a publisher on log.
func NewPublisher(log laburnumring.Log, pause time.Duration) *Publisher {
	return &Publisher{log: log, pause: pause}
}

// Current returns the record that the log's readers have in force; its version is 0 without one.
func (p *Publisher) Current(ctx context.Context) (Record, error) {
	c, _, err := p.replay(ctx)
	if err != nil {
		return Record{}, err
	}
	return c.Current(), nil
}

// Publish appends a change made from version from (the current one when negative) and reads back whether it
// won. A lost reply is settled by reading. Its errors are of type *LostRaceError, or of ctx.
func (p *Publisher) Publish(ctx context.Context, id string, from int64, text string) (int64, error) {
	appended := false
	for {
		version, done, err := p.try(ctx, id, &from, text, &appended)
		if done || ctx.Err() != nil {
			return version, err
		}
		t := time.NewTimer(p.pause)
		select {
		case <-ctx.Done():
			t.Stop()
			return 0, fmt.Errorf("publication %s is undecided: %w", id, ctx.Err())
		case <-t.C:
		}
	}
}

// try makes one step towards a decided publication and reports whether it is decided.
func (p *Publisher) try(ctx context.Context, id string, from *int64, text string, appended *bool) (int64, bool, error) {
	c, own, err := p.replay(ctx, id)
	if err != nil {
		return 0, false, err
	}
	if own.ID == id {
		return c.outcome(own)
	}
	if *from < 0 {
		*from = c.Current().Version
	}
	if *from != c.Current().Version {
		return 0, true, &LostRaceError{From: *from, Current: c.Current().Version}
	}
	data, err := Record{ID: id, From: *from, Version: *from + 1, Text: text}.Encode()
	if err != nil {
		return 0, true, err
	}
	*appended = true
	_, err = p.log.Append(ctx, Stream, data)
	return 0, false, err
}

// outcome says whether the record own, found on the log, won.
func (c *Controller) outcome(own Record) (int64, bool, error) {
	if c.won[own.Version] == own.ID {
		return own.Version, true, nil
	}
	return 0, true, &LostRaceError{From: own.From, Current: c.Current().Version}
}

// replay reads the stream as every process does and returns the record with one of the ids, if any.
func (p *Publisher) replay(ctx context.Context, ids ...string) (*Controller, Record, error) {
	c := New(board.New())
	var own Record
	var next int64
	for {
		page, err := p.log.Read(ctx, Stream, next, 0)
		if err != nil {
			return nil, Record{}, fmt.Errorf("read configuration stream: %w", err)
		}
		for _, r := range page.Records {
			_, _ = c.Apply(r.Offset, r.Data)
			if rec, err := decode(r.Data); err == nil && len(ids) > 0 && rec.ID == ids[0] {
				own = rec
			}
			next = r.Offset + 1
		}
		if next = max(next, page.First); next >= page.Next {
			return c, own, nil
		}
	}
}
