package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/health"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

const endpoint = common.EndpointID(7)

// Guards against an older report that overwrites a newer one of the same prober
// when reports arrive out of order.
func TestOlderReportsAreIgnored(t *testing.T) {
	propertytest.Run(t, 300, func(properties *gopter.Properties) {
		properties.Property("the newest report of a prober applies in any order", prop.ForAll(
			func(seed int64, n int) string {
				random := rand.New(rand.NewPCG(uint64(seed), 1))
				var reports []health.Report
				for i := range n {
					reports = append(reports, health.Report{
						Endpoint:    endpoint,
						Prober:      1,
						Incarnation: 1 + uint64(i/4),
						Version:     1 + uint64(i%4),
						State:       common.EndpointState(random.IntN(4)),
						Load:        uint32(i),
					})
				}
				newest := reports[n-1]
				table := health.NewTable()
				for _, i := range random.Perm(n) {
					table.Merge(reports[i], time.Second)
				}
				status := table.Status(endpoint, time.Second)
				if status.State != newest.State || status.Load != newest.Load {
					return fmt.Sprintf("status %+v, newest report %+v", status, newest)
				}
				return ""
			},
			gen.Int64(), gen.IntRange(1, 20),
		))
	})
}

// Guards against a single prober that marks a healthy endpoint as down because it is
// cut off or wrong, and against an endpoint that stays up although all probers report
// it as down.
func TestDownNeedsEveryProber(t *testing.T) {
	propertytest.Run(t, 300, func(properties *gopter.Properties) {
		properties.Property("down if and only if all recent reports are down", prop.ForAll(
			func(first, second int, ageTenths int) string {
				now := time.Minute
				age := time.Duration(ageTenths) * 100 * time.Millisecond
				table := health.NewTable()
				states := []common.EndpointState{common.EndpointState(first), common.EndpointState(second)}
				table.Merge(health.Report{Endpoint: endpoint, Prober: 1, Version: 1, State: states[0]}, now)
				table.Merge(health.Report{Endpoint: endpoint, Prober: 2, Version: 1, State: states[1], Age: age}, now)
				recent := states[:1]
				if age < health.ReportLifetime {
					recent = states
				}
				down := true
				for _, state := range recent {
					down = down && state == common.EndpointDown
				}
				status := table.Status(endpoint, now)
				if (status.State == common.EndpointDown) != down {
					return fmt.Sprintf("recent reports %v give %v", recent, status.State)
				}
				return ""
			},
			gen.IntRange(0, 3), gen.IntRange(0, 3), gen.IntRange(0, 200),
		))
	})
}

// Guards against an endpoint that becomes down because its probers are lost, and
// against a load whose age does not increase.
func TestReportsAge(t *testing.T) {
	table := health.NewTable()
	table.Merge(health.Report{Endpoint: endpoint, Prober: 1, Version: 1, State: common.EndpointUp, Load: 9}, time.Second)
	status := table.Status(endpoint, 4*time.Second)
	if status.Load != 9 || status.LoadAge != 3*time.Second || !status.Reported {
		t.Fatalf("after 3 s: %+v", status)
	}
	status = table.Status(endpoint, time.Second+health.ReportLifetime)
	if status.Reported || status.Load != 0 || status.State != common.EndpointUp {
		t.Fatalf("after the lifetime: %+v", status)
	}
}

// Guards against an endpoint that comes up after being down without slow start.
func TestRecoveredEndpointIsCold(t *testing.T) {
	table := health.NewTable()
	states := []common.EndpointState{common.EndpointUp, common.EndpointDown, common.EndpointUp}
	for i, state := range states {
		now := time.Duration(i+1) * time.Minute
		table.Merge(health.Report{Endpoint: endpoint, Prober: 1, Version: uint64(i + 1), State: state}, now)
		table.Status(endpoint, now)
	}
	if status := table.Status(endpoint, 3*time.Minute+5*time.Second); status.ColdFor != 5*time.Second {
		t.Fatalf("cold for %v", status.ColdFor)
	}
}

// Guards against an endpoint that is marked as down after one lost response.
func TestOneFailedProbeIsNotDown(t *testing.T) {
	var prober health.ProbeState
	prober.Observe(health.Result{State: common.EndpointUp, Load: 2})
	if state, _, ok := prober.Observe(health.Result{Failed: true}); !ok || state != common.EndpointUp {
		t.Fatalf("after one failure: %v %v", state, ok)
	}
	if state, _, _ := prober.Observe(health.Result{Failed: true}); state != common.EndpointDown {
		t.Fatalf("after two failures: %v", state)
	}
}
