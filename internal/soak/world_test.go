package soak_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// node is what the network knows of one process.
type node struct {
	name string
	// life counts the process's runs; messages to an earlier run are lost.
	life int
	// frozenUntil is when a stopped process goes on.
	frozenUntil clock.Millis
}

// happening is one thing that will be done at a process.
type happening struct {
	at   clock.Millis
	seq  int
	to   *node
	life int
	do   func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(v any)   { *a = append(*a, v.(happening)) } //nolint:forcetypeassert // Only heap.Push calls it.
func (a *agenda) Pop() any {
	v := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return v
}

// network carries messages between the nodes and shows its faults while they last.
type network struct {
	rng    *rand.Rand
	now    clock.Millis
	seq    int
	agenda agenda
	// faulty says that messages may be lost, doubled, delayed and reordered.
	faulty bool
	// cuts holds until when two nodes cannot reach each other.
	cuts map[[2]*node]clock.Millis
	// faults counts what the network did to messages.
	faults map[string]int
}

// Chances in a hundred and delays of a faulty network.
const (
	lossPercent   = 3
	doublePercent = 3
	latePercent   = 5
	lateDelay     = 400
	usualDelay    = 4
)

func newNetwork(rng *rand.Rand) *network {
	return &network{rng: rng, cuts: make(map[[2]*node]clock.Millis), faults: make(map[string]int)}
}

// after does f at n once d has passed, unless n restarts before.
func (w *network) after(d clock.Millis, n *node, f func()) {
	w.seq++
	heap.Push(&w.agenda, happening{at: w.now + d, seq: w.seq, to: n, life: n.life, do: f})
}

// every does f at n in turn, through all its lives.
func (w *network) every(d clock.Millis, n *node, f func()) {
	w.seq++
	heap.Push(&w.agenda, happening{at: w.now + d, seq: w.seq, to: n, life: -1, do: func() {
		f()
		w.every(d, n, f)
	}})
}

// send carries f to a node as one message.
func (w *network) send(from, to *node, f func()) {
	if w.now < w.cuts[[2]*node{from, to}] || w.now < w.cuts[[2]*node{to, from}] {
		w.faults["cut"]++
		return
	}
	copies := 1
	if w.chance(lossPercent, "lost") {
		return
	}
	if w.chance(doublePercent, "doubled") {
		copies = 2
	}
	for range copies {
		delay := 1 + clock.Millis(w.rng.IntN(usualDelay))
		if w.chance(latePercent, "late") {
			delay += clock.Millis(w.rng.IntN(lateDelay))
		}
		w.after(delay, to, f)
	}
}

func (w *network) chance(percent int, fault string) bool {
	if !w.faulty || w.rng.IntN(100) >= percent {
		return false
	}
	w.faults[fault]++
	return true
}

// step does the next thing that is due before end and reports whether there was one.
func (w *network) step(end clock.Millis) bool {
	if len(w.agenda) == 0 || w.agenda[0].at > end {
		w.now = end
		return false
	}
	h, ok := heap.Pop(&w.agenda).(happening)
	if !ok {
		panic(fmt.Sprintf("agenda holds %T", h))
	}
	w.now = h.at
	switch {
	case h.life >= 0 && h.life != h.to.life:
	case w.now < h.to.frozenUntil:
		w.seq++
		h.at, h.seq = h.to.frozenUntil, w.seq
		heap.Push(&w.agenda, h)
	default:
		h.do()
	}
	return true
}
