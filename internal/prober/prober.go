// Package prober checks the health of endpoints that do not answer callers, until
// one check passes. Endpoints that answer are never checked: a check takes one of
// their slots.
package prober

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

// Checker asks an endpoint for its health.
type Checker interface {
	// Check returns nil when the endpoint of that name answers at the address and
	// says that it is healthy.
	Check(ctx context.Context, address netip.AddrPort, path, name string) error
}

// Directory gives what checks need beyond the endpoint.
type Directory interface {
	// HealthPath returns the path of the checks of a service, empty for none.
	HealthPath(service string) string
	// Now returns the time of the decisions.
	Now() time.Duration
}

const (
	// checkTimeout bounds one check.
	checkTimeout = 300 * time.Millisecond
	// firstInterval and maxInterval bound the time between checks of an endpoint.
	firstInterval = 250 * time.Millisecond
	maxInterval   = time.Second
	// checksBeforeTrial is the number of failed checks after which a flow is tried
	// anyway, because an endpoint can say that it is ill and serve.
	checksBeforeTrial = 6
	// maxChecked bounds the endpoints that are checked at once.
	maxChecked = 64
)

// Prober checks endpoints.
type Prober struct {
	checker   Checker
	directory Directory
	logger    *zap.Logger
	checks    *prometheus.CounterVec

	mu      sync.Mutex
	checked map[*selection.Member]bool
	ctx     context.Context
}

// New returns a prober whose checks end with the context.
func New(ctx context.Context, checker Checker, directory Directory, logger *zap.Logger, registry prometheus.Registerer) *Prober {
	p := &Prober{
		checker: checker, directory: directory, logger: logger,
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_health_checks_total", Help: "Health checks of endpoints by result (ok, failed).",
		}, []string{"result"}),
		checked: make(map[*selection.Member]bool),
		ctx:     ctx,
	}
	registry.MustRegister(p.checks)
	return p
}

// Suspect begins to check an endpoint. It does not block.
func (p *Prober) Suspect(m *selection.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checked[m] || len(p.checked) >= maxChecked {
		return
	}
	p.checked[m] = true
	go p.check(m)
}

func (p *Prober) check(m *selection.Member) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.checked, m)
	}()
	status := m.Status(p.directory.Now())
	p.logger.Info("endpoint_suspect", zap.String("endpoint", status.Endpoint.Name),
		zap.String("service", status.Endpoint.Service), zap.String("data_centre", status.Endpoint.DataCentre))
	interval := firstInterval
	for checks := 1; ; checks++ {
		status = m.Status(p.directory.Now())
		if !status.Listed || status.Endpoint.Draining || status.Condition != selection.Suspect {
			break
		}
		err := p.once(&status)
		if err == nil || checks%checksBeforeTrial == 0 {
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

func (p *Prober) once(status *selection.Status) error {
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
