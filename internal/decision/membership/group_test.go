package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/internal/peer"
)

const (
	stepInterval   = 100 * time.Millisecond
	renewInterval  = 500 * time.Millisecond
	datagramHeader = peer.HeaderBytes
)

// fake is one simulated instance: its membership machine and the lease of its
// entryd, which is not revoked while the controld is frozen.
type fake struct {
	id         common.InstanceID
	name       string
	machine    *membership.Machine
	alive      bool
	frozen     bool
	leaseUntil time.Duration
	nextRenew  time.Duration
	sent       int
	received   int
	// tokens is the level of the token bucket for sent bytes, as in peer.Transport.
	tokens   float64
	filledAt time.Duration
	// dropped is the number of messages that exceeded the budget.
	dropped int
}

// delivery is a message in transit. Messages that are due at the same time are
// delivered in ascending order of their field order.
type delivery struct {
	at      time.Duration
	order   int
	to      common.InstanceID
	from    netip.AddrPort
	message membership.Message
}

// deliveries implements heap.Interface.
type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	if d[i].at != d[j].at {
		return d[i].at < d[j].at
	}
	return d[i].order < d[j].order
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

type link struct{ from, to common.InstanceID }

// group simulates a group of instances on an unreliable network. A run is determined
// by its seed.
type group struct {
	random  *rand.Rand
	now     time.Duration
	fakes   []*fake
	byID    map[common.InstanceID]*fake
	pending deliveries
	order   int
	// cuts are the links on which all messages are lost; loss is the probability
	// of losing a message on any other link.
	cuts map[link]bool
	loss float64
	// list contains the indexes of the instances on the instance list.
	list    []int
	version uint64
	// oldLists are all versions of the list, which a stale read may return.
	oldLists map[uint64][]int
	seeds    uint64
	// check is called after each step.
	check func()
	// violation describes the first violated invariant.
	violation string
}

func newGroup(seed int64, n int) *group {
	g := &group{
		random:   rand.New(rand.NewPCG(uint64(seed), 7)),
		byID:     map[common.InstanceID]*fake{},
		cuts:     map[link]bool{},
		oldLists: map[uint64][]int{},
		check:    func() {},
	}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		f := &fake{id: common.InstanceIDOf(name), name: name}
		g.fakes = append(g.fakes, f)
		g.byID[f.id] = f
	}
	return g
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7946)
}

// startAll starts every instance and puts all of them on the instance list.
func (g *group) startAll() {
	for i := range g.fakes {
		g.start(i)
	}
	g.setList(all(len(g.fakes)))
}

