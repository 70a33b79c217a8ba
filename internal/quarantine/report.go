package quarantine

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Report is the evidence that a router sends to its peers.
type Report struct {
	// The numbers 1 to 3 were those of reports that took the start of an answer for its end.
	Casualties []Casualty `cbor:"4,keyasint,omitempty"`
	Answers    []Answer   `cbor:"5,keyasint,omitempty"`
	Trials     []Trial    `cbor:"6,keyasint,omitempty"`
}

const (
	// updateTTL is how long reports repeat new evidence. It covers two rounds through dozens of peers.
	updateTTL = 2 * clock.Second
	// Limits of one report. maxOldCasualties is how many of the older casualties it has, in turn, and as many of those that
	// support verdicts.
	maxCasualtiesSent = 32
	maxOldCasualties  = 4
	maxAnswersSent    = 64
	maxTrialsSent     = 24
)

// Report returns the evidence for the peers: what is new, and in turn some of what is older, for routers that started
// later.
func (l *List) Report(now clock.Millis) Report {
	if len(l.casualties) == 0 {
		return Report{}
	}
	send := l.selectCasualties(now)
	answers := make(map[uint64]clock.Millis)
	for _, c := range send {
		l.addAnswers(answers, c)
	}
	for k := range l.byKey {
		if at, ok := l.answers[k]; ok && now-at <= updateTTL {
			answers[k] = at
		}
	}
	// The newest answers have reached the fewest routers.
	return l.encode(now, send, answers, maxAnswersSent)
}

// Version identifies a state of the evidence that a List returns.
type Version struct {
	// Verdicts changes with the verdicts and with what speaks for them.
	Verdicts int64
	// Casualties changes with the casualties.
	Casualties uint64
}

// settleTime is how long after a crash most of the parts that its casualties share were answered again.
const settleTime = 1 * clock.Second

// Evidence returns the evidence that must outlive all routers: against what is in quarantine, and what no answer has
// refuted within settleTime.
func (l *List) Evidence(now clock.Millis) (Report, Version) {
	var casualties []*casualty
	v := Version{Verdicts: l.changes}
	for _, c := range slices.SortedFunc(maps.Values(l.casualties), compareCasualties) {
		if now-c.Broken < settleTime && !l.supports(c) || !l.relevant(c) {
			continue
		}
		casualties = append(casualties, c)
		id := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, c.Server), c.Request)
		v.Casualties ^= xxhash.Sum64(id)
	}
	answers := make(map[uint64]clock.Millis)
	for _, c := range casualties {
		l.addAnswers(answers, c)
	}
	return l.encode(now, casualties, answers, len(answers)), v
}

// addAnswers adds when requests with what a casualty speaks against were last answered.
func (l *List) addAnswers(answers map[uint64]clock.Millis, c *casualty) {
	for _, k := range c.keys() {
		if at, ok := l.answers[k]; ok {
			answers[k] = at
		}
	}
}

// encode returns a report of casualties, of the latest n answers, and of the trials of what is in quarantine.
func (l *List) encode(now clock.Millis, casualties []*casualty, answers map[uint64]clock.Millis, n int) Report {
	var out Report
	for _, c := range casualties {
		out.Casualties = append(out.Casualties, Casualty{
			Server: c.Server, Request: c.Request, Sent: now - c.Sent, Broken: now - c.Broken, Refused: now - c.refused,
			Late: c.Late, Gone: c.Gone, Parts: c.Parts,
		})
	}
	keys := slices.SortedFunc(maps.Keys(answers), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(answers[b], answers[a]), cmp.Compare(a, b))
	})
	for _, k := range keys[:min(len(keys), n)] {
		out.Answers = append(out.Answers, Answer{Key: k, Age: now - answers[k]})
	}
	for _, k := range slices.Sorted(maps.Keys(l.quarantined)) {
		for _, t := range l.trials[k] {
			if len(out.Trials) < maxTrialsSent {
				out.Trials = append(out.Trials, Trial{Key: k, Request: t.request, Age: now - t.at})
			}
		}
	}
	return out
}

