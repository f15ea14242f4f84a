package membership

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Tick advances timers and returns the messages to send. It is called at least
// every 100 ms.
func (m *Machine) Tick(now time.Duration) []Output {
	m.checkOwnPause(now)
	m.lastTick = now
	var out []Output
	out = m.checkProbes(now, out)
	if m.checkSuspects(now) {
		out = m.spread(now, out)
	}
	if now >= m.nextProbe {
		out = m.startProbes(now, out)
	}
	return out
}

// checkOwnPause rejoins after a pause longer than the lease: peers may have
// declared this instance dead in the meantime.
func (m *Machine) checkOwnPause(now time.Duration) {
	paused := now-m.lastTick >= m.config.LeaseDuration
	if paused {
		clear(m.probes)
		m.extendSuspicions(now)
	}
	if _, ok := m.Lease(now); !ok && !m.lapsed && m.self.State == common.MemberServing {
		m.lapsed = true
	}
	if paused && m.self.State == common.MemberServing {
		m.lapsed = false
		m.Rejoin(now)
	}
}

// extendSuspicions restarts the timers of suspects, because answers may have
// been lost while this instance was paused.
func (m *Machine) extendSuspicions(now time.Duration) {
	for _, r := range m.records {
		if r.update.State == common.MemberSuspect {
			r.suspectedAt = now
		}
	}
}

func (m *Machine) checkProbes(now time.Duration, out []Output) []Output {
	for _, sequence := range m.probeSequences() {
		p := m.probes[sequence]
		r, found := m.records[p.target]
		if !found || now-p.sentAt >= m.config.ProbeInterval+m.config.ProbeTimeout {
			delete(m.probes, sequence)
			if found && p.requester == 0 {
				r.failedProbes++
				m.suspect(r, p.sentAt, now)
			}
			continue
		}
		if p.requester == 0 && !p.indirect && now-p.sentAt >= m.config.ProbeTimeout {
			p.indirect = true
			m.probes[sequence] = p
			out = m.probeIndirectly(sequence, p.target, out)
		}
	}
	return out
}

