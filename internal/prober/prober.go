// Package prober checks the health of suspect endpoints, which do not respond to
// callers, until one check passes. Other endpoints are never checked, because a check
// occupies one of their slots.
package prober

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

// Checker performs health checks.
type Checker interface {
	// Check returns nil if the named endpoint responds at the address and is healthy.
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

	mu     sync.Mutex
	probed map[*selection.Member]bool
	// waiting holds the suspect endpoints to be checked once fewer than maxProbed are
	// being checked, oldest first.
	waiting []*selection.Member
	ctx     context.Context
}

// New returns a prober whose checks end with the context, and registers its metrics.
func New(ctx context.Context, checker Checker, directory Directory, logger *zap.Logger, registry prometheus.Registerer) *Prober {
	p := &Prober{
		checker: checker, directory: directory, logger: logger,
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_health_checks_total", Help: "Health checks of endpoints by result (ok, failed).",
		}, []string{"result"}),
		probed: make(map[*selection.Member]bool),
		ctx:    ctx,
	}
	registry.MustRegister(p.checks)
	return p
}

// Probe starts checking a suspect endpoint unless it is being checked already. If
// maxProbed endpoints are being checked, it waits for one of them to finish. Probe does
// not block.
func (p *Prober) Probe(m *selection.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
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
	go p.run(m)
}

// finish ends the checks of an endpoint and starts those of the next one that waits. An
// endpoint that was listed again after its last check is checked again, because Probe has
// ignored it until now.
func (p *Prober) finish(m *selection.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if status := m.Status(p.directory.Now()); p.ctx.Err() == nil && needsChecks(&status) {
		p.start(m)
		return
	}
	delete(p.probed, m)
	if len(p.waiting) == 0 {
		return
	}
	next := p.waiting[0]
	p.waiting = p.waiting[1:]
	p.start(next)
}

func (p *Prober) run(m *selection.Member) {
	defer p.finish(m)
	status := m.Status(p.directory.Now())
	p.logger.Info("endpoint_suspect", zap.String("endpoint", status.Endpoint.Name),
		zap.String("service", status.Endpoint.Service), zap.String("data_centre", status.Endpoint.DataCentre))
	interval := initialInterval
	for checks := 1; ; checks++ {
		status = m.Status(p.directory.Now())
		if !needsChecks(&status) {
			break
		}
		err := p.checkOnce(&status)
		if err == nil || checks%checksBeforeProbation == 0 {
			p.logger.Info("endpoint_on_probation", zap.String("endpoint", status.Endpoint.Name),
				zap.Int("checks", checks), zap.NamedError("check", err))
			m.HealthChecked(p.directory.Now(), true)
			return
		}
		select {
		case <-p.ctx.Done():
			return
		case <-time.After(interval):
		}
		interval = min(2*interval, maxInterval)
	}
	p.logger.Info("endpoint_checks_ended", zap.String("endpoint", status.Endpoint.Name), zap.Bool("listed", status.Listed),
		zap.Stringer("condition", status.Condition))
}

func needsChecks(status *selection.Status) bool {
	return status.Listed && !status.Endpoint.Draining && status.Condition == selection.Suspect
}

func (p *Prober) checkOnce(status *selection.Status) error {
	path := p.directory.HealthPath(status.Endpoint.Service)
	if path == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(p.ctx, checkTimeout)
	defer cancel()
	err := p.checker.Check(ctx, status.Endpoint.Address, path, status.Endpoint.Name)
	if err != nil {
		p.checks.WithLabelValues("failed").Inc()
		return err
	}
	p.checks.WithLabelValues("ok").Inc()
	return nil
}
