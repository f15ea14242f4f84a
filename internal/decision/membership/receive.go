package membership

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Receive handles a message and returns the answers to send.
func (m *Machine) Receive(now time.Duration, from netip.AddrPort, message Message) []Output {
	if message.From == m.self.ID {
		return nil
	}
	for _, update := range message.Updates {
		m.apply(update, now)
	}
	sender, found := m.records[message.From]
	if !found {
		return nil
	}
	sender.outdated = sender.statesLess(&message)
	if message.Incarnation >= sender.update.Incarnation {
		sender.lastHeard = now
		sender.heard = true
	}
	m.rejoinAfterLapse(now)
	switch message.Kind {
	case Ping:
		return m.answerPing(sender, from, message)
	case PingRequest:
		return m.relayPing(sender, from, message, now)
	case Ack:
		return m.handleAck(message, now)
	}
	return nil
}

// statesLess reports whether the message states less about its sender than is known.
func (r *record) statesLess(message *Message) bool {
	if message.Incarnation < r.update.Incarnation {
		return true
	}
	for i := range message.Updates {
		if own := &message.Updates[i]; own.ID == r.update.ID {
			return supersedes(&r.update, own)
		}
	}
	return r.outdated
}

// rejoinAfterLapse is called when a peer is heard again after the lease lapsed.
func (m *Machine) rejoinAfterLapse(now time.Duration) {
	if !m.lapsed {
		return
	}
	m.lapsed = false
	if m.self.State == common.MemberServing {
		m.Rejoin(now)
	}
}

func (m *Machine) answerPing(sender *record, from netip.AddrPort, message Message) []Output {
	if message.Subject != m.self.ID {
		return nil
	}
	answer := m.output(sender, Message{Kind: Ack, AckSequence: message.Sequence, Subject: m.self.ID})
	answer.Address = from
	return []Output{answer}
}

func (m *Machine) relayPing(sender *record, from netip.AddrPort, message Message, now time.Duration) []Output {
	target, found := m.records[message.Subject]
	if !found {
		return nil
	}
	out := m.sendProbe(target, now, nil)
	p := m.probes[m.sequence]
	p.requester = sender.update.ID
	p.requesterAddress = from
	p.requesterSequence = message.Sequence
	m.probes[m.sequence] = p
	return out
}

func (m *Machine) handleAck(message Message, now time.Duration) []Output {
	p, found := m.probes[message.AckSequence]
	if !found || p.target != message.Subject {
		return nil
	}
	delete(m.probes, message.AckSequence)
	m.confirm(p.sentAt, now)
	if subject, ok := m.records[message.Subject]; ok {
		subject.lastHeard = now
		subject.heard = true
	}
	requester, ok := m.records[p.requester]
	if p.requester == 0 || !ok {
		return nil
	}
	answer := m.output(requester, Message{Kind: Ack, AckSequence: p.requesterSequence, Subject: message.Subject})
	answer.Address = p.requesterAddress
	return []Output{answer}
}

// ownGap is the time without confirmed contact after which this instance may have
// been cut off itself. Answers to its probes were lost then, so the suspicions of
// that time start again.
const ownGap = 1500 * time.Millisecond

func (m *Machine) confirm(sentAt, now time.Duration) {
	if m.confirmed && now-m.confirmedAt >= ownGap {
		m.extendSuspicions(now)
	}
	if !m.confirmed || sentAt > m.confirmedAt {
		m.confirmed = true
		m.confirmedAt = sentAt
	}
}

func (m *Machine) apply(update Update, now time.Duration) {
	if update.ID == m.self.ID {
		m.applySelf(update, now)
		return
	}
	r, found := m.records[update.ID]
	if !found {
		if update.State == common.MemberDead || !update.Peer.IsValid() {
			return
		}
		r = m.insert(Update{ID: update.ID, State: common.MemberDead}, now)
	}
	if r.known && !supersedes(&update, &r.update) {
		m.countDuplicate(update, r)
		return
	}
	if m.contradictsOwnEvidence(update, r, now) {
		m.suspect(r, now, now)
		return
	}
	m.store(r, update, now)
}

// countDuplicate counts an update that a peer has already as sent: it does not
// need to be passed on as often.
func (m *Machine) countDuplicate(update Update, r *record) {
	if r.queued && update.Incarnation == r.update.Incarnation && update.State == r.update.State {
		m.countSend(r)
	}
}

// contradictsOwnEvidence rejects a declaration as dead of a member that
// answered this instance within the time that a declaration needs.
func (m *Machine) contradictsOwnEvidence(update Update, r *record, now time.Duration) bool {
	return update.State == common.MemberDead && r.heard &&
		r.update.Incarnation == update.Incarnation &&
		now-r.lastHeard < m.config.DeadAfter
}

func supersedes(update, known *Update) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}

func (m *Machine) store(r *record, update Update, now time.Duration) {
	if update.State != common.MemberDead && update.State != common.MemberSuspect {
		r.base = update.State
	}
	if !r.known && update.State == common.MemberSuspect {
		// The state before the suspicion is unknown; joining owns nothing.
		r.base = common.MemberJoining
	}
	if update.State == common.MemberSuspect {
		r.suspectedAt = now
	}
	if update.Name == "" {
		update.Name = r.update.Name
		update.Entry = r.update.Entry
		update.Peer = r.update.Peer
	}
	if !r.known {
		m.lastFound = now
	}
	r.update = update
	r.known = true
	r.unansweredSince = now
	r.enqueue()
	m.changed(now)
}

// applySelf refutes what others say about this instance when it is wrong.
func (m *Machine) applySelf(update Update, now time.Duration) {
	if !supersedes(&update, &m.self) {
		return
	}
	m.self.Incarnation = update.Incarnation
	if update.State == common.MemberDead && m.self.State == common.MemberServing {
		m.Rejoin(now)
		return
	}
	m.self.Incarnation++
	m.selfChanged(now)
}
