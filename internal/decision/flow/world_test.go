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

// world runs several instances on one hash shard, with views that change at
// different times and replication batches that are late, lost or doubled. The
// endpoints model TCP: a packet for a connection they do not have resets it.
type world struct {
	random    *rand.Rand
	now       time.Duration
	nodes     []*node
	truth     node // its view holds all published changes
	endpoints map[common.EndpointID]*backend
	order     []common.EndpointID
	services  [2]common.ServiceID
	selection common.Selection
	release   uint64
	sequence  uint64
	next      common.InstanceID
	flows     []*call
	events    []event
	options   worldOptions
	// disturbed is the time of the last membership change.
	disturbed time.Duration
	failures  []string
	broken    int
	tuples    uint32
}

type worldOptions struct {
	limits Limits
	// unplanned permits kills, freezes and partitions.
	kills, freezes, partitions bool
	budget                     int
}

// node is one instance.
type node struct {
	id      common.InstanceID
	shard   *Shard
	tables  *Tables
	lease   lease.Lease
	view    view
	alive   bool
	frozen  bool
	leftAt  time.Duration
	changed time.Duration // last membership change in the view
	settled bool
	latest  time.Duration // delivery time of the last view change
	cutFrom map[common.InstanceID]bool
	losses  map[common.InstanceID]int // in a row, for each target
}

// view is what one instance believes.
type view struct {
	release   uint64
	members   map[common.InstanceID]common.Member
	endpoints map[common.EndpointID]common.Endpoint
	services  map[common.EndpointID]common.ServiceID
}

// backend is the true state of an endpoint.
type backend struct {
	id       common.EndpointID
	service  common.ServiceID
	state    common.EndpointState
	since    time.Duration
	accepted map[common.FiveTuple]uint32 // open connections and their numbers
}

// call is one connection of a caller.
type call struct {
	tuple    common.FiveTuple
	number   uint32
	service  int
	endpoint common.EndpointID
	opened   time.Duration
	seen     time.Duration
	refused  map[common.InstanceID]bool
	// mayBreak is set when an unplanned failure hit the flow within one
	// replication interval.
	mayBreak bool
	done     bool
}

type event struct {
	at time.Duration
	do func()
}

const (
	worldTick        = 100 * time.Millisecond
	worldReplication = 500 * time.Millisecond
	worldIdle        = 20 * time.Second
	// worldSkew is the highest delay with which a change reaches an instance.
	worldSkew = 400 * time.Millisecond
	// worldPace is the least time between planned membership changes. A slot
	// then moves at most twice within a hand-over.
	worldPace = 4 * time.Second
	// worldInterval is how long a flow may be unreported: the least age, a
	// round, a lost batch with its repetition, and the delivery.
	worldInterval = leastAge + worldReplication + 3*(resendAfter+worldReplication) + time.Second
)

func newWorld(options worldOptions, seed int64, selection common.Selection) *world {
	w := &world{
		random:    rand.New(rand.NewSource(seed)),
		endpoints: make(map[common.EndpointID]*backend),
		services:  [2]common.ServiceID{7, 8},
		selection: selection,
		release:   1,
		options:   options,
	}
	if w.options.limits.MaxFlows == 0 {
		w.options.limits.MaxFlows = 10000
	}
	w.truth.view = newView(1)
	for i := range 8 {
		w.addBackend(common.EndpointID(i+1), w.services[i/5])
	}
	for range 4 {
		w.addNode(common.MemberServing)
	}
	for _, n := range w.nodes {
		n.view = w.truth.view.clone()
		n.changed = -time.Minute
		w.install(n)
	}
	w.advance(10 * time.Second)
	return w
}

