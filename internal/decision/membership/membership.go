// Package membership is the SWIM-style state machine that decides which entry
// instances of a group are alive. It holds no clock, socket or goroutine: the
// caller passes monotonic time in and sends the messages it returns.
package membership

import (
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Config holds the intervals and bounds of the protocol.
type Config struct {
	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// JoinProbeInterval is the time between probes while joining.
	JoinProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer before indirect probes.
	ProbeTimeout time.Duration
	// DeadAfter is the least time between the last response of a member and
	// its declaration as dead. It exceeds LeaseDuration, so an owner is fenced
	// before its successor starts.
	DeadAfter time.Duration
	// LeaseDuration is how long a confirmed contact permits ownership.
	LeaseDuration time.Duration
	// ListGrace is how long a listed instance that does not answer, or one
	// that stays in joining, keeps the view unsettled.
	ListGrace time.Duration
	// QuietPeriod without view changes precedes a settled view; it covers the
	// time that an update needs to reach 200 members.
	QuietPeriod time.Duration
	// IndirectProbes is the number of members asked to probe for us.
	IndirectProbes int
	// PiggybackBytes bounds the member updates of one datagram.
	PiggybackBytes int
	// JoinPiggybackBytes bounds the updates sent to a joining member.
	JoinPiggybackBytes int
}

// DefaultConfig returns the values of docs/design.md sections 3.6 and 4.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:      500 * time.Millisecond,
		JoinProbeInterval:  330 * time.Millisecond,
		ProbeTimeout:       200 * time.Millisecond,
		DeadAfter:          4 * time.Second,
		LeaseDuration:      3 * time.Second,
		ListGrace:          60 * time.Second,
		QuietPeriod:        2 * time.Second,
		IndirectProbes:     3,
		PiggybackBytes:     250,
		JoinPiggybackBytes: 900,
	}
}

// Update is what one member tells another about a member.
type Update struct {
	ID          common.InstanceID
	Incarnation uint64
	State       common.MemberState
	Name        string
	// Entry is the address of entryd, Peer that of controld.
	Entry netip.AddrPort
	Peer  netip.AddrPort
}

// Encoded sizes of an update: number, incarnation and state; and two addresses in
// text form.
const (
	compactSize   = 20
	addressesSize = 46
)

// Size returns an upper estimate of the encoded size.
func (u *Update) Size() int {
	if u.Name == "" {
		return compactSize
	}
	return compactSize + addressesSize + len(u.Name)
}

// compact returns the update without what the instance list tells everyone.
func (u Update) compact() Update {
	u.Name = ""
	u.Entry = netip.AddrPort{}
	u.Peer = netip.AddrPort{}
	return u
}

// told returns what to pass on about a member: the name and addresses of a
// listed one are left out, which makes an update a quarter as long.
func (r *record) told() Update {
	if r.listed {
		return r.update.compact()
	}
	return r.update
}

// Candidate is one instance of the platform's instance list.
type Candidate struct {
	ID      common.InstanceID
	Name    string
	Entry   netip.AddrPort
	Peer    netip.AddrPort
	Leaving bool
}

// Kind is the kind of a message.
type Kind uint8

// Message kinds.
const (
	Ping Kind = iota
	PingRequest
	Ack
)

// Message is one membership datagram.
type Message struct {
	Kind        Kind
	From        common.InstanceID
	Incarnation uint64
	Sequence    uint64
	// Subject is the probed member, or in an Ack the member that is alive.
	Subject common.InstanceID
	// AckSequence is the sequence number of the answered message.
	AckSequence uint64
	Updates     []Update
}

// Output is a message to send.
type Output struct {
	To      common.InstanceID
	Address netip.AddrPort
	Message Message
}

type record struct {
	update Update
	// base is the state under a suspicion: joining, serving or leaving.
	base common.MemberState
	// known is false for a candidate that has never answered.
	known       bool
	listed      bool
	listLeaving bool
	lastHeard   time.Duration
	heard       bool
	suspectedAt time.Duration
	// unansweredSince starts the grace of a listed member without answer, and
	// of a joining one.
	unansweredSince time.Duration
	failedProbes    int
	// outdated is set when the member itself states less than is known of it,
	// because an earlier process had a higher incarnation or another state.
	outdated bool
	sends    int
	queued   bool
}

type probe struct {
	target   common.InstanceID
	sentAt   time.Duration
	indirect bool
	// requester and requesterSequence are set for a probe on behalf of a peer.
	requester         common.InstanceID
	requesterAddress  netip.AddrPort
	requesterSequence uint64
}

