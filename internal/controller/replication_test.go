package controller

import (
	"testing"

	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// Guards against copies of a queued batch, which use up the budget of control
// bytes: with them, the handover of a planned restart did not finish in time.
func TestBatchIsQueuedOnce(t *testing.T) {
	queue := &replicationQueue{}
	for range 3 {
		for sequence := uint64(1); sequence <= 2; sequence++ {
			queue.add(&entrypb.ReplicationBatch{Sequence: sequence})
		}
	}
	if len(queue.batches) != 2 {
		t.Fatalf("%d batches are queued, want 2", len(queue.batches))
	}
}
