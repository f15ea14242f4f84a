package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// run performs random commands and returns the violations of invariants.
func (sim *simulation) run(commands []uint32) []string {
	for _, command := range commands {
		sim.perform(command)
		if len(sim.failures) > 0 {
			return sim.failures
		}
	}
	sim.settleAndCheck()
	return sim.failures
}

// perform performs one command: the low 5 bits select the action, and the others
// are its parameter.
func (sim *simulation) perform(command uint32) {
	parameter := command >> 8
	switch command % 32 {
	case 0, 1, 2, 3, 4:
		for range 1 + parameter%20 {
			sim.open(sim.newTuple(int(parameter>>5)%2), int(parameter>>5)%2)
		}
	case 5, 6, 7:
		sim.sendOnConnections(int(parameter % 4))
	case 8, 9, 10, 11:
		sim.advance(time.Duration(1+parameter%10) * simulationTick)
	case 12, 13:
		sim.advance(time.Duration(1+parameter%6) * time.Second)
	case 14, 15:
		sim.drain(parameter)
	case 16:
		sim.undrain()
	case 17, 18:
		sim.join()
	case 19, 20:
		sim.leave(parameter)
	case 21:
		sim.replaceInstances(parameter)
	case 22, 23:
		sim.reuseTuple(parameter)
	case 24:
		sim.closeSomeConnections(parameter)
	case 25:
		sim.moveEndpointToOtherService(parameter)
	case 26:
		sim.reportLoad(parameter)
	case 27:
		sim.restartEndpoint(parameter)
	case 28:
		sim.kill(parameter)
	case 29:
		sim.freeze(parameter)
	case 30:
		sim.partition(parameter)
	case 31:
		sim.passIdleTimeout()
	}
}

// sendOnConnections sends a packet on every (part+1)-th connection, so that the others
// are idle.
func (sim *simulation) sendOnConnections(part int) {
	sim.closeIdle()
	for i, c := range sim.connections {
		if i%(part+1) == 0 {
			sim.sendData(c)
		}
	}
}

// closeIdle ends connections that were idle for half of the idle timeout.
func (sim *simulation) closeIdle() {
	for _, c := range sim.connections {
		if sim.now-c.lastSeen > simulationIdleTimeout/2 && !c.done {
			sim.close(c, 2)
		}
	}
}

// passIdleTimeout lets more than the idle timeout pass while the connections stay
// active.
func (sim *simulation) passIdleTimeout() {
	for range 6 {
		sim.sendOnConnections(0)
		sim.advance(5 * time.Second)
	}
}

// settleAndCheck waits until all changes are applied and then checks that a packet of
// each connection reaches an endpoint within five attempts.
func (sim *simulation) settleAndCheck() {
	sim.sendOnConnections(0)
	sim.advance(6 * time.Second)
	for _, c := range sim.connections {
		arrived := false
		for attempt := 0; attempt < 5 && !arrived; attempt++ {
			arrived = sim.sendData(c)
		}
		if !arrived && !c.mayBreak && !sim.hasUnplannedFailures() {
			sim.fail("flow on endpoint %d: no packet reaches an endpoint, slot %d", c.endpoint, c.tuple.Hash().Slot())
		}
	}
}

func (sim *simulation) hasUnplannedFailures() bool {
	return sim.options.kills || sim.options.freezes || sim.options.partitions
}

func (sim *simulation) setEndpoint(id common.EndpointID, state common.EndpointState) {
	sim.endpoints[id].state = state
	sim.endpoints[id].since = sim.now
	sim.publish(func(n *instance) {
		if e, found := n.view.endpoints[id]; found {
			e.State = state
			n.view.endpoints[id] = e
		}
	})
}

// usableEndpoints returns the number of endpoints of a service that take new flows.
func (sim *simulation) usableEndpoints(service common.ServiceID) int {
	n := 0
	for _, b := range sim.endpoints {
		if b.service == service && b.state.TakesNewFlows() {
			n++
		}
	}
	return n
}

func (sim *simulation) drain(parameter uint32) {
	id := sim.endpointOrder[int(parameter)%len(sim.endpointOrder)]
	b := sim.endpoints[id]
	if b.state == common.EndpointUp && sim.usableEndpoints(b.service) > 2 {
		sim.setEndpoint(id, common.EndpointDraining)
	}
}

