// Package membership is the SWIM-style state machine that decides which entry
// instances of a group are alive. It holds no clock, socket or goroutine: the
// caller passes monotonic time in and sends the messages it returns.
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
