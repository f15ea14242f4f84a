package flow

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// CompactPull rewrites the bases of the merged answers of all shards to a pull:
// the base that most of the joiner's slots have becomes the base of the service,
// and only the other slots are listed. After a change of the defaults most slots
// keep the same older base, and listing each of them took 12 KB.
func CompactPull(t, future *Tables, joiner common.InstanceID, batch *common.ReplicationBatch) {
	kept := slotTables(t, batch)
	slots := pulledSlots(t, future, joiner)
	var encoder slotBaseEncoder
	batch.Bases = batch.Bases[:0]
	batch.SlotBases = nil
	for _, service := range t.sortedServices() {
		id := service.service.ID
		most := mostCommon(service, slots, kept)
		batch.Bases = append(batch.Bases, most.Base())
		for _, slot := range slots {
			key := slotService{slot, id}
			if table := baseOf(service, key, kept); !table.Equal(most) {
				batch.SlotBases = append(batch.SlotBases, encoder.encode(key, table))
			}
		}
	}
}

// slotTables returns the tables of the listed slot bases.
func slotTables(t *Tables, batch *common.ReplicationBatch) map[slotService]*lookup.Table {
	tables := make(map[slotService]*lookup.Table, len(batch.SlotBases))
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
			tables[slotService{listed.Slot, listed.Base.Service}] = table
		}
	}
	return tables
}

// pulledSlots returns the slots that this instance owns and the joiner will own.
func pulledSlots(t, future *Tables, joiner common.InstanceID) []uint16 {
	var slots []uint16
	for slot := range uint16(common.Slots) {
		if moves(t, future, joiner, slot) {
			slots = append(slots, slot)
		}
	}
	return slots
}

// moves reports whether this instance owns the slot and the joiner will own it.
func moves(t, future *Tables, joiner common.InstanceID, slot uint16) bool {
	owner, _ := t.owners.Owner(slot)
	next, _ := future.owners.Owner(slot)
	return owner == t.self && next == joiner
}

func baseOf(service *ServiceTables, key slotService, kept map[slotService]*lookup.Table) *lookup.Table {
	if table := kept[key]; table != nil {
		return table
	}
	return service.table
}

func mostCommon(service *ServiceTables, slots []uint16, kept map[slotService]*lookup.Table) *lookup.Table {
	most := service.table
	counts := make(map[uint32]int)
	for _, slot := range slots {
		table := baseOf(service, slotService{slot, service.service.ID}, kept)
		counts[table.ID()]++
		if counts[table.ID()] > counts[most.ID()] {
			most = table
		}
	}
	return most
}

// PullReplication returns the state of the slots that the joiner owns in the
// future tables.
func (s *Shard) PullReplication(t, future *Tables, joiner common.InstanceID) common.ReplicationBatch {
	batch := common.ReplicationBatch{
		Target: joiner, Source: t.self, SourceIncarnation: t.Incarnation(),
	}
	slots := s.slotsFor(t, future, joiner)
	if slots.empty() {
		return batch
	}
	for _, service := range t.sortedServices() {
		batch.Bases = append(batch.Bases, service.table.Base())
	}
	batch.SlotBases = s.pulledSlotBases(t, &slots)
	batch.Exceptions = s.pulledFlows(t, &slots)
	return batch
}

// slotsFor returns the slots that this instance owns and the joiner will own.
func (s *Shard) slotsFor(t, future *Tables, joiner common.InstanceID) slotSet {
	var slots slotSet
	for local := range s.slots {
		if moves(t, future, joiner, s.number(local)) {
			slots.add(local)
		}
	}
	return slots
}

func (s *Shard) pulledSlotBases(t *Tables, slots *slotSet) []common.SlotBase {
	var keys []slotService
	for key := range s.slotBases {
		if slots.has(int(key.slot%shardSlots)) && t.service(key.service) != nil {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareSlotService)
	var bases []common.SlotBase
	var described slotBaseEncoder
	for _, key := range keys {
		base := s.slotBases[key].table
		if !base.Equal(t.service(key.service).table) {
			bases = append(bases, described.encode(key, base))
		}
	}
	return bases
}

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
		base := s.wantedBase(service, slotService{e.hash.Slot(), e.service})
		if base.Default(e.hash.Bucket()) != e.endpoint {
			groups.add(e.service, e.endpoint, e.hash)
		}
	}
	return groups.list
}
