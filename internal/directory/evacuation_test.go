package directory

import (
	"fmt"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// evacuation returns the evacuation of fukuoka at a revision.
func evacuation(at common.Revision, inForce bool) Evacuation {
	return Evacuation{DataCentre: "fukuoka", InForce: inForce, Revision: at}
}

// evacuated returns an update that contains evacuations.
func evacuated(since, at common.Revision, full bool, evacuations ...Evacuation) *Update {
	return &Update{Since: since, CompleteAt: at, Full: full, Evacuations: evacuations}
}

func isEvacuated(c *Catalog) bool {
	for _, e := range c.Evacuations() {
		if e.DataCentre == "fukuoka" {
			return e.InForce
		}
	}
	return false
}

// Guards against an evacuation that is lost, stays in force after its end, or comes back
// with a late update, in one era and across restores of the store.
func TestEvacuationsMergeByRevision(t *testing.T) {
	none := common.Revision{}
	begun := evacuated(none, revision(1, 9), true, evacuation(revision(1, 5), true))
	ended := evacuated(revision(1, 9), revision(1, 12), false, evacuation(revision(1, 11), false))
	for _, c := range []struct {
		name    string
		updates []*Update
		// now and later are whether it is in force after the updates and after restoreGrace.
		now, later bool
	}{
		{"snapshot", []*Update{begun}, true, true},
		{"change", []*Update{evacuated(none, revision(1, 3), true), evacuated(revision(1, 3), revision(1, 5), false, evacuation(revision(1, 5), true))}, true, true},
		{"ended by a change", []*Update{begun, ended}, false, false},
		{"ended by a snapshot", []*Update{begun, evacuated(none, revision(1, 12), true)}, false, false},
		{"older snapshot without it", []*Update{begun, evacuated(none, revision(1, 4), true)}, true, true},
		{"late snapshot with it", []*Update{begun, ended, begun}, false, false},
		{"late snapshot, no record", []*Update{evacuated(none, revision(1, 12), true), begun}, false, false},
		{"begun again", []*Update{begun, ended, evacuated(revision(1, 12), revision(1, 13), false, evacuation(revision(1, 13), true))}, true, true},
		{"changes after a gap", []*Update{evacuated(none, revision(1, 3), true), evacuated(revision(1, 4), revision(1, 5), false, evacuation(revision(1, 5), true))}, false, false},
		{"lost in a restore", []*Update{begun, evacuated(none, revision(2, 4), true)}, true, false},
		{"lost and written again", []*Update{begun, evacuated(none, revision(2, 4), true), evacuated(revision(2, 4), revision(2, 6), false, evacuation(revision(2, 6), true))}, true, true},
		{"lost, then ended", []*Update{begun, evacuated(none, revision(2, 4), true), evacuated(revision(2, 4), revision(2, 7), false, evacuation(revision(2, 7), false))}, false, false},
		{"lost in two restores", []*Update{begun, evacuated(none, revision(2, 4), true), evacuated(none, revision(3, 4), true)}, true, false},
		{"listed by the copy", []*Update{begun, evacuated(none, revision(2, 8), true, evacuation(revision(2, 5), true))}, true, true},
		{"end lost in a restore", []*Update{begun, ended, evacuated(none, revision(2, 8), true, evacuation(revision(2, 5), true))}, true, true},
		{"ended after the restore, peer has lost it", []*Update{evacuated(none, revision(2, 8), true, evacuation(revision(2, 5), true)), evacuated(none, revision(2, 9), true, evacuation(revision(1, 5), true))}, false, false},
		{"learned from before the restore", []*Update{evacuated(none, revision(2, 4), true), begun}, true, false},
		{"ended after the restore, learned from before", []*Update{evacuated(none, revision(2, 8), true, evacuation(revision(2, 5), true)), evacuated(revision(2, 8), revision(2, 9), false, evacuation(revision(2, 9), false)), begun}, false, false},
	} {
		catalog := NewCatalog()
		for i, u := range c.updates {
			catalog.Apply(u, time.Duration(i)*time.Millisecond)
		}
		if catalog.AdoptDeferred(restoreGrace - 1); isEvacuated(catalog) != c.now {
			t.Errorf("%s: in force %t, want %t", c.name, !c.now, c.now)
		}
		end := catalog.GraceEnd()
		if catalog.AdoptDeferred(restoreGrace + time.Second); isEvacuated(catalog) != c.later {
			t.Errorf("%s: in force %t after the grace period, want %t", c.name, !c.later, c.later)
		}
		if lost := c.now && !c.later; lost != (end > 0) {
			t.Errorf("%s: end of the grace period %v", c.name, end)
		}
	}
}

// Guards against peers that do not learn of an evacuation: one that begins or ends, one
// that a restore has lost and that the peer, which read the copy, does not know, and one
// of which an instance with an empty cache must learn.
func TestDifferencesContainEvacuations(t *testing.T) {
	source := NewCatalog()
	source.Apply(evacuated(common.Revision{}, revision(1, 9), true, evacuation(revision(1, 5), true)), 0)
	transfer := func(to *Catalog, at time.Duration) {
		t.Helper()
		u := source.Difference(ConfigurationID{}, to.CompleteAt())
		if _, usable := to.Apply(&u, at); !usable || isEvacuated(to) != isEvacuated(source) {
			t.Errorf("difference %+v: usable %t, in force %t, want %t", u, usable, isEvacuated(to), isEvacuated(source))
		}
	}
	follower := NewCatalog()
	transfer(follower, 0)
	if u := source.Difference(ConfigurationID{}, follower.CompleteAt()); len(u.Evacuations) != 0 {
		t.Errorf("unchanged evacuations in a difference: %+v", u.Evacuations)
	}
	source.Apply(evacuated(revision(1, 9), revision(1, 12), false, evacuation(revision(1, 11), false)), 0)
	transfer(follower, 0)
	source.Apply(evacuated(revision(1, 12), revision(1, 14), false, evacuation(revision(1, 13), true)), 0)
	transfer(follower, 0)
	copied := NewCatalog()
	copied.Apply(evacuated(common.Revision{}, revision(2, 4), true), 0)
	source.Apply(evacuated(common.Revision{}, revision(2, 4), true), 0)
	transfer(copied, time.Millisecond)
	transfer(follower, time.Millisecond)
	transfer(NewCatalog(), time.Millisecond)
}

// Guards against records that grow without bound, against an evacuation in force that is
// removed, and against a difference that omits the end of a removed one.
func TestEndedEvacuationsAreBounded(t *testing.T) {
	c := NewCatalog()
	c.Apply(evacuated(common.Revision{}, revision(1, 1), true), 0)
	const changes = 2 * maxEvacuations
	for i := range uint64(changes) {
		e := Evacuation{DataCentre: fmt.Sprint("dc-", i), InForce: i < 3, Revision: revision(1, i+2)}
		c.Apply(evacuated(revision(1, i+1), revision(1, i+2), false, e), 0)
	}
	inForce := 0
	for _, e := range c.Evacuations() {
		if e.InForce {
			inForce++
		}
	}
	if got := len(c.Evacuations()); got != maxEvacuations || inForce != 3 {
		t.Errorf("%d records, %d in force, want %d and 3", got, inForce, maxEvacuations)
	}
	if !c.RequiresFull(revision(1, 10)) || c.RequiresFull(revision(1, changes)) {
		t.Errorf("difference full since 1.10: %t, since 1.%d: %t", c.RequiresFull(revision(1, 10)), changes, c.RequiresFull(revision(1, changes)))
	}
}
