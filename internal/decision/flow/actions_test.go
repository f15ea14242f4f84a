package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// run performs drawn commands and returns the broken invariants.
func (w *world) run(commands []uint32) []string {
	for _, command := range commands {
		w.perform(command)
		if len(w.failures) > 0 {
			return w.failures
		}
	}
	w.settle()
	return w.failures
}

func (w *world) perform(command uint32) {
	parameter := command >> 8
	switch command % 32 {
	case 0, 1, 2, 3, 4:
		for range 1 + parameter%20 {
			w.open(w.newTuple(int(parameter>>5)%2), int(parameter>>5)%2)
		}
	case 5, 6, 7:
		w.sendAll(int(parameter % 4))
	case 8, 9, 10, 11:
		w.advance(time.Duration(1+parameter%10) * worldTick)
	case 12, 13:
		w.advance(time.Duration(1+parameter%6) * time.Second)
	case 14, 15:
		w.drain(parameter)
	case 16:
		w.undrain()
	case 17, 18:
		w.join()
	case 19, 20:
		w.leave(parameter)
	case 21:
		w.replace(parameter)
	case 22, 23:
		w.reuse(parameter)
	case 24:
		w.closeSome(parameter)
	case 25:
		w.giveAddress(parameter)
	case 26:
		w.report(parameter)
	case 27:
		w.restartEndpoint(parameter)
	case 28:
		w.kill(parameter)
	case 29:
		w.freeze(parameter)
	case 30:
		w.partition(parameter)
	case 31:
		w.longTime()
	}
}

// sendAll sends a packet on every part-th flow, so that some stay silent.
func (w *world) sendAll(part int) {
	w.endSilent()
	for i, c := range w.flows {
		if i%(part+1) == 0 {
			w.data(c)
		}
	}
}

// endSilent ends flows near the idle timeout.
func (w *world) endSilent() {
	for _, c := range w.flows {
		if w.now-c.seen > worldIdle/2 && !c.done {
			w.close(c, 2)
		}
	}
}

// longTime passes more than the idle timeout while the flows stay active.
func (w *world) longTime() {
	for range 6 {
		w.sendAll(0)
		w.advance(5 * time.Second)
	}
}

// settle lets all changes end and then checks each flow: its packets arrive.
func (w *world) settle() {
	w.sendAll(0)
	w.advance(6 * time.Second)
	for _, c := range w.flows {
		arrived := false
		for try := 0; try < 5 && !arrived; try++ {
			arrived = w.data(c)
		}
		if !arrived && !c.mayBreak && !w.unplanned() {
			w.fail("flow on endpoint %d gets no packet through, slot %d", c.endpoint, c.tuple.Hash().Slot())
		}
	}
}

func (w *world) unplanned() bool {
	return w.options.kills || w.options.freezes || w.options.partitions
}

func (w *world) setEndpoint(id common.EndpointID, state common.EndpointState) {
	w.endpoints[id].state = state
	w.endpoints[id].since = w.now
	w.publish(func(n *node) {
		if e, found := n.view.endpoints[id]; found {
			e.State = state
			n.view.endpoints[id] = e
		}
	})
}

// usable counts the endpoints of a service that take new flows.
func (w *world) usable(service common.ServiceID) int {
	n := 0
	for _, b := range w.endpoints {
		if b.service == service && b.state.TakesNewFlows() {
			n++
		}
	}
	return n
}

func (w *world) drain(parameter uint32) {
	id := w.order[int(parameter)%len(w.order)]
	b := w.endpoints[id]
	if b.state == common.EndpointUp && w.usable(b.service) > 2 {
		w.setEndpoint(id, common.EndpointDraining)
	}
}

func (w *world) undrain() {
	for _, id := range w.order {
		if w.endpoints[id].state == common.EndpointDraining {
			w.setEndpoint(id, common.EndpointUp)
			return
		}
	}
}

// restartEndpoint kills an endpoint, with its connections, and brings it back
// cold.
func (w *world) restartEndpoint(parameter uint32) {
	id := w.order[int(parameter)%len(w.order)]
	b := w.endpoints[id]
	if b.state != common.EndpointUp || w.usable(b.service) <= 2 {
		return
	}
	for _, c := range w.flows {
		if c.endpoint == id {
			c.done = true
		}
	}
	clear(b.accepted)
	w.setEndpoint(id, common.EndpointDown)
	w.after(5*time.Second, func() { w.setEndpoint(id, common.EndpointCold) })
	w.after(10*time.Second, func() { w.setEndpoint(id, common.EndpointUp) })
}

// report publishes a true or false load report.
func (w *world) report(parameter uint32) {
	id := w.order[int(parameter)%len(w.order)]
	w.publish(func(n *node) {
		if e, found := n.view.endpoints[id]; found {
			e.Load = parameter % 100
			n.view.endpoints[id] = e
		}
	})
}

// giveAddress removes an endpoint and, when every node has applied that,
// gives its place to the other service under a new number.
func (w *world) giveAddress(parameter uint32) {
	id := w.order[int(parameter)%len(w.order)]
	b := w.endpoints[id]
	if b.state != common.EndpointUp || w.usable(b.service) <= 3 || len(w.order) > 30 {
		return
	}
	b.state = common.EndpointDown
	for _, c := range w.flows {
		if c.endpoint == id {
			c.done = true
		}
	}
	w.newRelease(func(v *view) { delete(v.endpoints, id) })
	w.after(2*time.Second, func() {
		added := common.EndpointID(len(w.order) + 1)
		service := w.services[0] + w.services[1] - b.service
		w.endpoints[added] = &backend{id: added, service: service, accepted: make(map[common.FiveTuple]uint32)}
		w.order = append(w.order, added)
		w.newRelease(func(v *view) { v.addEndpoint(added, service) })
	})
}

