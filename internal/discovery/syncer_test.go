package discovery

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// Guards against a reload that applies a changed deadline to the schedule of reads only, and
// not to the timeout of queries and the detection of outages.
func TestChangedDeadlineAppliesEverywhere(t *testing.T) {
	cache, peers := newTestCache(), NewPeers(Peer{Name: "entry-1"}, nil)
	s := NewSyncer("entry-1", 3*time.Second, cache, peers, nil, NewMetrics(prometheus.NewRegistry(), cache, peers), zap.NewNop())
	const deadline = 60 * time.Second
	s.SetApplyDeadline(t.Context(), deadline)
	(<-s.events)()
	if want := freshness.SettingsFor(deadline).OutageAge; cache.outageAge != want {
		t.Errorf("outage age %v, want %v", cache.outageAge, want)
	}
	if got := s.client.Load().http.Timeout; got != deadline/peerTimeoutDivisor {
		t.Errorf("query timeout %v, want %v", got, deadline/peerTimeoutDivisor)
	}
}

// Guards against endpoints that are dropped although they have had no time to register
// again, because the store is restored a second time shortly after the first.
func TestSecondRestoreProlongsGracePeriod(t *testing.T) {
	now := time.Second
	cache := NewCache("entry-1", "dc-1", time.Minute, 3*time.Second, func() time.Duration { return now })
	apply := func(era, number uint64, names ...string) {
		u := &directory.Update{CompleteAt: common.Revision{Era: era, Number: number}, Full: true, Configuration: &directory.Configuration{Version: 1}}
		for _, name := range names {
			u.Endpoints = append(u.Endpoints, directory.EndpointRecord{Endpoint: directory.Endpoint{Name: name, Service: "s", Revision: common.Revision{Era: era, Number: 1}}})
		}
		cache.Apply(u, Provenance{FromStore: true, ConfirmedAt: now})
	}
	apply(1, 9, "i-1", "i-2")
	now += time.Minute
	apply(2, 5)
	now += recoveryGrace / 2
	apply(3, 5, "i-1", "i-3")
	now += recoveryGrace * 3 / 4
	cache.EndGracePeriods()
	if got := cache.Available("s"); got != 3 {
		t.Errorf("%d endpoints in the grace period of the second restore, want 3", got)
	}
	now += recoveryGrace
	cache.EndGracePeriods()
	if got := cache.Available("s"); got != 2 {
		t.Errorf("%d endpoints after the grace period, want 2", got)
	}
}
