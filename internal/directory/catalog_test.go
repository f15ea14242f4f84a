package directory

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// history is a model of a store that keeps every revision.
type history struct {
	revision       uint64
	configurations []*Configuration
	// endpoints[r] are the endpoints listed at revision r.
	endpoints []map[string]Endpoint
}

func newHistory() *history {
	return &history{endpoints: []map[string]Endpoint{{}}, configurations: []*Configuration{nil}}
}

// step makes one random change.
func (h *history) step(random *rand.Rand) {
	h.revision++
	next := make(map[string]Endpoint, len(h.endpoints))
	for name, e := range h.endpoints[h.revision-1] {
		next[name] = e
	}
	configuration := h.configurations[h.revision-1]
	name := fmt.Sprintf("i-%d", 1+random.Intn(6))
	switch random.Intn(4) {
	case 0:
		configuration = &Configuration{Version: h.revision * 3, Revision: h.revision}
	case 1:
		delete(next, name)
	default:
		next[name] = Endpoint{Name: name, Service: "s", Draining: random.Intn(3) == 0, Revision: h.revision}
	}
	h.endpoints = append(h.endpoints, next)
	h.configurations = append(h.configurations, configuration)
}

func (h *history) full(at uint64) Update {
	u := Update{CompleteAt: at, Full: true, Configuration: h.configurations[at]}
	for _, e := range h.endpoints[at] {
		u.Endpoints = append(u.Endpoints, EndpointRecord{Endpoint: e})
	}
	return u
}

// changes returns the changes after revision since, up to and including at.
func (h *history) changes(since, at uint64) Update {
	u := Update{Since: since, CompleteAt: at}
	for r := since + 1; r <= at; r++ {
		if h.configurations[r] != h.configurations[r-1] {
			u.Configuration = h.configurations[r]
		}
		for name, e := range h.endpoints[r-1] {
			if _, kept := h.endpoints[r][name]; !kept {
				u.Endpoints = append(u.Endpoints, EndpointRecord{Endpoint: e, MissingAt: r})
			}
		}
		for _, e := range h.endpoints[r] {
			if e.Revision == r {
				u.Endpoints = append(u.Endpoints, EndpointRecord{Endpoint: e})
			}
		}
	}
	return u
}

// check compares a catalog with the store at the revision at which the catalog is
// complete. Single records may be newer.
func (h *history) check(c *Catalog) error {
	at := c.CompleteAt()
	if want := h.configurations[at]; want != nil && (c.Configuration() == nil || c.Configuration().Revision < want.Revision) {
		return fmt.Errorf("at %d: configuration %v is behind revision %d", at, c.Configuration(), want.Revision)
	}
	records := map[string]EndpointRecord{}
	for _, r := range c.Records() {
		records[r.Endpoint.Name] = *r
	}
	for name, want := range h.endpoints[at] {
		got, found := records[name]
		if !found || got.latestRevision() < want.Revision {
			return fmt.Errorf("at %d: endpoint %s is behind revision %d: %+v", at, name, want.Revision, got)
		}
	}
	for name, got := range records {
		if _, exists := h.endpoints[at][name]; !exists && !got.Missing() && got.Endpoint.Revision <= at {
			return fmt.Errorf("at %d: endpoint %s is listed although it was removed", at, name)
		}
	}
	return nil
}

// Guards against a catalog that reverts to older content, loses a change or keeps a
// removed endpoint, when snapshots, changes and differences from other catalogs arrive
// in any order.
func TestCatalogsConvergeFromUpdatesInAnyOrder(t *testing.T) {
	seed := propertytest.Seed(t, propertytest.DefaultSeed)
	for run := range 200 * propertytest.Factor(t) {
		random := rand.New(rand.NewSource(seed + int64(run)))
		if err := mergeRandomUpdates(random); err != nil {
			t.Fatalf("run %d with %s=%d: %v", run, propertytest.SeedVariable, seed, err)
		}
	}
}

