package testbed_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/discovery"
	"burdockrelay.example/burdockrelay/platform"
	"burdockrelay.example/burdockrelay/proto/syncpb"
	"burdockrelay.example/burdockrelay/standins/testbed"
)

// bound is the time in which a change must be known. It is short to keep the tests
// short.
const applyDeadline = time.Second

// node is one instance's knowledge, with its own door to the store.
type node struct {
	t           *testing.T
	name        string
	storeServer *testbed.StoreServer
	cache       *discovery.Cache
	peers       *discovery.Peers
	address     netip.AddrPort
	// asked counts the questions of others.
	queries atomic.Int32
	stop    func()
}

// startNode starts an instance that knows other instances by their addresses.
func startNode(t *testing.T, store *testbed.Store, name string, seeds ...*node) *node {
	t.Helper()
	storeServer, err := store.StartServer("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n := &node{t: t, name: name, storeServer: storeServer, address: netip.MustParseAddrPort(listener.Addr().String())}
	started := time.Now()
	n.cache = discovery.NewCache(name, "fukuoka", time.Minute, applyDeadline, func() time.Duration { return time.Since(started) })
	var addresses []netip.AddrPort
	for _, seed := range seeds {
		addresses = append(addresses, seed.address)
	}
	self := discovery.Peer{Name: name, Address: n.address}
	n.peers = discovery.NewPeers(self, addresses)
	client := platform.NewStore(netip.MustParseAddrPort(storeServer.Address()), nil)
	source := &platform.Source{Store: client, Logger: zap.NewNop()}
	metrics := discovery.NewMetrics(prometheus.NewRegistry(), n.cache, n.peers)
	syncer := discovery.NewSyncer(name, applyDeadline, n.cache, n.peers, source, metrics, zap.NewNop())
	addPeers := func(ctx context.Context, peers ...*syncpb.Peer) {
		n.queries.Add(1)
		syncer.AddPeers(ctx, peers...)
	}
	service := &discovery.Server{Cache: n.cache, Peers: n.peers, ReadsStore: syncer.ReadsStore, AddPeers: addPeers, Metrics: metrics}
	registry := &discovery.Registry{Store: client, Self: self, Peers: n.peers, Logger: zap.NewNop(), OnPeers: syncer.AddPeers}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, run := range []func() error{
		func() error { return syncer.Run(ctx) },
		func() error { return service.Serve(ctx, listener) },
		func() error { return registry.Run(ctx) },
	} {
		go func() {
			if err := run(); err != nil && ctx.Err() == nil {
				t.Errorf("%s: %v", name, err)
			}
			done <- struct{}{}
		}()
	}
	n.stop = func() {
		cancel()
		for range 3 {
			<-done
		}
		_ = storeServer.Close()
	}
	t.Cleanup(func() {
		if n.stop != nil {
			n.stop()
		}
	})
	return n
}

// version returns the version of the configuration that the instance has in force.
func (n *node) version() uint64 {
	view, _ := n.cache.Current(n.cache.Now())
	return view.Version()
}

// within waits for a condition.
func within(t *testing.T, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Errorf("not within %v: %s", limit, description)
}

// publish writes a configuration with one rule.
func publish(store *testbed.Store, version int) {
	store.Put("config", "main", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/","service":"desk"}],"services":[{"name":"desk","health_path":"/health","max_conns":2000}],"limits":{"idle_timeout_ms":15000}}`, version))
}

func register(store *testbed.Store, id int, state string) {
	store.Put("servers", fmt.Sprintf("i-%x", id), fmt.Appendf(nil, `{"service":"desk","address":"127.0.%d.%d:8080","zone":"fukuoka","version":"v1","max_concurrency":2,"state":%q,"warmup_left_ms":0,"sequence":1,"born":%d}`, 2+id>>8, id&255, state, id))
}

// endpoints returns the endpoints that new flows may go to.
func (n *node) endpointCount() int {
	return n.cache.Available("desk")
}

func storeWithEndpoints(endpoints int) *testbed.Store {
	store := testbed.NewStore()
	publish(store, 1)
	for id := range endpoints {
		register(store, id+1, "ready")
	}
	return store
}

// Guards against a change that is only learned from watches, while these hear
// nothing and the history is dropped afterwards.
func TestChangesArriveWhileWatchesAreBlocked(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "first configuration", func() bool { return n.version() == 1 && n.endpointCount() == 3 })
	store.BlockWatches(true)
	publish(store, 2)
	register(store, 1, "draining")
	within(t, applyDeadline, "configuration and drain behind mute watches", func() bool { return n.version() == 2 && n.endpointCount() == 2 })
	publish(store, 3)
	store.DropHistory()
	store.BlockWatches(false)
	within(t, applyDeadline, "configuration behind a lost history", func() bool { return n.version() == 3 })
}

// Guards against an instance that the store turns away, in any manner, and that does
// not learn from the others.
func TestInstanceRejectedByStoreReadsFromPeers(t *testing.T) {
	t.Parallel()
	for _, mode := range []testbed.Mode{testbed.Unavailable, testbed.TooManyRequests, testbed.ConnectionReset, testbed.NoResponse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			store := storeWithEndpoints(2)
			// Whichever is first in the order of readers, one case has it turned away.
			first := startNode(t, store, "entry-1")
			second := startNode(t, store, "entry-2", first)
			for version, rejected := range []*node{first, second} {
				within(t, 2*applyDeadline, "start", func() bool { return first.endpointCount() == 2 && second.endpointCount() == 2 })
				rejected.storeServer.SetFaults(testbed.Faults{Mode: mode})
				time.Sleep(2 * applyDeadline)
				publish(store, version+2)
				within(t, applyDeadline, "configuration at "+rejected.name, func() bool { return rejected.version() == uint64(version+2) })
				rejected.storeServer.SetFaults(testbed.Faults{})
			}
		})
	}
}

