package flow

import (
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// cluster runs three instances on one shard, and a fourth that may join. Instance
// IDs are the indexes plus 1.
type cluster struct {
	t         *testing.T
	now       time.Duration
	shards    [4]*Shard
	tables    [4]*Tables
	dead      [4]bool             // not running
	packets   []*Packet           // first packets of the opened flows
	endpoints []common.EndpointID // endpoints of these flows
	source    uint32              // argument of tcpPacket for the next flow; not reused
}

func newCluster(t *testing.T, limits Limits) *cluster {
	limits.MaxFlows = 1000
	c := &cluster{t: t}
	c.dead[3] = true
	for i := range c.shards {
		c.shards[i] = NewShard(0, limits)
		c.install(i, func(*common.Snapshot) {})
	}
	return c
}

func clusterSnapshot() *common.Snapshot {
	s := testSnapshot(4, 4)
	s.Members[3].State = common.MemberDead
	return s
}

// install changes the tables of instance i.
func (c *cluster) install(i int, change func(s *common.Snapshot)) {
	s := clusterSnapshot()
	s.Self = common.InstanceID(i + 1)
	if previous := c.tables[i]; previous != nil {
		s.Sequence = previous.snapshot.Sequence + 1
		s.Members = append([]common.Member(nil), previous.snapshot.Members...)
		s.Services[0].Endpoints = append([]common.Endpoint(nil), previous.snapshot.Services[0].Endpoints...)
	}
	change(s)
	c.tables[i] = mustTables(c.t, s, c.tables[i])
	c.shards[i].Install(c.tables[i], c.now)
}

// publish applies a change to all running instances.
func (c *cluster) publish(change func(s *common.Snapshot)) {
	for i := range c.shards {
		if !c.dead[i] {
			c.install(i, change)
		}
	}
}

// openAtFirst opens n flows at the first instance, in slots that the second one
// gains when the first one dies.
func (c *cluster) openAtFirst(n int) {
	afterFirstDied := clusterSnapshot()
	afterFirstDied.Members[0].State = common.MemberDead
	second := mustTables(c.t, afterFirstDied, nil)
	c.openAt(0, n, func(slot uint16) bool {
		next, _ := second.Owners().Owner(slot)
		return next == 2
	})
}

// openAt opens n flows at the instance, in slots that it owns and that satisfy the
// condition.
func (c *cluster) openAt(at, n int, in func(slot uint16) bool) {
	for ; n > 0; c.source++ {
		packet := tcpPacket(c.tables[at], c.source, true, 100)
		slot := packet.Hash.Slot()
		owner, _ := c.tables[at].Owners().Owner(slot)
		if ShardOf(packet.Hash) != 0 || owner != common.InstanceID(at+1) || !in(slot) {
			continue
		}
		action := c.shards[at].Handle(c.tables[at], packet, c.now, true)
		c.packets = append(c.packets, packet)
		c.endpoints = append(c.endpoints, action.Endpoint)
		n--
	}
}

// kill stops an instance. The others mark it dead 4 s later.
func (c *cluster) kill(i int) {
	c.dead[i] = true
	c.now += 4 * time.Second
	c.publish(func(s *common.Snapshot) { s.Members[i].State = common.MemberDead })
}

// advance lets the time pass, with a round of replication every 500 ms.
func (c *cluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += 500 * time.Millisecond
		for i, shard := range c.shards {
			if !c.dead[i] {
				c.replicate(i, shard)
			}
		}
	}
}

func (c *cluster) replicate(i int, shard *Shard) {
	for _, batch := range shard.TakeReplication(c.tables[i], c.now, &Budget{Bytes: 1 << 20}) {
		to := int(batch.Target) - 1
		if c.dead[to] {
			continue
		}
		if c.shards[to].AddReplication(c.tables[to], &batch, c.now) {
			shard.AckReplication(batch.Target, batch.Sequence)
		}
	}
}

// moved delivers a relayed packet of every part-th flow to the instance. It returns
// the number of flows whose packet did not reach their endpoint.
func (c *cluster) moved(at, part int) int {
	moved := 0
	for i, first := range c.packets {
		if i%part == 0 && c.deliver(at, first) != c.endpoints[i] {
			moved++
		}
	}
	return moved
}

// deliver delivers a relayed packet of a flow to the instance and follows its
// relays. It returns the endpoint, or 0 if the packet is dropped or relayed to an
// instance that is not running.
func (c *cluster) deliver(at int, first *Packet) common.EndpointID {
	packet := *first
	packet.First, packet.HopCount = false, 1
	for {
		packet.Service = c.tables[at].Match(serviceAddress)
		action := c.shards[at].Handle(c.tables[at], &packet, c.now, true)
		if action.Kind != Relay {
			return action.Endpoint
		}
		if packet.HopCount = action.HopCount; packet.HopCount > maxHops {
			c.t.Fatalf("packet relayed %d times", packet.HopCount)
		}
		at = int(action.To.Addr().As4()[3]) - 1
		if c.dead[at] {
			return 0
		}
	}
}

func drainSecondEndpoint(s *common.Snapshot) {
	s.Services[0].Endpoints[1].State = common.EndpointDraining
}

