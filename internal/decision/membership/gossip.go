package membership

import (
	"math/bits"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// piggyback returns the own state, what the receiver must know about itself,
// and the updates that were sent least often, within the byte bound.
func (m *Machine) piggyback(to *record) []Update {
	limit := m.config.PiggybackBytes
	joining := to.known && to.update.State == common.MemberJoining
	if joining {
		limit = m.config.JoinPiggybackBytes
	}
	limit = min(limit, m.allowance)
	var updates []Update
	if m.announcesSelf(to) {
		updates = append(updates, m.self)
		limit -= m.self.Size()
	}
	if to.known && (!to.reachable() || to.outdated) {
		told := to.update.compact()
		updates = append(updates, told)
		limit -= told.Size()
	}
	for _, r := range m.leastSent() {
		told := r.told()
		if told.Size() > limit {
			break
		}
		limit -= told.Size()
		updates = append(updates, told)
		m.countSend(r)
	}
	if joining {
		updates = m.appendRandom(updates, to.update.ID, limit)
	}
	return updates
}

// announceFor is how long a change of the own state is in every datagram, and
// announceEvery the share of datagrams that have it afterwards. The own state
// takes 75 bytes, a fifth of a datagram.
const (
	announceFor   = 20 * time.Second
	announceEvery = 4
)

func (m *Machine) announcesSelf(to *record) bool {
	m.announcements++
	return !to.reachable() || to.update.State != common.MemberServing ||
		m.lastTick-m.selfChangedAt < announceFor || m.announcements%announceEvery == 0
}

func (m *Machine) leastSent() []*record {
	var queued []*record
	for _, id := range m.order {
		if r := m.records[id]; r.queued {
			queued = append(queued, r)
		}
	}
	slices.SortStableFunc(queued, func(a, b *record) int { return a.sends - b.sends })
	return queued
}

// sendFactor scales the sends of an update with the logarithm of the group's
// size; 4 reaches all of 200 members with a tenth of the datagrams lost.
const sendFactor = 4

func (m *Machine) countSend(r *record) {
	r.sends++
	if r.sends >= sendFactor*bits.Len(uint(len(m.order)+1)) {
		r.queued = false
	}
}

// fullShare is the share of updates to a joining member that carry addresses, for
// one that has no instance list because the platform is out.
const fullShare = 4

// appendRandom fills a datagram to a joining member with random members, so
// that it learns the view without probing everyone.
func (m *Machine) appendRandom(updates []Update, to common.InstanceID, limit int) []Update {
	for _, i := range m.random.Perm(len(m.order)) {
		r := m.records[m.order[i]]
		if r.queued || !r.known || r.update.ID == to || r.update.State == common.MemberDead {
			continue
		}
		told := r.told()
		if m.random.IntN(fullShare) == 0 {
			told = r.update
		}
		limit -= told.Size()
		if limit < 0 {
			break
		}
		updates = append(updates, told)
	}
	return updates
}
