package prober

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// checker passes from a number of checks on, 0 for never.
type checker struct {
	checks     atomic.Int32
	passesFrom int32
}

var errIll = errors.New("ill")

func (c *checker) Check(context.Context, netip.AddrPort, string, string) error {
	if n := c.checks.Add(1); c.passesFrom > 0 && n >= c.passesFrom {
		return nil
	}
	return errIll
}

type fixed struct{ begun time.Time }

func (fixed) HealthPath(string) string { return "/health" }
func (f fixed) Now() time.Duration     { return time.Since(f.begun) + time.Minute }

// suspect returns a suspect endpoint of a pool of two.
func suspect(now time.Duration) (*selection.Pool, *selection.Member) {
	pool := selection.NewPool("desk", "entry-1", "fukuoka")
	members := pool.Update([]directory.Endpoint{{Name: "i-1", Slots: 2}, {Name: "i-2", Slots: 2}}, 0)
	members[0].FirstPacketRepeated(now, now-time.Second)
	return pool, members[0]
}

func within(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("not within %v: %s", limit, what)
}

// Guards against an endpoint that stays suspect although it is healthy, and against
// checks that go on or run twice.
func TestChecksEndWithTheFirstGoodOne(t *testing.T) {
	c := &checker{passesFrom: 2}
	directory := fixed{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, directory, zap.NewNop(), prometheus.NewRegistry())
	_, m := suspect(directory.Now())
	p.Suspect(m)
	p.Suspect(m)
	within(t, 3*time.Second, "probation", func() bool {
		return m.Status(directory.Now()).Condition == selection.Probation
	})
	time.Sleep(2 * firstInterval)
	if n := c.checks.Load(); n != 2 {
		t.Errorf("%d checks", n)
	}
}

// Guards against checks of an endpoint that has left.
func TestChecksEndWhenTheEndpointLeaves(t *testing.T) {
	c := &checker{}
	directory := fixed{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, directory, zap.NewNop(), prometheus.NewRegistry())
	pool, m := suspect(directory.Now())
	p.Suspect(m)
	within(t, time.Second, "first check", func() bool { return c.checks.Load() > 0 })
	pool.Update(nil, directory.Now())
	within(t, 2*time.Second, "end of the checks", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.checked) == 0
	})
}

// Guards against an endpoint that says it is ill and serves, and that gets no flow
// again.
func TestIllHealthIsNotTheLastWord(t *testing.T) {
	c := &checker{}
	directory := fixed{time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := New(ctx, c, directory, zap.NewNop(), prometheus.NewRegistry())
	_, m := suspect(directory.Now())
	p.Suspect(m)
	within(t, 10*time.Second, "a trial", func() bool {
		return m.Status(directory.Now()).Condition == selection.Probation
	})
	if n := c.checks.Load(); n != checksBeforeTrial {
		t.Errorf("%d checks before the trial", n)
	}
}
