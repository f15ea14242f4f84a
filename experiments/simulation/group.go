package simulation

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	// replicationBytesPerSecond is the replication traffic that one instance may
	// send. Of the limit of 4,096 bytes per second in both directions, membership
	// uses about 570 and health probes about 1,000; half of the rest is for sending.
	replicationBytesPerSecond = 1200
	// datagramHeaderBytes is the size of the IP and UDP headers (28) and of the
	// datagram's own fields (40).
	datagramHeaderBytes = 28 + 40
	// maxDatagramPayloadBytes is the number of bytes of batches that one datagram carries.
	maxDatagramPayloadBytes = 1080
	// ackBytesPerBatch is the size of one sequence number in an acknowledgement.
	ackBytesPerBatch = 4
	// maxFlowsPerShard allows several hundred thousand flows per instance.
	maxFlowsPerShard = 8192
	// A leaving instance replicates for at least 1 s, until at most
	// maxPendingAtLeave updates are pending or leaveDeadline has passed. It then
	// only relays for relayDuration. burdock-controld uses the same three values.
	maxPendingAtLeave = 50
	leaveDeadline     = 30 * time.Second
	relayDuration     = 6500 * time.Millisecond
)

// instance is one entry instance of a group.
type instance struct {
	member       common.Member
	tables       *flow.Tables
	shards       [flow.Shards]*flow.Shard
	alive        bool
	controlBytes int
}

// groupRouter runs the packet decisions and the replication of all instances of a
// group.
type groupRouter struct {
	policy    common.Policy
	instances []*instance
	endpoints []common.Endpoint
	sequence  uint64
	// deadAt holds the time at which each killed instance will be declared dead.
	deadAt map[int]time.Duration
	// leavingSince holds the time at which each leaving instance entered its current
	// phase, replication or relaying.
	leavingSince map[int]time.Duration
}

// NewGroupRouter returns a router that uses burdockrelay's packet decisions with the
// given method of endpoint selection.
func NewGroupRouter(instances int, selection common.Selection) Router {
	r := &groupRouter{
		policy: common.Policy{
			Selection: selection, BoundPercent: 125, IdleTimeout: idleTimeout,
			MaxFlowsPerEndpoint: 1 << 20, MaxEjectedPercent: 50,
		},
		deadAt:       make(map[int]time.Duration),
		leavingSince: make(map[int]time.Duration),
	}
	for i := range instances {
		r.instances = append(r.instances, newInstance(i, 1))
	}
	return r
}

func newInstance(index int, incarnation uint64) *instance {
	name := fmt.Sprintf("entry-%d", index+1)
	address := netip.AddrFrom4([4]byte{127, 0, 10, byte(index + 1)})
	created := &instance{
		alive: true,
		member: common.Member{
			ID: common.InstanceIDOf(name), Name: name, Incarnation: incarnation,
			EntryAddress: netip.AddrPortFrom(address, 6081), State: common.MemberServing,
		},
	}
	for i := range created.shards {
		created.shards[i] = flow.NewShard(i, flow.Limits{MaxFlows: maxFlowsPerShard})
	}
	return created
}

func (r *groupRouter) findByAddress(address netip.AddrPort) *instance {
	for _, candidate := range r.instances {
		if candidate.member.EntryAddress == address {
			return candidate
		}
	}
	return nil
}

// Route handles the packet at the receiving instance and at each instance that it is
// relayed to.
func (r *groupRouter) Route(index int, packet *flow.Packet, now time.Duration) common.EndpointID {
	receiver := r.instances[index]
	packet.HopCount = 0
	for receiver != nil && receiver.alive {
		action, ok := receiver.handle(packet, now)
		switch {
		case !ok:
			return 0
		case action.Kind == flow.Forward:
			return action.Endpoint
		case action.Kind != flow.Relay:
			return 0
		}
		packet.HopCount = action.HopCount
		receiver = r.findByAddress(action.To)
	}
	return 0
}

func (i *instance) handle(packet *flow.Packet, now time.Duration) (flow.Action, bool) {
	packet.Service = i.tables.Match(common.ServiceAddress{
		Address: serviceAddress, Port: servicePort, Protocol: common.ProtocolTCP,
	})
	if packet.Service == nil {
		return flow.Action{}, false
	}
	shard := i.shards[flow.ShardOf(packet.Hash)]
	return shard.Handle(i.tables, packet, now, true), true
}

