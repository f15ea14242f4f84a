package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/platform"
)

// platformProxy connects a group to the platform and can be disconnected.
type platformProxy struct {
	platform     *fakePlatform
	disconnected atomic.Bool
	server       *httptest.Server
}

func newPlatformProxy(t *testing.T, p *fakePlatform) *platformProxy {
	t.Helper()
	f := &platformProxy{platform: p}
	f.server = httptest.NewServer(f)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	return f
}

func (f *platformProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.disconnected.Load() {
		panic(http.ErrAbortHandler)
	}
	f.platform.ServeHTTP(w, r)
}

func (f *platformProxy) setDisconnected(disconnected bool) {
	f.disconnected.Store(disconnected)
	if disconnected {
		f.server.CloseClientConnections()
	}
}

const testGroupInterval = time.Second

// startTwoGroups starts two instances in fukuoka and two in oita, which reaches the
// platform through the returned proxy.
func startTwoGroups(t *testing.T) (*cluster, *platformProxy) {
	t.Helper()
	c := newCluster(t)
	oita := newPlatformProxy(t, c.platform)
	c.groups = map[int]string{2: "oita", 3: "oita"}
	c.platformURLs = map[string]string{"oita": oita.server.URL}
	c.groupInterval = testGroupInterval
	addresses := map[string]map[string]string{"fukuoka": {}, "oita": {}}
	for i := range 4 {
		group := "fukuoka"
		if i >= 2 {
			group = "oita"
		}
		addresses[group][fmt.Sprintf("entry-%d", i)] = loopbackAddress(c.first + i)
	}
	c.platform.setInstances("fukuoka", addresses["fukuoka"])
	c.platform.mu.Lock()
	c.platform.addInstances("oita", addresses["oita"])
	c.platform.mu.Unlock()
	for i := range 4 {
		c.start(i)
	}
	return c, oita
}

// inQuarantine reports whether the newest release of the first instance has the
// address of crew-2 that ends in hostOctet in quarantine.
func (c *cluster) inQuarantine(hostOctet string) bool {
	release := c.daemons[0].controller.Accepted()
	return slices.ContainsFunc(release.Quarantine, func(entry config.QuarantinedAddress) bool {
		return entry.Address == "endpoint/10.1.0."+hostOctet+":6081"
	})
}

func (c *cluster) publishEverywhere(publisher *daemon, daemons []*daemon, hostOctet string) uint64 {
	c.t.Helper()
	number := c.mustPublish(publisher, hostOctet)
	eventually(c.t, 20*time.Second, fmt.Sprintf("release %d everywhere", number), func() bool {
		for _, d := range daemons {
			if d.entry.release() != number {
				return false
			}
		}
		return true
	})
	return number
}