func (w *world) addBackend(id common.EndpointID, service common.ServiceID) {
	w.endpoints[id] = &backend{id: id, service: service, accepted: make(map[common.FiveTuple]uint32)}
	w.order = append(w.order, id)
	w.truth.view.addEndpoint(id, service)
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

func (w *world) addNode(state common.MemberState) *node {
	w.next++
	n := &node{id: w.next, alive: true}
	n.cutFrom = make(map[common.InstanceID]bool)
	n.losses = make(map[common.InstanceID]int)
	n.shard = NewShard(0, w.options.limits)
	w.truth.view.members[n.id] = w.member(n.id, 1, state)
	n.view = w.truth.view.clone()
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) member(id common.InstanceID, incarnation uint64, state common.MemberState) common.Member {
	return common.Member{
		ID: id, Incarnation: incarnation, State: state,
		EntryAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, 0, byte(id)}), 6081),
	}
}

// install builds and installs the tables of a node from its view.
func (w *world) install(n *node) {
	w.sequence++
	n.settled = n.isSettled(w.now)
	s := &common.Snapshot{Release: n.view.release, Self: n.id, Settled: n.settled, Epoch: 1, Sequence: w.sequence}
	for i, id := range w.services {
		s.Services = append(s.Services, w.service(n, id, i))
	}
	for _, id := range sortedIDs(n.view.members) {
		s.Members = append(s.Members, n.view.members[id])
	}
	tables, err := NewTables(s, n.tables)
	if err != nil {
		panic(err)
	}
	n.tables = tables
	n.shard.Install(tables, w.now)
}

func (w *world) service(n *node, id common.ServiceID, index int) common.Service {
	s := common.Service{ID: id, Address: worldAddress(index), Idempotent: index == 1}
	s.Policy = common.Policy{Selection: w.selection, IdleTimeout: worldIdle, SlowStart: 5 * time.Second}
	for _, endpoint := range sortedIDs(n.view.endpoints) {
		if n.view.services[endpoint] == id {
			s.Endpoints = append(s.Endpoints, n.view.endpoints[endpoint])
		}
	}
	return s
}

func worldAddress(index int) common.ServiceAddress {
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

func (n *node) isSettled(now time.Duration) bool {
	if now-n.changed < 2*time.Second || len(n.cutFrom) > 0 {
		return false
	}
	for _, m := range n.view.members {
		if m.State != common.MemberServing {
			return false
		}
	}
	return true
}

func (w *world) after(delay time.Duration, do func()) {
	w.events = append(w.events, event{w.now + delay, do})
}

// publish changes the view of every running node, each after its own delay and
// in the same order on each.
func (w *world) publish(change func(n *node)) {
	change(&w.truth)
	for _, n := range w.nodes {
		at := max(w.now+w.delay(worldSkew), n.latest)
		n.latest = at
		w.after(at-w.now, func() { w.changeView(n, change) })
	}
}

func (w *world) changeView(n *node, change func(n *node)) {
	if !n.alive {
		return
	}
	if n.frozen {
		w.after(worldTick, func() { w.changeView(n, change) })
		return
	}
	change(n)
	w.install(n)
}

func (w *world) publishMember(member common.Member) {
	w.disturbed = w.now
	w.publish(func(n *node) { n.setMember(member, w.now) })
}

func (n *node) setMember(member common.Member, now time.Duration) {
	known := n.view.members[member.ID]
	if known.Incarnation > member.Incarnation {
		return
	}
	if known.Incarnation == member.Incarnation && known.State > member.State {
		return
	}
	n.view.members[member.ID] = member
	n.changed = now
}

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(most) + 1))
}

// advance moves the time on, delivers what is due and replicates.
func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += worldTick
		w.deliver()
		for _, n := range w.nodes {
			w.tick(n)
		}
	}
}

func (w *world) deliver() {
	slices.SortStableFunc(w.events, func(a, b event) int { return int(a.at - b.at) })
	for len(w.events) > 0 && w.events[0].at <= w.now {
		e := w.events[0]
		w.events = w.events[1:]
		e.do()
	}
}

func (w *world) tick(n *node) {
	if !n.alive || n.frozen {
		return
	}
	if n.leftAt > 0 && w.now >= n.leftAt {
		n.alive = false
		return
	}
	if n.isSettled(w.now) != n.settled {
		w.install(n)
	}
	w.renew(n)
	offset := time.Duration(n.id) * worldTick
	if (w.now+offset)%worldReplication != 0 {
		return
	}
	n.shard.Expire(w.now, 1<<20)
	budget := &Budget{Bytes: 1 << 20}
	if w.options.budget > 0 {
		budget.Bytes = w.options.budget
	}
	for _, batch := range n.shard.TakeReplication(n.tables, w.now, budget) {
		w.carry(n, batch)
	}
}