func addEndpoint(s *common.Snapshot) {
	added := s.Services[0].Endpoints[0]
	added.ID = 5
	s.Services[0].Endpoints = append(s.Services[0].Endpoints, added)
}

// Guards against a successor with another base than the owner for flows from before
// a takeover: the endpoints change shortly after the takeover, and then the new
// owner is killed as well. Half of the flows are idle, so the second owner has no
// entries for them. Flows that it opened after the change are exceptions to the
// older base, which its successor must keep.
func TestChangeBetweenTakeovers(t *testing.T) {
	changes := map[string]func(s *common.Snapshot){"drain": drainFirstEndpoint, "added endpoint": addEndpoint}
	for name, change := range changes {
		for _, wait := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			for _, ablated := range []bool{false, true} {
				c := newCluster(t, Limits{ablation: ablation{noSlotBases: ablated}})
				c.openAtFirst(200)
				c.advance(10 * time.Second)
				before := c.tables[0].service(7).table
				c.kill(0)
				c.advance(wait)
				c.publish(change)
				if moved := c.moved(1, 2); !ablated && moved > 0 {
					t.Errorf("%s %v after the takeover: %d flows moved at the second owner", name, wait, moved)
				}
				c.advance(10 * time.Second)
				c.openAt(1, 200, func(uint16) bool { return true })
				c.advance(10 * time.Second)
				c.publish(drainSecondEndpoint)
				c.advance(10 * time.Second)
				if base := c.shards[1].targets[3].bases[7]; !ablated && !base.Equal(before) {
					t.Errorf("%s %v after the takeover: the successor has another base", name, wait)
				}
				c.kill(1)
				c.advance(10 * time.Second)
				if moved := c.moved(2, 1); ablated != (moved > 0) {
					t.Errorf("%s %v after the takeover, without slot bases %v: %d flows moved", name, wait, ablated, moved)
				}
			}
		}
	}
}

// Guards against flows that move when a new owner never runs: the first instance
// leaves, the second one gains its slots but is dead or frozen, and the third one
// gains them before the first one has reported its flows to it.
func TestNewOwnerDiesDuringHandover(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		c := newCluster(t, Limits{ablation: ablation{noEarlierOwner: ablated}})
		c.advance(time.Second)
		c.dead[1] = true
		c.publish(drainFirstEndpoint)
		c.openAtFirst(200)
		c.publish(markFirstLeaving)
		c.kill(1)
		if moved := c.moved(2, 1); ablated != (moved > 0) {
			t.Errorf("without the earlier owner %v: %d flows moved", ablated, moved)
		}
	}
}

// Guards against a joiner that applies the wrong base to pulled slots. Between its
// pull and the gain of its slots it receives the base of the service, an older one
// that the owner keeps for other slots. Idle flows of the pulled slots are not on
// that base.
func TestBaseBetweenPullAndGain(t *testing.T) {
	for _, ablated := range []bool{false, true} {
		moved := movedAfterPull(t, Limits{ablation: ablation{noSlotBases: ablated}})
		if ablated != (moved > 0) {
			t.Errorf("without slot bases %v: %d flows moved", ablated, moved)
		}
	}
}

// movedAfterPull returns the number of idle flows that move to other endpoints when
// the fourth instance gains their slots from the second one, which had gained them
// from the third.
func movedAfterPull(t *testing.T, limits Limits) int {
	c := newCluster(t, limits)
	before := c.tables[0].service(7).table
	c.openAtFirst(50)
	c.advance(10 * time.Second)
	c.kill(0)
	c.publish(drainFirstEndpoint)
	c.packets, c.endpoints = nil, nil
	joined := clusterSnapshot()
	joined.Members[0].State, joined.Members[2].State = common.MemberDead, common.MemberDead
	joined.Members[3].State = common.MemberServing
	future := mustTables(t, joined, nil)
	c.openAt(2, 200, func(slot uint16) bool {
		owner, _ := future.Owners().Owner(slot)
		return owner == 4
	})
	c.advance(10 * time.Second)
	c.kill(2)
	c.advance(10 * time.Second)
	c.dead[3] = false
	c.install(1, func(s *common.Snapshot) { s.Members[3].State = common.MemberJoining })
	c.install(3, func(s *common.Snapshot) {
		s.Members = append([]common.Member(nil), c.tables[1].snapshot.Members...)
		s.Services[0].Endpoints = append([]common.Endpoint(nil), c.tables[1].snapshot.Services[0].Endpoints...)
	})
	serving := func(s *common.Snapshot) { s.Members[3].State = common.MemberServing }
	next := *c.tables[1].snapshot
	next.Members = append([]common.Member(nil), next.Members...)
	next.Sequence++
	serving(&next)
	batch := c.shards[1].PullReplication(c.tables[1], mustTables(t, &next, c.tables[1]), 4)
	c.shards[3].AddReplication(c.tables[3], &batch, c.now)
	c.install(1, serving)
	c.advance(5 * time.Second)
	if !limits.ablation.noSlotBases && !c.shards[3].sources[2].bases[7].Equal(before) {
		t.Error("the joiner did not receive the older base")
	}
	c.install(3, serving)
	c.advance(3 * handoverPeriod)
	c.publish(drainSecondEndpoint)
	return c.moved(3, 1)
}
