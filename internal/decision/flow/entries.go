package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// entry is one flow.
type entry struct {
	tuple    common.FiveTuple
	flags    entryFlags
	hash     common.FlowHash
	opened   time.Duration
	seen     time.Duration
	service  common.ServiceID
	endpoint common.EndpointID
	sequence uint32 // initial sequence number of the connection
	next     uint32 // chain of the hash class, or of the free list
}

type entryFlags uint8

const (
	// flagUsed marks an entry that holds a flow.
	flagUsed entryFlags = 1 << iota
	// flagSequence is set when the initial sequence number is known.
	flagSequence
	// flagFin and flagReset are set when the caller ended the connection.
	flagFin
	flagReset
)

const closedFlags = flagFin | flagReset

func (e *entry) has(flag entryFlags) bool {
	return e.flags&flag != 0
}

// entryTable is a hash table of entries with chaining. Its memory is bounded
// by the highest number of flows.
type entryTable struct {
	heads   []uint32 // position + 1, 0 is empty
	entries []entry
	free    uint32 // position + 1 of the first free entry
	used    int
	limit   int
}

func newEntryTable(limit int) entryTable {
	heads := 1
	for heads < limit {
		heads *= 2
	}
	return entryTable{heads: make([]uint32, heads), limit: limit}
}

// class uses the middle bits of the hash: the top bits are the same within a
// shard, and the low bits select the bucket.
func (t *entryTable) class(hash common.FlowHash) uint64 {
	return uint64(hash>>8) & uint64(len(t.heads)-1)
}

func (t *entryTable) find(hash common.FlowHash, tuple *common.FiveTuple) *entry {
	for at := t.heads[t.class(hash)]; at != 0; {
		e := &t.entries[at-1]
		if e.hash == hash && e.tuple == *tuple {
			return e
		}
		at = e.next
	}
	return nil
}

func (t *entryTable) full() bool {
	return t.used >= t.limit
}

// add returns a new entry, or nil when the table is full. It invalidates
// pointers to other entries.
func (t *entryTable) add(hash common.FlowHash, tuple *common.FiveTuple) *entry {
	if t.full() {
		return nil
	}
	at := t.free
	if at == 0 {
		t.entries = append(t.entries, entry{})
		at = uint32(len(t.entries))
	} else {
		t.free = t.entries[at-1].next
	}
	class := t.class(hash)
	t.entries[at-1] = entry{tuple: *tuple, hash: hash, flags: flagUsed, next: t.heads[class]}
	t.heads[class] = at
	t.used++
	return &t.entries[at-1]
}

func (t *entryTable) remove(e *entry) {
	link := &t.heads[t.class(e.hash)]
	for *link != 0 {
		at := *link
		if &t.entries[at-1] == e {
			*link = e.next
			*e = entry{next: t.free}
			t.free = at
			t.used--
			return
		}
		link = &t.entries[at-1].next
	}
}
