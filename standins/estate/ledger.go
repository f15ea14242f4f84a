package estate

import (
	"fmt"
	"sync"
	"time"
)

// Ledger holds what callers and endpoints have seen, and checks the promises.
type Ledger struct {
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
	// bound is how long a change may take, slack what is added for this machine.
	bound time.Duration
}

// NewLedger returns a ledger for changes that take effect within a bound.
func NewLedger(bound time.Duration) *Ledger {
	return &Ledger{
		started: time.Now(), allowed: map[end]map[string]bool{}, withdrawn: map[end]time.Time{}, granted: map[end]time.Time{},
		draining: map[string]time.Time{}, holder: map[end]string{}, runs: map[uint64]int{}, gone: map[string]bool{},
		bound: bound,
	}
}

func (l *Ledger) violate(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violateLocked(format, args...)
}

func (l *Ledger) violateLocked(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf("%.3f s: ", time.Since(l.started).Seconds())+fmt.Sprintf(format, args...))
}

// Violations returns the broken promises.
func (l *Ledger) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string{}, l.violations...)
}

// allow notes that a configuration sends a destination to a service.
func (l *Ledger) allow(to end, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allowed[to] == nil {
		l.allowed[to] = map[string]bool{}
		l.granted[to] = time.Now()
	}
	l.allowed[to][service] = true
	delete(l.withdrawn, to)
}

// withdraw notes that a configuration without a destination was acknowledged.
func (l *Ledger) withdraw(to end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.withdrawn[to] = time.Now()
}

// Draining notes that an endpoint's drain is acknowledged.
func (l *Ledger) Draining(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining[endpoint] = time.Now()
}

// Gone notes that an endpoint has ended.
func (l *Ledger) Gone(endpoint string) {
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
func (l *Ledger) firstPacket(endpoint, service string, p *packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.allowed[p.to][service] {
		l.violateLocked("flow to %v opened at %s, an endpoint of %s", p.to, endpoint, service)
	}
	if since, taken := l.withdrawn[p.to]; taken && now.Sub(since) > l.bound {
		l.violateLocked("flow to %v opened at %s, %v after its rule was withdrawn", p.to, endpoint, now.Sub(since))
	}
	if since, leaving := l.draining[endpoint]; leaving && now.Sub(since) > l.bound {
		l.violateLocked("flow opened at %s, %v after it began to drain", endpoint, now.Sub(since))
	}
}

// unknownFlow checks a packet of a flow that the endpoint does not hold.
func (l *Ledger) unknownFlow(endpoint string, p *packet) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder, open := l.holder[p.from]; open && holder != endpoint && !l.gone[holder] {
		l.violateLocked("packet of the flow from %v on %s reached %s", p.from, holder, endpoint)
	}
}

func (l *Ledger) flowOpened(from, _ end, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder[from] = endpoint
}

func (l *Ledger) flowEnded(from end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.holder, from)
}

// resetBySystem checks a reset that the system under test sent.
func (l *Ledger) resetBySystem(from end) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder, open := l.holder[from]; open && !l.gone[holder] {
		l.violateLocked("open flow from %v on %s was reset", from, holder)
	}
}

// ran counts a run of a request.
func (l *Ledger) ran(r *request, endpoint, _ string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.id]++
	if r.kind == Report && l.runs[r.id] > 1 {
		l.violateLocked("report %x ran %d times, last on %s", r.id, l.runs[r.id], endpoint)
	}
}

// hasRun reports whether a request was run.
func (l *Ledger) hasRun(id uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id] > 0
}
