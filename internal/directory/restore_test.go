package directory

import (
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

func revision(era, number uint64) common.Revision { return common.Revision{Era: era, Number: number} }

// listed returns an entry of the endpoint i-1.
func listed(at common.Revision, startedAt int64, sequence uint64, draining bool) EndpointRecord {
	return EndpointRecord{Endpoint: Endpoint{
		Name: "i-1", Service: "s", StartedAt: startedAt, Sequence: sequence, Draining: draining, Revision: at,
	}}
}

// removed returns the record of the endpoint i-1 after its removal.
func removed(entry EndpointRecord, at common.Revision) EndpointRecord {
	entry.MissingAt = at
	return entry
}

func snapshot(at common.Revision, records ...EndpointRecord) *Update {
	return &Update{CompleteAt: at, Full: true, Endpoints: records}
}

// condition describes a record in the tests.
func condition(c *Catalog) string {
	for _, r := range c.Records() {
		switch {
		case r.Missing():
			return "missing"
		case r.Endpoint.Draining:
			return "draining"
		default:
			return "serving"
		}
	}
	return "unknown"
}

// Guards against an entry of a restored copy that replaces a newer one, and against a
// newer one that is kept forever although the endpoint and the store contradict it.
func TestEntriesOfRestoredCopy(t *testing.T) {
	entered := 20 * time.Second
	for _, c := range []struct {
		name   string
		before EndpointRecord
		copied []EndpointRecord
		// during and after are the conditions in and after restoreGrace.
		during, after string
	}{
		{"unchanged", listed(revision(1, 5), 7, 1, false), []EndpointRecord{listed(revision(2, 5), 7, 1, false)}, "serving", "serving"},
		{"drain lost", listed(revision(1, 9), 7, 4, true), []EndpointRecord{listed(revision(2, 5), 7, 1, false)}, "draining", "serving"},
		{"drain written again", listed(revision(1, 9), 7, 4, true), []EndpointRecord{listed(revision(2, 8), 7, 6, true)}, "draining", "draining"},
		{"undrained after the restore", listed(revision(1, 9), 7, 4, true), []EndpointRecord{listed(revision(2, 8), 7, 5, false)}, "serving", "serving"},
		{"drain and removal lost", removed(listed(revision(1, 7), 7, 4, true), revision(1, 9)), []EndpointRecord{listed(revision(2, 5), 7, 1, false)}, "missing", "serving"},
		{"only the removal lost", removed(listed(revision(1, 5), 7, 1, false), revision(1, 9)), []EndpointRecord{listed(revision(2, 5), 7, 1, false)}, "serving", "serving"},
		{"registered again", removed(listed(revision(1, 5), 7, 1, false), revision(1, 9)), []EndpointRecord{listed(revision(2, 8), 7, 3, false)}, "serving", "serving"},
		{"restart lost", listed(revision(1, 9), 8, 1, false), []EndpointRecord{listed(revision(2, 5), 7, 6, true)}, "serving", "draining"},
		{"restarted after the restore", listed(revision(1, 9), 7, 4, true), []EndpointRecord{listed(revision(2, 8), 8, 1, false)}, "serving", "serving"},
		{"start time unknown", listed(revision(1, 9), 0, 4, true), []EndpointRecord{listed(revision(2, 5), 0, 1, false)}, "draining", "serving"},
		{"registration lost", listed(revision(1, 9), 7, 1, false), nil, "missing", "missing"},
	} {
		catalog := NewCatalog()
		catalog.Apply(snapshot(revision(1, 9), c.before), 0)
		catalog.Apply(snapshot(revision(2, 8), c.copied...), entered)
		catalog.AdoptDeferred(entered + restoreGrace - 1)
		if got := condition(catalog); got != c.during {
			t.Errorf("%s: %s in the grace period, want %s", c.name, got, c.during)
		}
		catalog.AdoptDeferred(entered + restoreGrace)
		if got := condition(catalog); got != c.after {
			t.Errorf("%s: %s after the grace period, want %s", c.name, got, c.after)
		}
	}
}

// Guards against an endpoint that gets new flows again, although the store has removed
// its entry of the copy in the meantime.
func TestRemovedEntryOfCopyIsNotAdopted(t *testing.T) {
	for name, removal := range map[string]*Update{
		"change":   {Since: revision(2, 8), CompleteAt: revision(2, 9), Endpoints: []EndpointRecord{removed(listed(revision(2, 5), 7, 1, false), revision(2, 9))}},
		"snapshot": snapshot(revision(2, 9)),
	} {
		catalog := NewCatalog()
		catalog.Apply(snapshot(revision(1, 9), removed(listed(revision(1, 7), 7, 4, true), revision(1, 9))), 0)
		catalog.Apply(snapshot(revision(2, 8), listed(revision(2, 5), 7, 1, false)), time.Second)
		catalog.Apply(removal, 2*time.Second)
		catalog.AdoptDeferred(time.Second + restoreGrace)
		if got := condition(catalog); got != "missing" {
			t.Errorf("%s: %s after the grace period, want missing", name, got)
		}
	}
}

// Guards against a catalog that started with a restored copy and ignores what peers know
// from before the restore.
func TestRecordsFromBeforeRestoreCorrectCopy(t *testing.T) {
	catalog := NewCatalog()
	catalog.Apply(snapshot(revision(2, 8), listed(revision(2, 5), 7, 1, false)), 0)
	old := snapshot(revision(1, 9), listed(revision(1, 9), 7, 4, true))
	if _, usable := catalog.Apply(old, time.Second); usable {
		t.Error("an update from before the restore confirms the catalog")
	}
	if got := condition(catalog); got != "draining" {
		t.Errorf("%s after a newer entry from before the restore, want draining", got)
	}
	late := NewCatalog()
	late.Apply(snapshot(revision(2, 8), listed(revision(2, 5), 7, 1, false)), 0)
	late.Apply(old, restoreGrace)
	if got := condition(late); got != "serving" {
		t.Errorf("%s after an entry from before the restore that arrived late, want serving", got)
	}
}

// Guards against a configuration of a restored copy that replaces a newer one, and
// against a newer one that is ignored because its revision is lower.
func TestConfigurationsAreOrderedByVersion(t *testing.T) {
	catalog := NewCatalog()
	for _, c := range []struct {
		version uint64
		at      common.Revision
		want    uint64
	}{
		{9, revision(1, 40), 9},
		{5, revision(2, 20), 9},
		{9, revision(2, 21), 9},
		{12, revision(2, 22), 12},
		{11, revision(1, 50), 12},
		{13, revision(1, 51), 13},
	} {
		u := snapshot(c.at)
		u.Configuration = &Configuration{Version: c.version, Revision: c.at}
		catalog.Apply(u, 0)
		if got := catalog.Configuration().Version; got != c.want {
			t.Errorf("version %d after version %d at %v, want %d", got, c.version, c.at, c.want)
		}
	}
}

// Guards against a restore after which every instance has to receive all endpoints again,
// and against a difference that omits what the store has lost.
func TestDifferenceAcrossRestore(t *testing.T) {
	var before, after []EndpointRecord
	for i := range 100 {
		entry := listed(revision(1, uint64(i+1)), 7, 1, false)
		entry.Endpoint.Name = string(rune('a'+i%26)) + string(rune('a'+i/26))
		before = append(before, entry)
		entry.Endpoint.Revision.Era = 2
		if i == 42 {
			entry.Endpoint.Revision.Number, entry.Endpoint.Sequence, entry.Endpoint.Draining = 110, 9, true
		}
		after = append(after, entry)
	}
	catalog := NewCatalog()
	catalog.Apply(snapshot(revision(1, 120), before...), 0)
	catalog.Apply(&Update{Since: revision(1, 120), CompleteAt: revision(1, 130)}, 0)
	catalog.Apply(snapshot(revision(2, 111), after...), 0)
	if u := catalog.Difference(ConfigurationID{}, revision(1, 125)); u.Full || len(u.Endpoints) != 1 || !u.Endpoints[0].Endpoint.Draining {
		t.Errorf("difference from before the restore: full %t, %d endpoints, want the changed one", u.Full, len(u.Endpoints))
	}
	for _, since := range []common.Revision{revision(1, 131), revision(1, 119), revision(2, 110)} {
		if u := catalog.Difference(ConfigurationID{}, since); !u.Full {
			t.Errorf("the difference since %v is not full", since)
		}
	}
	if u := catalog.Difference(ConfigurationID{}, revision(3, 1)); u.Full || len(u.Endpoints) != 0 {
		t.Errorf("difference since a later era: full %t, %d endpoints, want none", u.Full, len(u.Endpoints))
	}
}

// Guards against a difference between two eras that is merged by a catalog that has
// received changes of the earlier era in the meantime.
func TestDifferenceAcrossRestoreMustContinueExactly(t *testing.T) {
	u := &Update{Since: revision(1, 9), CompleteAt: revision(2, 8)}
	catalog := NewCatalog()
	catalog.Apply(snapshot(revision(1, 10)), 0)
	if _, usable := catalog.Apply(u, 0); usable {
		t.Error("a difference since an earlier revision was merged")
	}
	catalog = NewCatalog()
	catalog.Apply(snapshot(revision(1, 9)), 0)
	if _, usable := catalog.Apply(u, 0); !usable || catalog.CompleteAt() != revision(2, 8) {
		t.Errorf("usable %t, complete at %v, want 2.8", usable, catalog.CompleteAt())
	}
}

// Guards against a running endpoint that gets no new flows, because one copy lacks it and
// the copy of the next restore lists it without another heartbeat.
func TestEndpointMissingInFirstOfTwoCopies(t *testing.T) {
	catalog := NewCatalog()
	catalog.Apply(snapshot(revision(1, 9), listed(revision(1, 5), 7, 1, false)), 0)
	catalog.Apply(snapshot(revision(2, 4)), time.Second)
	catalog.Apply(snapshot(revision(3, 9), listed(revision(3, 5), 7, 1, false)), 2*time.Second)
	if got := condition(catalog); got != "serving" {
		t.Errorf("%s after the second restore, want serving", got)
	}
}