func mergeRandomUpdates(random *rand.Rand) error {
	h := newHistory()
	catalogs := []*Catalog{NewCatalog(), NewCatalog(), NewCatalog()}
	for i := range 150 {
		now := time.Duration(i) * time.Millisecond
		h.step(random)
		c := catalogs[random.Intn(len(catalogs))]
		before, versionBefore := c.CompleteAt(), version(c)
		update := randomUpdate(random, h, c, catalogs)
		c.Apply(&update, now)
		if random.Intn(10) == 0 {
			c.Prune(20*time.Millisecond, now)
		}
		if c.CompleteAt() < before || version(c) < versionBefore {
			return fmt.Errorf("step %d: reverted from revision %d to %d, version %d to %d", i, before, c.CompleteAt(), versionBefore, version(c))
		}
		if err := h.check(c); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

func version(c *Catalog) uint64 {
	if c.Configuration() == nil {
		return 0
	}
	return c.Configuration().Version
}

func randomUpdate(random *rand.Rand, h *history, c *Catalog, catalogs []*Catalog) Update {
	switch random.Intn(4) {
	case 0:
		// A snapshot that may be old.
		return h.full(uint64(random.Intn(int(h.revision) + 1)))
	case 1:
		// Changes that may start after the revision of this catalog.
		since := uint64(random.Intn(int(h.revision) + 1))
		return h.changes(since, since+uint64(random.Intn(int(h.revision-since)+1)))
	case 2:
		return h.changes(c.CompleteAt(), h.revision)
	default:
		other := catalogs[random.Intn(len(catalogs))]
		var revision uint64
		if c.Configuration() != nil {
			revision = c.Configuration().Revision
		}
		return other.Difference(revision, c.CompleteAt())
	}
}

// Guards against a difference that omits the removal of an endpoint whose record was
// pruned: a peer would keep the endpoint.
func TestDifferenceIsFullAfterPrune(t *testing.T) {
	c := NewCatalog()
	c.Apply(&Update{CompleteAt: 5, Full: true, Endpoints: []EndpointRecord{{Endpoint: Endpoint{Name: "i-1", Service: "s", Revision: 4}}}}, 0)
	c.Apply(&Update{Since: 5, CompleteAt: 7, Endpoints: []EndpointRecord{{Endpoint: Endpoint{Name: "i-1", Service: "s", Revision: 4}, MissingAt: 7}}}, time.Second)
	if u := c.Difference(0, 5); u.Full || len(u.Endpoints) != 1 || !u.Endpoints[0].Missing() {
		t.Errorf("difference before pruning: %+v", u)
	}
	if n := c.Prune(time.Minute, 2*time.Minute); n != 1 {
		t.Fatalf("%d records pruned, want 1", n)
	}
	if u := c.Difference(0, 5); !u.Full {
		t.Errorf("difference after pruning: %+v", u)
	}
}

// Guards against an update that is merged although changes before it are missing.
func TestUpdateAfterGapIsRejected(t *testing.T) {
	c := NewCatalog()
	c.Apply(&Update{CompleteAt: 5, Full: true}, 0)
	if changed, usable := c.Apply(&Update{Since: 6, CompleteAt: 9}, 0); changed || usable {
		t.Errorf("update after a gap: changed %t, usable %t", changed, usable)
	}
	if c.CompleteAt() != 5 {
		t.Errorf("complete at %d, want 5", c.CompleteAt())
	}
}

// Guards against an unreadable entry that is added as an endpoint, and against one that
// replaces a valid entry but leaves the endpoint listed.
func TestUnreadableEntriesAreNotEndpoints(t *testing.T) {
	c := NewCatalog()
	unreadable := EndpointRecord{Endpoint: Endpoint{Name: "i-1", Revision: 8}, MissingAt: 8}
	c.Apply(&Update{CompleteAt: 8, Endpoints: []EndpointRecord{unreadable}}, 0)
	if len(c.Records()) != 0 {
		t.Errorf("records after an unreadable entry: %+v, want none", c.Records())
	}
	c.Apply(&Update{CompleteAt: 9, Endpoints: []EndpointRecord{{Endpoint: Endpoint{Name: "i-1", Service: "s", Revision: 9}}}}, 0)
	unreadable = EndpointRecord{Endpoint: Endpoint{Name: "i-1", Revision: 10}, MissingAt: 10}
	c.Apply(&Update{Since: 9, CompleteAt: 10, Endpoints: []EndpointRecord{unreadable}}, 0)
	if records := c.Records(); len(records) != 1 || !records[0].Missing() || records[0].Endpoint.Service != "s" {
		t.Errorf("records: %+v, want one that is missing and keeps its service", records)
	}
}
