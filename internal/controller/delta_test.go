package controller

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

func (d *daemon) releasesLoaded(form string) int {
	return int(testutil.ToFloat64(d.controller.core.metrics.releasesLoaded.WithLabelValues(form)))
}

// Guards against instances that fetch the whole body for each change. At 4,800
// changes a day this exceeds the budget of all control traffic.
func TestReleasesSpreadAsDeltas(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(5)
	first := c.mustPublish(c.daemons[0], "12")
	eventually(t, 20*time.Second, "first release everywhere", func() bool { return c.allApplied(first) })
	eventually(t, 20*time.Second, "settled", c.allSettled)
	var others []*daemon
	for _, d := range c.daemons {
		if !d.controller.core.isWatcher() {
			others = append(others, d)
		}
		if bodies := d.releasesLoaded(formBody); bodies != 1 {
			t.Errorf("%s loaded %d bodies for the first release", d.name, bodies)
		}
	}
	if len(others) != 5-watchersPerDataCentre {
		t.Fatalf("%d instances are not watchers", len(others))
	}
	for i, note := range []string{"13", "14", "15"} {
		number := c.mustPublish(c.daemons[i], note)
		eventually(t, 20*time.Second, "release everywhere", func() bool { return c.allApplied(number) })
	}
	for _, d := range others {
		if d.releasesLoaded(formDelta) != 3 || d.releasesLoaded(formBody) != 1 {
			t.Errorf("%s loaded %d deltas and %d bodies", d.name, d.releasesLoaded(formDelta), d.releasesLoaded(formBody))
		}
		decoded, body := fetchBody(t, c, d)
		if hash, err := config.BodyHash(body); err != nil || hash != decoded.Hash() || decoded.Number != first+3 {
			t.Errorf("%s returns release %d with hash %s: %v", d.name, decoded.Number, hash, err)
		}
	}
}

// fetchBody requests the whole body of the newest release from a daemon.
func fetchBody(t *testing.T, c *cluster, d *daemon) (*config.Release, []byte) {
	t.Helper()
	core := c.daemons[0].controller.core
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := core.peers.FetchRelease(ctx, d.controller.core.transport.Address(), &peerpb.FetchReleaseRequest{})
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := config.DecodeRelease(response.GetBody())
	if err != nil {
		t.Fatal(err)
	}
	return decoded, response.GetBody()
}

// Guards against a damaged delta that makes an instance refuse a valid release. The
// whole body has to be fetched instead.
func TestDamagedDeltaIsReplacedByTheBody(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(5)
	first := c.mustPublish(c.daemons[0], "12")
	eventually(t, 20*time.Second, "first release everywhere", func() bool { return c.allApplied(first) })
	eventually(t, 20*time.Second, "settled", c.allSettled)
	for _, d := range c.daemons {
		// Makes each delta to the first release fail: its base has another hash.
		core := d.controller.core
		core.mu.Lock()
		known := core.loaded[first]
		known.base = config.NewDeltaBase(known.release, "0000")
		core.mu.Unlock()
	}
	second := c.mustPublish(c.daemons[0], "13")
	eventually(t, 20*time.Second, "second release everywhere", func() bool { return c.allApplied(second) })
	for _, d := range c.daemons {
		if d.releasesLoaded(formDelta) != 0 || d.releasesLoaded(formBody) != 2 {
			t.Errorf("%s loaded %d deltas and %d bodies", d.name, d.releasesLoaded(formDelta), d.releasesLoaded(formBody))
		}
	}
}
