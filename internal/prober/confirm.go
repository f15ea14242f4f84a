package prober

import (
	"context"
	"errors"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
)

// confirmSpacing is the time between the starts of the checks of an endpoint whose packets
// are repeated, or that another instance has found silent.
const confirmSpacing = 50 * time.Millisecond

// maxCheckLag is the maximum time between the timeout of a check and its end. A check that
// ends later is no evidence: the process did not run, and the answer may have arrived in time.
const maxCheckLag = 50 * time.Millisecond

// UnreachableError is the error of a health check that found no connection, because it was
// refused or not accepted in time. After any other error the endpoint is not unreachable.
type UnreachableError struct{ Err error }

// Error returns the message of the wrapped error.
func (e *UnreachableError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UnreachableError) Unwrap() error { return e.Err }

// ReplacedError is the error of a health check that another endpoint answered: the address
// belongs to it now, so the endpoint that was checked has ended.
type ReplacedError struct{ Err error }

// Error returns the message of the wrapped error.
func (e *ReplacedError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ReplacedError) Unwrap() error { return e.Err }

// UnknownError is the error of a health check that shows nothing about the endpoint, because
// it failed on the instance itself.
type UnknownError struct{ Err error }

// Error returns the message of the wrapped error.
func (e *UnknownError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *UnknownError) Unwrap() error { return e.Err }

// record records the result of a health check that started at startedAt as evidence of
// whether the endpoint has fallen silent.
func (p *Prober) record(m *selection.Member, startedAt time.Duration, err error) {
	var unreachable *UnreachableError
	var replaced *ReplacedError
	var unknown *UnknownError
	switch {
	case p.ctx.Err() != nil || errors.As(err, &unknown):
	case errors.As(err, &unreachable):
		m.CheckUnreachable(startedAt)
	case errors.As(err, &replaced):
		m.CheckReplaced(startedAt)
	default:
		m.CheckConnected(p.directory.Now(), startedAt)
	}
}

// check performs one check of an endpoint and records its result.
func (p *Prober) check(ctx context.Context, m *selection.Member, status *selection.Status) error {
	path := p.directory.HealthPath(status.Endpoint.Service)
	if path == "" {
		return nil
	}
	startedAt := p.directory.Now()
	err := p.checkOnce(ctx, status, path)
	if ctx.Err() == nil && p.directory.Now()-startedAt <= checkTimeout+maxCheckLag {
		p.record(m, startedAt, err)
	}
	return err
}

// confirm checks an endpoint whose packets are repeated, several times in short succession,
// until one of the checks connects. It returns when all checks have ended.
func (p *Prober) confirm(m *selection.Member, status *selection.Status) {
	ctx, cancel := context.WithCancel(p.ctx)
	defer cancel()
	var checks sync.WaitGroup
	check := func() {
		var unreachable *UnreachableError
		if err := p.check(ctx, m, status); !errors.As(err, &unreachable) {
			cancel()
		}
	}
	for n := range m.ChecksNeeded() {
		if n > 0 && !p.pause(ctx, confirmSpacing) {
			break
		}
		checks.Go(check)
	}
	if ctx.Err() == nil && p.checkReference(m) {
		checks.Go(check)
	}
	checks.Wait()
	// The endpoint that was checked first may have gone as well.
	p.checkReference(m)
	p.reportEvidence(m)
}

// checkReference checks another endpoint of the data centre of a questioned one, if one is
// known and needed. It reports whether the data centre was reached.
func (p *Prober) checkReference(m *selection.Member) bool {
	reference := m.Reference(p.directory.Now())
	if reference == nil {
		return false
	}
	status := reference.Status(p.directory.Now())
	_ = p.check(p.ctx, reference, &status)
	return m.DataCentreReached(p.directory.Now())
}

// reportEvidence calls onEvidence. If the data centre of the endpoint was reached only after
// the endpoint's last check, it checks the endpoint once more and calls onEvidence again.
func (p *Prober) reportEvidence(m *selection.Member) {
	if p.onEvidence == nil {
		return
	}
	p.onEvidence()
	if now := p.directory.Now(); m.NeedsLastCheck(now) {
		status := m.Status(now)
		_ = p.check(p.ctx, m, &status)
		p.onEvidence()
	}
}

// pause waits for a time and reports whether the context has not ended.
func (p *Prober) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
