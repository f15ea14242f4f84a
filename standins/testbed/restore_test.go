package testbed_test

import (
	"fmt"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

// publishEverywhere publishes a version and checks that it is in force in time.
func publishEverywhere(t *testing.T, store *testbed.Store, nodes []*node, version int) {
	t.Helper()
	publish(store, version)
	versionEverywhere(t, nodes, version)
}

func versionEverywhere(t *testing.T, nodes []*node, version int) {
	t.Helper()
	for _, n := range nodes {
		within(t, applyDeadline, fmt.Sprintf("version %d at %s", version, n.name), func() bool { return n.version() == uint64(version) })
	}
}

// endpointsEverywhere checks that a number of endpoints is available in time.
func endpointsEverywhere(t *testing.T, nodes []*node, count int) {
	t.Helper()
	for _, n := range nodes {
		within(t, applyDeadline, fmt.Sprintf("%d endpoints at %s", count, n.name), func() bool { return n.endpointCount() == count })
	}
}

// lastChangeEverywhere waits until all nodes have the last change of the store.
func lastChangeEverywhere(t *testing.T, store *testbed.Store, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		within(t, applyDeadline, "last change at "+n.name, func() bool { at, _ := n.cache.CompleteAt(); return at.Number == store.Revision() })
	}
}

// heartbeat writes the record of an endpoint with a sequence number.
func heartbeat(store *testbed.Store, id int, state string, sequence int) {
	store.Heartbeat(fmt.Sprintf("i-%x", id), record(id, state, sequence))
}

// Guards against a change that is never applied because the restored store assigns it a
// revision that an instance has already cached from before the restore.
func TestChangesAfterRestoreAreApplied(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	first := startNode(t, store, "entry-1")
	nodes := []*node{first, startNode(t, store, "entry-2", first)}
	publishEverywhere(t, store, nodes, 2)
	backup := store.Copy()
	publishEverywhere(t, store, nodes, 3)
	publishEverywhere(t, store, nodes, 4)
	store.Restore(backup)
	publishEverywhere(t, store, nodes, 4)
	publishEverywhere(t, store, nodes, 5)
	register(store, 1, "draining")
	endpointsEverywhere(t, nodes, 2)
}

// Guards against instances that go back to the older configuration and endpoint states of
// the copy: a rule that was published would be withdrawn again, and endpoints that drain
// or have left would get new flows.
func TestRestoredCopyDoesNotRevertState(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(4)
	first := startNode(t, store, "entry-1")
	nodes := []*node{first, startNode(t, store, "entry-2", first)}
	publishEverywhere(t, store, nodes, 2)
	backup := store.Copy()
	publishEverywhere(t, store, nodes, 3)
	heartbeat(store, 1, "draining", 5)
	heartbeat(store, 2, "draining", 4)
	endpointsEverywhere(t, nodes, 2)
	store.Remove("servers", "i-2")
	lastChangeEverywhere(t, store, nodes)
	store.Restore(backup)
	for end := time.Now().Add(3 * applyDeadline); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, n := range nodes {
			if n.version() != 3 || n.endpointCount() != 2 {
				t.Fatalf("%s went back to version %d with %d endpoints", n.name, n.version(), n.endpointCount())
			}
		}
	}
	// The operator and the endpoints write again what was lost.
	publishEverywhere(t, store, nodes, 3)
	heartbeat(store, 1, "draining", 9)
	store.Remove("servers", "i-2")
	heartbeat(store, 5, "ready", 1)
	endpointsEverywhere(t, nodes, 3)
}

// Guards against an instance that starts while the store still has the content of the
// copy, and uses it although its peers know newer content.
func TestStartWithRestoredCopyUsesStateOfPeers(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(3)
	first := startNode(t, store, "entry-1")
	publishEverywhere(t, store, []*node{first}, 2)
	backup := store.Copy()
	publishEverywhere(t, store, []*node{first}, 3)
	heartbeat(store, 1, "draining", 5)
	heartbeat(store, 2, "draining", 4)
	endpointsEverywhere(t, []*node{first}, 1)
	store.Remove("servers", "i-2")
	lastChangeEverywhere(t, store, []*node{first})
	store.Restore(backup)
	started := startNode(t, store, "entry-2", first)
	within(t, applyDeadline, "version of the peer", func() bool { return started.version() == 3 && started.endpointCount() == 1 })
	publishEverywhere(t, store, []*node{first, started}, 4)
}

// Guards against an instance that keeps the state from before the restore, because it
// cannot reach the store and its peers have lower revisions than it has itself.
func TestInstanceCutOffFromStoreLearnsOfRestore(t *testing.T) {
	t.Parallel()
	for _, rejected := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(rejected), func(t *testing.T) {
			t.Parallel()
			store := storeWithEndpoints(3)
			first := startNode(t, store, "entry-1")
			nodes := []*node{first, startNode(t, store, "entry-2", first), startNode(t, store, "entry-3", first)}
			versionEverywhere(t, nodes, 1)
			for _, n := range nodes {
				within(t, 8*applyDeadline, "peers of "+n.name, func() bool { return n.peers.Count() == 2 })
			}
			backup := store.Copy()
			publishEverywhere(t, store, nodes, 2)
			publishEverywhere(t, store, nodes, 3)
			nodes[rejected].storeServer.SetFaults(testbed.Faults{Mode: testbed.ConnectionReset})
			time.Sleep(applyDeadline)
			store.Restore(backup)
			publish(store, 3)
			time.Sleep(applyDeadline)
			publishEverywhere(t, store, nodes, 4)
			register(store, 1, "draining")
			endpointsEverywhere(t, nodes, 2)
		})
	}
}

// Guards against endpoints that are dropped because they registered after the copy was
// made, and against ones that are kept although they do not register again.
func TestEndpointsMissingInCopyStayInUse(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(2)
	n := startNode(t, store, "entry-1")
	endpointsEverywhere(t, []*node{n}, 2)
	backup := store.Copy()
	register(store, 3, "ready")
	register(store, 4, "ready")
	endpointsEverywhere(t, []*node{n}, 4)
	store.Restore(backup)
	within(t, applyDeadline, "restore noticed", func() bool { at, _ := n.cache.CompleteAt(); return at.Era == 2 })
	if got := n.endpointCount(); got != 4 {
		t.Errorf("%d endpoints after the restore, want 4", got)
	}
	register(store, 3, "ready")
	within(t, 4*time.Second, "removal of the endpoint that did not register again", func() bool { return n.endpointCount() == 3 })
}

// Guards against an instance that others cannot find in the store for hours, because the
// copy lacks its registration.
func TestRegistrationLostInRestoreIsWrittenAgain(t *testing.T) {
	t.Parallel()
	store := storeWithEndpoints(1)
	backup := store.Copy()
	first := startNode(t, store, "entry-1")
	startNode(t, store, "entry-2", first)
	registered := func() bool { return len(store.Names("burdock-instances")) == 2 }
	within(t, 4*time.Second, "registrations", registered)
	store.Restore(backup)
	within(t, 4*time.Second, "registrations after the restore", registered)
}
