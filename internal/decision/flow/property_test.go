package flow

import (
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

const (
	// propertySeed fixes the drawn cases in continuous integration.
	propertySeed = 20261204
	// propertyRuns is the number of cases of one property.
	propertyRuns = 40
	// ablationRuns bounds the cases that look for a failure without a mechanism.
	ablationRuns = 150
)

func propertyParameters(t *testing.T) *gopter.TestParameters {
	seed := propertytest.Seed(t, propertySeed)
	runs := propertyRuns * propertytest.Factor(t)
	t.Logf("repeat with %s=%d %s=%d", propertytest.SeedVariable, seed, propertytest.SoakVariable, propertytest.Factor(t))
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = runs
	return parameters
}

// worldProperty holds when drawn commands break no invariant.
func simulationProperty(options simulationOptions) gopter.Prop {
	return prop.ForAllNoShrink(func(seed int64, selection int, commands []uint32) string {
		sim := newSimulation(options, seed, common.Selection(selection))
		return strings.Join(sim.run(commands), "; ")
	}, gen.Int64(), gen.IntRange(0, 2), gen.SliceOfN(40, gen.UInt32()))
}

func checkSimulation(t *testing.T, options simulationOptions) {
	t.Helper()
	t.Parallel()
	properties := gopter.NewProperties(propertyParameters(t))
	properties.Property("invariants hold", simulationProperty(options))
	properties.TestingRun(t)
}

// Guards against flows that break although they were reported before their
// owner was killed, and against other broken promises after kills.
func TestKills(t *testing.T) {
	checkSimulation(t, simulationOptions{kills: true})
}

// Guards against an instance that acts on its old flow table after a pause
// longer than its lease.
func TestFreezes(t *testing.T) {
	checkSimulation(t, simulationOptions{freezes: true})
}

// Guards against broken promises when peers cannot reach each other, also
// together with kills and pauses.
func TestPartitions(t *testing.T) {
	checkSimulation(t, simulationOptions{partitions: true})
}

// Guards against broken promises when failures of different kinds meet.
func TestCombinedFailures(t *testing.T) {
	checkSimulation(t, simulationOptions{kills: true, freezes: true, partitions: true})
}

// Guards against refusals of established flows and forwarded refused flows
// when the table is full.
func TestFullTable(t *testing.T) {
	checkSimulation(t, simulationOptions{limits: Limits{MaxFlows: 30, MaxExceptions: 1000}})
}

// Guards against flows that break, move or reach another service during
// planned changes: drain, join, leave, replacement, release.
func TestPlannedChanges(t *testing.T) {
	checkSimulation(t, simulationOptions{})
}

// Shows that mechanisms are needed: without one, drawn cases break a promise.
// The tests in scenario_test.go show the same for rarer sequences.
func TestMechanismsAreNeeded(t *testing.T) {
	planned := simulationOptions{}
	kills := simulationOptions{kills: true}
	for name, without := range map[string]struct {
		options  simulationOptions
		ablation ablation
	}{
		"hand-over":                     {planned, ablation{noHandover: true}},
		"exceptions":                    {kills, ablation{noExceptions: true}},
		"held flows outlive their idle": {kills, ablation{expireHeld: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			without.options.limits.ablation = without.ablation
			parameters := propertyParameters(t)
			parameters.MinSuccessfulTests = ablationRuns
			result := simulationProperty(without.options).Check(parameters)
			if result.Passed() {
				t.Fatalf("%d cases pass without the mechanism", result.Succeeded)
			}
			t.Logf("fails after %d cases: %v", result.Succeeded, result.Labels)
		})
	}
}
