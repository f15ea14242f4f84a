// Package flowkind learns from traffic whether the flows of a rule carry one request or
// many. It reads no clock.
package flowkind

import "sync"

const (
	// weight is the weight of a new flow in the moving average.
	weight = 0.1
	// longShare is the share of flows with further requests from which on the flows of a
	// rule count as long, shortShare the share below which they no longer do.
	longShare  = 0.5
	shortShare = 0.3
	// minFlows is the number of flows from which on a rule's flows may count as short.
	minFlows = 10
)

// Estimate is the estimate for one rule. The zero value is that of a rule without traffic,
// whose flows count neither as long nor as short. It is safe for concurrent use.
type Estimate struct {
	mu sync.Mutex
	// furtherShare is the moving average of the share of flows with a second request.
	furtherShare float64
	long         bool
	// flows counts the flows up to minFlows.
	flows int
}

// SecondRequest records that a flow carries a second request.
func (e *Estimate) SecondRequest() { e.add(1) }

// SingleRequest records that a flow ended after one request.
func (e *Estimate) SingleRequest() { e.add(0) }

// add updates the moving average. outcome is 1 for a flow with a second request, else 0.
func (e *Estimate) add(outcome float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flows = min(e.flows+1, minFlows)
	e.furtherShare += weight * (outcome - e.furtherShare)
	switch {
	case e.furtherShare >= longShare:
		e.long = true
	case e.furtherShare < shortShare:
		e.long = false
	}
}

// Long reports whether a new flow will probably carry more than one request.
func (e *Estimate) Long() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.long
}

// Short reports whether a new flow will probably carry a single request.
func (e *Estimate) Short() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.long && e.flows == minFlows
}
