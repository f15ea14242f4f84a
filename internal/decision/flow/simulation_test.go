package flow

import (
	"fmt"
	"maps"
	"math/rand"
	"net/netip"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/lease"
)

// simulation runs several instances on one shard of the hash range. Their views
// change at different times, and replication batches are delayed, lost or duplicated.
// The endpoints model TCP: a packet of a connection that they do not have resets it.
type simulation struct {
	random         *rand.Rand
	now            time.Duration
	instances      []*instance
	published      instance // its view holds all published changes
	endpoints      map[common.EndpointID]*backend
	endpointOrder  []common.EndpointID
	services       [2]common.ServiceID
	selection      common.Selection
	release        uint64
	sequence       uint64
	lastInstanceID common.InstanceID
	connections    []*connection
	events         []event
	options        simulationOptions
	// lastMemberChange is the time of the last membership change or failure.
	lastMemberChange time.Duration
	failures         []string // invariants that were violated
	brokenFlows      int
	tupleCount       uint32
}

type simulationOptions struct {
	limits Limits
	// kills, freezes and partitions permit these unplanned failures.
	kills, freezes, partitions bool
	budget                     int // bytes in each round of replication; 0 is 1 MiB
}

// instance is one simulated instance.
type instance struct {
	id                  common.InstanceID
	shard               *Shard
	tables              *Tables
	lease               lease.Lease
	view                view
	alive               bool
	frozen              bool
	stopsAt             time.Duration // when a leaving instance stops; 0 is never
	membershipChangedAt time.Duration // last membership change in the view
	settled             bool
	lastDelivery        time.Duration              // delivery time of the last view change
	unreachable         map[common.InstanceID]bool // instances cut off by a partition
	consecutiveLosses   map[common.InstanceID]int  // lost batches in a row, for each target
}

// view is the state of the group as one instance has applied it.
type view struct {
	release   uint64
	members   map[common.InstanceID]common.Member
	endpoints map[common.EndpointID]common.Endpoint
	services  map[common.EndpointID]common.ServiceID
}

// backend is the actual state of an endpoint.
type backend struct {
	id       common.EndpointID
	service  common.ServiceID
	state    common.EndpointState
	since    time.Duration               // time of the last change of state
	accepted map[common.FiveTuple]uint32 // initial sequence numbers of open connections
}

// connection is one connection of a caller.
type connection struct {
	tuple           common.FiveTuple
	initialSequence uint32
	service         int               // index in simulation.services
	endpoint        common.EndpointID // that accepted the connection; 0 is none
	openedAt        time.Duration
	lastSeen        time.Duration
	refused         map[common.InstanceID]bool // instances that refused the first packet
	// mayBreak is set when an unplanned failure occurred before the flow was
	// certainly reported.
	mayBreak bool
	done     bool
}

// event is an action that runs at a simulated time.
type event struct {
	dueAt time.Duration
	run   func()
}

const (
	simulationTick        = 100 * time.Millisecond
	replicationInterval   = 500 * time.Millisecond
	simulationIdleTimeout = 20 * time.Second
	// maxViewDelay is the longest time until a change reaches an instance.
	maxViewDelay = 400 * time.Millisecond
	// membershipInterval is the shortest time between planned membership changes.
	// A slot then moves at most twice within a handover.
	membershipInterval = 4 * time.Second
	// maxReportDelay is the longest time until a flow is reported: the minimum
	// age, a replication round, resends of lost batches and the delivery.
	maxReportDelay = minReportAge + replicationInterval + 3*(resendInterval+replicationInterval) + time.Second
)

func newSimulation(options simulationOptions, seed int64, selection common.Selection) *simulation {
	sim := &simulation{
		random:    rand.New(rand.NewSource(seed)),
		endpoints: make(map[common.EndpointID]*backend),
		services:  [2]common.ServiceID{7, 8},
		selection: selection,
		release:   1,
		options:   options,
	}
	if sim.options.limits.MaxFlows == 0 {
		sim.options.limits.MaxFlows = 10000
	}
	sim.published.view = newView(1)
	for i := range 8 {
		sim.addBackend(common.EndpointID(i+1), sim.services[i/5])
	}
	for range 4 {
		sim.addInstance(common.MemberServing)
	}
	for _, n := range sim.instances {
		n.view = sim.published.view.clone()
		n.membershipChangedAt = -time.Minute
		sim.install(n)
	}
	sim.advance(10 * time.Second)
	return sim
}

