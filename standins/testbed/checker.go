package testbed

import (
	"fmt"
	"sync"
	"time"
)

// Checker holds what callers and endpoints have seen, and checks the promises.
type Checker struct {
	mu         sync.Mutex
	started    time.Time
	violations []string

	// allowed holds the services that any configuration sends a destination to,
	// withdrawn when a destination was taken away.
	allowed      map[socketAddr]map[string]bool
	withdrawnAt  map[socketAddr]time.Time
	allowedSince map[socketAddr]time.Time
	// draining holds when an endpoint's drain was acknowledged.
	drainingSince map[string]time.Time
	// holder is the endpoint of an open flow.
	flowEndpoint map[socketAddr]string
	runs         map[uint64]int
	stopped      map[string]bool
	// bound is how long a change may take.
	bound time.Duration

	// through is the instance that got the first packet of a flow, troubled when an
	// instance was last in trouble, refused when one refused a withdrawn destination.
	instanceOf     map[socketAddr]string
	disturbedUntil map[string]time.Time
	refusedAt      map[refusal]time.Time
}

// refusal is a destination that an instance has refused.
type refusal struct {
	instance string
	to       socketAddr
}

// NewChecker returns a ledger for changes that take effect within a bound.
func NewChecker(bound time.Duration) *Checker {
	return &Checker{
		started: time.Now(), allowed: map[socketAddr]map[string]bool{}, withdrawnAt: map[socketAddr]time.Time{}, allowedSince: map[socketAddr]time.Time{},
		drainingSince: map[string]time.Time{}, flowEndpoint: map[socketAddr]string{}, runs: map[uint64]int{}, stopped: map[string]bool{},
		bound: bound, instanceOf: map[socketAddr]string{}, disturbedUntil: map[string]time.Time{}, refusedAt: map[refusal]time.Time{},
	}
}

// stability is how long an instance must have been without trouble before bounds hold
// for it.
const stabilizationTime = 4 * time.Second

// SuspendBounds notes that an instance is in trouble until a time. With restarted it has
// lost what it knew.
func (l *Checker) SuspendBounds(instance string, until time.Time, restarted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.disturbedUntil[instance]) {
		l.disturbedUntil[instance] = until
	}
	if restarted {
		for r := range l.refusedAt {
			if r.instance == instance {
				delete(l.refusedAt, r)
			}
		}
	}
}

// calm reports whether the instance that got a flow's first packet is held to the
// bounds.
func (l *Checker) isStable(from socketAddr) bool {
	return time.Since(l.disturbedUntil[l.instanceOf[from]]) > stabilizationTime
}

// sentThrough notes which instance gets the first packet of a flow.
func (l *Checker) firstPacketSent(from socketAddr, instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceOf[from] = instance
}

// RecordError notes something that stops the run from being judged.
func (l *Checker) RecordError(format string, args ...any) { l.recordViolation(format, args...) }

func (l *Checker) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(format, args...)
}

func (l *Checker) recordViolationLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.started).Seconds())+fmt.Sprintf(format, args...))
}

// Violations returns the broken promises.
func (l *Checker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.violations...)
}

// allow notes that a configuration sends a destination to a service.
func (l *Checker) allow(to socketAddr, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed[to] == nil {
		l.allowed[to] = map[string]bool{}
		l.allowedSince[to] = time.Now()
	}
	l.allowed[to][service] = true
	if _, withdrawn := l.withdrawnAt[to]; withdrawn {
		delete(l.withdrawnAt, to)
		l.allowedSince[to] = time.Now()
		for r := range l.refusedAt {
			if r.to == to {
				delete(l.refusedAt, r)
			}
		}
	}
}

// withdraw notes that a configuration without a destination was acknowledged.
func (l *Checker) withdraw(to socketAddr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawnAt[to] = time.Now()
}

// EndpointDraining notes that an endpoint's drain is acknowledged.
func (l *Checker) EndpointDraining(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainingSince[endpoint] = time.Now()
}

// EndpointStopped notes that an endpoint has ended.
func (l *Checker) EndpointStopped(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped[endpoint] = true
	for from, flowEndpoint := range l.flowEndpoint {
		if flowEndpoint == endpoint {
			delete(l.flowEndpoint, from)
		}
	}
}

// firstPacket checks the first packet of a flow at an endpoint.
func (l *Checker) firstPacketReceived(endpoint, service string, p *packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.allowed[p.to][service] {
		l.recordViolationLocked("flow to %v opened at %s, an endpoint of %s", p.to, endpoint, service)
	}
	since, withdrawn := l.withdrawnAt[p.to]
	if withdrawn && now.Sub(since) > l.bound && l.isStable(p.from) {
		l.recordViolationLocked("flow to %v opened at %s, %v after its rule was withdrawn, through %s",
			p.to, endpoint, now.Sub(since), l.instanceOf[p.from])
	}
	if at, wasRefused := l.refusedAt[refusal{l.instanceOf[p.from], p.to}]; withdrawn && wasRefused && now.Sub(at) > maxPacketDelay {
		l.recordViolationLocked("flow to %v opened at %s through %s, which had refused it %v before", p.to, endpoint,
			l.instanceOf[p.from], now.Sub(at))
	}
	if since, draining := l.drainingSince[endpoint]; draining && now.Sub(since) > l.bound && l.isStable(p.from) {
		l.recordViolationLocked("flow opened at %s, %v after it began to drain", endpoint, now.Sub(since))
	}
}

// unknownFlow checks a packet of a flow that the endpoint does not hold.
func (l *Checker) unknownFlow(endpoint string, p *packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if flowEndpoint, open := l.flowEndpoint[p.from]; open && flowEndpoint != endpoint && !l.stopped[flowEndpoint] {
		l.recordViolationLocked("packet of the flow from %v on %s reached %s", p.from, flowEndpoint, endpoint)
	}
}

func (l *Checker) flowOpened(from, _ socketAddr, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flowEndpoint[from] = endpoint
}

func (l *Checker) flowEnded(from socketAddr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.flowEndpoint, from)
}

// backSlack is the time in which packets of a flow may still be under way.
const maxPacketDelay = time.Second

// resetBySystem checks a reset that the system under test sent.
func (l *Checker) resetBySystem(from, to socketAddr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, withdrawn := l.withdrawnAt[to]; withdrawn {
		l.refusedAt[refusal{l.instanceOf[from], to}] = time.Now()
	}
	if flowEndpoint, open := l.flowEndpoint[from]; open && !l.stopped[flowEndpoint] {
		l.recordViolationLocked("open flow from %v on %s was reset", from, flowEndpoint)
	}
}

// ran counts a run of a request.
func (l *Checker) requestRan(r *request, endpoint, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id]++
	if r.kind == Report && l.runs[r.id] > 1 {
		l.recordViolationLocked("report %x ran %d times, last on %s", r.id, l.runs[r.id], endpoint)
	}
}

// hasRun reports whether a request was run.
func (l *Checker) hasRun(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}
