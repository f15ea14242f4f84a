package testbed

import (
	"fmt"
	"sync"
	"time"
)

// Checker records the observations of callers and endpoints and checks the delivery
// guarantees.
type Checker struct {
	mu         sync.Mutex
	started    time.Time
	violations []string

	// allowed holds the services of each destination in any configuration so far.
	allowed map[socketAddr]map[string]bool
	// withdrawnAt is the time at which the destination was withdrawn, allowedSince the
	// time at which it was first published or published again after a withdrawal.
	withdrawnAt  map[socketAddr]time.Time
	allowedSince map[socketAddr]time.Time
	// drainingSince is the time at which an endpoint began to drain.
	drainingSince map[string]time.Time
	// evacuatedSince is the time at which the store accepted the evacuation of a data
	// centre.
	evacuatedSince map[string]time.Time
	// flowEndpoint is the endpoint of an open flow by the caller's address.
	flowEndpoint map[socketAddr]string
	// runs is the number of runs by request ID.
	runs    map[uint64]int
	stopped map[string]bool
	// applyDeadline is the time within which a withdrawal, a drain or an evacuation must
	// take effect.
	applyDeadline time.Duration

	// instanceOf is the instance that received the first packet of a flow, by the
	// caller's address.
	instanceOf map[socketAddr]string
	// disturbedUntil is the end of the last fault or restart of an instance.
	disturbedUntil map[string]time.Time
	// refusedAt is the time of the last refusal of a withdrawn destination.
	refusedAt map[refusal]time.Time
}

// refusal identifies a destination refused by an instance.
type refusal struct {
	instance string
	to       socketAddr
}

// NewChecker returns a checker for changes that must take effect within applyDeadline.
func NewChecker(applyDeadline time.Duration) *Checker {
	return &Checker{
		started: time.Now(), allowed: map[socketAddr]map[string]bool{}, withdrawnAt: map[socketAddr]time.Time{}, allowedSince: map[socketAddr]time.Time{},
		drainingSince: map[string]time.Time{}, flowEndpoint: map[socketAddr]string{}, runs: map[uint64]int{}, stopped: map[string]bool{},
		applyDeadline: applyDeadline, instanceOf: map[socketAddr]string{}, disturbedUntil: map[string]time.Time{}, refusedAt: map[refusal]time.Time{},
		evacuatedSince: map[string]time.Time{},
	}
}

// stabilizationTime is the time after a fault or restart before applyDeadline holds for
// an instance again.
const stabilizationTime = 4 * time.Second

// SuspendDeadlines exempts an instance from applyDeadline until stabilizationTime after
// a given time. With restarted, the instance has lost its state, so its earlier refusals
// are removed.
func (c *Checker) SuspendDeadlines(instance string, until time.Time, restarted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.disturbedUntil[instance]) {
		c.disturbedUntil[instance] = until
	}
	if restarted {
		for r := range c.refusedAt {
			if r.instance == instance {
				delete(c.refusedAt, r)
			}
		}
	}
}

// isStable reports whether applyDeadline holds for the instance that received the first
// packet of a flow.
func (c *Checker) isStable(from socketAddr) bool {
	return time.Since(c.disturbedUntil[c.instanceOf[from]]) > stabilizationTime
}

// firstPacketSent records the instance that receives the first packet of a flow.
func (c *Checker) firstPacketSent(from socketAddr, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instanceOf[from] = instance
}

// RecordError records an error of the test environment, which invalidates the run, as a
// violation.
func (c *Checker) RecordError(format string, args ...any) { c.recordViolation(format, args...) }

func (c *Checker) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(format, args...)
}

func (c *Checker) recordViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%.3f s: ", time.Since(c.started).Seconds())+fmt.Sprintf(format, args...))
}

// Violations returns the violated guarantees, each with the time since the start.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.violations...)
}

