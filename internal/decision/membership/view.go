package membership

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Members returns the view, including this instance, ordered by ID.
func (m *Machine) Members() []common.Member {
	members := []common.Member{member(&m.self, m.self.State)}
	for _, id := range m.order {
		r := m.records[id]
		if !r.known {
			continue
		}
		members = append(members, member(&r.update, r.viewState()))
	}
	slices.SortFunc(members, func(a, b common.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return members
}

// viewState returns the state to show in the view. It hides the suspicion of a
// member that owns no slots, because a suspect member counts as an owner.
func (r *record) viewState() common.MemberState {
	if r.update.State == common.MemberSuspect && r.stateBeforeSuspicion != common.MemberServing {
		return r.stateBeforeSuspicion
	}
	return r.update.State
}

func member(u *Update, state common.MemberState) common.Member {
	return common.Member{
		ID: u.ID, Name: u.Name, Incarnation: u.Incarnation, EntryAddress: u.Entry, State: state,
	}
}

// Peers returns the other known members that are not dead.
func (m *Machine) Peers() []Update {
	var peers []Update
	for _, id := range m.order {
		if r := m.records[id]; r.known && r.update.State != common.MemberDead {
			peers = append(peers, r.update)
		}
	}
	return peers
}

// Dead reports whether the member is dead in this instance's view.
func (m *Machine) Dead(id common.InstanceID) bool {
	r, found := m.records[id]
	return found && r.known && r.update.State == common.MemberDead
}

// unresponsiveProbes is the number of failed probes after which a listed instance
// that has never answered counts as unresponsive.
const unresponsiveProbes = 3

// Unresponsive returns the listed instances that have never answered, although they
// were probed unresponsiveProbes times over at least DeadAfter. If they had a lease, it
// has expired by then.
func (m *Machine) Unresponsive(now time.Duration) []Update {
	var unresponsive []Update
	for _, id := range m.order {
		r := m.records[id]
		if r.listed && !r.known && r.failedProbes >= unresponsiveProbes && now-r.unansweredSince >= m.config.DeadAfter {
			unresponsive = append(unresponsive, r.update)
		}
	}
	return unresponsive
}

// Lease returns for how long from now the instance may act as an owner, and false
// if it may not. The duration counts from when the newest answered probe was sent,
// because a peer has certainly received a message since then. Without peers it is
// always the full LeaseDuration.
func (m *Machine) Lease(now time.Duration) (time.Duration, bool) {
	if !m.hasPeers(now) {
		return m.config.LeaseDuration, true
	}
	if !m.confirmed {
		return 0, false
	}
	left := m.config.LeaseDuration - (now - m.confirmedAt)
	return left, left > 0
}

// hasPeers reports whether another instance may own slots: a known member that is
// not dead, or a listed instance that is still within ListGrace.
func (m *Machine) hasPeers(now time.Duration) bool {
	for _, r := range m.records {
		if r.known && r.update.State != common.MemberDead {
			return true
		}
		if r.listed && now-r.unansweredSince < m.config.ListGrace {
			return true
		}
	}
	return false
}

// Isolated reports whether there are peers but none has answered a probe during
// the last LeaseDuration.
func (m *Machine) Isolated(now time.Duration) bool {
	_, ok := m.Lease(now)
	return !ok
}

// Discovered reports whether a joining instance has discovered its peers: no member
// has become known for the duration quiet, and each listed instance that is not
// leaving is known or has not answered for the duration limit.
func (m *Machine) Discovered(now, quiet, limit time.Duration) bool {
	if now-m.lastDiscovery < quiet {
		return false
	}
	for _, r := range m.records {
		if r.listed && !r.listLeaving && !r.known && now-r.unansweredSince < limit {
			return false
		}
	}
	return true
}

// Settled reports whether the view is complete and stable: this instance serves, is
// not isolated and not about to leave; no member is suspect; each joining member, and
// each listed instance that does not answer and is not leaving, has exceeded its
// grace period; and the view has not changed for QuietPeriod.
func (m *Machine) Settled(now time.Duration) bool {
	if m.self.State != common.MemberServing || m.preparingLeave || m.Isolated(now) {
		return false
	}
	if now-m.lastChange < m.config.QuietPeriod {
		return false
	}
	for _, r := range m.records {
		if !m.recordSettled(r, now) {
			return false
		}
	}
	return true
}

// recordSettled reports whether the state of one member permits a settled view.
func (m *Machine) recordSettled(r *record, now time.Duration) bool {
	graceOver := now-r.unansweredSince >= m.config.ListGrace
	if !r.known || r.update.State == common.MemberDead {
		return !r.listed || r.listLeaving || graceOver
	}
	switch r.update.State {
	case common.MemberServing, common.MemberLeaving:
		return true
	case common.MemberJoining:
		return graceOver
	default:
		return false
	}
}