// AddDelay returns the report with all ages increased by the time for which it was delayed.
func (r Report) AddDelay(delay clock.Millis) Report {
	out := Report{Casualties: slices.Clone(r.Casualties), Answers: slices.Clone(r.Answers), Trials: slices.Clone(r.Trials)}
	for i := range out.Casualties {
		c := &out.Casualties[i]
		c.Sent, c.Broken, c.Refused = c.Sent+delay, c.Broken+delay, c.Refused+delay
	}
	for i := range out.Answers {
		out.Answers[i].Age += delay
	}
	for i := range out.Trials {
		out.Trials[i].Age += delay
	}
	return out
}

// selectCasualties returns the casualties of the next report. If there are too many new ones, each report has others.
func (l *List) selectCasualties(now clock.Millis) []*casualty {
	l.reports++
	var recent, old, support []*casualty
	for _, c := range l.casualties {
		switch {
		case now-c.addedAt <= updateTTL:
			recent = append(recent, c)
		case l.supports(c):
			support = append(support, c)
		default:
			old = append(old, c)
		}
	}
	recent = l.shorten(recent)
	recent = append(recent, inTurn(support, &l.lastSupport)...)
	return append(recent, inTurn(old, &l.lastReported)...)
}

// shorten returns at most maxCasualtiesSent casualties: half of them those of the greatest weight, the others at random.
func (l *List) shorten(list []*casualty) []*casualty {
	if len(list) <= maxCasualtiesSent {
		return list
	}
	const heaviest = maxCasualtiesSent / 2
	order, weights := make(map[*casualty]uint64, len(list)), make(map[*casualty]int, len(list))
	for _, c := range list {
		id := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(nil, c.Server), c.Request)
		order[c] = xxhash.Sum64(binary.BigEndian.AppendUint64(id, l.reports))
		weights[c] = l.weight(c)
	}
	slices.SortFunc(list, func(a, b *casualty) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(order[a], order[b]))
	})
	slices.SortFunc(list[heaviest:], func(a, b *casualty) int { return cmp.Compare(order[a], order[b]) })
	return list[:maxCasualtiesSent]
}

// inTurn returns the next few casualties after the last one returned, in the order of their keys, and updates it.
func inTurn(list []*casualty, last *key) []*casualty {
	var out []*casualty
	for _, c := range list {
		if compareKeys(c.key(), *last) <= 0 || len(out) == maxOldCasualties && compareKeys(c.key(), out[len(out)-1].key()) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(out, c, func(a, b *casualty) int { return compareKeys(a.key(), b.key()) })
		out = slices.Insert(out, i, c)
		out = out[:min(len(out), maxOldCasualties)]
	}
	if len(out) == 0 {
		// The next report begins again.
		*last = key{}
		return nil
	}
	*last = out[len(out)-1].key()
	return out
}

func compareKeys(a, b key) int {
	return cmp.Or(cmp.Compare(a.server, b.server), cmp.Compare(a.request, b.request))
}

// maxParts is the most parts of a casualty that are accepted from a peer.
const maxParts = 64

// Merge adds a peer's evidence.
func (l *List) Merge(now clock.Millis, r Report) {
	changed := false
	for _, a := range r.Answers {
		if a.Age >= 0 {
			changed = l.addAnswer(a.Key, now-a.Age) || changed
		}
	}
	for _, c := range r.Casualties {
		if c.Refused < 0 || c.Refused > casualtyTTL || c.Broken < c.Refused || c.Sent < c.Broken || len(c.Parts) > maxParts {
			continue
		}
		added := &casualty{
			Break: Break{
				Server: c.Server, Request: c.Request, Parts: c.Parts, Sent: now - c.Sent, Broken: now - c.Broken,
				Late: c.Late, Gone: c.Gone,
			},
			refused: now - c.Refused, addedAt: now,
		}
		changed = l.add(added) && l.mayJudge(added) || changed
	}
	for _, t := range r.Trials[:min(len(r.Trials), maxTrialsSent)] {
		if t.Age >= 0 {
			l.addTrial(t.Key, trial{request: t.Request, at: now - t.Age})
		}
	}
	if changed {
		l.judge(now)
		return
	}
	l.limit()
}
