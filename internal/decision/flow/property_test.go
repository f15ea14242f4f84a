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
	// propertySeed makes the random cases reproducible in continuous integration.
	propertySeed = 20261204
	// propertyRuns is the number of cases of one property, before the soak factor.
	propertyRuns = 40
	// ablationRuns is the maximum number of cases in the search for a failure
	// without a mechanism.
	ablationRuns = 150
)

// propertyParameters returns the seed and the number of cases and logs how to repeat
// the run.
func propertyParameters(t *testing.T) *gopter.TestParameters {
	seed := propertytest.Seed(t, propertySeed)
	runs := propertyRuns * propertytest.Factor(t)
	t.Logf("repeat with %s=%d %s=%d", propertytest.SeedVariable, seed, propertytest.SoakVariable, propertytest.Factor(t))
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = runs
	return parameters
}

// simulationProperty holds when random commands violate no invariant.
func simulationProperty(options simulationOptions) gopter.Prop {
	return prop.ForAllNoShrink(func(seed int64, selection int, commands []uint32) string {
		sim := newSimulation(options, seed, common.Selection(selection))
		return strings.Join(sim.run(commands), "; ")
	}, gen.Int64(), gen.IntRange(0, 2), gen.SliceOfN(40, gen.UInt32()))
}

// checkSimulation checks simulationProperty with the options.
func checkSimulation(t *testing.T, options simulationOptions) {
	t.Helper()
	t.Parallel()
	properties := gopter.NewProperties(propertyParameters(t))
	properties.Property("invariants hold", simulationProperty(options))
	properties.TestingRun(t)
}

// Guards against flows that break although they were reported before their owner was
// killed, and against other violations of invariants after kills.
func TestKills(t *testing.T) {
	checkSimulation(t, simulationOptions{kills: true})
}

// Guards against an instance that uses its outdated flow table after a pause longer
// than its lease.
func TestFreezes(t *testing.T) {
	checkSimulation(t, simulationOptions{freezes: true})
}

// Guards against violations of invariants when instances cannot reach each other.
func TestPartitions(t *testing.T) {
	checkSimulation(t, simulationOptions{partitions: true})
}

// Guards against violations of invariants when failures of different kinds overlap.
func TestCombinedFailures(t *testing.T) {
	checkSimulation(t, simulationOptions{kills: true, freezes: true, partitions: true})
}

// Guards against established flows that are refused, and refused first packets that
// are forwarded, when the table is full.
func TestFullTable(t *testing.T) {
	checkSimulation(t, simulationOptions{limits: Limits{MaxFlows: 30, MaxExceptions: 1000}})
}

// Guards against flows that break, move or reach another service during
// planned changes: drain, join, leave, replacement, release.
func TestPlannedChanges(t *testing.T) {
	checkSimulation(t, simulationOptions{})
}

// Guards against a simulation that does not detect a missing mechanism: without one,
// random cases must violate an invariant. The tests in scenario_test.go and
// takeover_test.go check the same for rarer sequences.
func TestMechanismsAreNeeded(t *testing.T) {
	planned := simulationOptions{}
	kills := simulationOptions{kills: true}
	for name, test := range map[string]struct {
		options  simulationOptions
		ablation ablation
	}{
		"handover":                            {planned, ablation{noHandover: true}},
		"exceptions":                          {kills, ablation{noExceptions: true}},
		"held flows outlive the idle timeout": {kills, ablation{expireHeld: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test.options.limits.ablation = test.ablation
			parameters := propertyParameters(t)
			parameters.MinSuccessfulTests = ablationRuns
			result := simulationProperty(test.options).Check(parameters)
			if result.Passed() {
				t.Fatalf("%d cases passed without the mechanism", result.Succeeded)
			}
			t.Logf("invariant violated after %d cases: %v", result.Succeeded, result.Labels)
		})
	}
}
