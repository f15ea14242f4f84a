package directory

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// change returns an update with the record of one endpoint that follows the update before it.
func change(at common.Revision, record EndpointRecord) *Update {
	since := at
	since.Number--
	return &Update{Since: since, CompleteAt: at, Endpoints: []EndpointRecord{record}}
}

// Guards against a late heartbeat that replaces a newer entry of the same endpoint, so that a
// draining or stopped endpoint gets new flows, and against an endpoint that has started again
// and is taken for late.
func TestLateEntryOfEndpoint(t *testing.T) {
	draining := listed(revision(1, 5), 7, 46, true)
	moved := listed(revision(1, 6), 7, 41, false)
	moved.Endpoint.Service = "other"
	for _, c := range []struct {
		name  string
		first EndpointRecord
		then  EndpointRecord
		// now and later are the conditions after the updates and after lateGrace.
		now, later string
	}{
		{"earlier heartbeat", draining, listed(revision(1, 6), 7, 41, false), "draining", "serving"},
		{"later heartbeat", draining, listed(revision(1, 6), 7, 47, false), "serving", "serving"},
		{"started again", draining, listed(revision(1, 6), 8, 1, false), "serving", "serving"},
		{"start times unknown", listed(revision(1, 5), 0, 46, true), listed(revision(1, 6), 0, 1, false), "serving", "serving"},
		{"removed, then earlier heartbeat", removed(draining, revision(1, 5)), listed(revision(1, 6), 7, 41, false), "missing", "serving"},
		{"removed, then later heartbeat", removed(draining, revision(1, 5)), listed(revision(1, 6), 7, 47, false), "serving", "serving"},
		{"entry of another service", draining, moved, "serving", "serving"},
	} {
		catalog := NewCatalog()
		catalog.Apply(snapshot(revision(1, 5), c.first), 0)
		catalog.Apply(change(revision(1, 6), c.then), time.Second)
		if got := condition(catalog); got != c.now {
			t.Errorf("%s: %s, want %s", c.name, got, c.now)
		}
		if late := len(catalog.LateEntries()); (late == 1) != (c.now != c.later) {
			t.Errorf("%s: %d late entries", c.name, late)
		}
		catalog.AdoptDeferred(time.Second + lateGrace - 1)
		if got := condition(catalog); got != c.now {
			t.Errorf("%s: %s within the grace, want %s", c.name, got, c.now)
		}
		if end := catalog.GraceEnd(); (end == time.Second+lateGrace) != (c.now != c.later) {
			t.Errorf("%s: the grace ends at %v", c.name, end)
		}
		catalog.AdoptDeferred(time.Second + lateGrace)
		if got := condition(catalog); got != c.later {
			t.Errorf("%s: %s after the grace, want %s", c.name, got, c.later)
		}
	}
}

// Guards against a late entry that comes into force after the store has removed it, or after
// the next heartbeat has replaced it.
func TestLateEntryIsDropped(t *testing.T) {
	for name, c := range map[string]struct {
		update *Update
		want   string
	}{
		"removal":           {change(revision(1, 7), removed(listed(revision(1, 6), 7, 41, false), revision(1, 7))), "missing"},
		"snapshot":          {snapshot(revision(1, 7)), "missing"},
		"next heartbeat":    {change(revision(1, 7), listed(revision(1, 7), 7, 47, true)), "draining"},
		"another late one":  {change(revision(1, 7), listed(revision(1, 7), 7, 43, false)), "draining"},
		"snapshot of it":    {snapshot(revision(1, 7), listed(revision(1, 6), 7, 41, false)), "draining"},
		"snapshot of older": {snapshot(revision(1, 5), listed(revision(1, 5), 7, 46, true)), "draining"},
	} {
		catalog := NewCatalog()
		catalog.Apply(snapshot(revision(1, 5), listed(revision(1, 5), 7, 46, true)), 0)
		catalog.Apply(change(revision(1, 6), listed(revision(1, 6), 7, 41, false)), time.Second)
		catalog.Apply(c.update, 2*time.Second)
		catalog.AdoptDeferred(time.Second + lateGrace - 1)
		if got := condition(catalog); got != c.want {
			t.Errorf("%s: %s, want %s", name, got, c.want)
		}
	}
}

