package membership

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Receive handles a message from a peer and returns the messages to send. Of a
// message from an unknown sender, only the updates are applied.
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
	sender.outdated = sender.reportsOlderState(&message)
	if message.Incarnation >= sender.update.Incarnation {
		sender.lastContact = now
		sender.contacted = true
	}
	m.rejoinAfterExpiry(now)
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

// reportsOlderState reports whether the sender's state in the message is older than
// the known one. If the message does not contain its sender's state, the last result
// stays.
func (r *record) reportsOlderState(message *Message) bool {
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

// rejoinAfterExpiry rejoins at the first message from a peer after the lease expired.
func (m *Machine) rejoinAfterExpiry(now time.Duration) {
	if !m.leaseExpired {
		return
	}
	m.leaseExpired = false
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

// relayPing probes a member on behalf of the sender.
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

// handleAck records that the probed member is alive, and forwards the answer if the
// probe was made on behalf of another member.
func (m *Machine) handleAck(message Message, now time.Duration) []Output {
	p, found := m.probes[message.AckSequence]
	if !found || p.target != message.Subject {
		return nil
	}
	delete(m.probes, message.AckSequence)
	m.confirm(p.sentAt, now)
	if subject, ok := m.records[message.Subject]; ok {
		subject.lastContact = now
		subject.contacted = true
	}
	requester, ok := m.records[p.requester]
	if p.requester == 0 || !ok {
		return nil
	}
	answer := m.output(requester, Message{Kind: Ack, AckSequence: p.requesterSequence, Subject: message.Subject})
	answer.Address = p.requesterAddress
	return []Output{answer}
}

// isolationGap is the time without an answered probe after which this instance
// itself may have been cut off. Answers to its probes may have been lost in that time,
// so the timers of its suspicions restart.
const isolationGap = 1500 * time.Millisecond

// confirm records that a probe sent at sentAt was answered, which extends the lease.
func (m *Machine) confirm(sentAt, now time.Duration) {
	if m.confirmed && now-m.confirmedAt >= isolationGap {
		m.restartSuspicions(now)
	}
	if !m.confirmed || sentAt > m.confirmedAt {
		m.confirmed = true
		m.confirmedAt = sentAt
	}
}

// apply merges a received update into the view.
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
	if m.contradictsRecentContact(update, r, now) {
		m.suspect(r, now, now)
		return
	}
	m.storeUpdate(r, update, now)
}

// countDuplicate counts the receipt of an update that is already known as one of its
// transmissions: its sender has it, so it need not be gossiped as often.
func (m *Machine) countDuplicate(update Update, r *record) {
	if r.queued && update.Incarnation == r.update.Incarnation && update.State == r.update.State {
		m.countSend(r)
	}
}

// contradictsRecentContact reports whether the update declares a member dead that
// this instance had contact with during the last DeadAfter.
func (m *Machine) contradictsRecentContact(update Update, r *record, now time.Duration) bool {
	return update.State == common.MemberDead && r.contacted &&
		r.update.Incarnation == update.Incarnation &&
		now-r.lastContact < m.config.DeadAfter
}

// supersedes reports whether update replaces known, an update of the same member:
// the higher incarnation wins, then the higher state.
func supersedes(update, known *Update) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	return update.State > known.State
}

// storeUpdate replaces the state of a member in the view and queues it for gossip.
func (m *Machine) storeUpdate(r *record, update Update, now time.Duration) {
	if update.State != common.MemberDead && update.State != common.MemberSuspect {
		r.stateBeforeSuspicion = update.State
	}
	if !r.known && update.State == common.MemberSuspect {
		// The state before the suspicion is unknown. Assuming joining is safe,
		// because a joining member owns no slots.
		r.stateBeforeSuspicion = common.MemberJoining
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
		m.lastDiscovery = now
	}
	r.update = update
	r.known = true
	r.unansweredSince = now
	r.enqueue()
	m.changed(now)
}

// applySelf handles an update of a peer about this instance. It refutes a newer but
// wrong state with a higher incarnation, and rejoins if peers declared this
// instance dead while it was serving.
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
