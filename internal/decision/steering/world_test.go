package steering

import (
	"container/heap"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// simulation is a model of callers, routers, instances and endpoints with a clock of
// its own. Endpoints answer callers directly. It counts what must not happen.
type simulation struct {
	random        *rand.Rand
	now           time.Duration
	queue         eventQueue
	eventSequence int

	instances []*instance
	endpoints map[string]*backend
	catalog   []directory.Endpoint
	rules     *directory.Configuration
	callers   []*caller
	nextPort  uint16
	nextID    uint64

	// opened counts flows whose endpoint has the end of the handshake.
	opened, finished int
	violations       []string

	// lossOneIn loses one packet in so many, 0 for none.
	lossOneIn int
	// delayAccepts delays some answers to first packets beyond their first copy.
	delayAccepts bool
	// rerouteFlows lets routers send later packets of a flow to another instance.
	rerouteFlows bool
	// stickyRouting lets routers send the packets of a flow to one instance while that one
	// is in rotation.
	stickyRouting bool
	// withoutLabels and withoutFlowTable switch off a mechanism.
	withoutLabels, withoutFlowTable bool
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.eventSequence++
	heap.Push(&w.queue, event{at: w.now + d, sequence: w.eventSequence, run: run})
}

func (w *simulation) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// instance is one entry instance with its own view and flow table.
type instance struct {
	sim       *simulation
	pools     map[string]*selection.Pool
	view      *View
	table     *Table
	up        bool
	startedAt time.Duration
	// paused keeps packets in waiting, outOfRotation takes the instance outOfRotation of rotation.
	paused, outOfRotation bool
	queued                []func()
}

func (w *simulation) newInstance() *instance {
	i := &instance{sim: w}
	w.instances = append(w.instances, i)
	i.start()
	return i
}

func (i *instance) start() {
	i.pools = map[string]*selection.Pool{}
	i.table = NewTable(10_000)
	i.up, i.startedAt = true, i.sim.now
	i.updateView()
}

func (i *instance) pool(service string) *selection.Pool {
	if i.pools[service] == nil {
		i.pools[service] = selection.NewPool(service, "entry-1", "fukuoka")
	}
	return i.pools[service]
}

// updateView takes the present catalog.
func (i *instance) updateView() {
	byService := map[string][]directory.Endpoint{"desk": nil, "store": nil}
	for _, e := range i.sim.catalog {
		byService[e.Service] = append(byService[e.Service], e)
	}
	var labelled []LabelledMember
	for _, service := range []string{"desk", "store"} {
		for at, m := range i.pool(service).Update(byService[service], i.sim.now) {
			e := byService[service][at]
			labelled = append(labelled, LabelledMember{Member: m, Holder: label.Holder{Number: e.Number, Live: true, StartedAt: e.Born}})
		}
	}
	i.view = NewView(i.sim.rules, labelled, i.pool, nil)
}

// handle decides on a packet and carries it out.
func (i *instance) handle(c *caller, p Packet) {
	w := i.sim
	p.Hash = p.Tuple.Hash()
	if w.withoutLabels && !p.First {
		p.Label = 0
	}
	if w.withoutFlowTable && !p.First {
		i.table = NewTable(10_000)
	}
	fresh := Freshness{Configured: true, SettledFor: w.now - i.startedAt}
	action := i.table.Handle(i.view, &p, fresh, w.now)
	switch action.Kind {
	case Refuse:
		w.checkPacket(c, nil, &p)
		w.schedule(w.hopDelay(), c.handleReset)
	case Forward:
		e := action.Member.Endpoint()
		w.checkPacket(c, &e, &p)
		if w.lost() {
			return
		}
		w.schedule(w.hopDelay(), func() { w.deliver(c, e.Name, p, action.Label) })
	}
}

// checkPacket notes packets that leave the flow's endpoint or reach another service, and
// resets of open flows.
func (w *simulation) checkPacket(c *caller, to *directory.Endpoint, p *Packet) {
	if to != nil && to.Service != c.service {
		w.recordViolation("packet of %s to an endpoint of %s", c.service, to.Service)
	}
	if c.endpoint == "" || p.First {
		return
	}
	if _, alive := w.endpoints[c.endpoint]; !alive {
		return
	}
	switch {
	case to == nil:
		w.recordViolation("open flow %v on %s is reset", p.Tuple, c.endpoint)
	case to.Name != c.endpoint:
		w.recordViolation("packet of the open flow %v on %s goes to %s", p.Tuple, c.endpoint, to.Name)
	}
}

// backend is an endpoint with the flows that it holds.
type backend struct {
	flows map[common.FiveTuple]*heldFlow
}

type heldFlow struct {
	sequence uint32
	open     bool
}

func (w *simulation) addEndpoint(service string) {
	w.nextID++
	name := fmt.Sprintf("i-%x", w.nextID*7919)
	w.endpoints[name] = &backend{flows: map[common.FiveTuple]*heldFlow{}}
	w.catalog = append(w.catalog, directory.Endpoint{
		Name: name, Number: w.nextID * 7919, Service: service, DataCentre: "fukuoka", Slots: 2,
		Born: int64(w.nextID), Revision: w.nextID,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(w.nextID)}), 80),
	})
}