// Guards against a connection to the store that has gone silent and is waited for.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(2)
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return n.version() == 1 })
	n.storeServer.SetFaults(testbed.Faults{Mode: testbed.NoResponse})
	time.Sleep(applyDeadline / 2)
	n.storeServer.SetFaults(testbed.Faults{})
	publish(store, 2)
	within(t, applyDeadline, "configuration", func() bool { return n.version() == 2 })
}

// Guards against an instance that waits for calls which a cut has swallowed while new
// ones would be answered.
func TestReadsResumeAfterNetworkCut(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(2)
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return n.version() == 1 })
	for version := 2; version < 5; version++ {
		n.storeServer.SetFaults(testbed.Faults{Mode: testbed.NoResponse, Forever: true})
		time.Sleep(time.Duration(version) * 700 * time.Millisecond)
		publish(store, version)
		n.storeServer.SetFaults(testbed.Faults{})
		within(t, applyDeadline, "configuration after the cut", func() bool { return n.version() == uint64(version) })
	}
}

// Guards against a slow store that is given up at each call.
func TestSlowStoreIsNotTimedOut(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(2)
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return n.version() == 1 })
	n.storeServer.SetFaults(testbed.Faults{Delay: 600 * time.Millisecond})
	publish(store, 2)
	within(t, 6*time.Second, "configuration from the slow store", func() bool { return n.version() == 2 })
}

// Guards against an instance without routes and endpoints because it starts while
// the store is away, and against an older configuration after its return.
func TestStartDuringStoreOutage(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(2)
	running := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return running.endpointCount() == 2 })
	started := startNode(t, store, "entry-2", running)
	started.storeServer.SetFaults(testbed.Faults{Mode: testbed.ConnectionReset})
	running.storeServer.SetFaults(testbed.Faults{Mode: testbed.ConnectionReset})
	within(t, applyDeadline, "knowledge from the peer", func() bool { return started.version() == 1 && started.endpointCount() == 2 })
	publish(store, 5)
	running.storeServer.SetFaults(testbed.Faults{})
	within(t, 2*applyDeadline, "newer configuration", func() bool { return started.version() == 5 })
}

// forward passes connections on from an address to another one until the test ends.
func forward(t *testing.T, from, to netip.AddrPort) {
	t.Helper()
	listener, err := net.Listen("tcp", from.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", to.String())
			if err != nil {
				_ = client.Close()
				continue
			}
			go func() { _, _ = io.Copy(server, client); _ = server.Close() }()
			go func() { _, _ = io.Copy(client, server); _ = client.Close() }()
		}
	}()
}

// Guards against an instance that waits before it asks its seed again, when both have
// started at the same moment and the seed did not listen yet.
func TestSeedListensAfterInstanceStart(t *testing.T) {
	t.Parallel()
	seed := startNode(t, storeWithEndpoints(2), "entry-1")
	within(t, applyDeadline, "start", func() bool { return seed.endpointCount() == 2 })
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := netip.MustParseAddrPort(reserved.Addr().String())
	_ = reserved.Close()
	// Its store tells it nothing.
	started := startNode(t, testbed.NewStore(), "entry-2", &node{address: address})
	time.Sleep(150 * time.Millisecond)
	forward(t, address, seed.address)
	within(t, applyDeadline/2, "knowledge from the seed", func() bool { return started.endpointCount() == 2 })
}

// Guards against endpoints that are given up when an outage of the store has let
// their entries expire, and against ones that are kept although they do not return.
func TestRecordsExpireDuringStoreOutage(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return n.endpointCount() == 3 })
	n.storeServer.SetFaults(testbed.Faults{Mode: testbed.NoResponse})
	time.Sleep(2 * time.Second)
	for id := range 3 {
		store.Remove("servers", fmt.Sprintf("i-%x", id+1))
	}
	n.storeServer.SetFaults(testbed.Faults{})
	within(t, 2*applyDeadline, "return of the store", func() bool { at, _ := n.cache.CompleteAt(); return at == store.Revision() })
	if got := n.endpointCount(); got != 3 {
		t.Errorf("%d endpoints after the return, want 3", got)
	}
	register(store, 1, "ready")
	within(t, 4*time.Second, "the two that did not return are gone", func() bool { return n.endpointCount() == 1 })
}

