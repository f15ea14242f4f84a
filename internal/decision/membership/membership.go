// Package membership implements a SWIM-style membership protocol that decides which
// instances of a group are alive. It is a pure state machine without clock,
// socket or goroutine: the caller passes in monotonic time and sends the messages
// that the machine returns.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Config holds the intervals and bounds of the protocol.
type Config struct {
	// ProbeInterval is the time between two direct probes.
	ProbeInterval time.Duration
	// JoinProbeInterval replaces ProbeInterval while joining.
	JoinProbeInterval time.Duration
	// ProbeTimeout is the time to wait for a direct answer before indirect probes
	// are sent.
	ProbeTimeout time.Duration
	// DeadAfter is the minimum time between the last contact with a member and
	// its declaration as dead. It exceeds LeaseDuration, so an owner is fenced
	// before its successor starts.
	DeadAfter time.Duration
	// LeaseDuration is how long an instance may own slots after it sent a probe
	// that was answered.
	LeaseDuration time.Duration
	// ListGrace is how long a listed instance that does not answer, or a member
	// that stays in state joining, keeps the view unsettled.
	ListGrace time.Duration
	// QuietPeriod is the time without view changes after which the view counts as
	// settled. It covers the time that an update needs to reach 200 members.
	QuietPeriod time.Duration
	// IndirectProbes is the number of members that are asked to probe an
	// unresponsive one, and that are notified at once of a death.
	IndirectProbes int
	// PiggybackBytes is the maximum size of the member updates in one datagram.
	PiggybackBytes int
	// JoinPiggybackBytes replaces PiggybackBytes in datagrams to a joining member.
	JoinPiggybackBytes int
}

// DefaultConfig returns the values given in docs/design.md sections 3.6 and 4.
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

// Update is the state of one member, as gossiped between members.
type Update struct {
	ID          common.InstanceID
	Incarnation uint64
	State       common.MemberState
	Name        string
	// Entry is the address of entryd, Peer the address of controld.
	Entry netip.AddrPort
	Peer  netip.AddrPort
}

// Upper estimates of encoded sizes in bytes: ID, incarnation and state of an
// update, and two addresses in text form.
const (
	compactSize   = 20
	addressesSize = 46
)

// Size returns an upper estimate of the encoded size in bytes.
func (u *Update) Size() int {
	if u.Name == "" {
		return compactSize
	}
	return compactSize + addressesSize + len(u.Name)
}

// compact returns the update without the name and addresses, which receivers find
// in the instance list.
func (u Update) compact() Update {
	u.Name = ""
	u.Entry = netip.AddrPort{}
	u.Peer = netip.AddrPort{}
	return u
}

// outgoing returns the update to gossip about a member. The name and addresses of
// a listed member are omitted, which reduces the update to a quarter of its size.
func (r *record) outgoing() Update {
	if r.listed {
		return r.update.compact()
	}
	return r.update
}

// Candidate is one entry of the platform's instance list.
type Candidate struct {
	ID    common.InstanceID
	Name  string
	Entry netip.AddrPort
	Peer  netip.AddrPort
	// Leaving is true if the list marks the instance as leaving.
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
	Kind Kind
	// From is the sender and Incarnation its incarnation.
	From        common.InstanceID
	Incarnation uint64
	// Sequence is the sequence number of the probe; it is 0 in an Ack.
	Sequence uint64
	// Subject is the probed member, or in an Ack the member that is alive.
	Subject common.InstanceID
	// AckSequence is the sequence number of the message that an Ack answers.
	AckSequence uint64
	// Updates are the piggybacked member states.
	Updates []Update
}

// Output is a message to send.
type Output struct {
	To      common.InstanceID
	Address netip.AddrPort
	Message Message
}

// record is the local state of one other member or candidate.
type record struct {
	update Update
	// stateBeforeSuspicion is joining, serving or leaving.
	stateBeforeSuspicion common.MemberState
	// known is false for a candidate whose state was not received yet.
	known bool
	// listed is set while the instance list contains the member, and listLeaving
	// if the list marks it as leaving.
	listed      bool
	listLeaving bool
	// lastContact is the time of the last message or answer from the member; it
	// is valid if contacted is set.
	lastContact time.Duration
	contacted   bool
	suspectedAt time.Duration
	// unansweredSince is the start of the grace period of a listed member that
	// does not answer, or of a member that stays in state joining.
	unansweredSince time.Duration
	failedProbes    int
	// outdated is set when the state that the member reports of itself is older
	// than the known one, because an earlier process of the member had a higher
	// incarnation or another state.
	outdated bool
	// sendCount is the number of times that the update was gossiped, and queued
	// is set while it must be gossiped further.
	sendCount int
	queued    bool
}

