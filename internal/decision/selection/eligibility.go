package selection

import "time"

// Exclusion is the reason why an endpoint gets no new flows.
type Exclusion uint8

// The reasons. An endpoint that is not excluded may still be the last choice, for example
// because it is suspect.
const (
	NotExcluded Exclusion = iota
	// Unlisted: the store no longer lists the endpoint.
	Unlisted
	// Draining: the endpoint announced that it will stop.
	Draining
	// Evacuated: the operator has closed the endpoint's data centre for new flows.
	Evacuated
	// WarmingUp: the endpoint warms up and this instance may not send it another flow now.
	WarmingUp
	// NoLabel: the view in use has no label for the endpoint. Only Explain returns it.
	NoLabel
)

// String returns the name used in logs.
func (e Exclusion) String() string {
	switch e {
	case Unlisted:
		return "unlisted"
	case Draining:
		return "draining"
	case Evacuated:
		return "evacuated"
	case WarmingUp:
		return "warming_up"
	case NoLabel:
		return "no_label"
	default:
		return "none"
	}
}

// TakesCopies reports whether an endpoint gets further copies of the first packet of a flow
// for which it was chosen before. For an endpoint that warms up these are not new flows.
func (e Exclusion) TakesCopies() bool { return e == NotExcluded || e == WarmingUp }

// exclusion returns why the endpoint gets no new flows, apart from the limit of its warm-up.
// The caller holds the pool's lock.
func (m *Member) exclusion() Exclusion {
	switch {
	case !m.listed:
		return Unlisted
	case m.endpoint.Draining:
		return Draining
	case m.pool.evacuated[m.endpoint.DataCentre]:
		return Evacuated
	default:
		return NotExcluded
	}
}

// exclusionAt returns why the endpoint gets no new flow now. The caller holds the pool's lock.
func (m *Member) exclusionAt(now time.Duration) Exclusion {
	if exclusion := m.exclusion(); exclusion != NotExcluded {
		return exclusion
	}
	if m.pool.limitsWarmUp(m, now) && !m.hasShare(now) {
		return WarmingUp
	}
	return NotExcluded
}

// SetEvacuated sets the data centres whose endpoints get no new flows. The pool does not
// modify the map and the caller must not modify it afterwards.
func (p *Pool) SetEvacuated(dataCentres map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = dataCentres
	p.updateDistances()
}

// Available returns the number of endpoints that accept new flows.
func (p *Pool) Available() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	available := 0
	for _, m := range p.members {
		if m.exclusion() == NotExcluded {
			available++
		}
	}
	return available
}