// allow records that a configuration maps a destination to a service.
func (c *Checker) allow(to socketAddr, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allowed[to] == nil {
		c.allowed[to] = map[string]bool{}
		c.allowedSince[to] = time.Now()
	}
	c.allowed[to][service] = true
	if _, withdrawn := c.withdrawnAt[to]; withdrawn {
		delete(c.withdrawnAt, to)
		c.allowedSince[to] = time.Now()
		for r := range c.refusedAt {
			if r.to == to {
				delete(c.refusedAt, r)
			}
		}
	}
}

// withdraw records that the store has accepted a configuration without a destination.
func (c *Checker) withdraw(to socketAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawnAt[to] = time.Now()
}

// EndpointDraining records that an endpoint begins to drain.
func (c *Checker) EndpointDraining(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[endpoint] = time.Now()
}

// EndpointStopped records that an endpoint has stopped. Its flows may break from now on.
func (c *Checker) EndpointStopped(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[endpoint] = true
	for from, flowEndpoint := range c.flowEndpoint {
		if flowEndpoint == endpoint {
			delete(c.flowEndpoint, from)
		}
	}
}

// firstPacketReceived checks that the first packet of a flow arrives at an endpoint of an
// allowed service, and not too late after a withdrawal, a refusal or a drain.
func (c *Checker) firstPacketReceived(endpoint, service string, p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if !c.allowed[p.to][service] {
		c.recordViolationLocked("flow to %v opened at %s, an endpoint of %s, but no configuration has mapped the destination to this service", p.to, endpoint, service)
	}
	since, withdrawn := c.withdrawnAt[p.to]
	if withdrawn && now.Sub(since) > c.applyDeadline && c.isStable(p.from) {
		c.recordViolationLocked("flow to %v opened at %s, %v after its rule was withdrawn, through %s",
			p.to, endpoint, now.Sub(since), c.instanceOf[p.from])
	}
	if at, wasRefused := c.refusedAt[refusal{c.instanceOf[p.from], p.to}]; withdrawn && wasRefused && now.Sub(at) > maxPacketDelay {
		c.recordViolationLocked("flow to %v opened at %s through %s, which had refused it %v earlier", p.to, endpoint,
			c.instanceOf[p.from], now.Sub(at))
	}
	if since, draining := c.drainingSince[endpoint]; draining && now.Sub(since) > c.applyDeadline && c.isStable(p.from) {
		c.recordViolationLocked("flow opened at %s, %v after it began to drain", endpoint, now.Sub(since))
	}
}

// unknownFlow checks that a packet of a flow that is not open at the endpoint does not
// belong to a flow that is open at another one.
func (c *Checker) unknownFlow(endpoint string, p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if flowEndpoint, open := c.flowEndpoint[p.from]; open && flowEndpoint != endpoint && !c.stopped[flowEndpoint] {
		c.recordViolationLocked("packet of the flow from %v at %s was delivered to %s", p.from, flowEndpoint, endpoint)
	}
}

func (c *Checker) flowOpened(from, _ socketAddr, endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flowEndpoint[from] = endpoint
}

func (c *Checker) flowEnded(from socketAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flowEndpoint, from)
}

// maxPacketDelay is the maximum time that a packet of a flow is in transit.
const maxPacketDelay = time.Second

// resetBySystem records a refusal if the destination is withdrawn, and checks that a
// reset sent by the system under test does not end an open flow.
func (c *Checker) resetBySystem(from, to socketAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, withdrawn := c.withdrawnAt[to]; withdrawn {
		c.refusedAt[refusal{c.instanceOf[from], to}] = time.Now()
	}
	if flowEndpoint, open := c.flowEndpoint[from]; open && !c.stopped[flowEndpoint] {
		c.recordViolationLocked("open flow from %v at %s was reset by the system", from, flowEndpoint)
	}
}

// requestRan counts a run of a request and checks that a report runs only once.
func (c *Checker) requestRan(r *request, endpoint, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.id]++
	if r.kind == Report && c.runs[r.id] > 1 {
		c.recordViolationLocked("report %x ran %d times, last on %s", r.id, c.runs[r.id], endpoint)
	}
}

// hasRun reports whether a request was run.
func (c *Checker) hasRun(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id] > 0
}