// probe is an unanswered ping.
type probe struct {
	target common.InstanceID
	sentAt time.Duration
	// indirect is set once other members were asked to probe the target.
	indirect bool
	// The requester fields are set for a probe on behalf of a peer.
	requester         common.InstanceID
	requesterAddress  netip.AddrPort
	requesterSequence uint64
}

// Machine is the membership state machine of one instance. It is not safe for
// concurrent use.
type Machine struct {
	config  Config
	random  *rand.Rand
	self    Update
	records map[common.InstanceID]*record
	// order contains the keys of records in the order of their insertion.
	order []common.InstanceID
	// probeRound contains the members that are still to be probed in this round.
	probeRound []common.InstanceID
	// probes are the unanswered probes by sequence number.
	probes     map[uint64]probe
	sequence   uint64
	nextProbe  time.Duration
	lastTick   time.Duration
	lastChange time.Duration
	// lastDiscovery is when a member last became known.
	lastDiscovery time.Duration
	// confirmedAt is when the newest answered probe was sent; it is valid if
	// confirmed is set.
	confirmedAt  time.Duration
	confirmed    bool
	leaseExpired bool
	// listVersion is the version of the instance list; it is valid if listed is
	// set.
	listVersion uint64
	listed      bool
	// retryPosition is the index in order of the last target of nextRetryTarget.
	retryPosition  int
	probeIntervals int
	rejoins        uint64
	version        uint64
	// selfChangedAt and announcements decide which datagrams carry the state of
	// this instance.
	selfChangedAt time.Duration
	announcements uint64
	// allowance is the limit set by SetAllowance, in bytes of updates per datagram.
	allowance int
	// preparingLeave is set by PrepareLeave.
	preparingLeave bool
}

// New returns a machine in state joining. The incarnation in self is provisional:
// it is raised when a peer reports a higher one. The seed determines all random
// choices.
func New(config Config, self Update, seed uint64, now time.Duration) *Machine {
	self.State = common.MemberJoining
	return &Machine{
		config:        config,
		random:        rand.New(rand.NewPCG(seed, uint64(self.ID))),
		self:          self,
		records:       map[common.InstanceID]*record{},
		probes:        map[uint64]probe{},
		nextProbe:     now,
		lastTick:      now,
		lastChange:    now,
		lastDiscovery: now,

		selfChangedAt: now,
		allowance:     config.JoinPiggybackBytes,
	}
}

// Self returns the state of this instance.
func (m *Machine) Self() Update { return m.self }

// Rejoins returns how often the instance returned to joining after a pause, the
// expiry of its lease or a declaration as dead.
func (m *Machine) Rejoins() uint64 { return m.rejoins }

// SetAllowance limits the bytes of updates in the next datagrams, so that probes
// still fit into the control byte budget while many updates are queued.
func (m *Machine) SetAllowance(bytes int) { m.allowance = bytes }

// Version returns a number that increases with each change of the view.
func (m *Machine) Version() uint64 { return m.version }

func (m *Machine) changed(now time.Duration) {
	m.lastChange = now
	m.version++
}

func (m *Machine) selfChanged(now time.Duration) {
	m.selfChangedAt = now
	m.changed(now)
}

// Serve changes the state from joining to serving: this instance owns its slots
// from now on.
func (m *Machine) Serve(now time.Duration) {
	if m.self.State != common.MemberJoining {
		return
	}
	m.self.State = common.MemberServing
	m.selfChanged(now)
}

// PrepareLeave keeps the view unsettled until the instance leaves, so that it
// creates no new exceptions while it still owns its slots.
func (m *Machine) PrepareLeave() {
	m.preparingLeave = true
	m.version++
}

// Leave changes the state to leaving: this instance hands its slots over.
func (m *Machine) Leave(now time.Duration) {
	if m.self.State == common.MemberLeaving {
		return
	}
	m.self.State = common.MemberLeaving
	m.selfChanged(now)
}

// Rejoin increments the incarnation and, unless the instance is leaving, returns to
// joining. It is called after a time in which peers may have taken the slots over.
func (m *Machine) Rejoin(now time.Duration) {
	m.self.Incarnation++
	m.rejoins++
	if m.self.State != common.MemberLeaving {
		m.self.State = common.MemberJoining
	}
	m.selfChanged(now)
}

// RaiseIncarnation raises the incarnation of this instance to at least minimum.
func (m *Machine) RaiseIncarnation(minimum uint64, now time.Duration) {
	if m.self.Incarnation < minimum {
		m.self.Incarnation = minimum
		m.selfChanged(now)
	}
}
