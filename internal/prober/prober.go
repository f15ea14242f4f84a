// Package prober checks the health of suspect endpoints, which do not respond to
// callers, until one check passes, and of endpoints that may have fallen silent or
// stalled. Other endpoints are never checked, because a check occupies one of their slots,
// except for one that shows whether the data centre of a silent endpoint can be reached.
package prober

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

// Checker performs health checks.
type Checker interface {
	// Check returns nil if the named endpoint responds at the address and is healthy, an
	// UnreachableError if there was no connection, an UnknownError if the check itself
	// failed, and another error if the endpoint connected without a good response in time.
	Check(ctx context.Context, address netip.AddrPort, path, name string) error
}

// Directory provides the health paths of services and the clock.
type Directory interface {
	// HealthPath returns the HTTP path of the health checks of a service, empty if it
	// has none.
	HealthPath(service string) string
	// Now returns the current time on the clock used for decisions.
	Now() time.Duration
}

const (
	// checkTimeout limits the duration of one check.
	checkTimeout = 300 * time.Millisecond
	// initialInterval and maxInterval limit the time between checks of an endpoint,
	// which doubles after each check.
	initialInterval = 250 * time.Millisecond
	maxInterval     = time.Second
	// checksBeforeProbation is the number of failed checks after which an endpoint gets
	// a flow anyway, because an endpoint can fail its health checks and still serve.
	checksBeforeProbation = 6
	// maxProbed limits the number of endpoints that are checked concurrently.
	maxProbed = 64
)

// Prober checks the health of suspect endpoints. Its methods are safe for concurrent
// use.
type Prober struct {
	checker   Checker
	directory Directory
	logger    *zap.Logger
	checks    *prometheus.CounterVec
	// onEvidence is called after checks of an endpoint that may have fallen silent.
	onEvidence func()

	mu     sync.Mutex
	probed map[*selection.Member]bool
	// wakes holds a channel for each endpoint that is being checked. A value is sent on it
	// when Probe is called for the endpoint while it is questioned, which ends the wait for
	// the next check.
	wakes map[*selection.Member]chan struct{}
	// waiting holds the suspect endpoints to be checked once fewer than maxProbed are
	// being checked, oldest first.
	waiting []*selection.Member
	// stallChecks counts the endpoints that ConfirmStalled is checking.
	stallChecks atomic.Int32
	ctx         context.Context
}

// New returns a prober whose checks end with the context, and registers its metrics.
func New(ctx context.Context, checker Checker, directory Directory, logger *zap.Logger, registry prometheus.Registerer) *Prober {
	p := &Prober{
		checker: checker, directory: directory, logger: logger,
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_health_checks_total", Help: "Health checks of endpoints by result (ok, failed).",
		}, []string{"result"}),
		probed: make(map[*selection.Member]bool),
		wakes:  make(map[*selection.Member]chan struct{}),
		ctx:    ctx,
	}
	registry.MustRegister(p.checks)
	return p
}

// OnEvidence sets the function that is called after checks of an endpoint that may have
// fallen silent. It must be called before Probe.
func (p *Prober) OnEvidence(call func()) { p.onEvidence = call }

// Probe starts checking an endpoint that is suspect or may have fallen silent, unless it is
// being checked already. If maxProbed endpoints are being checked, it waits for one of them
// to finish. Probe does not block.
func (p *Prober) Probe(m *selection.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wake := p.wakes[m]; wake != nil && m.Status(p.directory.Now()).Questioned {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	switch {
	case p.probed[m] || slices.Contains(p.waiting, m):
	case len(p.probed) >= maxProbed:
		p.waiting = append(p.waiting, m)
	default:
		p.start(m)
	}
}

// start starts checking an endpoint. The caller holds mu.
func (p *Prober) start(m *selection.Member) {
	p.probed[m] = true
	p.wakes[m] = make(chan struct{}, 1)
	go p.run(m, p.wakes[m])
}

// finish ends the checks of an endpoint and starts those of the next one that waits. An
// endpoint that was listed again after its last check is checked again, because Probe has
// ignored it until now.
func (p *Prober) finish(m *selection.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status := m.Status(p.directory.Now()); p.ctx.Err() == nil && isSuspect(&status) {
		p.start(m)
		return
	}
	delete(p.probed, m)
	delete(p.wakes, m)
	if len(p.waiting) == 0 {
		return
	}
	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.start(next)
}

func (p *Prober) run(m *selection.Member, wake <-chan struct{}) {
	defer p.finish(m)
	status := m.Status(p.directory.Now())
	// An endpoint that is not questioned was suspect when it was passed to Probe.
	suspect := isSuspect(&status) || !status.Questioned
	if suspect {
		p.logger.Info("endpoint_suspect", zap.String("endpoint", status.Endpoint.Name),
			zap.String("service", status.Endpoint.Service), zap.String("data_centre", status.Endpoint.DataCentre))
	}
	interval := initialInterval
	confirmed := false
	for checks := 1; needsChecks(&status); checks++ {
		if status.Questioned && !confirmed {
			p.confirm(m, &status)
		} else if p.checkAgain(m, &status, checks) {
			return
		}
		confirmed = status.Questioned
		if !p.wait(interval, wake, confirmed) {
			return
		}
		interval = min(2*interval, maxInterval)
		status = m.Status(p.directory.Now())
	}
	if !suspect && status.Condition < selection.Suspect {
		return
	}
	p.logger.Info("endpoint_checks_ended", zap.String("endpoint", status.Endpoint.Name), zap.Bool("listed", status.Listed),
		zap.Stringer("condition", status.Condition))
}

// wait waits for the next check. An endpoint that is questioned meanwhile is checked at
// once, unless its checks in short succession have already been done. It reports whether
// the prober still runs.
func (p *Prober) wait(interval time.Duration, wake <-chan struct{}, confirmed bool) bool {
	if confirmed {
		wake = nil
	}
	select {
	case <-p.ctx.Done():
		return false
	case <-wake:
	case <-time.After(interval):
	}
	return true
}

// checkAgain performs one check, the number of which counts from 1, and reports whether it is
// the last one because the endpoint is on probation.
func (p *Prober) checkAgain(m *selection.Member, status *selection.Status, number int) bool {
	err := p.check(p.ctx, m, status)
	if status.Questioned {
		p.checkReference(m)
		p.reportEvidence(m)
	}
	failed := err != nil && number%checksBeforeProbation != 0
	if failed || status.Condition < selection.Suspect || m.Silent() {
		return false
	}
	p.logger.Info("endpoint_on_probation", zap.String("endpoint", status.Endpoint.Name),
		zap.Int("checks", number), zap.NamedError("check", err))
	m.HealthChecked(p.directory.Now(), true)
	return true
}

// isSuspect reports whether an endpoint does not respond to callers. A draining one gets no
// new flows, so that its checks matter only if it was found silent.
func isSuspect(status *selection.Status) bool {
	suspect := !status.Endpoint.Draining && status.Condition == selection.Suspect
	return status.Listed && (suspect || status.Condition == selection.Silent)
}

// needsChecks reports whether an endpoint is suspect or may have fallen silent.
func needsChecks(status *selection.Status) bool {
	return isSuspect(status) || status.Questioned && status.Condition != selection.Silent
}

func (p *Prober) checkOnce(ctx context.Context, status *selection.Status, path string) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := p.checker.Check(ctx, status.Endpoint.Address, path, status.Endpoint.Name)
	if err != nil {
		p.checks.WithLabelValues("failed").Inc()
		return err
	}
	p.checks.WithLabelValues("ok").Inc()
	return nil
}
