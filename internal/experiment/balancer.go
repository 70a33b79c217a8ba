package experiment

import "github.com/laburnumring/laburnumring/pkg/clock"

const (
	// lookInterval is the time between two looks of the balancer, and maxMisses how many in a row take a router out.
	lookInterval = 1 * clock.Second
	maxMisses    = 2
)

// look lets the balancer see which routers take new callers. It uses all of them when fewer than half do.
func (p *intakePolicy) look() {
	p.in = p.in[:0]
	for i, r := range p.routers {
		if r.rotation.OutOfRotation(p.w.now, p.state(r)) {
			r.balanced.misses++
		} else {
			r.balanced = balanced{}
		}
		r.balanced.out = r.balanced.misses >= maxMisses
		if !r.balanced.out {
			p.in = append(p.in, i)
		}
	}
	if 2*len(p.in) < len(p.routers) {
		p.in = p.in[:0]
	}
}

// balance returns the router to which the balancer sends a caller that came to the given one before.
func (p *intakePolicy) balance(i int) int {
	if p.routers[i].balanced.out && len(p.in) > 0 {
		return p.in[i%len(p.in)]
	}
	return i
}