// Guards against an instance that learns of a late entry, but not of the newer one, from a
// peer, also when the store has kept the newer one unchanged since an earlier era.
func TestPeersPassOnBothEntries(t *testing.T) {
	restored := NewCatalog()
	restored.Apply(snapshot(revision(1, 5), listed(revision(1, 5), 7, 46, true)), 0)
	restored.Apply(snapshot(revision(2, 5), listed(revision(2, 5), 7, 46, true)), 0)
	restored.Apply(change(revision(2, 6), listed(revision(2, 6), 7, 41, false)), 2*restoreGrace)
	same := NewCatalog()
	same.Apply(snapshot(revision(1, 5), listed(revision(1, 5), 7, 46, true)), 0)
	same.Apply(change(revision(1, 6), listed(revision(1, 6), 7, 41, false)), 2*restoreGrace)
	for name, catalog := range map[string]*Catalog{"same era": same, "after a restore": restored} {
		if got := condition(catalog); got != "draining" {
			t.Errorf("%s: %s, want draining", name, got)
		}
		peer := NewCatalog()
		update := catalog.Difference(ConfigurationID{}, common.Revision{})
		peer.Apply(&update, 2*restoreGrace)
		if got := condition(peer); got != "draining" {
			t.Errorf("%s: %s at the peer, want draining", name, got)
		}
	}
}

// lateWriter is an endpoint whose writes the store executes in any order.
type lateWriter struct {
	at       common.Revision
	sequence uint64
	draining bool
	pending  []EndpointRecord
}

// write sends a heartbeat, and returns the next one that the store executes, if any.
func (w *lateWriter) write(random *rand.Rand) (EndpointRecord, bool) {
	w.sequence++
	if random.Intn(4) == 0 {
		w.draining = !w.draining
	}
	w.pending = append(w.pending, listed(common.Revision{}, 7, w.sequence, w.draining))
	if random.Intn(3) == 0 {
		return EndpointRecord{}, false
	}
	i := random.Intn(len(w.pending))
	executed := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	w.at.Number++
	executed.Endpoint.Revision = w.at
	return executed, true
}

// Guards against any order of late writes, read from the store or from a peer, in which a
// catalog goes back to an earlier entry of an endpoint, or does not reach the last one.
func TestCatalogsNeverGoBackToLateEntries(t *testing.T) {
	seed := propertytest.Seed(t, propertytest.DefaultSeed)
	for run := range 200 * propertytest.Factor(t) {
		if err := playLateWrites(rand.New(rand.NewSource(seed + int64(run)))); err != nil {
			t.Fatalf("run %d with %s=%d: %v", run, propertytest.SeedVariable, seed, err)
		}
	}
}

func playLateWrites(random *rand.Rand) error {
	w := &lateWriter{at: revision(1, 1)}
	catalogs := []*Catalog{NewCatalog(), NewCatalog(), NewCatalog()}
	for _, c := range catalogs {
		c.Apply(snapshot(w.at), 0)
	}
	newest := make([]uint64, len(catalogs))
	const last = 59
	for step := range last + 1 {
		now := time.Duration(step) * 50 * time.Millisecond
		executed, ok := w.write(random)
		if step == last {
			// The last heartbeat is executed last.
			w.at, w.sequence, ok = catalogs[0].CompleteAt(), w.sequence+1, true
			w.at.Number++
			executed = listed(w.at, 7, w.sequence, w.draining)
		}
		if ok {
			catalogs[0].Apply(change(w.at, executed), now)
		}
		for i, c := range catalogs[1:] {
			if step == last || random.Intn(3) == 0 {
				update := catalogs[i].Difference(ConfigurationID{}, c.CompleteAt())
				c.Apply(&update, now)
			}
		}
		for i, c := range catalogs {
			for _, r := range c.Records() {
				if r.Endpoint.Sequence < newest[i] {
					return fmt.Errorf("step %d: catalog %d goes back from heartbeat %d to %d", step, i, newest[i], r.Endpoint.Sequence)
				}
				newest[i] = r.Endpoint.Sequence
			}
		}
	}
	for i := range catalogs {
		if newest[i] != w.sequence {
			return fmt.Errorf("catalog %d has heartbeat %d of %d", i, newest[i], w.sequence)
		}
	}
	return nil
}
