package selection

import "time"

// AdmitOverflow reports whether a flow may begin that another target of its rule refused. A
// pool takes such flows only while it has no limit of its own requests in flight. level is
// as in Admit.
func (p *Pool) AdmitOverflow(now time.Duration, level int) bool {
	return !p.limitsInFlight() && p.Admit(now, level)
}

// limitsInFlight reports whether the requests in flight are limited.
func (p *Pool) limitsInFlight() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Limit() > 0
}