func (sim *simulation) undrain() {
	for _, id := range sim.endpointOrder {
		if sim.endpoints[id].state == common.EndpointDraining {
			sim.setEndpoint(id, common.EndpointUp)
			return
		}
	}
}

// restartEndpoint stops an endpoint, which loses its connections, and starts it
// again in the cold state.
func (sim *simulation) restartEndpoint(parameter uint32) {
	id := sim.endpointOrder[int(parameter)%len(sim.endpointOrder)]
	b := sim.endpoints[id]
	if b.state != common.EndpointUp || sim.usableEndpoints(b.service) <= 2 {
		return
	}
	for _, c := range sim.connections {
		if c.endpoint == id {
			c.done = true
		}
	}
	clear(b.accepted)
	sim.setEndpoint(id, common.EndpointDown)
	sim.schedule(5*time.Second, func() { sim.setEndpoint(id, common.EndpointCold) })
	sim.schedule(10*time.Second, func() { sim.setEndpoint(id, common.EndpointUp) })
}

// reportLoad publishes a random load report of an endpoint.
func (sim *simulation) reportLoad(parameter uint32) {
	id := sim.endpointOrder[int(parameter)%len(sim.endpointOrder)]
	sim.publish(func(n *instance) {
		if e, found := n.view.endpoints[id]; found {
			e.Load = parameter % 100
			n.view.endpoints[id] = e
		}
	})
}

// moveEndpointToOtherService removes an endpoint. When every instance has applied
// the removal, it adds an endpoint with a new ID to the other service.
func (sim *simulation) moveEndpointToOtherService(parameter uint32) {
	id := sim.endpointOrder[int(parameter)%len(sim.endpointOrder)]
	b := sim.endpoints[id]
	if b.state != common.EndpointUp || sim.usableEndpoints(b.service) <= 3 || len(sim.endpointOrder) > 30 {
		return
	}
	b.state = common.EndpointDown
	for _, c := range sim.connections {
		if c.endpoint == id {
			c.done = true
		}
	}
	sim.newRelease(func(v *view) { delete(v.endpoints, id) })
	sim.schedule(2*time.Second, func() {
		added := common.EndpointID(len(sim.endpointOrder) + 1)
		service := sim.services[0] + sim.services[1] - b.service
		sim.endpoints[added] = &backend{id: added, service: service, accepted: make(map[common.FiveTuple]uint32)}
		sim.endpointOrder = append(sim.endpointOrder, added)
		sim.newRelease(func(v *view) { v.addEndpoint(added, service) })
	})
}

// newRelease publishes a change with a new release number.
func (sim *simulation) newRelease(change func(v *view)) {
	sim.release++
	release := sim.release
	sim.publish(func(n *instance) {
		change(&n.view)
		n.view.release = max(n.view.release, release)
	})
}

// reuseTuple opens a connection on the five-tuple of an earlier one that the caller
// closed, reset or dropped without a packet. Duplicates of the earlier first packet
// may still arrive.
func (sim *simulation) reuseTuple(parameter uint32) {
	if len(sim.connections) == 0 {
		return
	}
	earlier := sim.connections[int(parameter)%len(sim.connections)]
	for _, c := range sim.connections {
		if c.tuple == earlier.tuple {
			sim.close(c, int(parameter>>10)%3)
		}
	}
	sim.open(earlier.tuple, earlier.service)
}

func (sim *simulation) closeSomeConnections(parameter uint32) {
	for i, c := range sim.connections {
		if i%3 == int(parameter)%3 && !c.done {
			sim.close(c, int(parameter>>4)%2)
		}
	}
}

// serving returns the running instances that serve and are not leaving.
func (sim *simulation) serving() []*instance {
	var serving []*instance
	for _, n := range sim.instances {
		if n.alive && !n.frozen && n.stopsAt == 0 && n.view.members[n.id].State == common.MemberServing {
			serving = append(serving, n)
		}
	}
	return serving
}

// join adds an instance, which serves once it has pulled the state of its slots. It
// returns nil when no membership change is due.
func (sim *simulation) join() *instance {
	if len(sim.serving()) > 6 || sim.now-sim.lastMemberChange < membershipInterval {
		return nil
	}
	n := sim.addInstance(common.MemberJoining)
	n.lastDelivery = sim.now + 500*time.Millisecond
	n.membershipChangedAt = sim.now
	sim.install(n)
	sim.startJoin(n, 1)
	return n
}

