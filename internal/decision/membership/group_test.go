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
	stepTime       = 100 * time.Millisecond
	renewTime      = 500 * time.Millisecond
	datagramHeader = peer.HeaderBytes
)

// fake is one instance: its membership machine and the lease that its entryd
// holds, which runs on while the controld is frozen.
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
	// tokens is the budget of bytes to send, as the transport has it.
	tokens   float64
	filledAt time.Duration
	dropped  int
}

type delivery struct {
	at      time.Duration
	order   int
	to      common.InstanceID
	from    netip.AddrPort
	message membership.Message
}

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

// group runs fakes over a network with faults. It is deterministic by its seed.
type group struct {
	random  *rand.Rand
	now     time.Duration
	fakes   []*fake
	byID    map[common.InstanceID]*fake
	pending deliveries
	order   int
	cuts    map[link]bool
	loss    float64
	list    []int
	version uint64
	// oldLists are earlier versions, which a lagging list may return.
	oldLists map[uint64][]int
	seeds    uint64
	// check is called after each step.
	check func()
	fault string
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

// startAll starts every fake and lists it.
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

// start begins a new process; it remembers nothing, and the first incarnation is
// the same for every process, which is the worst case of a clock.
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

// setList changes the instance list and tells everyone.
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

// deliverOldList gives everyone an earlier version of the list.
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

// run advances the time.
func (g *group) run(d time.Duration) {
	end := g.now + d
	for g.now < end && g.fault == "" {
		g.now += stepTime
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
			// The socket keeps what arrives during a pause.
			d.at = g.now + stepTime
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
		f.nextRenew = g.now + renewTime
		g.renew(f)
	}
}

// serve stands for the replication controller: it pulls at once.
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

// allowance refills the budget and returns the bytes of piggyback that the next
// datagram may carry, as peer.Transport does.
func (g *group) allowance(f *fake) int {
	f.tokens += (g.now - f.filledAt).Seconds() * peer.SendBytesPerSecond
	f.tokens = min(f.tokens, peer.SendBytesPerSecond)
	f.filledAt = g.now
	return max(0, int(f.tokens-250)/2)
}

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

// owns reports whether the fake acts as an owner: it serves and its entryd's
// lease is valid.
func (g *group) owns(f *fake) bool {
	return f.alive && f.machine.Self().State == common.MemberServing && g.now < f.leaseUntil
}

// sees returns the state of one member in the view of another.
func (f *fake) sees(id common.InstanceID) (common.MemberState, uint64, bool) {
	for _, member := range f.machine.Members() {
		if member.ID == id {
			return member.State, member.Incarnation, true
		}
	}
	return 0, 0, false
}

// checkFencing fails when an owner with a valid lease is dead in the view of
// another one with a valid lease, at the incarnation that it owns under.
func (g *group) checkFencing() {
	for _, owner := range g.fakes {
		if !g.owns(owner) {
			continue
		}
		for _, other := range g.fakes {
			if other == owner || !g.owns(other) || other.frozen {
				continue
			}
			state, incarnation, known := other.sees(owner.id)
			if known && state == common.MemberDead && incarnation >= owner.machine.Self().Incarnation {
				g.fault = fmt.Sprintf("at %v %s declares %s dead, whose lease runs until %v", g.now, other.name, owner.name, owner.leaseUntil)
				return
			}
		}
	}
}

// disagreement describes why the views do not agree with the truth, or is empty.
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
				return fmt.Sprintf("%s sees %s serving: %v, alive: %v", f.name, other.name, serving[other.id], other.alive)
			}
		}
	}
	return ""
}

// living returns the indexes of the fakes that run.
func (g *group) living() []int {
	var list []int
	for i, f := range g.fakes {
		if f.alive {
			list = append(list, i)
		}
	}
	return list
}
