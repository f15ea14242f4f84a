package discovery

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// ApplyEvacuations makes the cache keep evacuations and apply them to new flows. It must be
// called before the first update.
func (c *Cache) ApplyEvacuations() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appliesEvacuations = true
}

// applyEvacuations closes and opens the data centres for new flows as the catalog says, and
// returns the evacuations that came into force or ended. The caller holds mu.
func (c *Cache) applyEvacuations() []directory.Evacuation {
	inForce := make(map[string]bool)
	var changed []directory.Evacuation
	for _, e := range c.catalog.Evacuations() {
		if e.InForce {
			inForce[e.DataCentre] = true
		}
		if e.InForce != c.evacuated[e.DataCentre] {
			changed = append(changed, e)
		}
	}
	if len(changed) == 0 && len(inForce) == len(c.evacuated) {
		return nil
	}
	c.evacuated = inForce
	for _, p := range c.pools {
		p.SetEvacuated(inForce)
	}
	return changed
}

// Evacuations returns the evacuations in force, sorted by data centre, and the revision of
// the last change of any evacuation, zero if there was none.
func (c *Cache) Evacuations() (inForce []directory.Evacuation, changedAt common.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.catalog.Evacuations()
	for _, e := range all {
		if e.Revision.After(changedAt) {
			changedAt = e.Revision
		}
	}
	return slices.DeleteFunc(all, func(e directory.Evacuation) bool { return !e.InForce }), changedAt
}

func evacuationToWire(e *directory.Evacuation) *syncpb.Evacuation {
	return &syncpb.Evacuation{DataCentre: e.DataCentre, InForce: e.InForce, Revision: e.Revision.Number, Era: e.Revision.Era}
}

func evacuationFromWire(wire *syncpb.Evacuation) directory.Evacuation {
	return directory.Evacuation{
		DataCentre: wire.DataCentre, InForce: wire.InForce, Revision: common.Revision{Era: wire.Era, Number: wire.Revision},
	}
}