// Machine is the membership state of one instance.
type Machine struct {
	config     Config
	random     *rand.Rand
	self       Update
	records    map[common.InstanceID]*record
	order      []common.InstanceID
	round      []common.InstanceID
	probes     map[uint64]probe
	sequence   uint64
	nextProbe  time.Duration
	lastTick   time.Duration
	lastChange time.Duration
	// lastFound is when a member last became known.
	lastFound   time.Duration
	confirmedAt time.Duration
	confirmed   bool
	lapsed      bool
	listVersion uint64
	listed      bool
	suspectTurn int
	probeTurns  int
	rejoins     uint64
	version     uint64
	// selfChangedAt and announcements decide which datagrams carry the own
	// state.
	selfChangedAt time.Duration
	announcements uint64
	// allowance bounds the piggyback further when few bytes may be sent.
	allowance int
	// preparingLeave is set from PrepareLeave on.
	preparingLeave bool
}

// New returns a machine in state joining. The incarnation is a first guess: a
// peer that remembers a higher one causes it to be raised.
func New(config Config, self Update, seed uint64, now time.Duration) *Machine {
	self.State = common.MemberJoining
	return &Machine{
		config:     config,
		random:     rand.New(rand.NewPCG(seed, uint64(self.ID))),
		self:       self,
		records:    map[common.InstanceID]*record{},
		probes:     map[uint64]probe{},
		nextProbe:  now,
		lastTick:   now,
		lastChange: now,
		lastFound:  now,

		selfChangedAt: now,
		allowance:     config.JoinPiggybackBytes,
	}
}

// Self returns this instance's own state.
func (m *Machine) Self() Update { return m.self }

// Rejoins counts how often the instance went back to joining after a pause, a
// lapse of its lease or a declaration as dead.
func (m *Machine) Rejoins() uint64 { return m.rejoins }

// SetAllowance bounds the updates of the next datagrams, so that probes still fit
// into the budget of control bytes while many updates wait.
func (m *Machine) SetAllowance(bytes int) { m.allowance = bytes }

// Version grows with each change of the view.
func (m *Machine) Version() uint64 { return m.version }

func (m *Machine) changed(now time.Duration) {
	m.lastChange = now
	m.version++
}

func (m *Machine) selfChanged(now time.Duration) {
	m.selfChangedAt = now
	m.changed(now)
}

// SetCandidates replaces the instance list. A list with a lower version than
// one seen before is ignored, because the platform may answer from the past.
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
	m.forgetUnlisted()
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

// forgetUnlisted removes dead members that the list has dropped.
func (m *Machine) forgetUnlisted() {
	m.order = slices.DeleteFunc(m.order, func(id common.InstanceID) bool {
		r := m.records[id]
		if r.listed || r.update.State != common.MemberDead || r.queued {
			return false
		}
		delete(m.records, id)
		return true
	})
}

// Serve announces that this instance owns its slots from now on.
func (m *Machine) Serve(now time.Duration) {
	if m.self.State != common.MemberJoining {
		return
	}
	m.self.State = common.MemberServing
	m.selfChanged(now)
}

// PrepareLeave keeps the view unsettled, so that this instance makes no more
// exceptions while it still owns its slots.
func (m *Machine) PrepareLeave() {
	m.preparingLeave = true
	m.version++
}

// Leave announces that this instance hands its slots over.
func (m *Machine) Leave(now time.Duration) {
	if m.self.State == common.MemberLeaving {
		return
	}
	m.self.State = common.MemberLeaving
	m.selfChanged(now)
}

// Rejoin returns to joining with a higher incarnation, after a time in which
// peers may have taken the slots over.
func (m *Machine) Rejoin(now time.Duration) {
	m.self.Incarnation++
	m.rejoins++
	if m.self.State != common.MemberLeaving {
		m.self.State = common.MemberJoining
	}
	m.selfChanged(now)
}

// RaiseIncarnation moves the own incarnation to at least the given value.
func (m *Machine) RaiseIncarnation(least uint64, now time.Duration) {
	if m.self.Incarnation < least {
		m.self.Incarnation = least
		m.selfChanged(now)
	}
}

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

// Unsent forgets a probe that could not be sent, so that its missing answer is not
// taken for a failure of the member.
func (m *Machine) Unsent(sequence uint64) {
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

// Silent returns the listed instances that have never answered, although they
// were probed and had the time in which a lease runs out. They hold no lease.
func (m *Machine) Silent(now time.Duration) []Update {
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
