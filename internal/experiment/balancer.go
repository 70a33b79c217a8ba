package experiment

import "github.com/laburnumring/laburnumring/pkg/clock"

const (
	// healthCheckInterval is the time between two health checks of the balancer. A router that fails maxFailedChecks of
	// them in a row is taken out of rotation.
	healthCheckInterval = 1 * clock.Second
	maxFailedChecks     = 2
)

// checkRouters runs the balancer's health check, which fails while a router is out of rotation by its own decision. The
// balancer uses all routers when fewer than half pass.
func (p *intakePolicy) checkRouters() {
	p.inRotation = p.inRotation[:0]
	for i, r := range p.routers {
		if r.rotation.OutOfRotation(p.w.now, p.rotationState(r)) {
			r.balancer.failedChecks++
		} else {
			r.balancer = balancerState{}
		}
		r.balancer.outOfRotation = r.balancer.failedChecks >= maxFailedChecks
		if !r.balancer.outOfRotation {
			p.inRotation = append(p.inRotation, i)
		}
	}
	if 2*len(p.inRotation) < len(p.routers) {
		p.inRotation = p.inRotation[:0]
	}
}

// routerFor returns the router to which the balancer sends a request that would otherwise reach router i.
func (p *intakePolicy) routerFor(i int) int {
	if p.routers[i].balancer.outOfRotation && len(p.inRotation) > 0 {
		return p.inRotation[i%len(p.inRotation)]
	}
	return i
}
