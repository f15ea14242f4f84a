package testbed_test

import (
	"testing"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

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
	for _, n := range nodes {
		within(t, applyDeadline, "drain at "+n.name, func() bool { return n.endpointCount() == 2 })
	}
}

// publishEverywhere publishes a version and checks that it is in force in time.
func publishEverywhere(t *testing.T, store *testbed.Store, nodes []*node, version int) {
	t.Helper()
	publish(store, version)
	for _, n := range nodes {
		within(t, applyDeadline, "configuration at "+n.name, func() bool { return n.version() == uint64(version) })
	}
}
