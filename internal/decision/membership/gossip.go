package membership

import (
	"math/bits"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// piggyback returns the updates for a datagram to one member, within the byte
// limits: the state of this instance, the known state of the receiver if it must
// refute that state or has an older one, and the queued updates that were sent least
// often. A joining member also gets updates about random members.
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
		outgoing := to.update.compact()
		updates = append(updates, outgoing)
		limit -= outgoing.Size()
	}
	for _, r := range m.leastSent() {
		outgoing := r.outgoing()
		if outgoing.Size() > limit {
			break
		}
		limit -= outgoing.Size()
		updates = append(updates, outgoing)
		m.countSend(r)
	}
	if joining {
		updates = m.appendRandom(updates, to.update.ID, limit)
	}
	return updates
}

// This instance's state takes 75 bytes, a fifth of a datagram, so not every datagram
// carries it.
const (
	// announceDuration is how long after a change every datagram carries this
	// instance's state.
	announceDuration = 20 * time.Second
	// announceEvery is the interval, in datagrams, at which this instance's state
	// is sent afterwards.
	announceEvery = 4
)

// announcesSelf reports whether a datagram to the member carries this instance's
// state.
func (m *Machine) announcesSelf(to *record) bool {
	m.announcements++
	return !to.reachable() || to.update.State != common.MemberServing ||
		m.lastTick-m.selfChangedAt < announceDuration || m.announcements%announceEvery == 0
}

// leastSent returns the members with queued updates, least often sent first.
func (m *Machine) leastSent() []*record {
	var queued []*record
	for _, id := range m.order {
		if r := m.records[id]; r.queued {
			queued = append(queued, r)
		}
	}
	slices.SortStableFunc(queued, func(a, b *record) int { return a.sendCount - b.sendCount })
	return queued
}

// sendFactor times the binary logarithm of the group size is the number of times that
// an update is sent. With 4, an update reaches all of 200 members when a tenth of the
// datagrams is lost.
const sendFactor = 4

// countSend counts a transmission of a queued update and removes the update from
// the queue after the last one.
func (m *Machine) countSend(r *record) {
	r.sendCount++
	if r.sendCount >= sendFactor*bits.Len(uint(len(m.order)+1)) {
		r.queued = false
	}
}

// One in fullUpdateEvery updates about random members, on average, contains the name
// and the addresses. A joining member needs them if it has no instance list because
// the platform is unavailable.
const fullUpdateEvery = 4

// appendRandom fills a datagram to a joining member with updates about random
// members, so that it obtains the view without probing all of them.
func (m *Machine) appendRandom(updates []Update, to common.InstanceID, limit int) []Update {
	for _, i := range m.random.Perm(len(m.order)) {
		r := m.records[m.order[i]]
		if r.queued || !r.known || r.update.ID == to || r.update.State == common.MemberDead {
			continue
		}
		outgoing := r.outgoing()
		if m.random.IntN(fullUpdateEvery) == 0 {
			outgoing = r.update
		}
		limit -= outgoing.Size()
		if limit < 0 {
			break
		}
		updates = append(updates, outgoing)
	}
	return updates
}