// renew extends the lease. A node that finds its lease lapsed rejoins.
func (w *world) renew(n *node) {
	fenced, err := n.lease.Renew(w.now, lease.DefaultDuration, n.view.members[n.id].Incarnation)
	if err != nil {
		panic(err)
	}
	if fenced && w.now > worldTick && n.view.members[n.id].State == common.MemberServing {
		w.rejoin(n)
	}
}

// carry delivers a batch late, doubled or not at all, and its acknowledgement
// late or not at all. No more than two attempts in a row are lost, because no
// bound holds when all of them are.
func (w *world) carry(from *node, batch common.ReplicationBatch) {
	lost, copies := w.draw(from, batch.Target)
	for range copies {
		w.after(w.delay(300*time.Millisecond), func() {
			to := w.node(batch.Target)
			if to == nil || !to.alive || to.frozen || from.cutFrom[to.id] {
				return
			}
			if held := to.shard.AddReplication(to.tables, &batch, w.now); lost || !held {
				return
			}
			w.after(w.delay(100*time.Millisecond), func() {
				if from.alive && !from.frozen {
					from.shard.AckReplication(to.id, batch.Sequence)
				}
			})
		})
	}
}

// draw decides whether an attempt is lost and how many copies of it arrive.
func (w *world) draw(from *node, to common.InstanceID) (lost bool, copies int) {
	lost = w.random.Intn(4) == 0 && from.losses[to] < 2
	if !lost {
		from.losses[to] = 0
		return false, 1 + w.random.Intn(5)/4
	}
	from.losses[to]++
	return true, w.random.Intn(2)
}

func (w *world) node(id common.InstanceID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// running returns the nodes that the fabric sends packets to.
func (w *world) running() []*node {
	var running []*node
	for _, n := range w.nodes {
		if n.alive && n.tables != nil && n.view.members[n.id].State != common.MemberJoining {
			running = append(running, n)
		}
	}
	return running
}

// send gives a packet to a random node and follows it to its action.
func (w *world) send(c *call, p Packet) (Action, *node) {
	running := w.running()
	n := running[w.random.Intn(len(running))]
	for {
		if !n.alive || n.frozen {
			return Action{Kind: Drop}, n
		}
		p.Service = n.tables.Match(worldAddress(c.service))
		action := n.shard.Handle(n.tables, &p, w.now, n.lease.Valid(w.now))
		if dbgSlot >= 0 && int(p.Hash.Slot()) == dbgSlot {
			fmt.Println("    ", w.now, "node", n.id, "hop", p.HopCount, "src", p.Tuple.Source, "first", p.First, p.Sequence, "fin", p.Fin, p.Reset, "->", action.Kind, action.Endpoint, action.To.Addr())
		}
		if action.Kind != Relay {
			w.check(c, action)
			return action, n
		}
		p.HopCount = action.HopCount
		if p.HopCount > maxHops {
			w.fail("packet relayed %d times", p.HopCount)
			return Action{Kind: Drop}, n
		}
		next := w.node(common.InstanceID(action.To.Addr().As4()[3]))
		if next == nil || n.cutFrom[next.id] {
			return Action{Kind: Drop}, n
		}
		n = next
	}
}

func (w *world) check(c *call, action Action) {
	if action.Kind != Forward {
		return
	}
	if w.endpoints[action.Endpoint].service != w.services[c.service] {
		w.fail("P2: packet of service %d at endpoint %d of service %d",
			w.services[c.service], action.Endpoint, w.endpoints[action.Endpoint].service)
	}
}

func (w *world) fail(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) newTuple(service int) common.FiveTuple {
	for {
		w.tuples++
		t := common.FiveTuple{
			Source:      [4]byte{192, byte(w.tuples >> 16), byte(w.tuples >> 8), byte(w.tuples)},
			Destination: serviceAddress.Address.As4(),
			SourcePort:  30000, DestinationPort: worldAddress(service).Port,
			Protocol: common.ProtocolTCP,
		}
		if ShardOf(t.Hash()) == 0 {
			return t
		}
	}
}

func (c *call) packet(first bool) Packet {
	p := Packet{Tuple: c.tuple, Hash: c.tuple.Hash(), First: first, Sequence: c.number}
	if !first {
		p.Sequence++
		p.PayloadLength = 100
	}
	return p
}

// open starts a connection. A late duplicate of the first packet may follow.
func (w *world) open(tuple common.FiveTuple, service int) {
	c := &call{tuple: tuple, number: w.random.Uint32(), service: service, opened: w.now, seen: w.now}
	c.refused = make(map[common.InstanceID]bool)
	w.flows = append(w.flows, c)
	w.first(c)
	if w.random.Intn(3) == 0 {
		w.after(w.delay(4*time.Second), func() { w.first(c) })
	}
}

// first sends the first packet of a connection.
func (w *world) first(c *call) {
	action, n := w.send(c, c.packet(true))
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
		w.fail("P4: refused first packet forwarded")
	}
	w.accept(c, w.endpoints[action.Endpoint])
}

