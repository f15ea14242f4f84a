package directory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Evacuation is the last known state of the evacuation of one data centre.
type Evacuation struct {
	DataCentre string
	// InForce is set while the store lists the evacuation: the endpoints of the data centre
	// get no new flows.
	InForce bool
	// Revision is the store revision of the last change.
	Revision common.Revision
}

// maxEvacuations is the number of records above which a catalog removes those of ended
// evacuations. An evacuation in force is never removed, because its data centre would get
// new flows again.
const maxEvacuations = 256

// evacuations holds the last known evacuation of each data centre.
type evacuations map[string]Evacuation

// Evacuations returns the last known evacuation of each data centre, sorted by name.
func (c *Catalog) Evacuations() []Evacuation {
	return slices.SortedFunc(maps.Values(c.evacuations), func(a, b Evacuation) int {
		return strings.Compare(a.DataCentre, b.DataCentre)
	})
}

// mergeEvacuations merges the evacuations of an update before its revision is applied, and
// reports whether the content has changed.
func (c *Catalog) mergeEvacuations(u *Update, now time.Duration) bool {
	changed := false
	listed := make(map[string]bool, len(u.Evacuations))
	for _, incoming := range u.Evacuations {
		// A peer also sends evacuations that the restored store does not list.
		listed[incoming.DataCentre] = incoming.InForce && incoming.Revision.Era >= u.CompleteAt.Era
		changed = c.mergeEvacuation(incoming, now) || changed
	}
	if u.Full && u.CompleteAt.Era >= c.completeAt.Era {
		changed = c.endUnlistedEvacuations(listed, u.CompleteAt, now) || changed
	}
	c.removeEndedEvacuations()
	return changed
}

func (c *Catalog) mergeEvacuation(incoming Evacuation, now time.Duration) bool {
	existing, known := c.evacuations[incoming.DataCentre]
	at := incoming.Revision
	switch {
	case incoming.DataCentre == "" || known && !at.After(existing.Revision):
		return false
	case at.Era == c.completeAt.Era && !at.After(c.completeAt):
		// The catalog has all changes up to its revision, so this one has ended since.
		return false
	case at.Era < c.completeAt.Era && !c.inRestoreGrace(now):
		return false
	}
	c.evacuations[incoming.DataCentre] = incoming
	return true
}

// endUnlistedEvacuations ends the evacuations that a snapshot at a revision does not list,
// except for those that a restore of the store may have lost.
func (c *Catalog) endUnlistedEvacuations(listed map[string]bool, at common.Revision, now time.Duration) bool {
	changed := false
	for name, e := range c.evacuations {
		mayBeLost := e.Revision.Era < at.Era && c.inRestoreGrace(now)
		if e.InForce && !listed[name] && !mayBeLost && !e.Revision.After(at) {
			c.evacuations[name] = Evacuation{DataCentre: name, Revision: at}
			changed = true
		}
	}
	return changed
}

// lostInRestore reports whether the evacuation is in force only because it was before the
// store was restored from a copy that does not list it.
func (c *Catalog) lostInRestore(e Evacuation) bool {
	return e.InForce && e.Revision.Era < c.completeAt.Era
}

// hasLostEvacuation reports whether an evacuation stays in force until the end of
// restoreGrace only.
func (c *Catalog) hasLostEvacuation() bool {
	for _, e := range c.evacuations {
		if c.lostInRestore(e) {
			return true
		}
	}
	return false
}

// endLostEvacuations ends the evacuations that the operator has not written again within
// restoreGrace, and reports whether there are any.
func (c *Catalog) endLostEvacuations() bool {
	changed := false
	for name, e := range c.evacuations {
		if c.lostInRestore(e) {
			c.evacuations[name] = Evacuation{DataCentre: name, Revision: c.completeAt}
			changed = true
		}
	}
	return changed
}

// removeEndedEvacuations removes the records of ended evacuations above maxEvacuations, those
// that ended first before the others.
func (c *Catalog) removeEndedEvacuations() {
	excess := len(c.evacuations) - maxEvacuations
	if excess <= 0 {
		return
	}
	ended := slices.DeleteFunc(c.Evacuations(), func(e Evacuation) bool { return e.InForce })
	slices.SortStableFunc(ended, func(a, b Evacuation) int {
		return cmp.Or(a.Revision.Compare(b.Revision), strings.Compare(a.DataCentre, b.DataCentre))
	})
	for _, e := range ended[:min(excess, len(ended))] {
		delete(c.evacuations, e.DataCentre)
		c.coverage.removalPruned(e.Revision)
	}
}

// changedEvacuations returns the evacuations that changed after a revision, or all of them
// for a full update. It includes those that a restore has lost: a peer that read the
// restored store does not know them.
func (c *Catalog) changedEvacuations(since common.Revision, full bool) []Evacuation {
	return slices.DeleteFunc(c.Evacuations(), func(e Evacuation) bool {
		return !full && !e.Revision.After(since) && !c.lostInRestore(e)
	})
}
