package membership

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Members returns the view, this instance included, ordered by number.
func (m *Machine) Members() []common.Member {
	members := []common.Member{member(&m.self, m.self.State)}
	for _, id := range m.order {
		r := m.records[id]
		if !r.known {
			continue
		}
		members = append(members, member(&r.update, r.shownState()))
	}
	slices.SortFunc(members, func(a, b common.Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return members
}

// shownState hides the suspicion of a member that owns nothing, because a
// suspect member counts as an owner.
func (r *record) shownState() common.MemberState {
	if r.update.State == common.MemberSuspect && r.base != common.MemberServing {
		return r.base
	}
	return r.update.State
}

func member(u *Update, state common.MemberState) common.Member {
	return common.Member{
		ID: u.ID, Name: u.Name, Incarnation: u.Incarnation, EntryAddress: u.Entry, State: state,
	}
}

// Peers returns the members other than this instance that are not dead.
func (m *Machine) Peers() []Update {
	var peers []Update
	for _, id := range m.order {
		if r := m.records[id]; r.known && r.update.State != common.MemberDead {
			peers = append(peers, r.update)
		}
	}
	return peers
}

// Dead reports whether the member was declared dead here.
func (m *Machine) Dead(id common.InstanceID) bool {
	r, found := m.records[id]
	return found && r.known && r.update.State == common.MemberDead
}

// silentProbes is the number of failed probes after which a listed instance that
// has never answered counts as silent.
const silentProbes = 3

// Unresponsive returns the listed instances that have never answered, although they
// were probed and had the time in which a lease runs out. They hold no lease.
func (m *Machine) Unresponsive(now time.Duration) []Update {
	var silent []Update
	for _, id := range m.order {
		r := m.records[id]
		if r.listed && !r.known && r.failedProbes >= silentProbes && now-r.unansweredSince >= m.config.DeadAfter {
			silent = append(silent, r.update)
		}
	}
	return silent
}

// Lease returns how long the entry instance may act as owner from now on. It is
// counted from the moment at which the newest answered probe was sent, so that a
// peer is known to have heard this instance since. Without peers it is the full
// duration.
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

// hasPeers reports whether any other instance may own slots: one that answers,
// or one on the list that has not been silent for the whole grace.
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

// Isolated reports whether there are peers and none of them answers.
func (m *Machine) Isolated(now time.Duration) bool {
	_, ok := m.Lease(now)
	return !ok
}

// Discovered reports whether a joining instance knows its peers: every listed
// instance is known or the limit has passed, and none has become known for the
// quiet time.
func (m *Machine) Discovered(now, quiet, limit time.Duration) bool {
	if now-m.lastFound < quiet {
		return false
	}
	for _, r := range m.records {
		if r.listed && !r.listLeaving && !r.known && now-r.unansweredSince < limit {
			return false
		}
	}
	return true
}

// Settled reports whether every listed instance answers and no change of the
// view is under way.
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