// UpdateEndpoints installs a snapshot with these endpoints on every instance.
func (r *groupRouter) UpdateEndpoints(endpoints []common.Endpoint, now time.Duration) {
	r.endpoints = endpoints
	r.installSnapshot(now)
}

// installSnapshot installs a snapshot of the current members and endpoints on every
// live instance.
func (r *groupRouter) installSnapshot(now time.Duration) {
	r.sequence++
	settled := len(r.deadAt) == 0 && len(r.leavingSince) == 0
	for _, target := range r.instances {
		if target.alive {
			tables, err := flow.NewTables(r.snapshot(target, settled), target.tables)
			if err != nil {
				panic(err)
			}
			target.tables = tables
			for _, shard := range target.shards {
				shard.Install(tables, now)
			}
		}
	}
}

// members returns the live instances and the killed ones that have not been declared
// dead.
func (r *groupRouter) members() []common.Member {
	var members []common.Member
	for i, candidate := range r.instances {
		_, undetected := r.deadAt[i]
		if candidate.alive || undetected {
			members = append(members, candidate.member)
		}
	}
	return members
}

func (r *groupRouter) snapshot(self *instance, settled bool) *common.Snapshot {
	return &common.Snapshot{
		Release: 1, ReleaseHash: "replay", Self: self.member.ID, Settled: settled,
		Epoch: 1, Sequence: r.sequence,
		Members: r.members(),
		Services: []common.Service{{
			ID: 1, Name: "replayed",
			Address:   common.ServiceAddress{Address: serviceAddress, Port: servicePort, Protocol: common.ProtocolTCP},
			Policy:    r.policy,
			Endpoints: r.endpoints,
		}},
	}
}

// Tick removes dead instances from the membership, expires flows, replicates, and
// advances the leaving instances.
func (r *groupRouter) Tick(now time.Duration) {
	changed := false
	for i, at := range r.deadAt {
		if now >= at {
			delete(r.deadAt, i)
			changed = true
		}
	}
	if changed {
		r.installSnapshot(now)
	}
	for _, source := range r.instances {
		if source.alive {
			r.replicate(source, now)
		}
	}
	r.advanceLeaving(now)
}

// replicate expires flows of the source and delivers its due updates within the
// budget of one tick.
func (r *groupRouter) replicate(source *instance, now time.Duration) {
	budget := flow.Budget{Bytes: int(replicationBytesPerSecond * TickInterval / time.Second)}
	due := make(map[common.InstanceID][]common.ReplicationBatch)
	for _, shard := range source.shards {
		shard.Expire(now, maxFlowsPerShard)
		for _, batch := range shard.TakeReplication(source.tables, now, &budget) {
			due[batch.Target] = append(due[batch.Target], batch)
		}
	}
	for _, target := range r.instances {
		if batches := due[target.member.ID]; len(batches) > 0 {
			r.deliver(source, target, batches, now)
		}
	}
}

// deliver applies and acknowledges the batches at the target. It adds the bytes of
// the datagrams and of their acknowledgements to the totals of both instances; a
// killed target neither receives nor acknowledges.
func (r *groupRouter) deliver(source, target *instance, batches []common.ReplicationBatch, now time.Duration) {
	size := 0
	for i := range batches {
		size += encodedBytes(&batches[i])
	}
	datagrams := (size + maxDatagramPayloadBytes - 1) / maxDatagramPayloadBytes
	sentBytes := size + datagrams*datagramHeaderBytes
	source.controlBytes += sentBytes
	if !target.alive {
		return
	}
	ackBytes := datagrams*datagramHeaderBytes + len(batches)*ackBytesPerBatch
	source.controlBytes += ackBytes
	target.controlBytes += sentBytes + ackBytes
	for i := range batches {
		shard := flow.ShardOfSequence(batches[i].Sequence)
		if !target.shards[shard].AddReplication(target.tables, &batches[i], now) {
			continue
		}
		source.shards[shard].AckReplication(batches[i].Target, batches[i].Sequence)
	}
}

