package simulation

import (
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

const testSeed = 7

func settings(scenario Scenario) Settings {
	return Settings{
		Workload: Trust, Scenario: scenario, Instances: 5,
		Duration: 30 * time.Second, Seed: testSeed, ReportLag: time.Second,
	}
}

// Guards against flows that change endpoint during planned changes, with the load
// policy that creates the most exceptions. The stateless baseline must break flows
// in the drain scenario; otherwise the run proves nothing.
func TestPlannedChangesBreakNoFlow(t *testing.T) {
	for _, scenario := range []Scenario{Drain, Replacement} {
		result := Run(settings(scenario), NewGroupRouter(5, common.SelectionTwoChoices))
		if result.Broken != 0 {
			t.Errorf("seed %d: %s broke %d of %d flows", testSeed, scenario, result.Broken, result.Flows)
		}
	}
	if baseline := Run(settings(Drain), NewHashRouter(5)); baseline.Broken == 0 {
		t.Errorf("seed %d: the stateless baseline broke no flow in the drain scenario", testSeed)
	}
}

// Guards against runs with the same seed that differ, which would make a reported
// failure impossible to reproduce.
func TestSameSeedSameResult(t *testing.T) {
	first := Run(settings(Kill), NewGroupRouter(5, common.SelectionBounded))
	second := Run(settings(Kill), NewGroupRouter(5, common.SelectionBounded))
	if first != second {
		t.Errorf("seed %d: two runs have different results: %+v and %+v", testSeed, first, second)
	}
}