func (w *world) newRelease(change func(v *view)) {
	w.release++
	release := w.release
	w.publish(func(n *node) {
		change(&n.view)
		n.view.release = max(n.view.release, release)
	})
}

// reuse opens a connection on the five-tuple of an earlier one that the caller
// closed, reset or forgot. Duplicates of the first one may still arrive.
func (w *world) reuse(parameter uint32) {
	if len(w.flows) == 0 {
		return
	}
	old := w.flows[int(parameter)%len(w.flows)]
	for _, c := range w.flows {
		if c.tuple == old.tuple {
			w.close(c, int(parameter>>10)%3)
		}
	}
	w.open(old.tuple, old.service)
}

func (w *world) closeSome(parameter uint32) {
	for i, c := range w.flows {
		if i%3 == int(parameter)%3 && !c.done {
			w.close(c, int(parameter>>4)%2)
		}
	}
}

func (w *world) serving() []*node {
	var serving []*node
	for _, n := range w.nodes {
		if n.alive && !n.frozen && n.leftAt == 0 && n.view.members[n.id].State == common.MemberServing {
			serving = append(serving, n)
		}
	}
	return serving
}

// join adds an instance. It serves when it has pulled the state of its slots.
func (w *world) join() *node {
	if len(w.serving()) > 6 || w.now-w.disturbed < worldPace {
		return nil
	}
	n := w.addNode(common.MemberJoining)
	n.latest = w.now + 500*time.Millisecond
	n.changed = w.now
	w.install(n)
	w.startJoin(n, 1)
	return n
}

func (w *world) startJoin(n *node, incarnation uint64) {
	w.publishMember(w.member(n.id, incarnation, common.MemberJoining))
	w.after(time.Second, func() { w.finishJoin(n, incarnation) })
}

func (w *world) finishJoin(n *node, incarnation uint64) {
	if !n.alive || n.frozen {
		return
	}
	for _, m := range w.serving() {
		if m != n && !m.cutFrom[n.id] {
			w.pull(m, n)
		}
	}
	w.publishMember(w.member(n.id, incarnation, common.MemberServing))
}

// pull copies the state of the slots that the joiner gets from m.
func (w *world) pull(m, joiner *node) {
	future := *m.tables.snapshot
	future.Members = nil
	for _, id := range sortedIDs(m.view.members) {
		member := m.view.members[id]
		if id == joiner.id {
			member.State = common.MemberServing
		}
		future.Members = append(future.Members, member)
	}
	future.Sequence++
	tables, err := NewTables(&future, m.tables)
	if err != nil {
		panic(err)
	}
	batch := m.shard.PullReplication(m.tables, tables, joiner.id)
	joiner.shard.AddReplication(joiner.tables, &batch, w.now)
}

// leave lets an instance hand over and end.
func (w *world) leave(parameter uint32) {
	serving := w.serving()
	if len(serving) < 3 || w.now-w.disturbed < worldPace {
		return
	}
	n := serving[int(parameter)%len(serving)]
	w.publishMember(w.member(n.id, n.view.members[n.id].Incarnation, common.MemberLeaving))
	n.leftAt = w.now + 10*time.Second
}

// replace lets instances join and old ones leave in turn.
func (w *world) replace(parameter uint32) {
	for range 1 + parameter%4 {
		if w.join() == nil {
			return
		}
		w.advance(worldPace)
		w.leave(0)
		w.advance(worldPace)
		w.sendAll(3)
	}
}

// forgive marks the flows that a failure may break: the unreported ones. After
// a recent membership change the reports may not be complete.
func (w *world) forgive() {
	for _, c := range w.flows {
		if w.now-c.opened < worldInterval || w.now-w.disturbed < worldInterval {
			c.mayBreak = true
		}
	}
	w.disturbed = w.now
}

func (w *world) kill(parameter uint32) {
	serving := w.serving()
	if !w.options.kills || len(serving) < 3 {
		return
	}
	w.forgive()
	n := serving[int(parameter)%len(serving)]
	n.alive = false
	w.declareDead(n)
}

func (w *world) declareDead(n *node) {
	dead := w.member(n.id, n.view.members[n.id].Incarnation, common.MemberDead)
	w.after(4*time.Second, func() {
		w.publishMember(dead)
	})
}

// freeze stops an instance for longer than its lease, then wakes it.
func (w *world) freeze(parameter uint32) {
	serving := w.serving()
	if !w.options.freezes || len(serving) < 3 {
		return
	}
	w.forgive()
	n := serving[int(parameter)%len(serving)]
	n.frozen = true
	w.declareDead(n)
	w.after(time.Duration(5+parameter>>8%8)*time.Second, func() { n.frozen = false })
}

// rejoin is what an instance does that finds its lease lapsed.
func (w *world) rejoin(n *node) {
	incarnation := n.view.members[n.id].Incarnation + 1
	n.setMember(w.member(n.id, incarnation, common.MemberJoining), w.now)
	w.install(n)
	w.forgive()
	w.startJoin(n, incarnation)
}

// partition cuts one instance from the others for a while.
func (w *world) partition(parameter uint32) {
	serving := w.serving()
	if !w.options.partitions || len(serving) < 3 {
		return
	}
	w.forgive()
	cut := serving[int(parameter)%len(serving)]
	for _, n := range w.nodes {
		if n != cut {
			n.cutFrom[cut.id] = true
			cut.cutFrom[n.id] = true
		}
	}
	w.after(time.Duration(1+parameter>>8%3)*time.Second, func() {
		w.forgive()
		for _, n := range w.nodes {
			delete(n.cutFrom, cut.id)
		}
		clear(cut.cutFrom)
	})
}
