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
	allowed   map[end]map[string]bool
	withdrawn map[end]time.Time
	granted   map[end]time.Time
	// draining holds when an endpoint's drain was acknowledged.
	draining map[string]time.Time
	// holder is the endpoint of an open flow.
	holder map[end]string
	runs   map[uint64]int
	gone   map[string]bool
	// bound is how long a change may take.
	bound time.Duration

	// through is the instance that got the first packet of a flow, troubled when an
	// instance was last in trouble, refused when one refused a withdrawn destination.
	through  map[end]string
	troubled map[string]time.Time
	refused  map[refusal]time.Time
}

// refusal is a destination that an instance has refused.
type refusal struct {
	entry string
	to    end
}

// NewChecker returns a ledger for changes that take effect within a bound.
func NewChecker(bound time.Duration) *Checker {
	return &Checker{
		started: time.Now(), allowed: map[end]map[string]bool{}, withdrawn: map[end]time.Time{}, granted: map[end]time.Time{},
		draining: map[string]time.Time{}, holder: map[end]string{}, runs: map[uint64]int{}, gone: map[string]bool{},
		bound: bound, through: map[end]string{}, troubled: map[string]time.Time{}, refused: map[refusal]time.Time{},
	}
}

// stability is how long an instance must have been without trouble before bounds hold
// for it.
const stability = 4 * time.Second

// SuspendBounds notes that an instance is in trouble until a time. With restarted it has
// lost what it knew.
func (l *Checker) SuspendBounds(entry string, until time.Time, restarted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.After(l.troubled[entry]) {
		l.troubled[entry] = until
	}
	if restarted {
		for r := range l.refused {
			if r.entry == entry {
				delete(l.refused, r)
			}
		}
	}
}

// calm reports whether the instance that got a flow's first packet is held to the
// bounds.
func (l *Checker) calm(from end) bool {
	return time.Since(l.troubled[l.through[from]]) > stability
}

// sentThrough notes which instance gets the first packet of a flow.
func (l *Checker) sentThrough(from end, entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.through[from] = entry
}

// RecordError notes something that stops the run from being judged.
func (l *Checker) RecordError(format string, args ...any) { l.violate(format, args...) }

func (l *Checker) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *Checker) violateLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.started).Seconds())+fmt.Sprintf(format, args...))
}

// Violations returns the broken promises.
func (l *Checker) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.violations...)
}

// allow notes that a configuration sends a destination to a service.
func (l *Checker) allow(to end, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed[to] == nil {
		l.allowed[to] = map[string]bool{}
		l.granted[to] = time.Now()
	}
	l.allowed[to][service] = true
	if _, taken := l.withdrawn[to]; taken {
		delete(l.withdrawn, to)
		l.granted[to] = time.Now()
		for r := range l.refused {
			if r.to == to {
				delete(l.refused, r)
			}
		}
	}
}

// withdraw notes that a configuration without a destination was acknowledged.
func (l *Checker) withdraw(to end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[to] = time.Now()
}

// EndpointDraining notes that an endpoint's drain is acknowledged.
func (l *Checker) EndpointDraining(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining[endpoint] = time.Now()
}

// EndpointStopped notes that an endpoint has ended.
func (l *Checker) EndpointStopped(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone[endpoint] = true
	for from, holder := range l.holder {
		if holder == endpoint {
			delete(l.holder, from)
		}
	}
}

// firstPacket checks the first packet of a flow at an endpoint.
func (l *Checker) firstPacket(endpoint, service string, p *packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.allowed[p.to][service] {
		l.violateLocked("flow to %v opened at %s, an endpoint of %s", p.to, endpoint, service)
	}
	since, taken := l.withdrawn[p.to]
	if taken && now.Sub(since) > l.bound && l.calm(p.from) {
		l.violateLocked("flow to %v opened at %s, %v after its rule was withdrawn, through %s",
			p.to, endpoint, now.Sub(since), l.through[p.from])
	}
	if at, once := l.refused[refusal{l.through[p.from], p.to}]; taken && once && now.Sub(at) > backSlack {
		l.violateLocked("flow to %v opened at %s through %s, which had refused it %v before", p.to, endpoint,
			l.through[p.from], now.Sub(at))
	}
	if since, leaving := l.draining[endpoint]; leaving && now.Sub(since) > l.bound && l.calm(p.from) {
		l.violateLocked("flow opened at %s, %v after it began to drain", endpoint, now.Sub(since))
	}
}

// unknownFlow checks a packet of a flow that the endpoint does not hold.
func (l *Checker) unknownFlow(endpoint string, p *packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder, open := l.holder[p.from]; open && holder != endpoint && !l.gone[holder] {
		l.violateLocked("packet of the flow from %v on %s reached %s", p.from, holder, endpoint)
	}
}

func (l *Checker) flowOpened(from, _ end, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder[from] = endpoint
}

func (l *Checker) flowEnded(from end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.holder, from)
}

// backSlack is the time in which packets of a flow may still be under way.
const backSlack = time.Second

// resetBySystem checks a reset that the system under test sent.
func (l *Checker) resetBySystem(from, to end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, taken := l.withdrawn[to]; taken {
		l.refused[refusal{l.through[from], to}] = time.Now()
	}
	if holder, open := l.holder[from]; open && !l.gone[holder] {
		l.violateLocked("open flow from %v on %s was reset", from, holder)
	}
}

// ran counts a run of a request.
func (l *Checker) ran(r *request, endpoint, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id]++
	if r.kind == Report && l.runs[r.id] > 1 {
		l.violateLocked("report %x ran %d times, last on %s", r.id, l.runs[r.id], endpoint)
	}
}

// hasRun reports whether a request was run.
func (l *Checker) hasRun(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}