func (w *simulation) lost() bool { return w.lossOneIn > 0 && w.random.Intn(w.lossOneIn) == 0 }

func (w *simulation) hopDelay() time.Duration {
	return time.Millisecond + time.Duration(w.random.Intn(1000))*time.Microsecond
}

// deliver hands a packet to an endpoint.
func (w *simulation) deliver(c *caller, name string, p Packet, l label.Label) {
	e := w.endpoints[name]
	if e == nil {
		return
	}
	f := e.flows[p.Tuple]
	if p.First {
		if f == nil {
			f = &heldFlow{sequence: w.random.Uint32()}
			e.flows[p.Tuple] = f
		}
		wait := w.hopDelay()
		if w.delayAccepts && w.random.Intn(8) == 0 {
			wait += time.Duration(150+w.random.Intn(200)) * time.Millisecond
		}
		if !w.lost() {
			w.schedule(wait, func() { c.handleAccept(name, f.sequence, l) })
		}
		return
	}
	if f == nil || !f.open && p.Acknowledgement != f.sequence+1 {
		w.schedule(w.hopDelay(), c.handleReset)
		return
	}
	if !f.open {
		f.open = true
		c.endpoint = name
		w.opened++
	}
	switch {
	case p.Fin:
		delete(e.flows, p.Tuple)
		c.endpoint = ""
	case p.Length > 0 && !w.lost():
		acknowledged := f.sequence + 1
		w.schedule(30*time.Millisecond+w.hopDelay(), func() { c.handleResponse(l, acknowledged+4000) })
	}
}

// caller opens one flow, sends requests on it and closes it.
type caller struct {
	sim      *simulation
	tuple    common.FiveTuple
	service  string
	sequence uint32
	requests int

	instance *instance
	// accepted by an endpoint with a sequence number; echo is the last label.
	open         bool
	done         bool
	lastLabel    label.Label
	ack          uint32
	nextSequence uint32
	endpoint     string
	turn         int
}

func (w *simulation) newCaller() {
	w.nextPort++
	service, port := "desk", uint16(443)
	if w.random.Intn(4) == 0 {
		service, port = "store", 80
	}
	c := &caller{
		sim: w, service: service, sequence: w.random.Uint32(), requests: 1 + w.random.Intn(6),
		tuple: common.FiveTuple{
			Source: [4]byte{100, 64, 0, byte(w.random.Intn(200))}, Destination: [4]byte{198, 18, 0, 1},
			SourcePort: w.nextPort, DestinationPort: port, Protocol: common.ProtocolTCP,
		},
	}
	w.callers = append(w.callers, c)
	c.sendFirst(0)
	w.schedule(200*time.Millisecond, func() { c.sendFirst(1) })
	w.schedule(600*time.Millisecond, func() { c.sendFirst(2) })
}

// send routes a packet to an instance.
func (c *caller) send(p Packet) {
	w := c.sim
	p.Tuple = c.tuple
	if c.instance == nil || !c.instance.up || w.stickyRouting || w.rerouteFlows && w.random.Intn(3) == 0 {
		c.instance = w.route(c)
	}
	if c.instance == nil || w.lost() {
		return
	}
	i := c.instance
	w.schedule(w.hopDelay(), func() { i.receive(func() { i.handle(c, p) }) })
}

