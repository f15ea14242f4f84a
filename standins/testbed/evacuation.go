package testbed

import (
	"encoding/json"
	"time"
)

// evacuationKind is the kind of the objects that close data centres for new flows.
const evacuationKind = "evacuations"

// Evacuate closes a data centre for new flows.
func (o *Operator) Evacuate(dataCentre string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated[dataCentre] = true
	o.store.Put(evacuationKind, dataCentre, json.RawMessage(`{}`))
	o.checker.evacuated(dataCentre)
}

// EndEvacuation opens a data centre for new flows again.
func (o *Operator) EndEvacuation(dataCentre string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated[dataCentre] = false
	// Flows may be opened there before Remove returns.
	o.checker.evacuationEnded(dataCentre)
	o.store.Remove(evacuationKind, dataCentre)
}

// Evacuated reports whether the operator has closed a data centre.
func (o *Operator) Evacuated(dataCentre string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.evacuated[dataCentre]
}

// rewriteEvacuations writes the evacuations in force to a restored store. It also writes and
// deletes those that have ended: a copy may have brought one back, and if a later copy lacks
// it, instances would keep it for a grace period. The caller holds mu.
func (o *Operator) rewriteEvacuations() {
	for dataCentre, inForce := range o.evacuated {
		o.store.Put(evacuationKind, dataCentre, json.RawMessage(`{}`))
		if !inForce {
			o.store.Remove(evacuationKind, dataCentre)
		}
	}
}

// evacuated records that the store has accepted the evacuation of a data centre.
func (c *Checker) evacuated(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, already := c.evacuatedSince[dataCentre]; !already {
		c.evacuatedSince[dataCentre] = time.Now()
	}
}

func (c *Checker) evacuationEnded(dataCentre string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedSince, dataCentre)
}

// firstPacketIn checks that the first packet of a flow does not arrive in a data centre
// later than applyDeadline after the store has accepted its evacuation.
func (c *Checker) firstPacketIn(dataCentre, endpoint string, p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, evacuated := c.evacuatedSince[dataCentre]
	if elapsed := time.Since(since); evacuated && elapsed > c.applyDeadline && c.isStable(p.from) {
		c.recordViolationLocked("flow opened at %s in %s, %v after its evacuation, through %s", endpoint, dataCentre, elapsed, c.instanceOf[p.from])
	}
}
