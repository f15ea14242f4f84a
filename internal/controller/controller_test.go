package controller

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/internal/telemetry"
	"burdockrelay.example/burdockrelay/proto/adminpb"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// daemon is one controld with a fake entryd.
type daemon struct {
	name       string
	controller *Controller
	entry      *fakeEntry
}

// cluster runs the daemons of one or more groups in one process.
type cluster struct {
	t        *testing.T
	platform *fakePlatform
	endpoint *httptest.Server
	port     uint16
	// first is the index of the first loopback address of the cluster.
	first     int
	addresses map[string]string
	daemons   []*daemon
	// verify holds additional checks of releases by the index of the daemon.
	verify map[int]func(*config.Release) error
	// groups holds the group, by index, of each daemon that is not in fukuoka.
	// platformURLs holds the URL at which a group reaches the platform, by group.
	groups       map[int]string
	platformURLs map[string]string
	// groupInterval overrides the interval between writes of a group.
	groupInterval time.Duration
}

var (
	// nextAddress is the index of the first loopback address of the next cluster.
	nextAddress   = 0
	nextAddressMu sync.Mutex
)

// clusterSize is the number of loopback addresses reserved for one cluster.
const clusterSize = 16

func newCluster(t *testing.T) *cluster {
	t.Helper()
	nextAddressMu.Lock()
	first := nextAddress
	nextAddress += clusterSize
	nextAddressMu.Unlock()
	c := &cluster{
		t:         t,
		platform:  newFakePlatform(t),
		first:     first,
		port:      freePort(t),
		addresses: map[string]string{},
		endpoint: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"status":"up","load":3,"slots":2}`)
		})),
	}
	t.Cleanup(c.endpoint.Close)
	return c
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort().Port()
}

// listInstances puts the first n instances on the instance list.
func (c *cluster) listInstances(n int) {
	for i := range n {
		c.addresses[fmt.Sprintf("entry-%d", i)] = loopbackAddress(c.first + i)
	}
	c.platform.setInstances("fukuoka", c.addresses)
}

func (c *cluster) start(i int) *daemon {
	c.t.Helper()
	entry := newFakeEntry(c.t)
	group := cmp.Or(c.groups[i], "fukuoka")
	s := &settings.Control{
		Member: settings.Member{
			Daemon:    settings.Daemon{Instance: fmt.Sprintf("entry-%d", i), DataCentre: group},
			Group:     group,
			Address:   netip.MustParseAddr(loopbackAddress(c.first + i)),
			EntryPort: 6081,
		},
		Places:   []string{"fukuoka"},
		PeerPort: c.port,
		EntryAPI: netip.MustParseAddrPort(entry.server.Listener.Addr().String()),
		Platform: cmp.Or(c.platformURLs[group], c.platform.server.URL),
	}
	logger := zap.NewNop()
	if os.Getenv("BURDOCK_TEST_LOG") != "" {
		logger, _ = telemetry.NewLogger(os.Stderr, "debug", s.Instance)
	}
	controller, err := New(s, logger, prometheus.NewRegistry())
	if err != nil {
		c.t.Fatal(err)
	}
	if verify := c.verify[i]; verify != nil {
		controller.core.verify = verify
	}
	if c.groupInterval > 0 {
		controller.group.interval = c.groupInterval
	}
	controller.Start()
	c.t.Cleanup(func() { _ = controller.Stop() })
	d := &daemon{s.Instance, controller, entry}
	c.daemons = append(c.daemons, d)
	return d
}

func (c *cluster) startAll(n int) {
	c.listInstances(n)
	for i := range n {
		c.start(i)
	}
}

// configuration returns a configuration in which the address of crew-2 ends in
// hostOctet, so that each value gives a different release.
func (c *cluster) configuration(hostOctet string) *config.Configuration {
	c.t.Helper()
	text := fmt.Sprintf(`kind: Place
name: fukuoka
---
kind: Service
name: crew-desk
address: 198.51.100.10
port: 443
protocol: tcp
---
kind: BackendSet
name: crew-desk
endpoints:
  - name: crew-1
    place: fukuoka
    address: 10.1.0.11:6081
    health: %[1]s
  - name: crew-2
    place: fukuoka
    address: 10.1.0.%[2]s:6081
    health: %[1]s
---
kind: Rule
name: crew-desk
service: crew-desk
backend_set: crew-desk
`, c.endpoint.Listener.Addr(), hostOctet)
	parsed, faults := config.Parse([]config.File{{Name: "test.yaml", Content: []byte(text)}})
	for _, fault := range faults {
		c.t.Error(fault)
	}
	return parsed
}

func (c *cluster) publish(d *daemon, author, hostOctet string) admin.PublishResult {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	info := config.ReleaseInfo{Author: author, CreatedAt: time.Now()}
	result, err := d.controller.Publish(ctx, c.configuration(hostOctet), 0, info)
	if err != nil {
		c.t.Errorf("publish: %v", err)
	}
	return result
}

func (c *cluster) mustPublish(d *daemon, hostOctet string) uint64 {
	c.t.Helper()
	result := c.publish(d, "tester", hostOctet)
	if result.Code != resultcode.OK {
		c.t.Fatalf("publish: code %d: %s", result.Code, result.Message)
	}
	return result.Release
}

func (c *cluster) allApplied(release uint64) bool {
	for _, d := range c.daemons {
		if d.entry.release() != release {
			return false
		}
	}
	return true
}

func (c *cluster) allSettled() bool {
	for _, d := range c.daemons {
		if !d.entry.view().GetSettled() {
			return false
		}
	}
	return true
}

func (d *daemon) endpointState(name string) string {
	status, err := d.controller.Status(context.Background())
	if err != nil {
		return err.Error()
	}
	for _, endpoint := range status.GetEndpoints() {
		if endpoint.GetName() == name {
			return endpoint.GetState()
		}
	}
	return "unknown"
}

// Guards against a release that does not reach every instance, a view that does not
// settle, and a lease or load report that does not reach entryd.
func TestGroupAppliesReleaseAndSettles(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(4)
	started := time.Now()
	release := c.mustPublish(c.daemons[3], "12")
	t.Logf("accepted after %v", time.Since(started))
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(release) })
	t.Logf("everywhere after %v", time.Since(started))
	eventually(t, 20*time.Second, "settled everywhere", c.allSettled)
	t.Logf("settled after %v", time.Since(started))
	for _, d := range c.daemons {
		d.entry.mu.Lock()
		leases := d.entry.leases
		d.entry.mu.Unlock()
		if leases == 0 {
			t.Errorf("%s: no lease was renewed", d.name)
		}
	}
	eventually(t, 10*time.Second, "loads everywhere", func() bool {
		for _, d := range c.daemons {
			if d.entry.view().GetServices()[0].GetEndpoints()[1].GetLoad() != 3 {
				return false
			}
		}
		return true
	})
	second := c.mustPublish(c.daemons[0], "13")
	eventually(t, 10*time.Second, "second release everywhere", func() bool { return c.allApplied(second) })
	status, err := c.daemons[0].controller.Status(context.Background())
	if err != nil || len(status.GetInstances()) != 4 {
		t.Fatalf("status: %v, %v", status, err)
	}
	t.Logf("status: %v", status)
	history, err := c.daemons[1].controller.History(context.Background(), 10)
	if err != nil || len(history) != 2 || !history[0].GetInForce() || history[0].GetNumber() != second {
		t.Fatalf("history: %v, %v", history, err)
	}
}

// Guards against two winners, or none, when two operators publish at the same time.
func TestRaceOfPublicationsHasOneWinner(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	c.mustPublish(c.daemons[0], "12")
	var group sync.WaitGroup
	results := make([]admin.PublishResult, 2)
	for i := range results {
		group.Go(func() { results[i] = c.publish(c.daemons[i], fmt.Sprintf("operator-%d", i), fmt.Sprint(20+i)) })
	}
	group.Wait()
	winners := 0
	for i, result := range results {
		switch result.Code {
		case resultcode.OK:
			winners++
		case resultcode.PublishConflict:
			if result.Conflict == nil || result.Conflict.Author != fmt.Sprintf("operator-%d", 1-i) || len(result.Conflict.Changes) == 0 {
				t.Errorf("conflict without the other's release: %+v", result)
			}
		default:
			t.Errorf("unexpected result %+v", result)
		}
	}
	if winners != 1 {
		t.Fatalf("%d winners: %+v", winners, results)
	}
}

// Guards against a second write after a response was lost: each publication writes
// one release object and moves the pointer once.
func TestLostResponsesAreResolvedByReading(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	c.mustPublish(c.daemons[0], "12")
	c.platform.mu.Lock()
	c.platform.dropWriteResponses = 4
	releases, moves := c.platform.writes[platform.Releases], c.platform.writes[platform.Pointers]
	c.platform.mu.Unlock()
	second := c.mustPublish(c.daemons[1], "13")
	c.platform.mu.Lock()
	defer c.platform.mu.Unlock()
	if n := c.platform.writes[platform.Releases] - releases; n != 1 {
		t.Errorf("%d release objects were written for release %d", n, second)
	}
	if n := c.platform.writes[platform.Pointers] - moves; n != 1 {
		t.Errorf("the pointer was moved %d times for release %d", n, second)
	}
}

// Guards against a drain that requires the platform, a drain that is never stored,
// and a daemon that cannot start during an outage of the platform.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.listInstances(4)
	for i := range 3 {
		c.start(i)
	}
	release := c.mustPublish(c.daemons[0], "12")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(release) })
	c.platform.setDown(true)
	started := time.Now()
	stored, err := c.daemons[2].controller.Drain(context.Background(), "crew-2", true)
	if err != nil || stored {
		t.Fatalf("drain during the outage: stored %v, %v", stored, err)
	}
	eventually(t, 10*time.Second, "drained everywhere", func() bool {
		for _, d := range c.daemons {
			if d.endpointState("crew-2") != "draining" {
				return false
			}
		}
		return true
	})
	t.Logf("drained everywhere after %v", time.Since(started))
	started = time.Now()
	late := c.start(3)
	eventually(t, 30*time.Second, "a daemon started during the outage serves the release", func() bool {
		return late.entry.release() == release && late.selfState() == "serving" && late.endpointState("crew-2") == "draining"
	})
	t.Logf("serving without the platform after %v", time.Since(started))
	c.platform.setDown(false)
	eventually(t, 30*time.Second, "the drain is stored", func() bool {
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		return len(c.platform.collections[platform.Drains]) == 1
	})
}

func (d *daemon) self() *adminpb.InstanceStatus {
	status, err := d.controller.Status(context.Background())
	if err != nil {
		return nil
	}
	for _, instance := range status.GetInstances() {
		if instance.GetSelf() {
			return instance
		}
	}
	return nil
}

func (d *daemon) selfState() string { return d.self().GetState() }

// Guards against exceptions that are lost in replication, a restarted entryd that
// receives no snapshot, and an instance that serves again after the restart without
// having pulled the state of its slots.
func TestReplicationAndRestartOfEntry(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	release := c.mustPublish(c.daemons[0], "12")
	eventually(t, 20*time.Second, "settled", c.allSettled)
	sender, receiver := c.daemons[0], c.daemons[1]
	source, target := common.InstanceIDOf(sender.name), common.InstanceIDOf(receiver.name)
	sender.entry.mu.Lock()
	for sequence := uint64(1); sequence <= 3; sequence++ {
		sender.entry.due = append(sender.entry.due, &entrypb.ReplicationBatch{
			Source: uint32(source), Target: uint32(target), Sequence: sequence,
			Exceptions: []*entrypb.ExceptionGroup{{Service: 1, Endpoint: 1, Hashes: []uint64{sequence}}},
		})
	}
	sender.entry.mu.Unlock()
	eventually(t, 10*time.Second, "batches acknowledged", func() bool {
		sender.entry.mu.Lock()
		defer sender.entry.mu.Unlock()
		return sender.entry.acked[uint32(target)] == 3
	})
	receiver.entry.mu.Lock()
	for i := 1; i < len(receiver.entry.added); i++ {
		if receiver.entry.added[i].GetSequence() < receiver.entry.added[i-1].GetSequence() {
			t.Errorf("batches arrived out of order")
		}
	}
	receiver.entry.mu.Unlock()

	sender.entry.mu.Lock()
	before := len(sender.entry.pulled)
	sender.entry.mu.Unlock()
	receiver.entry.restart()
	eventually(t, 10*time.Second, "snapshot again", func() bool { return receiver.entry.release() == release })
	eventually(t, 20*time.Second, "pulled again and serving", func() bool {
		sender.entry.mu.Lock()
		defer sender.entry.mu.Unlock()
		return len(sender.entry.pulled) > before && receiver.selfState() == "serving"
	})
}

// Guards against peers that keep assigning slots to a leaving instance.
func TestLeavingIsAnnounced(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	c.mustPublish(c.daemons[0], "12")
	eventually(t, 20*time.Second, "settled", c.allSettled)
	started := time.Now()
	done := make(chan struct{})
	go func() {
		c.daemons[2].controller.Leave()
		close(done)
	}()
	eventually(t, 5*time.Second, "leaving at the peers", func() bool {
		for _, d := range c.daemons[:2] {
			for _, member := range d.entry.view().GetMembers() {
				if member.GetName() == "entry-2" && member.GetState() != entrypb.MemberState_MEMBER_STATE_LEAVING {
					return false
				}
			}
		}
		return true
	})
	t.Logf("leaving at the peers after %v", time.Since(started))
	<-done
	t.Logf("handed over after %v", time.Since(started))
}

// Guards against control traffic above 4 KB/s on an instance of a small group.
func TestControlBytesAreBounded(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(5)
	c.mustPublish(c.daemons[0], "12")
	eventually(t, 20*time.Second, "settled", c.allSettled)
	time.Sleep(12 * time.Second)
	for _, d := range c.daemons {
		rate := d.self().GetControlBytesPerSecond()
		t.Logf("%s: %d control bytes a second", d.name, rate)
		if rate > 4096 {
			t.Errorf("%s: %d control bytes a second exceed 4096", d.name, rate)
		}
	}
}

// Guards against a release that is accepted although an instance of the group
// refuses it.
func TestRefusedReleaseIsWithdrawn(t *testing.T) {
	t.Parallel()
	const refusedAuthor = "refused"
	c := newCluster(t)
	c.verify = map[int]func(*config.Release) error{2: func(r *config.Release) error {
		if r.Author == refusedAuthor {
			return resultcode.Errorf(resultcode.ConfigSyntax, "release %d is refused by the test", r.Number)
		}
		return nil
	}}
	c.startAll(3)
	first := c.mustPublish(c.daemons[0], "12")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(first) })
	result := c.publish(c.daemons[0], refusedAuthor, "13")
	if result.Code != resultcode.PublishRefused || len(result.RefusedBy) != 1 || result.RefusedBy[0] != "entry-2" {
		t.Fatalf("result %+v", result)
	}
	next := c.mustPublish(c.daemons[1], "14")
	eventually(t, 10*time.Second, "next release everywhere", func() bool { return c.allApplied(next) })
	for _, d := range c.daemons {
		d.entry.mu.Lock()
		if len(d.entry.releases) != 2 {
			t.Errorf("%s applied releases %v", d.name, d.entry.releases)
		}
		d.entry.mu.Unlock()
	}
}
