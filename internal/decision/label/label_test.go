package label

import (
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// collidingIDs returns two endpoint IDs that share the candidate label of variant 0.
func collidingIDs(t *testing.T) (a, b uint64) {
	t.Helper()
	seen := make(map[Label]uint64)
	for id := uint64(1); id < 1<<20; id++ {
		l := Of(id, 0)
		if other, taken := seen[l]; taken {
			return other, id
		}
		seen[l] = id
	}
	t.Fatal("no two IDs share a label")
	return 0, 0
}

// Guards against an endpoint without a label, against 0 assigned as a label, and against
// labels that resolve to another endpoint.
func TestLabelsResolveToTheirEndpoints(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	var holders []Holder
	for i := range 14_000 {
		holders = append(holders, Holder{ID: random.Uint64(), Live: true, StartedAt: int64(i + 1)})
	}
	table := Build(holders)
	for position := range holders {
		own := table.Own(position)
		if own == 0 {
			t.Fatalf("endpoint %d has no label", position)
		}
		if resolved, found := table.Resolve(own); !found || resolved != position {
			t.Fatalf("label of endpoint %d resolves to %d, %t", position, resolved, found)
		}
	}
}

// Guards against two endpoints that share a label and receive each other's flows.
func TestCollidingEndpointsGetDifferentLabels(t *testing.T) {
	a, b := collidingIDs(t)
	table := Build([]Holder{{ID: b, Live: true, StartedAt: 2}, {ID: a, Live: true, StartedAt: 1}})
	if table.Collisions == 0 {
		t.Error("the collision is not counted")
	}
	if got, want := table.Own(1), Of(a, 0); got != want {
		t.Errorf("the older endpoint has label %x, want %x", got, want)
	}
	if got := table.Own(0); got == Of(b, 0) || got == 0 {
		t.Errorf("the younger endpoint has label %x", got)
	}
}

// Guards against flows that move when another endpoint with the same candidate label
// starts, or when an instance has the two endpoints in another order.
func TestLabelsAreStable(t *testing.T) {
	a, b := collidingIDs(t)
	older := Holder{ID: a, Live: true, StartedAt: 1}
	younger := Holder{ID: b, Live: true, StartedAt: 2}
	before := Build([]Holder{older}).Own(0)
	for _, holders := range [][]Holder{{older, younger}, {younger, older}} {
		position, _ := Build(holders).Resolve(before)
		if holders[position].ID != a {
			t.Errorf("label of the older endpoint resolves to the younger one in %v", holders)
		}
	}
}

// Guards against an entry without a start time, as another program may write it, that takes
// the label of another endpoint, and against an endpoint that is no longer listed and keeps
// a label that a live one shares.
func TestPrecedence(t *testing.T) {
	a, b := collidingIDs(t)
	for _, c := range []struct {
		name          string
		winner, loser Holder
	}{
		{"known start", Holder{ID: b, Live: true, StartedAt: 7}, Holder{ID: a, Live: true}},
		{"live", Holder{ID: b, Live: true, StartedAt: 7}, Holder{ID: a, StartedAt: 1}},
		{"lower ID", Holder{ID: min(a, b), Live: true, StartedAt: 1}, Holder{ID: max(a, b), Live: true, StartedAt: 1}},
	} {
		position, _ := Build([]Holder{c.loser, c.winner}).Resolve(Of(a, 0))
		if position != 1 {
			t.Errorf("%s: the other endpoint has the label", c.name)
		}
	}
}

// Guards against instances that resolve a label differently because they have the endpoints
// in a different order.
func TestInstancesAgree(t *testing.T) {
	a, b := collidingIDs(t)
	propertytest.Run(t, 100, func(properties *gopter.Properties) {
		properties.Property("labels do not depend on the order", prop.ForAll(
			func(ids []uint64, seed int64) bool {
				holders := []Holder{{ID: a, Live: true, StartedAt: 3}, {ID: b, Live: true, StartedAt: 2}}
				for i, id := range ids {
					holders = append(holders, Holder{ID: id, Live: i%3 != 0, StartedAt: int64(i % 5)})
				}
				shuffled := append([]Holder{}, holders...)
				rand.New(rand.NewSource(seed)).Shuffle(len(shuffled), func(i, j int) {
					shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
				})
				first, second := Build(holders), Build(shuffled)
				for _, holder := range holders {
					for variant := range Variants {
						l := Of(holder.ID, variant)
						i, _ := first.Resolve(l)
						j, _ := second.Resolve(l)
						if holders[i].ID != shuffled[j].ID {
							return false
						}
					}
				}
				return true
			},
			gen.SliceOf(gen.UInt64Range(1, 1<<40)), gen.Int64(),
		))
	})
}