func (sim *simulation) addBackend(id common.EndpointID, service common.ServiceID) {
	sim.endpoints[id] = &backend{id: id, service: service, accepted: make(map[common.FiveTuple]uint32)}
	sim.endpointOrder = append(sim.endpointOrder, id)
	sim.published.view.addEndpoint(id, service)
}

func newView(release uint64) view {
	return view{
		release:   release,
		members:   make(map[common.InstanceID]common.Member),
		endpoints: make(map[common.EndpointID]common.Endpoint),
		services:  make(map[common.EndpointID]common.ServiceID),
	}
}

func (v *view) clone() view {
	return view{v.release, maps.Clone(v.members), maps.Clone(v.endpoints), maps.Clone(v.services)}
}

func (v *view) addEndpoint(id common.EndpointID, service common.ServiceID) {
	v.services[id] = service
	v.endpoints[id] = common.Endpoint{
		ID: id, Weight: 1,
		Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(id)}), 6081),
	}
}

func (sim *simulation) addInstance(state common.MemberState) *instance {
	sim.lastInstanceID++
	n := &instance{id: sim.lastInstanceID, alive: true}
	n.unreachable = make(map[common.InstanceID]bool)
	n.consecutiveLosses = make(map[common.InstanceID]int)
	n.shard = NewShard(0, sim.options.limits)
	sim.published.view.members[n.id] = sim.member(n.id, 1, state)
	n.view = sim.published.view.clone()
	sim.instances = append(sim.instances, n)
	return n
}

func (sim *simulation) member(id common.InstanceID, incarnation uint64, state common.MemberState) common.Member {
	return common.Member{
		ID: id, Incarnation: incarnation, State: state,
		EntryAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(id)}), 6081),
	}
}

// install builds and installs the tables of an instance from its view.
func (sim *simulation) install(n *instance) {
	sim.sequence++
	n.settled = n.isSettled(sim.now)
	s := &common.Snapshot{Release: n.view.release, Self: n.id, Settled: n.settled, Epoch: 1, Sequence: sim.sequence}
	for i, id := range sim.services {
		s.Services = append(s.Services, sim.service(n, id, i))
	}
	for _, id := range sortedIDs(n.view.members) {
		s.Members = append(s.Members, n.view.members[id])
	}
	tables, err := NewTables(s, n.tables)
	if err != nil {
		panic(err)
	}
	n.tables = tables
	n.shard.Install(tables, sim.now)
}

func (sim *simulation) service(n *instance, id common.ServiceID, index int) common.Service {
	s := common.Service{ID: id, Address: simulationAddress(index), Idempotent: index == 1}
	s.Policy = common.Policy{Selection: sim.selection, IdleTimeout: simulationIdleTimeout, SlowStart: 5 * time.Second}
	for _, endpoint := range sortedIDs(n.view.endpoints) {
		if n.view.services[endpoint] == id {
			s.Endpoints = append(s.Endpoints, n.view.endpoints[endpoint])
		}
	}
	return s
}

func simulationAddress(index int) common.ServiceAddress {
	address := serviceAddress
	address.Port += uint16(index)
	return address
}

func sortedIDs[K ~uint32, V any](m map[K]V) []K {
	ids := make([]K, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *instance) isSettled(now time.Duration) bool {
	if now-n.membershipChangedAt < 2*time.Second || len(n.unreachable) > 0 {
		return false
	}
	for _, m := range n.view.members {
		if m.State != common.MemberServing {
			return false
		}
	}
	return true
}

// schedule runs the function after the delay.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.events = append(sim.events, event{sim.now + delay, run})
}

// publish changes the view of each running instance after a random delay. Changes
// reach every instance in the same order.
func (sim *simulation) publish(change func(n *instance)) {
	change(&sim.published)
	for _, n := range sim.instances {
		at := max(sim.now+sim.delay(maxViewDelay), n.lastDelivery)
		n.lastDelivery = at
		sim.schedule(at-sim.now, func() { sim.applyChange(n, change) })
	}
}

