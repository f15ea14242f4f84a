package flow

import (
	"testing"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// pullBases returns the table ID of the base of each slot according to the response
// to a pull.
func pullBases(t *testing.T, tables *Tables, service common.ServiceID, slots []uint16, batch *common.ReplicationBatch) map[uint16]uint32 {
	t.Helper()
	kept := slotTables(tables, batch)
	bases := make(map[uint16]uint32)
	for _, slot := range slots {
		if table := kept[slotBaseKey{slot, service}]; table != nil {
			bases[slot] = table.ID()
			continue
		}
		bases[slot] = tables.tableOf(&batch.Bases[0]).ID()
	}
	return bases
}

// Guards against a compaction of the response to a pull that changes the base of a
// slot: its idle flows would go to the wrong endpoint.
func TestCompactPullKeepsTheBaseOfEverySlot(t *testing.T) {
	snapshot := testSnapshot(6, 3)
	future := mustTables(t, snapshot, nil)
	current := *snapshot
	current.Members = current.Members[:2]
	tables := mustTables(t, &current, nil)
	joiner := snapshot.Members[2].ID
	slots := pulledSlots(tables, future, joiner)
	if len(slots) < 1000 {
		t.Fatalf("the joiner gets %d slots", len(slots))
	}
	service := snapshot.Services[0].ID
	older := lookup.NewLazy(service, []common.EndpointID{1, 2, 3}, []uint32{1, 1, 1})
	oldest := lookup.NewLazy(service, []common.EndpointID{1, 2}, []uint32{1, 1})
	batch := common.ReplicationBatch{Bases: []common.ServiceBase{tables.services[service].table.Base()}}
	var encoder slotBaseEncoder
	for i, slot := range slots {
		switch i % 10 {
		case 0:
		case 1:
			batch.SlotBases = append(batch.SlotBases, encoder.encode(slotBaseKey{slot, service}, oldest))
		default:
			batch.SlotBases = append(batch.SlotBases, encoder.encode(slotBaseKey{slot, service}, older))
		}
	}
	before, listed := pullBases(t, tables, service, slots, &batch), len(batch.SlotBases)
	CompactPull(tables, future, joiner, &batch)
	after := pullBases(t, tables, service, slots, &batch)
	for _, slot := range slots {
		if before[slot] != after[slot] {
			t.Fatalf("slot %d has base %d before and %d after the compaction", slot, before[slot], after[slot])
		}
	}
	if len(batch.SlotBases) > listed/3 {
		t.Errorf("%d of %d slot bases are still listed", len(batch.SlotBases), listed)
	}
}