// receive has a packet handled, after a pause that has begun.
func (i *instance) receive(handle func()) {
	switch {
	case i.paused:
		i.queued = append(i.queued, handle)
	case i.up:
		handle()
	}
}

// pauseInstances pauses instances in turn for some time each. Routers take an
// instance out of rotation about a second after it stops, and back half a second
// after it goes on.
func (w *simulation) pauseInstances(every time.Duration, rounds int) {
	for round := range rounds {
		w.schedule(time.Duration(round+1)*every, func() {
			i := w.instances[round%len(w.instances)]
			length := time.Duration(500+w.random.Intn(2000)) * time.Millisecond
			i.paused = true
			w.schedule(time.Second, func() { i.outOfRotation = i.paused })
			w.schedule(length, i.resume)
			w.schedule(length+500*time.Millisecond, func() { i.outOfRotation = false })
		})
	}
}

func (i *instance) resume() {
	i.paused = false
	i.table.ResetAfterPause(i.view, i.sim.now)
	waiting := i.queued
	i.queued = nil
	for _, handle := range waiting {
		handle()
	}
}

func (w *simulation) route(c *caller) *instance {
	order := w.random.Perm(len(w.instances))
	if w.stickyRouting {
		first := int(c.tuple.Hash() % common.FlowHash(len(w.instances)))
		for at := range order {
			order[at] = (first + at) % len(w.instances)
		}
	}
	for _, at := range order {
		if w.instances[at].up && !w.instances[at].outOfRotation {
			return w.instances[at]
		}
	}
	return nil
}

func (c *caller) sendFirst(copies uint8) {
	if !c.open && !c.done {
		c.send(Packet{First: true, Retransmits: copies, Sequence: c.sequence})
	}
}

// handleAccept takes an endpoint's answer to the first packet. Of two answers the caller
// acknowledges the first one and returns the label of the last.
func (c *caller) handleAccept(_ string, sequence uint32, l label.Label) {
	if c.done {
		return
	}
	c.lastLabel = l
	if c.open {
		return
	}
	c.open = true
	c.ack, c.nextSequence = sequence+1, c.sequence+1
	c.sendAck()
	c.startRequest()
}

func (c *caller) sendAck() {
	c.send(Packet{Label: c.lastLabel, Sequence: c.nextSequence, Acknowledgement: c.ack})
}

func (c *caller) startRequest() {
	c.turn++
	turn := c.turn
	sequence := c.nextSequence
	c.nextSequence += 900
	c.sendRequest(turn, sequence)
}

func (c *caller) sendRequest(turn int, sequence uint32) {
	if c.done || c.turn != turn {
		return
	}
	c.send(Packet{Label: c.lastLabel, Sequence: sequence, Acknowledgement: c.ack, Length: 900})
	c.sim.schedule(200*time.Millisecond, func() { c.sendRequest(turn, sequence) })
}

func (c *caller) handleResponse(l label.Label, ack uint32) {
	if c.done {
		return
	}
	c.lastLabel, c.ack = l, ack
	c.turn++
	c.sendAck()
	c.requests--
	if c.requests > 0 {
		c.sim.schedule(time.Duration(c.sim.random.Intn(400))*time.Millisecond, func() {
			if !c.done {
				c.startRequest()
			}
		})
		return
	}
	c.done = true
	c.sim.finished++
	c.send(Packet{Label: c.lastLabel, Sequence: c.nextSequence, Acknowledgement: c.ack, Fin: true})
}

func (c *caller) handleReset() {
	c.done = true
	c.endpoint = ""
}

// newSimulation returns a world with some instances and endpoints.
func newSimulation(seed int64) *simulation {
	w := &simulation{
		random: rand.New(rand.NewSource(seed)), endpoints: map[string]*backend{},
		rules: &directory.Configuration{Version: 1, Rules: []directory.Rule{
			{Address: serviceAddress(443), Targets: []directory.Target{{Service: "desk", Weight: 1}}},
			{Address: serviceAddress(80), Targets: []directory.Target{{Service: "store", Weight: 1}}},
		}},
	}
	for range 6 {
		w.addEndpoint("desk")
	}
	for range 2 {
		w.addEndpoint("store")
	}
	for range 4 {
		w.newInstance()
	}
	return w
}