// Guards against instances that take each other's old knowledge for the store's return,
// and that ask each other without end while the store is away.
func TestPeerDataIsNotStoreRecovery(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	nodes := []*node{startNode(t, store, "entry-1")}
	for i := range 3 {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("entry-%d", i+2), nodes[0]))
	}
	for _, n := range nodes {
		within(t, 8*applyDeadline, "start", func() bool { return n.endpointCount() == 3 && n.peers.Count() == 3 })
	}
	for _, n := range nodes {
		n.storeServer.SetFaults(testbed.Faults{Mode: testbed.ConnectionReset})
	}
	time.Sleep(4 * applyDeadline)
	before := nodes[0].queries.Load()
	time.Sleep(4 * applyDeadline)
	// An interval is a quarter of the bound.
	if newQueries := nodes[0].queries.Load() - before; newQueries > 16*5 {
		t.Errorf("asked %d times in 16 intervals", newQueries)
	}
	for _, n := range nodes {
		if _, freshness := n.cache.Current(n.cache.Now()); freshness.Settled < 8*applyDeadline {
			t.Errorf("%s takes the store to have come back %v ago", n.name, freshness.Settled)
		}
	}
}

// Guards against an endpoint that leaves while all is well and is kept as if there
// had been an outage.
func TestRemovedRecordIsDroppedAtOnce(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return n.endpointCount() == 3 })
	time.Sleep(applyDeadline)
	store.Remove("servers", "i-1")
	within(t, applyDeadline, "departure", func() bool { return n.endpointCount() == 2 })
}

// Guards against instances that do not find each other when the answer to their
// registration is lost and it is done later.
func TestRegistrationWithLostResponse(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(1)
	first := startNode(t, store, "entry-1")
	first.storeServer.SetFaults(testbed.Faults{LoseWrites: true, LateBy: 300 * time.Millisecond})
	within(t, 5*time.Second, "late registration", func() bool { return len(store.Names("burdock-instances")) == 1 })
	first.storeServer.SetFaults(testbed.Faults{})
	second := startNode(t, store, "entry-2")
	within(t, 8*time.Second, "first instance known", func() bool { return second.peers.Count() == 1 })
	within(t, 8*time.Second, "second instance known", func() bool { return first.peers.Count() == 1 })
}

// Guards against an entry of another writer that takes the others with it.
func TestInvalidRecordsAreSkipped(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	store.Put("servers", "i-99", []byte(`{"service":7}`))
	store.Put("servers", "note", []byte(`"text"`))
	n := startNode(t, store, "entry-1")
	within(t, applyDeadline, "start", func() bool { return n.endpointCount() == 3 })
	store.Put("servers", "i-1", []byte(`{"service":"desk"}`))
	within(t, applyDeadline, "an entry that has become unreadable", func() bool { return n.endpointCount() == 2 })
	register(store, 1, "ready")
	within(t, applyDeadline, "and readable again", func() bool { return n.endpointCount() == 3 })
}

// Guards against reads of a long list that are given up and begun anew, beside each
// other, because the whole list takes longer than one answer.
func TestLongListIsReadCompletely(t *testing.T) {
	t.Parallel()
	const endpointCount, pages, pageDelay = 1200, 12, 300 * time.Millisecond
	store := storeWithEndpoints(endpointCount)
	store.SetPageSize(endpointCount / pages)
	var nodes []*node
	for i := range 3 {
		n := startNode(t, store, fmt.Sprintf("entry-%d", i+1), nodes...)
		n.storeServer.SetFaults(testbed.Faults{Delay: pageDelay})
		nodes = append(nodes, n)
	}
	// The time that one read takes, and that of the answers of peers.
	limit := pages*pageDelay + 2*time.Second
	for _, n := range nodes {
		within(t, limit, "long list at "+n.name, func() bool { return n.endpointCount() == endpointCount })
	}
	// Four reads of an instance overlap at most.
	if calls := store.Calls(); calls > len(nodes)*4*(pages+2) {
		t.Errorf("%d calls for lists of %d parts", calls, pages)
	}
}

// Guards against calls to the store that grow with the instances.
func TestFollowersDoNotReadTheStore(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	nodes := []*node{startNode(t, store, "entry-1")}
	for i := range 5 {
		nodes = append(nodes, startNode(t, store, fmt.Sprintf("entry-%d", i+2), nodes[0]))
	}
	for _, n := range nodes {
		within(t, 4*applyDeadline, "start", func() bool { return n.endpointCount() == 3 && n.peers.Count() == 5 })
	}
	time.Sleep(2 * applyDeadline)
	before := store.Calls()
	time.Sleep(4 * applyDeadline)
	// One reader makes four calls in the bound.
	if calls := store.Calls() - before; calls > 24 {
		t.Errorf("%d calls of six instances in %v", calls, 4*applyDeadline)
	}
}
