package flow

import (
	"time"
)

const (
	// finLinger is how long a flow stays after the caller's last packet when the
	// caller closed its side: the response may not be complete.
	finLinger = 60 * time.Second
	// resetLinger is how long a reset flow stays, for packets that were sent
	// before the reset.
	resetLinger = 5 * time.Second
)

// Expire removes flows that ended or were idle for too long. It examines at
// most maxEntries entries and returns the number removed.
func (s *Shard) Expire(now time.Duration, maxEntries int) int {
	if s.tables == nil {
		return 0
	}
	removed := 0
	for range min(maxEntries, len(s.table.entries)) {
		if s.expireCursor >= len(s.table.entries) {
			s.expireCursor = 0
			s.expireSlotBases(now)
			s.expireRefusals(now)
		}
		e := &s.table.entries[s.expireCursor]
		s.expireCursor++
		if e.has(flagUsed) && s.expireEntry(e, now) {
			removed++
		}
	}
	if len(s.table.entries) == 0 {
		s.expireSlotBases(now)
		s.expireRefusals(now)
	}
	return removed
}

// expireEntry removes the flow if it has ended, was idle for too long or belongs to
// a slot whose handover has ended. It reports whether the flow was removed.
func (s *Shard) expireEntry(e *entry, now time.Duration) bool {
	state := s.slotOf(e.hash)
	owned := state.owner == s.tables.self
	switch {
	case e.has(flagHeld):
		if s.sourceOwnsSlot(e) && !s.limits.ablation.expireHeld {
			// The owner handles the packets and withdraws the flow when it ends.
			e.lastSeen = now
		}
	case !owned && now-state.lost >= 2*handoverPeriod && !s.needsReport(s.tables, e):
		// The flow stays for two handovers, because the next owner may need it if
		// the slot moves again.
		if e.has(flagReportedByOwner) {
			s.handBack(s.tables, e, state.owner, e.service, e.endpoint, now)
			return false
		}
		s.discard(s.tables, e)
		return true
	}
	if now-e.lastSeen < s.lifetime(e) {
		return false
	}
	if !owned && e.has(flagReportedByOwner) {
		// The owner relies on this instance to keep the flow.
		s.handBack(s.tables, e, state.owner, e.service, e.endpoint, now)
		return false
	}
	s.remove(s.tables, e)
	return true
}

// sourceOwnsSlot reports whether the instance that reported a held flow still owns
// its slot and replicates to this instance.
func (s *Shard) sourceOwnsSlot(e *entry) bool {
	if e.source() != s.slotOf(e.hash).owner {
		return false
	}
	successor, found := s.tables.owners.Successor(e.hash.Slot())
	return found && successor == s.tables.self
}

// lifetime returns how long the flow stays after its last packet.
func (s *Shard) lifetime(e *entry) time.Duration {
	idle := DefaultIdleTimeout
	if service := s.tables.service(e.service); service != nil {
		idle = service.idleTimeout()
	}
	switch {
	case e.has(flagReset):
		return min(idle, resetLinger)
	case e.has(flagFin):
		return min(idle, finLinger)
	default:
		return idle
	}
}

// expireSlotBases removes the bases of slots whose idle flows from before the gain
// have expired, and of slots that were lost two handovers ago.
func (s *Shard) expireSlotBases(now time.Duration) {
	for key, base := range s.slotBases {
		service := s.tables.service(key.service)
		lost := s.slots[key.slot%shardSlots].owner != s.tables.self
		mayHaveIdleFlows := service != nil && now-base.since < service.idleTimeout()
		if mayHaveIdleFlows && (!lost || now-s.slots[key.slot%shardSlots].lost < 2*handoverPeriod) {
			continue
		}
		delete(s.slotBases, key)
		s.queueStale = true
	}
}