// Guards against addresses that never leave quarantine if there are several groups,
// and against addresses that leave it while a group that is disconnected from the
// platform still uses them (guarantee P2).
func TestQuarantineWaitsForEveryGroup(t *testing.T) {
	t.Parallel()
	c, oita := startTwoGroups(t)
	oldest := func() uint64 { return c.daemons[0].controller.OldestInForce() }
	// Polls without calls of the platform, because the daemon needs its call budget
	// for publications.
	bothHave := func(number uint64) bool {
		return c.platform.storedGroup(t, "oita").OldestInForce == number && c.daemons[0].controller.core.oldestInGroup() == number
	}
	eventually(t, 20*time.Second, "instance list read", func() bool { return len(c.daemons[0].controller.core.otherGroups()) == 1 })
	c.publishEverywhere(c.daemons[0], c.daemons, "12")
	second := c.publishEverywhere(c.daemons[0], c.daemons, "13")
	if !c.inQuarantine("12") {
		t.Fatal("the replaced address is not in quarantine")
	}
	eventually(t, 20*time.Second, "both groups have the second release", func() bool { return bothHave(second) })
	third := c.publishEverywhere(c.daemons[0], c.daemons, "14")
	if c.inQuarantine("12") || !c.inQuarantine("13") {
		t.Fatalf("quarantine %v", c.daemons[0].controller.Accepted().Quarantine)
	}
	eventually(t, 20*time.Second, "both groups have the third release", func() bool { return bothHave(third) })
	oita.setDisconnected(true)
	// Each publication waits until the lease of oita has expired and reads the
	// acknowledgements twice a second, which exceeds the call budget of one daemon.
	c.publishEverywhere(c.daemons[1], c.daemons[:2], "15")
	c.publishEverywhere(c.daemons[0], c.daemons[:2], "16")
	for _, d := range c.daemons[2:] {
		if release := d.entry.release(); release != third {
			t.Fatalf("%s has release %d although it is disconnected", d.name, release)
		}
	}
	if oldest() != third || !c.inQuarantine("14") || !c.inQuarantine("15") || c.inQuarantine("13") {
		t.Fatalf("oldest release in force %d, quarantine %v", oldest(), c.daemons[0].controller.Accepted().Quarantine)
	}
	oita.setDisconnected(false)
	newest := c.daemons[0].entry.release()
	eventually(t, 30*time.Second, "the group that returned has the newest release", func() bool { return bothHave(newest) })
	c.publishEverywhere(c.daemons[1], c.daemons, "17")
	if c.inQuarantine("14") || c.inQuarantine("15") || !c.inQuarantine("16") {
		t.Fatalf("quarantine %v", c.daemons[0].controller.Accepted().Quarantine)
	}
}

// storedGroup returns the object of a group, empty when there is none.
func (f *fakePlatform) storedGroup(t *testing.T, group string) groupReleaseSpec {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	object, found := f.collections[platform.Acknowledgements][groupPrefix+group]
	if !found {
		return groupReleaseSpec{}
	}
	var spec groupReleaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		t.Fatal(err)
	}
	return spec
}

// newStoredGroupRelease returns a controller, not started, that has called store
// with the release number.
func newStoredGroupRelease(t *testing.T, c *cluster, number uint64) *groupReleaseController {
	t.Helper()
	g := newGroupReleaseController(c.daemons[0].controller.core)
	g.interval = time.Hour
	if err := g.store(context.Background(), number); err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against a write that is taken as failed after a lost response although it
// took effect, a value that decreases, and several watchers that each write in the
// same interval.
func TestGroupReleaseIsStoredOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.listInstances(1)
	c.groupInterval = time.Hour
	c.start(0)
	stored := func() uint64 {
		return c.platform.storedGroup(t, "fukuoka").OldestInForce
	}
	first := newStoredGroupRelease(t, c, 5)
	if stored() != 5 || first.stored != 5 {
		t.Fatalf("%d is stored after the first write", stored())
	}
	second := newStoredGroupRelease(t, c, 6)
	if stored() != 5 || second.stored != 5 {
		t.Fatalf("the second watcher wrote %d in the interval of the first", stored())
	}
	ctx := context.Background()
	if err := first.store(ctx, 4); err != nil || stored() != 5 {
		t.Fatalf("decreased to %d: %v", stored(), err)
	}
	// Stops the daemon, because its watcher report could use up the dropped
	// response.
	c.daemons[0].controller.core.tomb.Kill(nil)
	_ = c.daemons[0].controller.core.tomb.Wait()
	c.platform.mu.Lock()
	c.platform.dropWriteResponses = 1
	c.platform.mu.Unlock()
	if err := first.store(ctx, 7); err != nil || first.stored != 7 || stored() != 7 {
		t.Fatalf("after a lost response %d is stored and the controller recorded %d: %v", stored(), first.stored, err)
	}
	if err := second.store(ctx, 8); err != nil || stored() != 7 {
		t.Fatalf("the second watcher overwrote a change: %d stored, %v", stored(), err)
	}
	if err := second.store(ctx, 8); err != nil || stored() != 8 {
		t.Fatalf("after a second attempt %d is stored: %v", stored(), err)
	}
}
