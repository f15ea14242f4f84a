package flow

import (
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// trio is three instances on one shard, and a fourth that may join.
type cluster struct {
	t         *testing.T
	now       time.Duration
	shards    [4]*Shard
	tables    [4]*Tables
	dead      [4]bool
	packets   []*Packet
	endpoints []common.EndpointID
	source    uint32 // of the next first packet; five-tuples are not reused
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

// publish applies a change to all living instances.
func (c *cluster) publish(change func(s *common.Snapshot)) {
	for i := range c.shards {
		if !c.dead[i] {
			c.install(i, change)
		}
	}
}

// open opens flows at the first instance in slots that the second gets when
// the first ends.
func (c *cluster) openAtFirst(n int) {
	without := clusterSnapshot()
	without.Members[0].State = common.MemberDead
	second := mustTables(c.t, without, nil)
	c.openAt(0, n, func(slot uint16) bool {
		next, _ := second.Owners().Owner(slot)
		return next == 2
	})
}

// openAt opens flows at their owner.
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

// kill ends an instance; the others learn it 4 s later.
func (c *cluster) kill(i int) {
	c.dead[i] = true
	c.now += 4 * time.Second
	c.publish(func(s *common.Snapshot) { s.Members[i].State = common.MemberDead })
}

// pass lets the time pass with a round of replication every 500 ms.
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

// moved sends a packet of each of the flows to an instance, which another one
// relayed, and counts those that reach another endpoint than their own.
func (c *cluster) moved(at, part int) int {
	moved := 0
	for i, first := range c.packets {
		if i%part == 0 && c.deliver(at, first) != c.endpoints[i] {
			moved++
		}
	}
	return moved
}

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
			c.t.Fatalf("relayed %d times", packet.HopCount)
		}
		at = int(action.To.Addr().As4()[3]) - 1
		if c.dead[at] {
			return 0
		}
	}
}

func drainSecond(s *common.Snapshot) { s.Services[0].Endpoints[1].State = common.EndpointDraining }

func addEndpoint(s *common.Snapshot) {
	added := s.Services[0].Endpoints[0]
	added.ID = 5
	s.Services[0].Endpoints = append(s.Services[0].Endpoints, added)
}

// Guards against a successor that resolves flows from before a take-over with
// another base than the owner, when the endpoints change shortly after the
// take-over and the new owner is killed, too. Half of the flows are silent, so
// that the second owner never knew them. Flows that it opened after the change
// are exceptions to the older base, which it keeps at its successor.
func TestChangeBetweenTakeovers(t *testing.T) {
	changes := map[string]func(s *common.Snapshot){"drain": drainFirst, "added endpoint": addEndpoint}
	for name, change := range changes {
		for _, wait := range []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 20 * time.Second} {
			for _, without := range []bool{false, true} {
				c := newCluster(t, Limits{ablation: ablation{noSlotBases: without}})
				c.openAtFirst(200)
				c.advance(10 * time.Second)
				before := c.tables[0].service(7).table
				c.kill(0)
				c.advance(wait)
				c.publish(change)
				if moved := c.moved(1, 2); !without && moved > 0 {
					t.Errorf("%s %v after the take-over: %d flows moved at the second owner", name, wait, moved)
				}
				c.advance(10 * time.Second)
				c.openAt(1, 200, func(uint16) bool { return true })
				c.advance(10 * time.Second)
				c.publish(drainSecond)
				c.advance(10 * time.Second)
				if base := c.shards[1].targets[3].bases[7]; !without && !base.Same(before) {
					t.Errorf("%s %v after the take-over: the successor got another base", name, wait)
				}
				c.kill(1)
				c.advance(10 * time.Second)
				if moved := c.moved(2, 1); without != (moved > 0) {
					t.Errorf("%s %v after the take-over, without slot bases %v: %d flows moved", name, wait, without, moved)
				}
			}
		}
	}
}

// Guards against an owner that never acts: the first instance gives its slots
// up to the second, which is dead or frozen, and the third gets them before the
// first has reported to it.
func TestNewOwnerDiesDuringHandover(t *testing.T) {
	for _, without := range []bool{false, true} {
		c := newCluster(t, Limits{ablation: ablation{noEarlierOwner: without}})
		c.advance(time.Second)
		c.dead[1] = true
		c.publish(drainFirst)
		c.openAtFirst(200)
		c.publish(markFirstLeaving)
		c.kill(1)
		if moved := c.moved(2, 1); without != (moved > 0) {
			t.Errorf("only the dead owner counts %v: %d flows moved", without, moved)
		}
	}
}

// Guards against a joiner that gets a newer message about the base of a service
// between its pull and its first slots: the owner keeps an older base for other
// slots, and silent flows of the pulled ones are not on it.
func TestBaseBetweenPullAndGain(t *testing.T) {
	for _, without := range []bool{false, true} {
		moved := movedAfterPull(t, Limits{ablation: ablation{noSlotBases: without}})
		if without != (moved > 0) {
			t.Errorf("without slot bases %v: %d flows moved", without, moved)
		}
	}
}

// movedAfterPull counts the silent flows that move to other endpoints when the
// fourth instance takes their slots from the second, which took them from the
// third.
func movedAfterPull(t *testing.T, limits Limits) int {
	c := newCluster(t, limits)
	before := c.tables[0].service(7).table
	c.openAtFirst(50)
	c.advance(10 * time.Second)
	c.kill(0)
	c.publish(drainFirst)
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
	if !limits.ablation.noSlotBases && !c.shards[3].sources[2].bases[7].Same(before) {
		t.Error("the joiner did not get the older base")
	}
	c.install(3, serving)
	c.advance(3 * handoverPeriod)
	c.publish(drainSecond)
	return c.moved(3, 1)
}
