package membership

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Tick handles all timers and returns the messages to send. It must be called at
// least every 100 ms.
func (m *Machine) Tick(now time.Duration) []Output {
	m.detectPause(now)
	m.lastTick = now
	var out []Output
	out = m.checkProbes(now, out)
	if m.checkSuspects(now) {
		out = m.disseminate(now, out)
	}
	if now >= m.nextProbe {
		out = m.startProbes(now, out)
	}
	return out
}

// detectPause rejoins after a pause of this process of at least the lease duration:
// peers may have declared this instance dead in the meantime. It also records when the
// lease has expired without a pause, for rejoinAfterExpiry.
func (m *Machine) detectPause(now time.Duration) {
	paused := now-m.lastTick >= m.config.LeaseDuration
	if paused {
		clear(m.probes)
		m.restartSuspicions(now)
	}
	if _, ok := m.Lease(now); !ok && !m.leaseExpired && m.self.State == common.MemberServing {
		m.leaseExpired = true
	}
	if paused && m.self.State == common.MemberServing {
		m.leaseExpired = false
		m.Rejoin(now)
	}
}

// restartSuspicions restarts the timers of suspects, whose answers may have been
// lost while this instance was paused or cut off.
func (m *Machine) restartSuspicions(now time.Duration) {
	for _, r := range m.records {
		if r.update.State == common.MemberSuspect {
			r.suspectedAt = now
		}
	}
}

// checkProbes starts indirect probes for targets that did not answer in time, and
// suspects targets whose indirect probes failed as well.
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

// probeSequences returns the sequence numbers of the unanswered probes in order, so
// that the result of Tick is deterministic.
func (m *Machine) probeSequences() []uint64 {
	sequences := make([]uint64, 0, len(m.probes))
	for sequence := range m.probes {
		sequences = append(sequences, sequence)
	}
	slices.Sort(sequences)
	return sequences
}

// probeIndirectly asks up to IndirectProbes random members to probe the target.
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

// reachable reports whether the member is known and neither suspect nor dead.
func (r *record) reachable() bool {
	return r.known && r.update.State != common.MemberDead && r.update.State != common.MemberSuspect
}

// suspect marks a reachable member as suspect. The suspicion counts from since, the
// time of the probe that was not answered.
func (m *Machine) suspect(r *record, since, now time.Duration) {
	if !r.reachable() {
		return
	}
	r.stateBeforeSuspicion = r.update.State
	r.update.State = common.MemberSuspect
	r.suspectedAt = since
	r.unansweredSince = now
	r.enqueue()
	m.changed(now)
}

// enqueue queues the member's update for gossip.
func (r *record) enqueue() {
	r.queued = true
	r.sendCount = 0
}

// checkSuspects declares suspects dead that have not responded for DeadAfter, and
// reports whether there were any. An isolated instance cannot distinguish the death
// of all others from its own loss of the network; it waits for ListGrace, so that
// it gossips no false declarations.
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
		if now-r.lastEvidence() >= wait {
			m.declareDead(r, now)
			declared = true
		}
	}
	return declared
}

// disseminate sends a newly declared death to up to IndirectProbes random members at
// once, piggybacked on probes, because members relay packets to the dead owner until
// they receive it.
func (m *Machine) disseminate(now time.Duration, out []Output) []Output {
	sent := 0
	for _, i := range m.random.Perm(len(m.order)) {
		if r := m.records[m.order[i]]; r.reachable() && sent < m.config.IndirectProbes {
			out = m.sendProbe(r, now, out)
			sent++
		}
	}
	return out
}

// lastEvidence returns the time from which the wait before a suspect is declared dead
// is counted: the later of the suspicion and the last contact.
func (r *record) lastEvidence() time.Duration {
	if r.contacted {
		return max(r.suspectedAt, r.lastContact)
	}
	return r.suspectedAt
}

func (m *Machine) declareDead(r *record, now time.Duration) {
	r.update.State = common.MemberDead
	r.enqueue()
	m.changed(now)
}

// startProbes probes the next member of the round, and one suspect or one listed
// instance that has not answered.
func (m *Machine) startProbes(now time.Duration, out []Output) []Output {
	interval := m.config.ProbeInterval
	if m.self.State == common.MemberJoining {
		interval = m.config.JoinProbeInterval
	}
	m.nextProbe = now + interval
	target, found := m.nextProbeTarget()
	if found {
		out = m.sendProbe(target, now, out)
	}
	if retry := m.nextRetryTarget(); retry != nil && retry != target {
		out = m.sendProbe(retry, now, out)
	}
	return out
}

func (m *Machine) sendProbe(r *record, now time.Duration, out []Output) []Output {
	m.sequence++
	m.probes[m.sequence] = probe{target: r.update.ID, sentAt: now}
	return append(out, m.output(r, Message{Kind: Ping, Sequence: m.sequence, Subject: r.update.ID}))
}

// PingNow probes one member outside the probe round, in order to send piggybacked
// data. It returns nil if the address of the member is unknown.
func (m *Machine) PingNow(id common.InstanceID, now time.Duration) []Output {
	r, found := m.records[id]
	if !found || !r.update.Peer.IsValid() {
		return nil
	}
	return m.sendProbe(r, now, nil)
}

// CancelProbe discards a probe that could not be sent, so that the missing answer
// does not count as a failure of the member.
func (m *Machine) CancelProbe(sequence uint64) {
	delete(m.probes, sequence)
}

// nextProbeTarget returns the next member of the shuffled probe round, and starts a
// new round if necessary. Dead members are still probed while they are listed, so
// that a returning one is discovered even if it has no peers in its own view.
func (m *Machine) nextProbeTarget() (*record, bool) {
	for range 2 {
		for len(m.probeRound) > 0 {
			id := m.probeRound[len(m.probeRound)-1]
			m.probeRound = m.probeRound[:len(m.probeRound)-1]
			r, found := m.records[id]
			if found && (r.listed || r.update.State != common.MemberDead) && r.update.Peer.IsValid() {
				return r, true
			}
		}
		m.probeRound = append(m.probeRound, m.order...)
		m.random.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
	return nil, false
}

// One in retryUnansweredEvery probe intervals also retries a listed instance that has
// never answered. A retry in each interval would exhaust the byte budget when a whole
// group starts.
const retryUnansweredEvery = 2

// nextRetryTarget cycles through the suspects and, in one of retryUnansweredEvery
// intervals, the listed instances that have not answered. The returned one is probed
// in addition to the round. It returns nil if there are none.
func (m *Machine) nextRetryTarget() *record {
	n := len(m.order)
	m.probeIntervals++
	withUnanswered := m.self.State == common.MemberServing && m.probeIntervals%retryUnansweredEvery == 0
	for range n {
		m.retryPosition = (m.retryPosition + 1) % n
		r := m.records[m.order[m.retryPosition]]
		unanswered := withUnanswered && r.listed && !r.known && r.update.Peer.IsValid() && r.failedProbes < unresponsiveProbes
		if r.update.State == common.MemberSuspect || unanswered {
			return r
		}
	}
	return nil
}

// output addresses a message to a member and adds the sender and the piggybacked
// updates.
func (m *Machine) output(r *record, message Message) Output {
	message.From = m.self.ID
	message.Incarnation = m.self.Incarnation
	message.Updates = m.piggyback(r)
	return Output{To: r.update.ID, Address: r.update.Peer, Message: message}
}
