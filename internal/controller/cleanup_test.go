package controller

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/health"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// statsFailingEntry is an entryd that fails the calls for its statistics.
type statsFailingEntry struct{ entrypb.Entry }

func (statsFailingEntry) Stats(context.Context, *entrypb.StatsRequest) (*entrypb.StatsResponse, error) {
	return nil, errors.New("no response")
}

// Guards against failed calls for statistics that are counted as failed lease renewals.
func TestOnlyRenewalsCountAsLeaseFailures(t *testing.T) {
	c := &core{metrics: newControlMetrics(nil), inputs: map[string]input{}, logger: zap.NewNop(), entry: statsFailingEntry{}}
	(&entryController{core: c}).readStats(t.Context())
	if failures := testutil.ToFloat64(c.metrics.leaseFailures); failures != 0 {
		t.Errorf("%v lease failures after a failed call for statistics", failures)
	}
}

// Guards against old releases that stay on the platform because the removal by one
// publication failed.
func TestLaterPublicationRemovesOldReleases(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.listInstances(1)
	core := c.start(0).controller.core
	const accepted = maxStoredReleases + 3
	c.platform.mu.Lock()
	for number := 1; number <= accepted; number++ {
		object := &platform.Object{Kind: "Release", Metadata: platform.Metadata{Name: strconv.Itoa(number)}, Spec: []byte("{}")}
		c.platform.put(platform.Releases, platform.Added, object)
	}
	c.platform.mu.Unlock()
	publication := &activePublication{publicationController: newPublicationController(core)}
	publication.removeExpiredReleases(accepted)
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	if left := len(c.platform.collections[platform.Releases]); left != maxStoredReleases {
		t.Errorf("%d releases are stored, want %d", left, maxStoredReleases)
	}
}

// Guards against the report of an earlier process that stays on the platform when the
// instance is no longer a watcher after its restart: publications would count the
// instances in it as alive.
func TestReportOfEarlierProcessIsRemoved(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.listInstances(4)
	c.startAll(4)
	var other *daemon
	eventually(t, 10*time.Second, "three watchers of four instances", func() bool {
		watchers := 0
		for _, d := range c.daemons {
			if d.controller.core.isWatcher() {
				watchers++
			} else {
				other = d
			}
		}
		return watchers == 3
	})
	name := other.controller.core.settings.Instance
	_ = other.controller.Stop()
	c.platform.mu.Lock()
	c.platform.put(platform.Acknowledgements, platform.Added, &platform.Object{Kind: "Acknowledgement", Metadata: platform.Metadata{Name: name}, Spec: []byte("{}")})
	c.platform.mu.Unlock()
	for i, d := range c.daemons {
		if d == other {
			c.start(i)
			break
		}
	}
	eventually(t, 10*time.Second, "the report is removed", func() bool {
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		return c.platform.collections[platform.Acknowledgements][name] == nil
	})
}

// Guards against memory that grows with each endpoint and instance that ever existed.
func TestReportsAndAcksArePruned(t *testing.T) {
	queue := newGossipQueue()
	queue.addReport(health.Report{Endpoint: 1, Prober: 2}, 0)
	lifetime := health.ReportLifetime.Milliseconds()
	queue.addReport(health.Report{Endpoint: 2, Prober: 2}, lifetime/2)
	clear(queue.pendingReports)
	queue.prune(lifetime)
	if len(queue.reports) != 1 || len(queue.reportTimesMS) != 1 {
		t.Errorf("%d reports and %d times after one of two has expired", len(queue.reports), len(queue.reportTimesMS))
	}
	c := newCluster(t)
	core := c.start(0).controller.core
	core.mu.Lock()
	defer core.mu.Unlock()
	core.instances = []instanceInfo{{id: 7, name: "entry-7"}}
	core.acks = map[common.InstanceID]release.Ack{7: {Instance: 7}, 8: {Instance: 8}}
	core.pruneAcks()
	if _, found := core.acks[7]; !found || len(core.acks) != 1 {
		t.Errorf("acknowledgements after pruning: %v, want the one of the listed instance", core.acks)
	}
}

// Guards against the withdrawal of a release that was written after a watch had requested
// its list: the instance would load the release a second time and no longer announce it.
func TestListDoesNotWithdrawNewerRelease(t *testing.T) {
	ref := release.Ref{Number: 1, Hash: "0123456789abcdef0123456789abcdef"}
	for _, test := range []struct {
		name        string
		requestedAt time.Duration
		kept        bool
	}{{"list requested before the release was known", -time.Second, true}, {"list requested after it", time.Second, false}} {
		c := &core{start: time.Now(), fetchSignal: make(chan struct{}, 1), loaded: map[uint64]*loadedRelease{1: {ref: ref}}}
		handler := &releaseHandler{&configurationController{core: c}}
		c.observePrepared(ref)
		handler.Replace(&platform.List{RequestedAt: c.start.Add(test.requestedAt)})
		if kept := c.loaded[1] != nil && c.tracker.Prepared() == ref; kept != test.kept {
			t.Errorf("%s: release kept is %t, want %t", test.name, kept, test.kept)
		}
	}
}
