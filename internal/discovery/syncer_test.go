package discovery

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/freshness"
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
