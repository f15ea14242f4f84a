package testbed_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

// newSilenceSystem returns a system of instances that close the flows of silent endpoints, with
// a number of callers that send several requests on each flow.
func newSilenceSystem(t *testing.T, endpoints, longFlows int) (*system, []*testbed.Endpoint) {
	t.Helper()
	s := newSystem(t, 0, 0)
	s.closeSilent = true
	var started []*testbed.Endpoint
	for i := range endpoints {
		started = append(started, s.startEndpoint(i+1, "desk"))
	}
	for i := range 2 {
		s.startInstance(fmt.Sprintf("entry-%d", i+1), s.ip(1, i+1))
	}
	time.Sleep(time.Second)
	s.startCallers()
	s.startLongFlows(longFlows)
	return s, started
}

// startLongFlows starts callers that send several requests on each flow.
func (s *system) startLongFlows(callers int) {
	s.t.Helper()
	host, err := testbed.OpenHost(netip.MustParseAddr(s.ip(3, 2)), s.port, s.router, s.checker)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(host.Close)
	long := destinations()[1]
	for range callers {
		go host.SendRequests(&long, 200*time.Millisecond, &s.tally, s.stop)
	}
}

// sum returns the sum of a counter over all instances.
func (s *system) sum(name string) (sum float64) {
	s.t.Helper()
	for _, relay := range s.relayInstances {
		families, err := relay.registry.Gather()
		if err != nil {
			s.t.Fatal(err)
		}
		for _, family := range families {
			if family.GetName() != name {
				continue
			}
			for _, metric := range family.GetMetric() {
				sum += metric.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// Guards against callers whose flows wait for an endpoint without power until their time
// limit.
func TestEndpointWithoutPower(t *testing.T) {
	t.Parallel()
	s, endpoints := newSilenceSystem(t, 4, 24)
	time.Sleep(2 * time.Second)
	s.checker.EndpointStopped(endpoints[0].Name())
	endpoints[0].Close()
	within(t, 3*time.Second, "a verdict and a closed flow", func() bool {
		return s.sum("burdock_endpoints_silent_total") > 0 && s.sum("burdock_flows_closed_total") > 0
	})
	t.Logf("%v verdicts, %v flows closed", s.sum("burdock_endpoints_silent_total"), s.sum("burdock_flows_closed_total"))
	s.finish(0.9)
}

// Guards against flows that are reset although their endpoint lives, while packets are lost
// and an endpoint accepts connections without answering.
func TestLivingEndpointsAreNotSilent(t *testing.T) {
	t.Parallel()
	s, endpoints := newSilenceSystem(t, 4, 24)
	s.router.Impair(3, 0)
	time.Sleep(2 * time.Second)
	endpoints[0].SetUnresponsive(true)
	time.Sleep(1500 * time.Millisecond)
	endpoints[0].SetUnresponsive(false)
	time.Sleep(2 * time.Second)
	if silent, closed := s.sum("burdock_endpoints_silent_total"), s.sum("burdock_flows_closed_total"); silent+closed > 0 {
		t.Errorf("%v verdicts, %v flows closed", silent, closed)
	}
	s.finish(0.8)
}

// Guards against an instance that does not learn from the other one that an endpoint has
// fallen silent, while its own flows are idle, and against reports on living endpoints.
func TestInstancesReportSilentEndpoints(t *testing.T) {
	t.Parallel()
	// An instance without a flow on the endpoint does not check it, so both get many.
	s, endpoints := newSilenceSystem(t, 4, 72)
	time.Sleep(2 * time.Second)
	if sent := s.sum("burdock_silence_reports_total"); sent != 0 {
		t.Errorf("%v reports while all endpoints live", sent)
	}
	s.checker.EndpointStopped(endpoints[0].Name())
	endpoints[0].Close()
	within(t, 3*time.Second, "a report that is sent and received", func() bool {
		return s.sum("burdock_silence_reports_total") >= 2 && s.sum("burdock_endpoints_silent_total") >= 2
	})
	t.Logf("%v reports, %v verdicts, %v flows closed", s.sum("burdock_silence_reports_total"),
		s.sum("burdock_endpoints_silent_total"), s.sum("burdock_flows_closed_total"))
	s.finish(0.9)
}
