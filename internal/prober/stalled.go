package prober

import (
	"context"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

// ConfirmStalled checks an endpoint that accepts requests and answers none, until a check
// fails or enough have passed. It passes the start and the result of each check to checked. A
// check passes if the endpoint answers soon after connecting. ConfirmStalled does not block. It
// does nothing while maxProbed endpoints are being checked in this way.
func (p *Prober) ConfirmStalled(m *selection.Member, checked func(m *selection.Member, startedAt time.Duration, passed bool)) {
	status := m.Status(p.directory.Now())
	path := p.directory.HealthPath(status.Endpoint.Service)
	if path == "" {
		return
	}
	// Connecting takes about as long as the handshake of a flow.
	limit := silence.MaxStallCheckTime + m.Pool().MeanHandshake()
	if p.stallChecks.Add(1) > maxProbed {
		p.stallChecks.Add(-1)
		return
	}
	go func() {
		defer p.stallChecks.Add(-1)
		for range silence.MinPassedChecks {
			startedAt := p.directory.Now()
			passed := p.answersWithin(limit, &status, path)
			if p.ctx.Err() != nil {
				return
			}
			checked(m, startedAt, passed)
			if !passed {
				return
			}
		}
	}()
}

// answersWithin performs a health check and reports whether it passes in time.
func (p *Prober) answersWithin(limit time.Duration, status *selection.Status, path string) bool {
	ctx, cancel := context.WithTimeout(p.ctx, limit)
	defer cancel()
	return p.checkOnce(ctx, status, path) == nil && ctx.Err() == nil
}