func (sim *simulation) startJoin(n *instance, incarnation uint64) {
	sim.publishMember(sim.member(n.id, incarnation, common.MemberJoining))
	sim.schedule(time.Second, func() { sim.finishJoin(n, incarnation) })
}

func (sim *simulation) finishJoin(n *instance, incarnation uint64) {
	if !n.alive || n.frozen {
		return
	}
	for _, m := range sim.serving() {
		if m != n && !m.unreachable[n.id] {
			sim.pull(m, n)
		}
	}
	sim.publishMember(sim.member(n.id, incarnation, common.MemberServing))
}

// pull copies the state of the slots that the joiner will gain from m.
func (sim *simulation) pull(m, joiner *instance) {
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
	joiner.shard.AddReplication(joiner.tables, &batch, sim.now)
}

// leave makes an instance leave. It stops after 10 s.
func (sim *simulation) leave(parameter uint32) {
	serving := sim.serving()
	if len(serving) < 3 || sim.now-sim.lastMemberChange < membershipInterval {
		return
	}
	n := serving[int(parameter)%len(serving)]
	sim.publishMember(sim.member(n.id, n.view.members[n.id].Incarnation, common.MemberLeaving))
	n.stopsAt = sim.now + 10*time.Second
}

// replaceInstances alternately adds an instance and makes an older one leave.
func (sim *simulation) replaceInstances(parameter uint32) {
	for range 1 + parameter%4 {
		if sim.join() == nil {
			return
		}
		sim.advance(membershipInterval)
		sim.leave(0)
		sim.advance(membershipInterval)
		sim.sendOnConnections(3)
	}
}

// markBreakable marks the connections that an unplanned failure may break: those
// that may be unreported. That is true of all connections after a recent membership
// change, because the reports may not be complete.
func (sim *simulation) markBreakable() {
	for _, c := range sim.connections {
		if sim.now-c.openedAt < maxReportDelay || sim.now-sim.lastMemberChange < maxReportDelay {
			c.mayBreak = true
		}
	}
	sim.lastMemberChange = sim.now
}

func (sim *simulation) kill(parameter uint32) {
	serving := sim.serving()
	if !sim.options.kills || len(serving) < 3 {
		return
	}
	sim.markBreakable()
	n := serving[int(parameter)%len(serving)]
	n.alive = false
	sim.declareDead(n)
}

// declareDead publishes 4 s later that the instance is dead.
func (sim *simulation) declareDead(n *instance) {
	dead := sim.member(n.id, n.view.members[n.id].Incarnation, common.MemberDead)
	sim.schedule(4*time.Second, func() {
		sim.publishMember(dead)
	})
}

// freeze pauses an instance for longer than its lease.
func (sim *simulation) freeze(parameter uint32) {
	serving := sim.serving()
	if !sim.options.freezes || len(serving) < 3 {
		return
	}
	sim.markBreakable()
	n := serving[int(parameter)%len(serving)]
	n.frozen = true
	sim.declareDead(n)
	sim.schedule(time.Duration(5+parameter>>8%8)*time.Second, func() { n.frozen = false })
}

// rejoin makes an instance whose lease has expired join again with a new incarnation.
func (sim *simulation) rejoin(n *instance) {
	incarnation := n.view.members[n.id].Incarnation + 1
	n.setMember(sim.member(n.id, incarnation, common.MemberJoining), sim.now)
	sim.install(n)
	sim.markBreakable()
	sim.startJoin(n, incarnation)
}

// partition cuts one instance off from the others for 1 to 3 s.
func (sim *simulation) partition(parameter uint32) {
	serving := sim.serving()
	if !sim.options.partitions || len(serving) < 3 {
		return
	}
	sim.markBreakable()
	cut := serving[int(parameter)%len(serving)]
	for _, n := range sim.instances {
		if n != cut {
			n.unreachable[cut.id] = true
			cut.unreachable[n.id] = true
		}
	}
	sim.schedule(time.Duration(1+parameter>>8%3)*time.Second, func() {
		sim.markBreakable()
		for _, n := range sim.instances {
			delete(n.unreachable, cut.id)
		}
		clear(cut.unreachable)
	})
}
