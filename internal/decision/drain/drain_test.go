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

// Guards against an override that does not reach every instance or is reverted by
// an older version, when messages are lost, duplicated or reordered and instances
// are replaced.
func TestOverridesConverge(t *testing.T) {
	propertytest.Run(t, 500, func(properties *gopter.Properties) {
		properties.Property("all instances converge on the newest override", prop.ForAll(
			checkConvergence, gen.Int64(), gen.IntRange(1, 12),
		))
	})
}

// checkConvergence sets overrides on random instances, delivers them unreliably
// and describes the first violation; it returns "" if all tables converge.
func checkConvergence(seed int64, updates int) string {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	const instances = 5
	tables := make([]*drain.Table, instances)
	for i := range tables {
		tables[i] = drain.NewTable()
	}
	var inFlight []drain.Override
	for range updates {
		origin := random.IntN(instances)
		endpoint := common.EndpointID(1 + random.IntN(2))
		before, _ := tables[origin].Get(endpoint)
		set := tables[origin].Set(endpoint, random.IntN(2) == 0, common.InstanceID(origin+1))
		if set.Version <= before.Version {
			return fmt.Sprintf("override %+v does not replace %+v", set, before)
		}
		inFlight = append(inFlight, set)
		for range random.IntN(6) {
			delayed := inFlight[random.IntN(len(inFlight))]
			receiver := random.IntN(instances)
			before, _ := tables[receiver].Get(delayed.Endpoint)
			tables[receiver].Merge(delayed)
			after, _ := tables[receiver].Get(delayed.Endpoint)
			if after.Version < before.Version {
				return fmt.Sprintf("%+v was reverted by %+v", before, delayed)
			}
		}
		if random.IntN(8) == 0 {
			// A replaced instance starts without overrides; one peer has
			// received those of the old one.
			replaced := random.IntN(instances)
			peer := (replaced + 1) % instances
			for _, override := range tables[replaced].All() {
				tables[peer].Merge(override)
			}
			tables[replaced] = drain.NewTable()
		}
	}
	// After the faults every instance receives the overrides of every other one,
	// in random order.
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
	for _, sent := range inFlight {
		if kept, _ := tables[0].Get(sent.Endpoint); kept.Version < sent.Version {
			return fmt.Sprintf("%+v was lost, all instances have %+v", sent, kept)
		}
	}
	return ""
}
