package lookup

import (
	"slices"
	"testing"

	"burdockrelay.example/burdockrelay/common"
)

func set(n int) ([]common.EndpointID, []uint32) {
	ids := make([]common.EndpointID, n)
	weights := make([]uint32, n)
	for i := range ids {
		ids[i] = common.EndpointID(i + 1)
		weights[i] = 1
	}
	return ids, weights
}

// Guards against instances that compute different defaults from one set.
func TestOrderDoesNotMatter(t *testing.T) {
	ids, weights := set(15)
	weights[3] = 4
	a := Build(7, ids, weights)
	slices.Reverse(ids)
	slices.Reverse(weights)
	b := Build(7, ids, weights)
	if *a.defaults != *b.defaults || a.ID() != b.ID() || !a.Equal(b) {
		t.Error("the order of the endpoints changes the table")
	}
	lazy := NewLazy(7, ids, weights)
	for bucket := range common.Buckets {
		if lazy.Default(uint8(bucket)) != a.Default(uint8(bucket)) {
			t.Fatalf("bucket %d differs in a table without defaults", bucket)
		}
	}
}

// Guards against a removed endpoint that moves the buckets of others. The naive
// table, bucket modulo endpoints, moves most of them.
func TestRemovalMovesOnlyOwnBuckets(t *testing.T) {
	ids, weights := set(15)
	before := Build(7, ids, weights)
	after := Build(7, ids[1:], weights[1:])
	naive := 0
	for bucket := range common.Buckets {
		old := before.Default(uint8(bucket))
		if old != 1 && after.Default(uint8(bucket)) != old {
			t.Errorf("bucket %d moved from endpoint %d", bucket, old)
		}
		if bucket%15 != 0 && ids[bucket%15] != ids[1:][bucket%14] {
			naive++
		}
	}
	if naive == 0 {
		t.Error("the naive table moves no bucket either")
	}
}

// Guards against weights that have no effect.
func TestWeights(t *testing.T) {
	ids, weights := set(4)
	weights[0] = 5
	table := Build(7, ids, weights)
	count := 0
	for bucket := range common.Buckets {
		if table.Default(uint8(bucket)) == 1 {
			count++
		}
	}
	if count < common.Buckets/2 || count > common.Buckets*3/4 {
		t.Errorf("an endpoint with 5 of 8 parts has %d of %d buckets", count, common.Buckets)
	}
}

// Guards against candidates that repeat or do not begin with the default.
func TestCandidates(t *testing.T) {
	ids, weights := set(5)
	table := Build(7, ids, weights)
	for hash := range common.FlowHash(256) {
		got := table.Candidates(hash, 9, nil)
		if len(got) != 5 || got[0] != table.Default(hash.Bucket()) {
			t.Fatalf("candidates %v", got)
		}
		slices.Sort(got)
		if len(slices.Compact(got)) != 5 {
			t.Fatalf("candidates repeat: %v", got)
		}
	}
	if Build(7, nil, nil).Default(3) != 0 {
		t.Error("an empty set has a default")
	}
}

// One service's table with the mean number of endpoints at the target scale.
func BenchmarkBuild7(b *testing.B) {
	ids, weights := set(7)
	b.ReportAllocs()
	for b.Loop() {
		Build(7, ids, weights)
	}
}

// One service's table with unequal weights.
func BenchmarkBuild15Weighted(b *testing.B) {
	ids, weights := set(15)
	weights[2] = 3
	b.ReportAllocs()
	for b.Loop() {
		Build(7, ids, weights)
	}
}
