package loadpolicy

import (
	"math/rand"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

func endpoints(states ...common.EndpointState) []common.Endpoint {
	list := make([]common.Endpoint, len(states))
	for i, state := range states {
		list[i] = common.Endpoint{ID: common.EndpointID(i + 1), State: state}
	}
	return list
}

// Guards against wrong health reports that eject most endpoints of a service, and
// against new flows to draining endpoints.
func TestEligible(t *testing.T) {
	up, down, draining := common.EndpointUp, common.EndpointDown, common.EndpointDraining
	for _, c := range []struct {
		name   string
		states []common.EndpointState
		want   int
	}{
		{"one down", []common.EndpointState{up, up, up, down}, 3},
		{"at most half are ejected", []common.EndpointState{up, down, down, down}, 2},
		{"all down, none ejected", []common.EndpointState{down, down, down, down}, 4},
		{"draining is never eligible", []common.EndpointState{draining, down, down}, 2},
		{"all draining", []common.EndpointState{draining, draining}, 0},
	} {
		got := Eligible(endpoints(c.states...), 0)
		if len(got) != c.want {
			t.Errorf("%s: %d eligible, want %d", c.name, len(got), c.want)
		}
		for _, e := range got {
			if e.State == draining {
				t.Errorf("%s: draining endpoint is eligible", c.name)
			}
		}
	}
}

// Guards against a wrong or old load report that outweighs the instance's own
// observation.
func TestFalseReportIsBounded(t *testing.T) {
	low := Estimate(Observation{Flows: 100, Members: 4, Reported: 0})
	high := Estimate(Observation{Flows: 100, Members: 4, Reported: 1 << 30})
	if low < 200 || high > 800 {
		t.Errorf("400 flows observed, estimates %.0f and %.0f with false reports", low, high)
	}
	old := Estimate(Observation{Flows: 100, Members: 4, Reported: 600, Age: 20 * time.Second})
	if old < 399 || old > 401 {
		t.Errorf("a 20 s old report changes the estimate to %.1f, want about 400", old)
	}
}

// Guards against an endpoint in slow start that gets its full share of new flows.
func TestSlowStart(t *testing.T) {
	half := SlowStartShare(common.EndpointCold, 5*time.Second, 10*time.Second)
	if half != FullShare/2 {
		t.Errorf("share %d, not half, after half of slow start", half)
	}
	admitted := 0
	random := rand.New(rand.NewSource(1))
	for range 1000 {
		if Admits(half, common.FlowHash(random.Uint64())) {
			admitted++
		}
	}
	if admitted < 400 || admitted > 600 {
		t.Errorf("%d of 1000 flows admitted at half share", admitted)
	}
	if SlowStartShare(common.EndpointUp, 0, time.Hour) != FullShare {
		t.Error("an endpoint that is up does not have the full share")
	}
}

// Guards against two-choices and bounded-load selection that spread flows no better
// than the plain hash. Compares the highest load among 15 endpoints with 30 flows.
func TestPoliciesSpreadLoad(t *testing.T) {
	random := rand.New(rand.NewSource(20261204))
	worst := map[string]float64{}
	for range 200 {
		loads := map[string][]float64{"hash": make([]float64, 15), "two": make([]float64, 15), "bounded": make([]float64, 15)}
		for i := range 30 {
			order := random.Perm(15)
			loads["hash"][order[0]]++
			two := TwoChoices([]float64{loads["two"][order[0]], loads["two"][order[1]]})
			loads["two"][order[two]]++
			candidates := make([]float64, 15)
			for j, at := range order {
				candidates[j] = loads["bounded"][at]
			}
			loads["bounded"][order[Bounded(candidates, float64(i+1)/15, 125)]]++
		}
		for name, list := range loads {
			most := 0.0
			for _, load := range list {
				most = max(most, load)
			}
			worst[name] += most / 2 / 200
		}
	}
	t.Logf("mean of highest load / mean: %v", worst)
	if worst["hash"] < 2 || worst["two"] > 1.9 || worst["bounded"] > 1.6 {
		t.Errorf("highest load / mean: %v", worst)
	}
}