// applyChange changes the view of one instance. If it is frozen, the change waits
// until it resumes.
func (sim *simulation) applyChange(n *instance, change func(n *instance)) {
	if !n.alive {
		return
	}
	if n.frozen {
		sim.schedule(simulationTick, func() { sim.applyChange(n, change) })
		return
	}
	change(n)
	sim.install(n)
}

func (sim *simulation) publishMember(member common.Member) {
	sim.lastMemberChange = sim.now
	sim.publish(func(n *instance) { n.setMember(member, sim.now) })
}

// setMember updates a member in the view, unless the view has a newer incarnation or
// a later state of it.
func (n *instance) setMember(member common.Member, now time.Duration) {
	known := n.view.members[member.ID]
	if known.Incarnation > member.Incarnation {
		return
	}
	if known.Incarnation == member.Incarnation && known.State > member.State {
		return
	}
	n.view.members[member.ID] = member
	n.membershipChangedAt = now
}

// delay returns a random duration up to the limit.
func (sim *simulation) delay(limit time.Duration) time.Duration {
	return time.Duration(sim.random.Int63n(int64(limit) + 1))
}

// advance lets the time pass, runs the events that are due and replicates.
func (sim *simulation) advance(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += simulationTick
		sim.deliver()
		for _, n := range sim.instances {
			sim.tick(n)
		}
	}
}

func (sim *simulation) deliver() {
	slices.SortStableFunc(sim.events, func(a, b event) int { return int(a.dueAt - b.dueAt) })
	for len(sim.events) > 0 && sim.events[0].dueAt <= sim.now {
		e := sim.events[0]
		sim.events = sim.events[1:]
		e.run()
	}
}

// tick runs the periodic tasks of an instance: lease renewal, expiry and
// replication.
func (sim *simulation) tick(n *instance) {
	if !n.alive || n.frozen {
		return
	}
	if n.stopsAt > 0 && sim.now >= n.stopsAt {
		n.alive = false
		return
	}
	if n.isSettled(sim.now) != n.settled {
		sim.install(n)
	}
	sim.renewLease(n)
	offset := time.Duration(n.id) * simulationTick
	if (sim.now+offset)%replicationInterval != 0 {
		return
	}
	n.shard.Expire(sim.now, 1<<20)
	budget := &Budget{Bytes: 1 << 20}
	if sim.options.budget > 0 {
		budget.Bytes = sim.options.budget
	}
	for _, batch := range n.shard.TakeReplication(n.tables, sim.now, budget) {
		sim.transmit(n, batch)
	}
}

// renewLease extends the lease. An instance whose lease had expired rejoins.
func (sim *simulation) renewLease(n *instance) {
	fenced, err := n.lease.Renew(sim.now, lease.DefaultDuration, n.view.members[n.id].Incarnation)
	if err != nil {
		panic(err)
	}
	if fenced && sim.now > simulationTick && n.view.members[n.id].State == common.MemberServing {
		sim.rejoin(n)
	}
}

// transmit delivers a batch with a delay, twice or not at all, and its
// acknowledgement with a delay or not at all. At most two attempts in a row are
// lost, because otherwise no limit holds for the time until a report arrives.
func (sim *simulation) transmit(from *instance, batch common.ReplicationBatch) {
	lost, copies := sim.drawLoss(from, batch.Target)
	for range copies {
		sim.schedule(sim.delay(300*time.Millisecond), func() {
			to := sim.instance(batch.Target)
			if to == nil || !to.alive || to.frozen || from.unreachable[to.id] {
				return
			}
			if accepted := to.shard.AddReplication(to.tables, &batch, sim.now); lost || !accepted {
				return
			}
			sim.schedule(sim.delay(100*time.Millisecond), func() {
				if from.alive && !from.frozen {
					from.shard.AckReplication(to.id, batch.Sequence)
				}
			})
		})
	}
}

// drawLoss decides at random whether an attempt is lost and how many copies of it
// arrive. In a lost attempt either the batch or its acknowledgement is missing.
func (sim *simulation) drawLoss(from *instance, to common.InstanceID) (lost bool, copies int) {
	lost = sim.random.Intn(4) == 0 && from.consecutiveLosses[to] < 2
	if !lost {
		from.consecutiveLosses[to] = 0
		return false, 1 + sim.random.Intn(5)/4
	}
	from.consecutiveLosses[to]++
	return true, sim.random.Intn(2)
}