func (m *Machine) probeSequences() []uint64 {
	sequences := make([]uint64, 0, len(m.probes))
	for sequence := range m.probes {
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences
}

func (m *Machine) probeIndirectly(sequence uint64, target common.InstanceID, out []Output) []Output {
	r := m.records[target]
	if !r.known || r.update.State == common.MemberDead {
		return out
	}
	sent := 0
	for _, i := range m.random.Perm(len(m.order)) {
		helper := m.records[m.order[i]]
		if sent == m.config.IndirectProbes {
			break
		}
		if helper.update.ID == target || !helper.reachable() {
			continue
		}
		out = append(out, m.output(helper, Message{Kind: PingRequest, Sequence: sequence, Subject: target}))
		sent++
	}
	return out
}

func (r *record) reachable() bool {
	return r.known && r.update.State != common.MemberDead && r.update.State != common.MemberSuspect
}

// suspect starts a suspicion at the time of the probe that had no answer.
func (m *Machine) suspect(r *record, since, now time.Duration) {
	if !r.reachable() {
		return
	}
	r.base = r.update.State
	r.update.State = common.MemberSuspect
	r.suspectedAt = since
	r.unansweredSince = now
	r.enqueue()
	m.changed(now)
}

func (r *record) enqueue() {
	r.queued = true
	r.sends = 0
}

// checkSuspects declares members dead whose last response is old enough. An
// isolated instance cannot tell the death of all others from its own cut; it
// waits for the whole grace, so that it spreads no false declarations.
func (m *Machine) checkSuspects(now time.Duration) (declared bool) {
	wait := m.config.DeadAfter
	if m.Isolated(now) {
		wait = m.config.ListGrace
	}
	for _, id := range m.order {
		r := m.records[id]
		if r.update.State != common.MemberSuspect {
			continue
		}
		if now-r.lastSign() >= wait {
			m.declareDead(r, now)
			declared = true
		}
	}
	return declared
}

// spread tells some members of a death at once; until they know it, they relay
// packets to the dead owner.
func (m *Machine) spread(now time.Duration, out []Output) []Output {
	sent := 0
	for _, i := range m.random.Perm(len(m.order)) {
		if r := m.records[m.order[i]]; r.reachable() && sent < m.config.IndirectProbes {
			out = m.sendProbe(r, now, out)
			sent++
		}
	}
	return out
}

// lastSign is the later of the suspicion and the last response.
func (r *record) lastSign() time.Duration {
	if r.heard {
		return max(r.suspectedAt, r.lastHeard)
	}
	return r.suspectedAt
}

func (m *Machine) declareDead(r *record, now time.Duration) {
	r.update.State = common.MemberDead
	r.enqueue()
	m.changed(now)
}

func (m *Machine) startProbes(now time.Duration, out []Output) []Output {
	interval := m.config.ProbeInterval
	if m.self.State == common.MemberJoining {
		interval = m.config.JoinProbeInterval
	}
	m.nextProbe = now + interval
	target, found := m.nextTarget()
	if found {
		out = m.sendProbe(target, now, out)
	}
	if suspect := m.nextSuspect(); suspect != nil && suspect != target {
		out = m.sendProbe(suspect, now, out)
	}
	return out
}

func (m *Machine) sendProbe(r *record, now time.Duration, out []Output) []Output {
	m.sequence++
	m.probes[m.sequence] = probe{target: r.update.ID, sentAt: now}
	return append(out, m.output(r, Message{Kind: Ping, Sequence: m.sequence, Subject: r.update.ID}))
}

// PingNow probes one member outside the round, to pass piggybacked data on.
func (m *Machine) PingNow(id common.InstanceID, now time.Duration) []Output {
	r, found := m.records[id]
	if !found || !r.update.Peer.IsValid() {
		return nil
	}
	return m.sendProbe(r, now, nil)
}

// CancelProbe forgets a probe that could not be sent, so that its missing answer is not
// taken for a failure of the member.
func (m *Machine) CancelProbe(sequence uint64) {
	delete(m.probes, sequence)
}

// nextTarget returns the next member of a shuffled round. Dead members stay in
// the round while they are listed, so that one that returns is found even when
// it knows no peer.
func (m *Machine) nextTarget() (*record, bool) {
	for range 2 {
		for len(m.round) > 0 {
			id := m.round[len(m.round)-1]
			m.round = m.round[:len(m.round)-1]
			r, found := m.records[id]
			if found && (r.listed || r.update.State != common.MemberDead) && r.update.Peer.IsValid() {
				return r, true
			}
		}
		m.round = append(m.round, m.order...)
		m.random.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	return nil, false
}

// unansweredEvery is the share of probe intervals that try an instance without an
// answer; more would use the budget up when a whole group starts.
const unansweredEvery = 2

// nextSuspect returns the suspects and the listed instances without an answer in
// turn: each probe interval gives one of them another chance to answer.
func (m *Machine) nextSuspect() *record {
	n := len(m.order)
	m.probeTurns++
	withUnanswered := m.self.State == common.MemberServing && m.probeTurns%unansweredEvery == 0
	for range n {
		m.suspectTurn = (m.suspectTurn + 1) % n
		r := m.records[m.order[m.suspectTurn]]
		unanswered := withUnanswered && r.listed && !r.known && r.update.Peer.IsValid() && r.failedProbes < silentProbes
		if r.update.State == common.MemberSuspect || unanswered {
			return r
		}
	}
	return nil
}

func (m *Machine) output(r *record, message Message) Output {
	message.From = m.self.ID
	message.Incarnation = m.self.Incarnation
	message.Updates = m.piggyback(r)
	return Output{To: r.update.ID, Address: r.update.Peer, Message: message}
}
