package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// entry is one flow. It takes 64 bytes.
type entry struct {
	tuple    common.FiveTuple
	flags    entryFlags
	hash     common.FlowHash
	opened   time.Duration
	lastSeen time.Duration
	service  common.ServiceID
	endpoint common.EndpointID
	// sequence is the initial sequence number of the connection, and previous
	// that of the preceding connection on the same five-tuple. In a held entry
	// sequence is the ID of the instance that reported the flow.
	sequence uint32
	previous uint32
	next     uint32 // next entry of the hash chain or free list, position + 1; 0 is none
}

type entryFlags uint16

const (
	// flagUsed marks an entry that holds a flow.
	flagUsed entryFlags = 1 << iota
	// flagHeld marks a flow that another instance handles and has reported.
	flagHeld
	// flagNoTuple marks a reported flow of which only the hash is known.
	flagNoTuple
	// flagUnconfirmed marks a flow whose endpoint was taken from a default table
	// or was stored before another instance owned the slot.
	flagUnconfirmed
	// flagSequence and flagPrevious are set when entry.sequence and
	// entry.previous hold sequence numbers.
	flagSequence
	flagPrevious
	// flagFin and flagReset are set when the caller closed or reset the
	// connection.
	flagFin
	flagReset
	// flagReportedByOwner marks a flow that this instance still handles although
	// the new owner of its slot has reported it.
	flagReportedByOwner
	// flagQueued marks a flow in the report queue.
	flagQueued
	// flagSending marks a flow in a batch in flight.
	flagSending
	// flagReported marks a flow whose report the target of its slot acknowledged.
	flagReported
	// flagStale marks a flow that the target of its slot may hold with another
	// endpoint.
	flagStale
	// flagFromFormerOwner marks a flow whose endpoint was reported by the former
	// owner of its slot.
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

// entryTable is a hash table of flow entries with chaining. Its memory is bounded
// by Limits.MaxFlows and Limits.MaxExceptions.
type entryTable struct {
	heads   []uint32 // position + 1 of the first entry of each chain; 0 is empty
	entries []entry
	free    uint32 // position + 1 of the first free entry; 0 is none
	used    int    // entries with a flow, including held ones
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

// chain returns the index of the hash chain. It uses the middle bits of the hash:
// the top bits are the same within a shard, and the low bits select the bucket of
// the default table.
func (t *entryTable) chain(hash common.FlowHash) uint64 {
	return uint64(hash>>8) & uint64(len(t.heads)-1)
}

// find returns the entry of the flow, or nil. An entry without a five-tuple
// matches by its hash alone.
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

// findHash returns the first entry with the hash, or nil.
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

// full reports whether the limit of flows is reached for new flows.
func (t *entryTable) full() bool {
	return t.flows() >= t.limits.MaxFlows
}

// exhausted reports whether no entry is left for an established flow either.
// Established flows may exceed MaxFlows and use entries intended for held flows.
func (t *entryTable) exhausted() bool {
	return t.used >= t.limits.MaxFlows+t.limits.MaxExceptions
}

func (t *entryTable) heldFull() bool {
	return t.held >= t.limits.MaxExceptions
}

// add returns a new entry with the hash. It invalidates pointers to other entries.
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

// position returns the position of the entry, a reference that stays valid when
// the table grows.
func (t *entryTable) position(e *entry) uint32 {
	for at := t.heads[t.chain(e.hash)]; at != 0; at = t.entries[at-1].next {
		if &t.entries[at-1] == e {
			return at - 1
		}
	}
	return 0
}

// at returns the entry at the position, or nil when it no longer holds a flow with
// the hash.
func (t *entryTable) at(position uint32, hash common.FlowHash) *entry {
	e := &t.entries[position]
	if !e.has(flagUsed) || e.hash != hash {
		return nil
	}
	return e
}