func all(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// start starts a new process without state. Every process starts with the same
// incarnation, the worst case of incarnations that are derived from a clock.
func (g *group) start(i int) {
	g.seeds++
	f := g.fakes[i]
	self := membership.Update{
		ID:          f.id,
		Name:        f.name,
		Incarnation: 1,
		Entry:       netip.AddrPortFrom(address(i).Addr(), 6081),
		Peer:        address(i),
	}
	f.machine = membership.New(membership.DefaultConfig(), self, g.seeds, g.now)
	f.alive = true
	f.frozen = false
	f.leaseUntil = 0
	g.deliverList(f)
}

func (g *group) kill(i int) {
	g.fakes[i].alive = false
	g.fakes[i].leaseUntil = 0
}

// setList changes the instance list and delivers it to every instance.
func (g *group) setList(list []int) {
	g.version++
	g.list = list
	g.oldLists[g.version] = list
	for _, f := range g.fakes {
		g.deliverList(f)
	}
}

func (g *group) deliverList(f *fake) {
	if f.alive && !f.frozen {
		f.machine.SetCandidates(g.version, g.candidates(g.list), g.now)
	}
}

// deliverOldList delivers a random version of the list to every instance.
func (g *group) deliverOldList() {
	old := 1 + g.random.Uint64N(g.version)
	for _, f := range g.fakes {
		if f.alive && !f.frozen {
			f.machine.SetCandidates(old, g.candidates(g.oldLists[old]), g.now)
		}
	}
}

func (g *group) candidates(list []int) []membership.Candidate {
	var candidates []membership.Candidate
	for _, i := range list {
		candidates = append(candidates, membership.Candidate{
			ID:    g.fakes[i].id,
			Name:  g.fakes[i].name,
			Entry: netip.AddrPortFrom(address(i).Addr(), 6081),
			Peer:  address(i),
		})
	}
	return candidates
}

func (g *group) cut(from, to int) {
	g.cuts[link{g.fakes[from].id, g.fakes[to].id}] = true
}

func (g *group) heal() { clear(g.cuts) }

// run advances the time by d, or until an invariant is violated.
func (g *group) run(d time.Duration) {
	end := g.now + d
	for g.now < end && g.violation == "" {
		g.now += stepInterval
		g.deliver()
		for i := range g.fakes {
			g.step(g.fakes[i])
		}
		g.check()
	}
}

func (g *group) deliver() {
	for len(g.pending) > 0 && g.pending[0].at <= g.now {
		d := heap.Pop(&g.pending).(delivery)
		f := g.byID[d.to]
		if !f.alive {
			continue
		}
		if f.frozen {
			// The socket buffers what arrives during a pause.
			d.at = g.now + stepInterval
			heap.Push(&g.pending, d)
			continue
		}
		f.received += g.size(&d.message)
		f.machine.SetAllowance(g.allowance(f))
		g.send(f, d.at, f.machine.Receive(d.at, d.from, d.message))
	}
}

func (g *group) size(m *membership.Message) int {
	d := peer.EncodeMembership(m)
	d.Group = "fukuoka"
	return proto.Size(d) + datagramHeader
}

func (g *group) step(f *fake) {
	if !f.alive || f.frozen {
		return
	}
	f.machine.SetAllowance(g.allowance(f))
	g.send(f, g.now, f.machine.Tick(g.now))
	g.serve(f)
	if g.now >= f.nextRenew {
		f.nextRenew = g.now + renewInterval
		g.renew(f)
	}
}

// serve replaces the replication controller: an instance serves as soon as it holds
// a lease and has discovered its peers.
func (g *group) serve(f *fake) {
	if f.machine.Self().State != common.MemberJoining {
		return
	}
	_, leased := f.machine.Lease(g.now)
	if leased && f.machine.Discovered(g.now, 1500*time.Millisecond, 6*time.Second) {
		f.machine.Serve(g.now)
	}
}

func (g *group) renew(f *fake) {
	if left, ok := f.machine.Lease(g.now); ok {
		f.leaseUntil = max(f.leaseUntil, g.now+left)
	}
}

func (g *group) send(f *fake, at time.Duration, outputs []membership.Output) {
	for _, output := range outputs {
		size := g.size(&output.Message)
		if !f.spend(size, output.Message.Kind) {
			f.dropped++
			f.machine.CancelProbe(output.Message.Sequence)
			continue
		}
		f.sent += size
		lost := g.cuts[link{f.id, output.To}] || g.random.Float64() < g.loss
		if lost || g.byID[output.To] == nil {
			continue
		}
		g.order++
		delay := time.Millisecond + time.Duration(g.random.Int64N(int64(4*time.Millisecond)))
		heap.Push(&g.pending, delivery{at + delay, g.order, output.To, g.addressOf(f), output.Message})
	}
}

// allowance refills the token bucket and returns the number of piggyback bytes that
// the next datagram may carry, as peer.Transport does.
func (g *group) allowance(f *fake) int {
	f.tokens += (g.now - f.filledAt).Seconds() * peer.SendBytesPerSecond
	f.tokens = min(f.tokens, peer.SendBytesPerSecond)
	f.filledAt = g.now
	return max(0, int(f.tokens-250)/2)
}

// spend takes the bytes of a message from the token bucket and reports whether the
// message may be sent.
func (f *fake) spend(size int, kind membership.Kind) bool {
	lowest := map[membership.Kind]float64{membership.Ack: -2048, membership.Ping: -1024}
	if f.tokens < lowest[kind] {
		return false
	}
	f.tokens -= float64(size)
	return true
}

func (g *group) addressOf(f *fake) netip.AddrPort {
	return address(slices.Index(g.fakes, f))
}

// owns reports whether the instance acts as an owner: it is serving and the lease
// of its entryd is valid.
func (g *group) owns(f *fake) bool {
	return f.alive && f.machine.Self().State == common.MemberServing && g.now < f.leaseUntil
}

// stateOf returns the state and incarnation of a member in the view of f, and false
// if the member is unknown.
func (f *fake) stateOf(id common.InstanceID) (common.MemberState, uint64, bool) {
	for _, member := range f.machine.Members() {
		if member.ID == id {
			return member.State, member.Incarnation, true
		}
	}
	return 0, 0, false
}

// checkFencing records a violation if an owner with a valid lease is dead, at its
// current incarnation, in the view of another owner.
func (g *group) checkFencing() {
	for _, owner := range g.fakes {
		if !g.owns(owner) {
			continue
		}
		for _, other := range g.fakes {
			if other == owner || !g.owns(other) || other.frozen {
				continue
			}
			state, incarnation, known := other.stateOf(owner.id)
			if known && state == common.MemberDead && incarnation >= owner.machine.Self().Incarnation {
				g.violation = fmt.Sprintf("at %v %s considers %s dead, whose lease is valid until %v", g.now, other.name, owner.name, owner.leaseUntil)
				return
			}
		}
	}
}

// disagreement describes the first difference between the views and the processes
// that run, or returns "".
func (g *group) disagreement() string {
	for i, f := range g.fakes {
		if !f.alive {
			continue
		}
		if state := f.machine.Self().State; state != common.MemberServing {
			return fmt.Sprintf("%s is in state %d", f.name, state)
		}
		if !f.machine.Settled(g.now) {
			return fmt.Sprintf("%s is not settled", f.name)
		}
		serving := map[common.InstanceID]bool{}
		for _, member := range f.machine.Members() {
			serving[member.ID] = member.State == common.MemberServing
		}
		for j, other := range g.fakes {
			if i != j && serving[other.id] != other.alive {
				return fmt.Sprintf("in the view of %s, %s is serving: %v, alive: %v", f.name, other.name, serving[other.id], other.alive)
			}
		}
	}
	return ""
}

// aliveIndexes returns the indexes of the instances that run.
func (g *group) aliveIndexes() []int {
	var list []int
	for i, f := range g.fakes {
		if f.alive {
			list = append(list, i)
		}
	}
	return list
}
