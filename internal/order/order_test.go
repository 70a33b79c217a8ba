package order_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/order"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// fakeLog is a stream whose next appends end as fates says: ok, lost (the record is appended but the reply lost),
// refused or doubled.
type fakeLog struct {
	first   int64
	records []laburnumring.Record
	fates   []string
	// rival is a record that is appended just before the next append.
	rival string
	down  bool
}

var errNoReply = errors.New("the log did not answer")

func (l *fakeLog) appendRecord(data []byte) int64 {
	offset := l.first + int64(len(l.records))
	l.records = append(l.records, laburnumring.Record{Offset: offset, Data: data})
	return offset
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	if l.rival != "" {
		l.appendRecord([]byte(l.rival))
		l.rival = ""
	}
	fate := "ok"
	if len(l.fates) > 0 {
		fate, l.fates = l.fates[0], l.fates[1:]
	}
	switch fate {
	case "refused":
		return 0, errNoReply
	case "lost":
		l.appendRecord(data)
		return 0, errNoReply
	case "doubled":
		l.appendRecord(data)
	}
	return l.appendRecord(data), nil
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, _ clock.Millis) (laburnumring.Page, error) {
	if l.down {
		return laburnumring.Page{}, errNoReply
	}
	p := laburnumring.Page{First: l.first, Next: l.first + int64(len(l.records))}
	p.Records = l.records[min(max(0, from-l.first), int64(len(l.records))):]
	return p, nil
}

// TestLeases runs the script testdata/leases.
func TestLeases(t *testing.T) {
	log := &fakeLog{}
	c := order.New()
	now := clock.Millis(1000)
	ids := 0
	datadriven.RunTest(t, "testdata/leases", func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "take":
			ids++
			return acquireLease(t, d, log, now, ids)
		case "append":
			log.appendRecord([]byte(d.Input))
		case "fates":
			for _, a := range d.CmdArgs {
				log.fates = append(log.fates, a.Key)
			}
		case "rival":
			log.rival = d.Input
		case "pass":
			now += 10 * clock.Second
		case "drop":
			log.first, log.records = log.first+1, log.records[1:]
		case "restart":
			c = order.New()
		case "check":
			return checkFence(t, d, log, c)
		default:
			d.Fatalf(t, "unknown command %q", d.Cmd)
		}
		return "ok"
	})
}

func acquireLease(t *testing.T, d *datadriven.TestData, log *fakeLog, now clock.Millis, id int) string {
	var holder string
	d.ScanArgs(t, "holder", &holder)
	l := order.Lease{ID: fmt.Sprint("lease-", id), Server: "model-1", Holder: holder, At: now, TTL: 5 * clock.Second}
	h, err := order.NewAcquirer(log, time.Microsecond).Acquire(t.Context(), now, l, d.HasArg("force"))
	var held *order.HeldError
	if errors.As(err, &held) {
		return "refused: " + err.Error()
	}
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("fence %d", h.Fence)
}

func checkFence(t *testing.T, d *datadriven.TestData, log *fakeLog, c *order.Controller) string {
	var fence int64
	d.ScanArgs(t, "fence", &fence)
	if _, err := order.Read(t.Context(), log, c); err != nil {
		t.Fatal(err)
	}
	var fenced *order.FencedError
	if errors.As(c.Check("model-1", fence), &fenced) {
		return fenced.Error()
	}
	return "may act"
}
