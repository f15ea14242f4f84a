package drain_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/drain"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

// Guards against a drain that does not reach an instance, or that an older
// version undoes, when messages are lost, repeated and overtake each other and
// instances are replaced.
func TestDrainsReachAllAndAreNotUndone(t *testing.T) {
	propertytest.Run(t, 500, func(properties *gopter.Properties) {
		properties.Property("all instances settle on the newest wish", prop.ForAll(
			converges, gen.Int64(), gen.IntRange(1, 12),
		))
	})
}

func converges(seed int64, wishes int) string {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	const instances = 5
	tables := make([]*drain.Table, instances)
	for i := range tables {
		tables[i] = drain.NewTable()
	}
	var inFlight []drain.Override
	for range wishes {
		who := random.IntN(instances)
		endpoint := common.EndpointID(1 + random.IntN(2))
		before, _ := tables[who].Get(endpoint)
		set := tables[who].Set(endpoint, random.IntN(2) == 0, common.InstanceID(who+1))
		if set.Version <= before.Version {
			return fmt.Sprintf("the wish %+v does not replace %+v", set, before)
		}
		inFlight = append(inFlight, set)
		for range random.IntN(6) {
			late := inFlight[random.IntN(len(inFlight))]
			at := random.IntN(instances)
			before, _ := tables[at].Get(late.Endpoint)
			tables[at].Merge(late)
			after, _ := tables[at].Get(late.Endpoint)
			if after.Version < before.Version {
				return fmt.Sprintf("%+v was undone by %+v", before, late)
			}
		}
		if random.IntN(8) == 0 {
			// A replaced instance starts empty; one peer keeps the wish.
			victim := random.IntN(instances)
			heir := (victim + 1) % instances
			for _, override := range tables[victim].All() {
				tables[heir].Merge(override)
			}
			tables[victim] = drain.NewTable()
		}
	}
	// After the faults every instance hears every other once, in any order.
	for _, i := range random.Perm(instances * instances) {
		for _, override := range tables[i/instances].All() {
			tables[i%instances].Merge(override)
		}
	}
	for _, i := range random.Perm(instances) {
		for _, override := range tables[i].All() {
			for _, table := range tables {
				table.Merge(override)
			}
		}
	}
	for i := 1; i < instances; i++ {
		if !reflect.DeepEqual(tables[i].All(), tables[0].All()) {
			return fmt.Sprintf("instance %d has %+v, instance 0 has %+v", i, tables[i].All(), tables[0].All())
		}
	}
	for _, wish := range inFlight {
		if kept, _ := tables[0].Get(wish.Endpoint); kept.Version < wish.Version {
			return fmt.Sprintf("%+v was lost, all have %+v", wish, kept)
		}
	}
	return ""
}
