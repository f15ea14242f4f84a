package flow

import (
	"fmt"
	"runtime"
	"testing"
)

// Measures the memory of open flows in a shard, for docs/CAPACITY.md.
func BenchmarkFlowMemorySlope(b *testing.B) {
	for _, flows := range []int{1000, 4000, 8000} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			tables := mustTables(b, testSnapshot(15, 4), nil)
			packets := benchPackets(tables, flows)
			var heapBytes float64
			for b.Loop() {
				before := heapAllocAfterTwoGCs()
				shard := NewShard(0, Limits{MaxFlows: 8192})
				shard.Install(tables, 0)
				for _, p := range packets {
					p.HopCount = maxHops
					shard.Handle(tables, p, 0, true)
				}
				heapBytes = float64(heapAllocAfterTwoGCs() - before)
				runtime.KeepAlive(shard)
			}
			b.ReportMetric(heapBytes/float64(flows), "B/flow")
			b.ReportMetric(heapBytes, "held-bytes")
		})
	}
}

// heapAllocAfterTwoGCs returns the allocated heap after two garbage collections, in
// bytes.
func heapAllocAfterTwoGCs() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