func (sim *simulation) instance(id common.InstanceID) *instance {
	for _, n := range sim.instances {
		if n.id == id {
			return n
		}
	}
	return nil
}

// fabricTargets returns the instances to which the fabric sends packets.
func (sim *simulation) fabricTargets() []*instance {
	var fabricTargets []*instance
	for _, n := range sim.instances {
		if n.alive && n.tables != nil && n.view.members[n.id].State != common.MemberJoining {
			fabricTargets = append(fabricTargets, n)
		}
	}
	return fabricTargets
}

// send delivers a packet to a random instance and follows its relays. It returns
// the final action and the instance that took it.
func (sim *simulation) send(c *connection, p Packet) (Action, *instance) {
	fabricTargets := sim.fabricTargets()
	n := fabricTargets[sim.random.Intn(len(fabricTargets))]
	for {
		if !n.alive || n.frozen {
			return Action{Kind: Drop}, n
		}
		p.Service = n.tables.Match(simulationAddress(c.service))
		action := n.shard.Handle(n.tables, &p, sim.now, n.lease.Valid(sim.now))
		if traceSlot >= 0 && int(p.Hash.Slot()) == traceSlot {
			fmt.Println("    ", sim.now, "instance", n.id, "hop", p.HopCount, "src", p.Tuple.Source, "first", p.First, p.Sequence, "fin", p.Fin, p.Reset, "->", action.Kind, action.Endpoint, action.To.Addr())
		}
		if action.Kind != Relay {
			sim.checkService(c, action)
			return action, n
		}
		p.HopCount = action.HopCount
		if p.HopCount > maxHops {
			sim.fail("packet relayed %d times", p.HopCount)
			return Action{Kind: Drop}, n
		}
		next := sim.instance(common.InstanceID(action.To.Addr().As4()[3]))
		if next == nil || n.unreachable[next.id] {
			return Action{Kind: Drop}, n
		}
		n = next
	}
}

// checkService checks that a packet is forwarded only to endpoints of its service.
func (sim *simulation) checkService(c *connection, action Action) {
	if action.Kind != Forward {
		return
	}
	if sim.endpoints[action.Endpoint].service != sim.services[c.service] {
		sim.fail("P2: packet of service %d at endpoint %d of service %d",
			sim.services[c.service], action.Endpoint, sim.endpoints[action.Endpoint].service)
	}
}

// fail records the violation of an invariant. The labels are those of the guarantees
// of the load balancer. P1: an established flow stays on its endpoint. P2: packets
// reach only endpoints of their service. P4: a refused first packet is never
// forwarded. P5: a flow has one endpoint. P6: a draining endpoint gets no new flows.
func (sim *simulation) fail(format string, args ...any) {
	sim.failures = append(sim.failures, fmt.Sprintf("at %v: ", sim.now)+fmt.Sprintf(format, args...))
}

// newTuple returns an unused five-tuple of shard 0.
func (sim *simulation) newTuple(service int) common.FiveTuple {
	for {
		sim.tupleCount++
		t := common.FiveTuple{
			Source:      [4]byte{192, byte(sim.tupleCount >> 16), byte(sim.tupleCount >> 8), byte(sim.tupleCount)},
			Destination: serviceAddress.Address.As4(),
			SourcePort:  30000, DestinationPort: simulationAddress(service).Port,
			Protocol: common.ProtocolTCP,
		}
		if ShardOf(t.Hash()) == 0 {
			return t
		}
	}
}

func (c *connection) packet(first bool) Packet {
	p := Packet{Tuple: c.tuple, Hash: c.tuple.Hash(), First: first, Sequence: c.initialSequence}
	if !first {
		p.Sequence++
		p.PayloadLength = 100
	}
	return p
}

// open starts a connection. A late duplicate of the first packet may follow.
func (sim *simulation) open(tuple common.FiveTuple, service int) {
	c := &connection{tuple: tuple, initialSequence: sim.random.Uint32(), service: service, openedAt: sim.now, lastSeen: sim.now}
	c.refused = make(map[common.InstanceID]bool)
	sim.connections = append(sim.connections, c)
	sim.sendFirst(c)
	if sim.random.Intn(3) == 0 {
		sim.schedule(sim.delay(4*time.Second), func() { sim.sendFirst(c) })
	}
}

