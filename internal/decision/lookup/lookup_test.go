package lookup

import (
	"slices"
	"testing"

	"burdockrelay.example/burdockrelay/common"
)

func endpointSet(n int) ([]common.EndpointID, []uint32) {
	ids := make([]common.EndpointID, n)
	weights := make([]uint32, n)
	for i := range ids {
		ids[i] = common.EndpointID(i + 1)
		weights[i] = 1
	}
	return ids, weights
}

// Guards against a table that depends on the order of the endpoints: instances
// would compute different defaults from the same set.
func TestOrderDoesNotMatter(t *testing.T) {
	ids, weights := endpointSet(15)
	weights[3] = 4
	a := Build(7, ids, weights)
	slices.Reverse(ids)
	slices.Reverse(weights)
	b := Build(7, ids, weights)
	if *a.defaults != *b.defaults || a.ID() != b.ID() || !a.Equal(b) {
		t.Error("reversing the order of the endpoints changed the table")
	}
	lazy := NewLazy(7, ids, weights)
	for bucket := range common.Buckets {
		if lazy.Default(uint8(bucket)) != a.Default(uint8(bucket)) {
			t.Fatalf("bucket %d has another default in a lazy table", bucket)
		}
	}
}

// Guards against the removal of an endpoint moving buckets of other endpoints, as
// the naive assignment (bucket modulo number of endpoints) does.
func TestRemovalMovesOnlyOwnBuckets(t *testing.T) {
	ids, weights := endpointSet(15)
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
		t.Error("the naive assignment moved no bucket, so the test proves nothing")
	}
}

// Guards against ignored weights: an endpoint with 5/8 of the total weight must
// be the default of about 5/8 of the buckets.
func TestWeights(t *testing.T) {
	ids, weights := endpointSet(4)
	weights[0] = 5
	table := Build(7, ids, weights)
	count := 0
	for bucket := range common.Buckets {
		if table.Default(uint8(bucket)) == 1 {
			count++
		}
	}
	if count < common.Buckets/2 || count > common.Buckets*3/4 {
		t.Errorf("an endpoint with 5/8 of the weight has %d of %d buckets", count, common.Buckets)
	}
}

// Guards against duplicate candidates and against a first candidate that is not
// the default.
func TestCandidates(t *testing.T) {
	ids, weights := endpointSet(5)
	table := Build(7, ids, weights)
	for hash := range common.FlowHash(256) {
		got := table.Candidates(hash, 9, nil)
		if len(got) != 5 || got[0] != table.Default(hash.Bucket()) {
			t.Fatalf("got candidates %v", got)
		}
		slices.Sort(got)
		if len(slices.Compact(got)) != 5 {
			t.Fatalf("duplicate candidates: %v", got)
		}
	}
	if Build(7, nil, nil).Default(3) != 0 {
		t.Error("an empty endpoint set has a default")
	}
}

// Measures a build with the mean number of endpoints per service at the target
// scale.
func BenchmarkBuild7(b *testing.B) {
	ids, weights := endpointSet(7)
	b.ReportAllocs()
	for b.Loop() {
		Build(7, ids, weights)
	}
}

// Measures a build with unequal weights.
func BenchmarkBuild15Weighted(b *testing.B) {
	ids, weights := endpointSet(15)
	weights[2] = 3
	b.ReportAllocs()
	for b.Loop() {
		Build(7, ids, weights)
	}
}