// encodedBytes returns the protobuf size of a batch in a datagram. The batch omits
// its target, source and source incarnation because they are those of the datagram.
func encodedBytes(batch *common.ReplicationBatch) int {
	message := &entrypb.ReplicationBatch{Sequence: batch.Sequence}
	for _, group := range batch.Exceptions {
		encoded := &entrypb.ExceptionGroup{
			Service: uint32(group.Service), Endpoint: uint32(group.Endpoint), Withdrawn: group.Withdrawn,
		}
		for _, hash := range group.Hashes {
			encoded.Hashes = append(encoded.Hashes, uint64(hash))
		}
		message.Exceptions = append(message.Exceptions, encoded)
	}
	for _, base := range batch.Bases {
		message.Bases = append(message.Bases, encodeBase(base))
	}
	for _, base := range batch.SlotBases {
		message.SlotBases = append(message.SlotBases, &entrypb.SlotBase{
			Slot: uint32(base.Slot), Base: encodeBase(base.Base),
		})
	}
	return proto.Size(message)
}

func encodeBase(base common.ServiceBase) *entrypb.ServiceBase {
	encoded := &entrypb.ServiceBase{Service: uint32(base.Service), Weights: base.Weights}
	for _, endpoint := range base.Eligible {
		encoded.Eligible = append(encoded.Eligible, uint32(endpoint))
	}
	return encoded
}

// Kill ends an instance without notice. The others declare it dead after detectionDelay.
func (r *groupRouter) Kill(index int, now time.Duration) {
	r.instances[index].alive = false
	r.deadAt[index] = now + detectionDelay
	r.installSnapshot(now)
}

// Replace starts the graceful leave of an instance. The instance first stops
// creating exceptions while it still owns its slots, and leaves once its successors
// hold the existing ones. Flows opened meanwhile go to their default endpoint and
// need no replication.
func (r *groupRouter) Replace(index int, now time.Duration) {
	r.leavingSince[index] = now
	r.installSnapshot(now)
}

// advanceLeaving moves leaving instances to their next phase: replication, then
// relaying only, then replacement.
func (r *groupRouter) advanceLeaving(now time.Duration) {
	for index, since := range r.leavingSince {
		leaver := r.instances[index]
		switch {
		case leaver.member.State == common.MemberLeaving && now-since >= relayDuration:
			delete(r.leavingSince, index)
			r.startReplacement(index, now)
		case leaver.member.State == common.MemberLeaving:
		case leaver.pending() <= maxPendingAtLeave && now-since >= time.Second || now-since >= leaveDeadline:
			leaver.member.State = common.MemberLeaving
			r.leavingSince[index] = now
			r.installSnapshot(now)
		}
	}
}

func (i *instance) pending() int {
	pending := 0
	for _, shard := range i.shards {
		pending += shard.Stats().Pending
	}
	return pending
}

// startReplacement starts a new instance in the place of one that has ended. The new
// instance pulls the state of its slots before it serves.
func (r *groupRouter) startReplacement(index int, now time.Duration) {
	ended := r.instances[index]
	replacement := newInstance(index, ended.member.Incarnation+1)
	replacement.controlBytes = ended.controlBytes
	replacement.member.State = common.MemberJoining
	r.instances[index] = replacement
	r.installSnapshot(now)
	r.pullState(replacement, now)
	replacement.member.State = common.MemberServing
	r.installSnapshot(now)
}

// pullState copies the state of the slots that a joining instance will own from the
// live instances.
func (r *groupRouter) pullState(joiner *instance, now time.Duration) {
	for _, source := range r.instances {
		if source == joiner || !source.alive {
			continue
		}
		future := r.snapshot(source, false)
		for i := range future.Members {
			if future.Members[i].ID == joiner.member.ID {
				future.Members[i].State = common.MemberServing
			}
		}
		future.Sequence++
		tables, err := flow.NewTables(future, source.tables)
		if err != nil {
			panic(err)
		}
		merged := common.ReplicationBatch{Target: joiner.member.ID, Source: source.member.ID}
		for _, shard := range source.shards {
			batch := shard.PullReplication(source.tables, tables, joiner.member.ID)
			merged.SourceIncarnation = batch.SourceIncarnation
			merged.Exceptions = append(merged.Exceptions, batch.Exceptions...)
			merged.SlotBases = append(merged.SlotBases, batch.SlotBases...)
		}
		flow.CompactPull(source.tables, tables, joiner.member.ID, &merged)
		source.controlBytes += encodedBytes(&merged)
		joiner.controlBytes += encodedBytes(&merged)
		for _, shard := range joiner.shards {
			shard.AddReplication(joiner.tables, &merged, now)
		}
	}
}

func (r *groupRouter) ControlBytes() []int {
	totals := make([]int, len(r.instances))
	for i, counted := range r.instances {
		totals[i] = counted.controlBytes
	}
	return totals
}