// sendFirst sends the first packet of a connection.
func (sim *simulation) sendFirst(c *connection) {
	action, n := sim.send(c, c.packet(true))
	if action.Kind == Refuse {
		c.refused[n.id] = true
		if c.endpoint == 0 {
			c.done = true
		}
		return
	}
	if action.Kind != Forward {
		return
	}
	if c.refused[n.id] {
		sim.fail("P4: refused first packet forwarded")
	}
	sim.acceptFirst(c, sim.endpoints[action.Endpoint])
}

// acceptFirst models how an endpoint handles a first packet.
func (sim *simulation) acceptFirst(c *connection, b *backend) {
	if b.state == common.EndpointDown {
		return
	}
	initialSequence, open := b.accepted[c.tuple]
	switch {
	case open && initialSequence == c.initialSequence:
	case c.done || c.endpoint != 0 && c.endpoint != b.id:
		// A duplicate of the first packet of an ended or moved connection.
		if !c.done && !c.mayBreak {
			sim.fail("P5: flow opened at %v on endpoint %d opened at %d as well, slot %d",
				c.openedAt, c.endpoint, b.id, c.tuple.Hash().Slot())
		}
	case c.endpoint != 0:
	case open:
		// The endpoint responds to a first packet on an open connection with a
		// challenge ACK. The caller then resets that connection and retransmits
		// the packet.
		reset := c.packet(false)
		reset.Reset, reset.PayloadLength, reset.Sequence = true, 0, initialSequence
		if action, _ := sim.send(c, reset); action.Kind == Forward {
			delete(sim.endpoints[action.Endpoint].accepted, c.tuple)
		}
		sim.schedule(time.Second, func() {
			if c.endpoint == 0 && !c.done {
				sim.sendFirst(c)
			}
		})
	default:
		if b.state == common.EndpointDraining && sim.now-b.since > 3*time.Second && !sim.recentlyReused(c) {
			sim.fail("P6: new flow at draining endpoint %d", b.id)
		}
		b.accepted[c.tuple] = c.initialSequence
		c.endpoint = b.id
	}
}

// recentlyReused reports whether the five-tuple had another connection within the
// maximum segment lifetime. An instance that gained the slot may not have received
// the close of that connection. It then keeps the endpoint, because the first
// packet may be a late duplicate.
func (sim *simulation) recentlyReused(c *connection) bool {
	return slices.ContainsFunc(sim.connections, func(earlier *connection) bool {
		return earlier != c && earlier.tuple == c.tuple && c.openedAt-earlier.lastSeen < maxSegmentLifetime
	})
}

// sendData sends a packet of an open connection and reports whether an endpoint
// received it. It returns true without a packet when the connection is not open.
func (sim *simulation) sendData(c *connection) bool {
	if c.done || c.endpoint == 0 {
		return true
	}
	action, _ := sim.send(c, c.packet(false))
	if action.Kind == Refuse {
		sim.fail("established flow refused")
	}
	if action.Kind != Forward {
		return false
	}
	c.lastSeen = sim.now
	b := sim.endpoints[action.Endpoint]
	if b.accepted[c.tuple] == c.initialSequence && c.endpoint == b.id {
		return true
	}
	c.done = true
	sim.brokenFlows++
	if !c.mayBreak {
		sim.fail("P1: flow opened at %v on endpoint %d (%v) broken at endpoint %d, slot %d",
			c.openedAt, c.endpoint, sim.endpoints[c.endpoint].state, b.id, c.tuple.Hash().Slot())
	}
	return true
}

// close ends a connection on the caller's side. The value of how selects the packet
// that it sends: 0 is a FIN, 1 a reset, others none.
func (sim *simulation) close(c *connection, how int) {
	c.done = true
	if c.endpoint == 0 {
		return
	}
	p := c.packet(false)
	p.PayloadLength = 0
	switch how {
	case 0:
		p.Fin = true
	case 1:
		p.Reset = true
	default:
		return
	}
	if action, _ := sim.send(c, p); action.Kind == Forward {
		delete(sim.endpoints[action.Endpoint].accepted, c.tuple)
	}
}

// traceSlot is the slot whose packets are printed, for debugging; -1 is none.
var traceSlot = -1