// accept is what an endpoint does with a first packet.
func (w *world) accept(c *call, b *backend) {
	if b.state == common.EndpointDown {
		return
	}
	number, open := b.accepted[c.tuple]
	switch {
	case open && number == c.number:
	case c.done || c.endpoint != 0 && c.endpoint != b.id:
		// A duplicate of an ended or moved connection.
		if !c.done && !c.mayBreak {
			w.fail("P5: flow opened at %v on endpoint %d opened at %d as well, slot %d",
				c.opened, c.endpoint, b.id, c.tuple.Hash().Slot())
		}
	case c.endpoint != 0:
	case open:
		// The endpoint challenges a first packet on an open connection; the
		// caller resets that connection and repeats the packet.
		reset := c.packet(false)
		reset.Reset, reset.PayloadLength, reset.Sequence = true, 0, number
		if action, _ := w.send(c, reset); action.Kind == Forward {
			delete(w.endpoints[action.Endpoint].accepted, c.tuple)
		}
		w.after(time.Second, func() {
			if c.endpoint == 0 && !c.done {
				w.first(c)
			}
		})
	default:
		if b.state == common.EndpointDraining && w.now-b.since > 3*time.Second && !w.reused(c) {
			w.fail("P6: new flow at draining endpoint %d", b.id)
		}
		b.accepted[c.tuple] = c.number
		c.endpoint = b.id
	}
}

// reused reports whether the five-tuple had a connection a short time ago. An
// instance that took the slot over does not know whether the caller closed that
// one, and keeps the endpoint because the first packet may be a late duplicate.
func (w *world) reused(c *call) bool {
	return slices.ContainsFunc(w.flows, func(old *call) bool {
		return old != c && old.tuple == c.tuple && c.opened-old.seen < lateDuplicateLife
	})
}

// data sends a packet of an open connection and reports whether it arrived.
func (w *world) data(c *call) bool {
	if c.done || c.endpoint == 0 {
		return true
	}
	action, _ := w.send(c, c.packet(false))
	if action.Kind == Refuse {
		w.fail("established flow refused")
	}
	if action.Kind != Forward {
		return false
	}
	c.seen = w.now
	b := w.endpoints[action.Endpoint]
	if b.accepted[c.tuple] == c.number && c.endpoint == b.id {
		return true
	}
	c.done = true
	w.broken++
	if !c.mayBreak {
		w.fail("P1: flow opened at %v on endpoint %d (%v) broken at endpoint %d, slot %d",
			c.opened, c.endpoint, w.endpoints[c.endpoint].state, b.id, c.tuple.Hash().Slot())
	}
	return true
}

// close ends a connection from the caller's side, with or without a packet.
func (w *world) close(c *call, how int) {
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
	if action, _ := w.send(c, p); action.Kind == Forward {
		delete(w.endpoints[action.Endpoint].accepted, c.tuple)
	}
}

var dbgSlot = -1
