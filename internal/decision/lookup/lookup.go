// Package lookup computes the default endpoint of each bucket of a service by
// weighted rendezvous hashing. The result depends only on the service, the set of
// eligible endpoints and their weights, so any instance can recompute it.
package lookup

import (
	"math"
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// Table maps the buckets of a service to their default endpoints for one set of
// eligible endpoints. It is immutable.
type Table struct {
	service common.ServiceID
	id      uint32
	// uniform is true when all weights are equal.
	uniform  bool
	eligible []common.EndpointID // sorted, without duplicates
	weights  []uint32            // by index in eligible
	// defaults is nil in a table made by NewLazy.
	defaults *[common.Buckets]common.EndpointID
}

// Build returns a table with the default of each bucket computed in advance. The
// order of the endpoints does not matter. A missing or zero weight counts as 1.
func Build(service common.ServiceID, eligible []common.EndpointID, weights []uint32) *Table {
	t := NewLazy(service, eligible, weights)
	t.defaults = &[common.Buckets]common.EndpointID{}
	for bucket := range t.defaults {
		t.defaults[bucket] = t.best(uint8(bucket))
	}
	return t
}

// NewLazy returns a table that computes a default on each call. It takes less
// than a tenth of the memory of a table from Build and is meant for previous sets
// of endpoints, which few packets need.
func NewLazy(service common.ServiceID, eligible []common.EndpointID, weights []uint32) *Table {
	t := &Table{service: service, uniform: true}
	t.setEndpoints(eligible, weights)
	t.id = t.hashSet()
	return t
}

// Default returns the default endpoint of a bucket, or 0 when the set is empty.
func (t *Table) Default(bucket uint8) common.EndpointID {
	if t.defaults == nil {
		return t.best(bucket)
	}
	return t.defaults[bucket]
}

// ID returns a 32-bit hash of the service, the endpoints and their weights.
func (t *Table) ID() uint32 {
	return t.id
}

// Base returns the endpoint set that the table is computed from. The caller must
// not modify the slices.
func (t *Table) Base() common.ServiceBase {
	return common.ServiceBase{Service: t.service, Eligible: t.eligible, Weights: t.weights}
}

// Equal reports whether both tables have the same endpoints and weights.
func (t *Table) Equal(other *Table) bool {
	if t == other {
		return true
	}
	return t.id == other.id && slices.Equal(t.eligible, other.eligible) && slices.Equal(t.weights, other.weights)
}

// BuiltFrom reports whether Build would return an equal table for the endpoints
// and weights.
func (t *Table) BuiltFrom(eligible []common.EndpointID, weights []uint32) bool {
	var set Table
	set.setEndpoints(eligible, weights)
	return slices.Equal(t.eligible, set.eligible) && slices.Equal(t.weights, set.weights)
}

// Contains reports whether the endpoint is in the set.
func (t *Table) Contains(endpoint common.EndpointID) bool {
	_, found := slices.BinarySearch(t.eligible, endpoint)
	return found
}

// maxCandidates is the maximum number of endpoints that Candidates returns.
const maxCandidates = 16

// Candidates appends the n highest-scoring endpoints of the flow's bucket to out,
// best first, and returns the extended slice. n is capped at 16. The first
// candidate is the bucket's default.
func (t *Table) Candidates(hash common.FlowHash, n int, out []common.EndpointID) []common.EndpointID {
	var scores [maxCandidates]uint64
	n = min(n, maxCandidates)
	start := len(out)
	seed := t.seed(hash.Bucket())
	for i, endpoint := range t.eligible {
		score := t.score(seed, i)
		at := len(out) - start
		if at == n {
			if n == 0 || score <= scores[n-1] {
				continue
			}
			at--
		} else {
			out = append(out, 0)
		}
		for ; at > 0 && scores[at-1] < score; at-- {
			scores[at] = scores[at-1]
			out[start+at] = out[start+at-1]
		}
		scores[at] = score
		out[start+at] = endpoint
	}
	return out
}

// setEndpoints stores the endpoints sorted by ID, without zeros and duplicates.
func (t *Table) setEndpoints(eligible []common.EndpointID, weights []uint32) {
	order := make([]int, 0, len(eligible))
	for i, endpoint := range eligible {
		if endpoint != 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		return int(int64(eligible[a]) - int64(eligible[b]))
	})
	t.eligible = make([]common.EndpointID, 0, len(order))
	t.weights = make([]uint32, 0, len(order))
	for _, i := range order {
		if n := len(t.eligible); n > 0 && t.eligible[n-1] == eligible[i] {
			continue
		}
		weight := uint32(1)
		if i < len(weights) && weights[i] > 0 {
			weight = weights[i]
		}
		t.eligible = append(t.eligible, eligible[i])
		t.weights = append(t.weights, weight)
		t.uniform = t.uniform && weight == t.weights[0]
	}
}

// hashSet returns a hash of the service, the endpoints and their weights.
func (t *Table) hashSet() uint32 {
	h := mix(uint64(t.service))
	for i, endpoint := range t.eligible {
		h = mix(h ^ uint64(endpoint)<<32 ^ uint64(t.weights[i]))
	}
	return uint32(h >> 32)
}

// best returns the endpoint with the highest score, or 0 for an empty set.
func (t *Table) best(bucket uint8) common.EndpointID {
	seed := t.seed(bucket)
	best := common.EndpointID(0)
	highest := uint64(0)
	for i, endpoint := range t.eligible {
		score := t.score(seed, i)
		if best == 0 || score > highest {
			best, highest = endpoint, score
		}
	}
	return best
}

// seed returns the part of the hash input that all endpoints of a bucket share.
func (t *Table) seed(bucket uint8) uint64 {
	return mix(uint64(t.service)<<8 | uint64(bucket))
}

// score returns the rendezvous score of the i-th endpoint, mapped to an integer
// that preserves the order. With equal weights the hashes already have the order
// of the scores, so the logarithm is skipped.
func (t *Table) score(seed uint64, i int) uint64 {
	hash := mix(seed ^ uint64(t.eligible[i])*0x9e3779b97f4a7c15)
	if t.uniform {
		return hash
	}
	// Scores are at most 0, and a lower negative float has a higher bit pattern, so
	// the complement preserves the order.
	return ^math.Float64bits(weightedScore(hash, t.weights[i]))
}

// weightedScore returns ln(u)/weight, where u is uniform in (0, 1]. An endpoint thus
// has the highest score of a bucket with a probability proportional to its weight.
func weightedScore(hash uint64, weight uint32) float64 {
	u := (float64(hash>>11) + 1) / (1 << 53)
	return math.Log(u) / float64(weight)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
