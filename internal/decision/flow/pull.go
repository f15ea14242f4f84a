package flow

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// CompactPull shortens the merged response of all shards to a pull. The base that
// most of the joiner's slots have becomes the base of the service, and only the other
// slots keep a slot base. After a change of the default endpoints most slots keep the
// same older base; a response that listed it for each of them took 12 KB.
func CompactPull(t, future *Tables, joiner common.InstanceID, batch *common.ReplicationBatch) {
	kept := slotTables(t, batch)
	slots := pulledSlots(t, future, joiner)
	var encoder slotBaseEncoder
	batch.Bases = batch.Bases[:0]
	batch.SlotBases = nil
	for _, service := range t.orderedServices() {
		id := service.service.ID
		mostCommon := mostCommonTable(service, slots, kept)
		batch.Bases = append(batch.Bases, mostCommon.Base())
		for _, slot := range slots {
			key := slotBaseKey{slot, id}
			if table := baseOf(service, key, kept); !table.Equal(mostCommon) {
				batch.SlotBases = append(batch.SlotBases, encoder.encode(key, table))
			}
		}
	}
}

// slotTables returns the tables of the slot bases in a batch.
func slotTables(t *Tables, batch *common.ReplicationBatch) map[slotBaseKey]*lookup.Table {
	tables := make(map[slotBaseKey]*lookup.Table, len(batch.SlotBases))
	known := make(map[uint32]*lookup.Table)
	for i := range batch.SlotBases {
		listed := &batch.SlotBases[i]
		var table *lookup.Table
		if isReference(&listed.Base) {
			table = known[listed.Base.Weights[0]]
		} else {
			table = t.tableOf(&listed.Base)
			known[table.ID()] = table
		}
		if table != nil {
			tables[slotBaseKey{listed.Slot, listed.Base.Service}] = table
		}
	}
	return tables
}

// pulledSlots returns the slots that this instance owns and the joiner will own.
func pulledSlots(t, future *Tables, joiner common.InstanceID) []uint16 {
	var slots []uint16
	for slot := range uint16(common.Slots) {
		if movesToJoiner(t, future, joiner, slot) {
			slots = append(slots, slot)
		}
	}
	return slots
}

// movesToJoiner reports whether this instance owns the slot and the joiner will own
// it.
func movesToJoiner(t, future *Tables, joiner common.InstanceID, slot uint16) bool {
	owner, _ := t.owners.Owner(slot)
	next, _ := future.owners.Owner(slot)
	return owner == t.self && next == joiner
}

// baseOf returns the base of the slot: the one in kept, otherwise the current table.
func baseOf(service *ServiceTables, key slotBaseKey, kept map[slotBaseKey]*lookup.Table) *lookup.Table {
	if table := kept[key]; table != nil {
		return table
	}
	return service.table
}

// mostCommonTable returns the base that most of the slots have, or the current table if
// there are no slots.
func mostCommonTable(service *ServiceTables, slots []uint16, kept map[slotBaseKey]*lookup.Table) *lookup.Table {
	mostCommon := service.table
	counts := make(map[uint32]int)
	for _, slot := range slots {
		table := baseOf(service, slotBaseKey{slot, service.service.ID}, kept)
		counts[table.ID()]++
		if counts[table.ID()] > counts[mostCommon.ID()] {
			mostCommon = table
		}
	}
	return mostCommon
}

// PullReplication returns the bases and exceptions of the slots that this instance
// owns in t and the joiner owns in the future tables.
func (s *Shard) PullReplication(t, future *Tables, joiner common.InstanceID) common.ReplicationBatch {
	batch := common.ReplicationBatch{
		Target: joiner, Source: t.self, SourceIncarnation: t.Incarnation(),
	}
	slots := s.pulledLocalSlots(t, future, joiner)
	if slots.empty() {
		return batch
	}
	for _, service := range t.orderedServices() {
		batch.Bases = append(batch.Bases, service.table.Base())
	}
	batch.SlotBases = s.pulledSlotBases(t, &slots)
	batch.Exceptions = s.pulledFlows(t, &slots)
	return batch
}

// pulledLocalSlots returns the slots of this shard that this instance owns and the
// joiner will own.
func (s *Shard) pulledLocalSlots(t, future *Tables, joiner common.InstanceID) slotSet {
	var slots slotSet
	for local := range s.slots {
		if movesToJoiner(t, future, joiner, s.globalSlot(local)) {
			slots.add(local)
		}
	}
	return slots
}

// pulledSlotBases returns the bases of the slots that differ from the current tables.
func (s *Shard) pulledSlotBases(t *Tables, slots *slotSet) []common.SlotBase {
	var keys []slotBaseKey
	for key := range s.slotBases {
		if slots.has(int(key.slot%shardSlots)) && t.service(key.service) != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareSlotBaseKeys)
	var bases []common.SlotBase
	var encoder slotBaseEncoder
	for _, key := range keys {
		base := s.slotBases[key].table
		if !base.Equal(t.service(key.service).table) {
			bases = append(bases, encoder.encode(key, base))
		}
	}
	return bases
}

// pulledFlows returns those flows in the slots that are exceptions to their base.
func (s *Shard) pulledFlows(t *Tables, slots *slotSet) []common.ExceptionGroup {
	var groups exceptionGroups
	for i := range s.table.entries {
		e := &s.table.entries[i]
		if !e.has(flagUsed) || e.has(flagHeld) || !slots.has(localSlot(e.hash)) {
			continue
		}
		service := t.service(e.service)
		if service == nil {
			continue
		}
		base := s.ownedSlotBase(service, slotBaseKey{e.hash.Slot(), e.service})
		if base.Default(e.hash.Bucket()) != e.endpoint {
			groups.add(e.service, e.endpoint, e.hash)
		}
	}
	return groups.list
}
