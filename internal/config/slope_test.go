package config

import (
	"fmt"
	"runtime"
	"testing"
)

// liveHeapBytes returns the size of the heap after garbage collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkReleaseSlope measures how the size, the memory use and the decoding
// time of a release grow with the number of endpoints, for docs/CAPACITY.md.
func BenchmarkReleaseSlope(b *testing.B) {
	for _, services := range []int{475, 950, 1900} {
		endpoints := services * 14_000 / 1_900
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			text := scaledYAML(services, endpoints)
			configuration, faults := Parse([]File{{Name: "scale.yaml", Content: []byte(text)}})
			if len(faults) > 0 {
				b.Fatal(faults)
			}
			release, faults := BuildRelease(configuration, nil, ReleaseInfo{Author: "a", CreatedAt: testTime})
			if len(faults) > 0 {
				b.Fatal(faults)
			}
			body, _, err := release.Encode()
			if err != nil {
				b.Fatal(err)
			}
			before := liveHeapBytes()
			decoded, err := DecodeRelease(body)
			if err != nil {
				b.Fatal(err)
			}
			held := liveHeapBytes() - before
			runtime.KeepAlive(decoded)
			for b.Loop() {
				if _, err := DecodeRelease(body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "body-bytes")
			b.ReportMetric(float64(held), "held-bytes")
		})
	}
}
