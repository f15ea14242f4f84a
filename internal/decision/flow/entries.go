package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// entry is one flow, 64 bytes.
type entry struct {
	tuple    common.FiveTuple
	flags    entryFlags
	hash     common.FlowHash
	opened   time.Duration
	lastSeen time.Duration
	service  common.ServiceID
	endpoint common.EndpointID
	// sequence is the initial sequence number of the connection and previous
	// that of the connection before it on the same five-tuple. In a held entry
	// sequence is the instance that reported the flow.
	sequence uint32
	previous uint32
	next     uint32 // chain of the hash class, or of the free list
}

type entryFlags uint16

const (
	// flagUsed marks an entry that holds a flow.
	flagUsed entryFlags = 1 << iota
	// flagHeld marks a flow that another instance reported and handles.
	flagHeld
	// flagNoTuple marks a reported flow of which only the hash is known.
	flagNoTuple
	// flagGuessed marks a flow whose endpoint was taken from a default table or
	// from a time before another instance owned the slot.
	flagUnconfirmed
	// flagSequence and flagPrevious are set when the numbers are known.
	flagSequence
	flagPrevious
	// flagFin and flagReset are set when the caller ended the connection.
	flagFin
	flagReset
	// flagClaimed marks a flow that this instance still handles although the new
	// owner of its slot has reported it.
	flagReportedByOwner
	// flagQueued marks a flow in the queue of updates.
	flagQueued
	// flagSending marks a flow in a batch that is not acknowledged.
	flagSending
	// flagReported marks a flow that the target of its slot holds.
	flagReported
	// flagStale marks a flow that the target of its slot may hold with another
	// endpoint.
	flagStale
	// flagFormer marks a flow as the former owner of its slot reported it.
	flagFromFormerOwner
)

const (
	closedFlags   = flagFin | flagReset
	reportedFlags = flagSending | flagReported | flagStale
)

func (e *entry) has(flag entryFlags) bool {
	return e.flags&flag != 0
}

// source returns the instance that reported a held flow.
func (e *entry) source() common.InstanceID {
	return common.InstanceID(e.sequence)
}

// entryTable is a hash table of entries with chaining. Its memory is bounded
// by the highest number of flows and of held flows.
type entryTable struct {
	heads   []uint32 // position + 1, 0 is empty
	entries []entry
	free    uint32 // position + 1 of the first free entry
	used    int
	held    int
	limits  Limits
}

func newEntryTable(limits Limits) entryTable {
	heads := 1
	for heads < limits.MaxFlows {
		heads *= 2
	}
	return entryTable{heads: make([]uint32, heads), limits: limits}
}

// class uses the middle bits of the hash: the top bits are the same within a
// shard, and the low bits select the bucket.
func (t *entryTable) chain(hash common.FlowHash) uint64 {
	return uint64(hash>>8) & uint64(len(t.heads)-1)
}

// find returns the entry of the flow, or an entry of which only the hash is
// known.
func (t *entryTable) find(hash common.FlowHash, tuple *common.FiveTuple) *entry {
	for at := t.heads[t.chain(hash)]; at != 0; {
		e := &t.entries[at-1]
		if e.hash == hash && (e.tuple == *tuple || e.has(flagNoTuple)) {
			return e
		}
		at = e.next
	}
	return nil
}

func (t *entryTable) findHash(hash common.FlowHash) *entry {
	for at := t.heads[t.chain(hash)]; at != 0; {
		e := &t.entries[at-1]
		if e.hash == hash {
			return e
		}
		at = e.next
	}
	return nil
}

// flows returns the number of flows that this instance handles.
func (t *entryTable) flows() int {
	return t.used - t.held
}

func (t *entryTable) full() bool {
	return t.flows() >= t.limits.MaxFlows
}

// crowded reports whether there is no room for an established flow either. Such
// flows may exceed the limit of flows and use the room for held ones.
func (t *entryTable) exhausted() bool {
	return t.used >= t.limits.MaxFlows+t.limits.MaxExceptions
}

func (t *entryTable) heldFull() bool {
	return t.held >= t.limits.MaxExceptions
}

// add returns a new entry for a flow that this instance handles. It invalidates
// pointers to other entries.
func (t *entryTable) add(hash common.FlowHash) *entry {
	at := t.free
	if at == 0 {
		t.entries = append(t.entries, entry{})
		at = uint32(len(t.entries))
	} else {
		t.free = t.entries[at-1].next
	}
	chain := t.chain(hash)
	t.entries[at-1] = entry{hash: hash, flags: flagUsed, next: t.heads[chain]}
	t.heads[chain] = at
	t.used++
	return &t.entries[at-1]
}

func (t *entryTable) remove(e *entry) {
	link := &t.heads[t.chain(e.hash)]
	for *link != 0 {
		at := *link
		if &t.entries[at-1] != e {
			link = &t.entries[at-1].next
			continue
		}
		if e.has(flagHeld) {
			t.held--
		}
		*link = e.next
		*e = entry{next: t.free}
		t.free = at
		t.used--
		return
	}
}

// position returns where the entry is, for references that survive growth.
func (t *entryTable) position(e *entry) uint32 {
	for at := t.heads[t.chain(e.hash)]; at != 0; at = t.entries[at-1].next {
		if &t.entries[at-1] == e {
			return at - 1
		}
	}
	return 0
}

// at returns the entry at the position if it still holds the flow.
func (t *entryTable) at(position uint32, hash common.FlowHash) *entry {
	e := &t.entries[position]
	if !e.has(flagUsed) || e.hash != hash {
		return nil
	}
	return e
}
