package prober

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// checker fails the checks before the one with the number passesFrom, and all checks if
// passesFrom is 0.
type checker struct {
	checks     atomic.Int32
	passesFrom int32
}

var errUnhealthy = errors.New("unhealthy")

func (c *checker) Check(context.Context, netip.AddrPort, string, string) error {
	if n := c.checks.Add(1); c.passesFrom > 0 && n >= c.passesFrom {
		return nil
	}
	return errUnhealthy
}

type testDirectory struct{ startedAt time.Time }

func (testDirectory) HealthPath(string) string { return "/health" }
func (f testDirectory) Now() time.Duration     { return time.Since(f.startedAt) + time.Minute }

// newSuspect returns a pool of two endpoints and its first member, which is suspect.
func newSuspect(now time.Duration) (*selection.Pool, *selection.Member) {
	pool := selection.NewPool("desk", "entry-1", "fukuoka")
	members := pool.Update([]directory.Endpoint{{Name: "i-1", Slots: 2}, {Name: "i-2", Slots: 2}}, 0)
	members[0].FirstPacketRetransmitted(now, now-time.Second)
	return pool, members[0]
}

func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("condition not met within %v: %s", limit, what)
}

// Guards against an endpoint that stays suspect although a check has passed, and
// against checks that continue afterwards or run twice at a time.
func TestChecksEndWhenOnePasses(t *testing.T) {
	c := &checker{passesFrom: 2}
	directory := testDirectory{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, directory, zap.NewNop(), prometheus.NewRegistry())
	_, m := newSuspect(directory.Now())
	p.Probe(m)
	p.Probe(m)
	waitFor(t, 3*time.Second, "probation", func() bool {
		return m.Status(directory.Now()).Condition == selection.Probation
	})
	time.Sleep(2 * initialInterval)
	if n := c.checks.Load(); n != 2 {
		t.Errorf("%d checks, want 2", n)
	}
}

// Guards against checks that continue after the endpoint was removed.
func TestChecksEndWhenEndpointIsRemoved(t *testing.T) {
	c := &checker{}
	directory := testDirectory{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, directory, zap.NewNop(), prometheus.NewRegistry())
	pool, m := newSuspect(directory.Now())
	p.Probe(m)
	waitFor(t, time.Second, "first check", func() bool { return c.checks.Load() > 0 })
	pool.Update(nil, directory.Now())
	waitFor(t, 2*time.Second, "end of the checks", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.probed) == 0
	})
}

// Guards against an endpoint that never gets a flow again because its health checks
// fail although it serves.
func TestProbationDespiteFailedChecks(t *testing.T) {
	c := &checker{}
	directory := testDirectory{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, directory, zap.NewNop(), prometheus.NewRegistry())
	_, m := newSuspect(directory.Now())
	p.Probe(m)
	waitFor(t, 10*time.Second, "probation", func() bool {
		return m.Status(directory.Now()).Condition == selection.Probation
	})
	if n := c.checks.Load(); n != checksBeforeProbation {
		t.Errorf("%d checks before probation, want checksBeforeProbation", n)
	}
}

// Guards against endpoints that are never checked because maxProbed others became suspect
// before them.
func TestSuspectsAboveTheLimitAreCheckedLater(t *testing.T) {
	c := &checker{passesFrom: 1}
	d := testDirectory{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, d, zap.NewNop(), prometheus.NewRegistry())
	endpoints := make([]directory.Endpoint, 3*maxProbed)
	for i := range endpoints {
		endpoints[i] = directory.Endpoint{Name: fmt.Sprintf("i-%d", i), ID: uint64(i + 1), Slots: 2}
	}
	members := selection.NewPool("desk", "entry-1", "fukuoka").Update(endpoints, 0)
	now := d.Now()
	for _, m := range members {
		m.FirstPacketRetransmitted(now, now-time.Second)
		p.Probe(m)
	}
	waitFor(t, 5*time.Second, "probation of all", func() bool {
		return !slices.ContainsFunc(members, func(m *selection.Member) bool {
			return m.Status(d.Now()).Condition != selection.Probation
		})
	})
}

// Guards against an endpoint that is not checked, because it was listed again between the
// end of its checks and their removal from the list of running ones.
func TestEndpointListedAgainAtEndOfChecks(t *testing.T) {
	c := &checker{}
	d := testDirectory{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, d, zap.NewNop(), prometheus.NewRegistry())
	_, m := newSuspect(d.Now())
	p.probed[m] = true
	p.Probe(m)
	p.finish(m)
	waitFor(t, time.Second, "further checks", func() bool { return c.checks.Load() > 0 })
}
