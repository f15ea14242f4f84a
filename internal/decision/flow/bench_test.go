package flow

import (
	"net/netip"
	"runtime"
	"testing"
	"time"
	"unsafe"

	"burdockrelay.example/burdockrelay/common"
)

// Measures a packet of an established flow. The shard has 6,250 flows, which is
// 400,000 on the instance.
func BenchmarkHandleEstablished(b *testing.B) {
	tables := mustTables(b, testSnapshot(15, 1), nil)
	shard := NewShard(0, Limits{MaxFlows: 8192})
	shard.Install(tables, 0)
	packets := benchPackets(tables, 6250)
	for _, p := range packets {
		shard.Handle(tables, p, 0, true)
		p.First = false
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		shard.Handle(tables, packets[i], time.Second, true)
		if i++; i == len(packets) {
			i = 0
		}
	}
}

// benchPackets returns n first packets of flows in shard 0.
func benchPackets(tables *Tables, n int) []*Packet {
	var packets []*Packet
	for source := uint32(0); len(packets) < n; source++ {
		if p := tcpPacket(tables, source, true, 9); ShardOf(p.Hash) == 0 {
			packets = append(packets, p)
		}
	}
	return packets
}

// benchmarkNew measures the first packet of a new flow.
func benchmarkNew(b *testing.B, selection common.Selection) {
	s := testSnapshot(15, 4)
	s.Services[0].Policy.Selection = selection
	tables := mustTables(b, s, nil)
	shard := NewShard(0, Limits{MaxFlows: 8192})
	shard.Install(tables, 0)
	packets := benchPackets(tables, 6250)
	for _, p := range packets {
		p.HopCount = maxHops
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		p := packets[i]
		if e := shard.table.find(p.Hash, &p.Tuple); e != nil {
			shard.discard(tables, e)
			shard.queue = shard.queue[:0]
		}
		shard.Handle(tables, p, time.Second, true)
		if i++; i == len(packets) {
			i = 0
		}
	}
}

func BenchmarkHandleNewHash(b *testing.B)       { benchmarkNew(b, common.SelectionHash) }
func BenchmarkHandleNewBounded(b *testing.B)    { benchmarkNew(b, common.SelectionBounded) }
func BenchmarkHandleNewTwoChoices(b *testing.B) { benchmarkNew(b, common.SelectionTwoChoices) }

// targetSnapshot returns a snapshot of a data centre close to the target scale of 192
// members, 160 services and 1,170 endpoints; it has 1,200 endpoints. In the given
// number of services the first endpoint drains.
func targetSnapshot(sequence uint64, draining int) *common.Snapshot {
	s := testSnapshot(1, 192)
	s.Sequence = sequence
	s.Services = nil
	for i := range 160 {
		service := common.Service{ID: common.ServiceID(i + 1), Address: serviceAddress}
		service.Address.Address = netip.AddrFrom4([4]byte{10, 9, 1, byte(i)})
		for j := range 7 + i%2 {
			id := common.EndpointID(i*8 + j + 1)
			service.Endpoints = append(service.Endpoints, common.Endpoint{ID: id, Weight: 1, Tunnel: s.Members[0].EntryAddress})
		}
		if i < draining {
			service.Endpoints[0].State = common.EndpointDraining
		}
		s.Services = append(s.Services, service)
	}
	return s
}

// Measures the time to apply a snapshot in which one endpoint starts or stops
// draining to all 64 shards of an instance. The shards have no flows.
func BenchmarkApplyTarget(b *testing.B) {
	tables := mustTables(b, targetSnapshot(1, 0), nil)
	shards := make([]*Shard, Shards)
	for i := range shards {
		shards[i] = NewShard(i, Limits{MaxFlows: 1000})
		shards[i].Install(tables, 0)
	}
	sequence := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		tables = mustTables(b, targetSnapshot(sequence, int(sequence%2)), tables)
		for _, shard := range shards {
			shard.Install(tables, 0)
		}
	}
}

// Measures the reports of the flows on one drained endpoint: about 2,000 of the 8,000
// flows in the shard.
func BenchmarkTakeReplication(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		s := testSnapshot(4, 2)
		tables := mustTables(b, s, nil)
		shard := NewShard(0, Limits{MaxFlows: 10000})
		shard.Install(tables, 0)
		for _, p := range benchPackets(tables, 8000) {
			p.HopCount = maxHops
			shard.Handle(tables, p, 0, true)
		}
		s = testSnapshot(4, 2)
		s.Sequence = 2
		s.Services[0].Endpoints[0].State = common.EndpointDraining
		tables = mustTables(b, s, tables)
		shard.Install(tables, time.Minute)
		b.StartTimer()
		shard.TakeReplication(tables, time.Minute, &Budget{Bytes: 1 << 20, MaxBatchBytes: 1 << 20})
	}
}

// Guards against flow entries larger than 64 bytes, and logs the sizes of the main
// structures.
func TestSizes(t *testing.T) {
	if size := unsafe.Sizeof(entry{}); size > 64 {
		t.Errorf("a flow entry takes %d bytes, limit 64", size)
	}
	before := heapAlloc()
	shards := make([]*Shard, Shards)
	for i := range shards {
		shards[i] = NewShard(i, Limits{MaxFlows: 200})
	}
	t.Logf("bytes of 64 empty shards: %d, of a shard: %d, of a flow: %d, of a flow's hash chain: 4 to 8",
		heapAlloc()-before, unsafe.Sizeof(Shard{}), unsafe.Sizeof(entry{}))
	before = heapAlloc()
	tables := mustTables(t, targetSnapshot(1, 0), nil)
	t.Logf("bytes of the tables at the target scale: %d", heapAlloc()-before)
	runtime.KeepAlive(shards)
	runtime.KeepAlive(tables)
}

// heapAlloc returns the allocated heap after a garbage collection, in bytes.
func heapAlloc() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