func serviceAddress(port uint16) common.ServiceAddress {
	return common.ServiceAddress{Address: netip.AddrFrom4([4]byte{198, 18, 0, 1}), Port: port, Protocol: common.ProtocolTCP}
}

// run opens flows for a time and lets them end.
func (w *simulation) run(length time.Duration) {
	for at := time.Duration(0); at < length; at += 10 * time.Millisecond {
		w.schedule(at, w.newCaller)
	}
	for w.queue.Len() > 0 && w.now < length+10*time.Second {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
}

// restartInstances restarts instances in turn, each of which then knows no flows.
func (w *simulation) restartInstances(every time.Duration, rounds int) {
	for round := range rounds {
		w.schedule(time.Duration(round+1)*every, func() {
			i := w.instances[round%len(w.instances)]
			i.up = false
			w.schedule(every/3, i.start)
		})
	}
}

// replaceEndpoints starts a new endpoint and drains an old one, which leaves when it
// has no flows.
func (w *simulation) replaceEndpoints(every time.Duration, rounds int) {
	for round := range rounds {
		w.schedule(time.Duration(round+1)*every, func() {
			old := w.random.Intn(len(w.catalog))
			w.addEndpoint(w.catalog[old].Service)
			w.catalog[old].Draining = true
			w.catalog[old].Revision += 1000
			for _, i := range w.instances {
				// Instances learn at different times.
				w.schedule(time.Duration(w.random.Intn(500))*time.Millisecond, i.updateView)
			}
		})
	}
}

// simulationResult sums up the runs of some worlds.
type simulationResult struct {
	opened, finished int
	violations       []string
}

func simulate(t *testing.T, count int, prepare func(*simulation)) simulationResult {
	t.Helper()
	seed := propertytest.Seed(t, propertytest.DefaultSeed)
	var sum simulationResult
	for run := range count * propertytest.Factor(t) {
		w := newSimulation(seed + int64(run))
		prepare(w)
		w.run(8 * time.Second)
		sum.opened += w.opened
		sum.finished += w.finished
		sum.violations = append(sum.violations, w.violations...)
	}
	return sum
}

// verify reports faults: a flow that left its endpoint or was reset, and flows that
// did not end.
func (r simulationResult) verify(t *testing.T) {
	t.Helper()
	if r.opened < 1000 {
		t.Fatalf("only %d flows were opened", r.opened)
	}
	if len(r.violations) > 0 {
		t.Errorf("%d violations in %d flows, the first: %s", len(r.violations), r.opened, r.violations[0])
	}
	if r.finished < r.opened {
		t.Errorf("%d of %d flows ended", r.finished, r.opened)
	}
}

// Guards against flows that leave their endpoint when routers move them between
// instances, instances restart and endpoints are replaced.
func TestFlowsKeepEndpointDuringPlannedChanges(t *testing.T) {
	prepare := func(w *simulation) {
		w.rerouteFlows = true
		w.restartInstances(600*time.Millisecond, 12)
		w.replaceEndpoints(500*time.Millisecond, 12)
	}
	simulate(t, 6, prepare).verify(t)
	without := simulate(t, 1, func(w *simulation) {
		prepare(w)
		w.withoutLabels = true
	})
	if without.finished > without.opened/2 {
		t.Errorf("%d of %d flows ended without labels: the test shows nothing", without.finished, without.opened)
	}
}

// Guards against flows that move to the endpoint that answered a copy of their first
// packet late, and whose label the caller then returns.
func TestFlowsKeepEndpointWhenTwoAccept(t *testing.T) {
	prepare := func(w *simulation) {
		w.delayAccepts = true
		w.lossOneIn = 200
	}
	simulate(t, 6, prepare).verify(t)
	without := simulate(t, 6, func(w *simulation) {
		prepare(w)
		w.withoutFlowTable = true
	})
	if len(without.violations) == 0 {
		t.Error("without records no flow left its endpoint: the test shows nothing")
	}
}

// Guards against first packets that waited in the socket of a paused instance and open
// their flow a second time, at another endpoint, after callers went on through other
// instances.
func TestFlowsKeepEndpointDuringPauses(t *testing.T) {
	simulate(t, 12, func(w *simulation) {
		w.stickyRouting = true
		w.pauseInstances(2600*time.Millisecond, 3)
	}).verify(t)
}
