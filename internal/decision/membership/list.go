package membership

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// SetCandidates replaces the instance list. A list with a lower version than the
// current one is ignored, because the platform may return stale lists.
func (m *Machine) SetCandidates(version uint64, list []Candidate, now time.Duration) {
	if m.listed && version < m.listVersion {
		return
	}
	m.listed = true
	m.listVersion = version
	for _, r := range m.records {
		r.listed = false
	}
	for _, candidate := range list {
		if candidate.ID == m.self.ID {
			continue
		}
		m.addCandidate(candidate, now)
	}
	m.removeUnlisted()
}

func (m *Machine) addCandidate(candidate Candidate, now time.Duration) {
	r, found := m.records[candidate.ID]
	if !found {
		r = m.insert(Update{
			ID:    candidate.ID,
			Name:  candidate.Name,
			State: common.MemberDead,
			Entry: candidate.Entry,
			Peer:  candidate.Peer,
		}, now)
		m.version++
	}
	if !r.known && candidate.Peer.IsValid() {
		r.update.Peer = candidate.Peer
	}
	r.listed = true
	r.listLeaving = candidate.Leaving
}

func (m *Machine) insert(update Update, now time.Duration) *record {
	r := &record{update: update, unansweredSince: now}
	m.records[update.ID] = r
	m.order = append(m.order, update.ID)
	return r
}

// removeUnlisted removes dead members that are no longer on the list. A member with
// a queued update stays until the update has been gossiped.
func (m *Machine) removeUnlisted() {
	m.order = slices.DeleteFunc(m.order, func(id common.InstanceID) bool {
		r := m.records[id]
		if r.listed || r.update.State != common.MemberDead || r.queued {
			return false
		}
		delete(m.records, id)
		return true
	})
}
