package standins_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/standins/caller"
	"burdockrelay.example/burdockrelay/standins/endpoint"
	"burdockrelay.example/burdockrelay/standins/fabric"
	"gopkg.in/tomb.v2"
)

const loopbackAnyPort = "127.0.0.1:0"

var service = netip.MustParseAddrPort("10.90.0.1:80")

// testNetwork is a fabric that forwards packets directly to one endpoint,
// without a load balancer.
type testNetwork struct {
	tomb     *tomb.Tomb
	fabric   *fabric.Fabric
	endpoint *endpoint.Endpoint
}

// startNetwork starts the fabric and the endpoint on free ports and stops them
// when the test ends.
func startNetwork(t *testing.T, seed uint64) *testNetwork {
	t.Helper()
	n := &testNetwork{tomb: new(tomb.Tomb)}
	ready := make(chan error, 1)
	n.tomb.Go(func() error {
		ready <- n.start(seed)
		<-n.tomb.Dying()
		return nil
	})
	t.Cleanup(func() {
		n.tomb.Kill(nil)
		if err := n.tomb.Wait(); err != nil {
			t.Errorf("stand-ins: %v", err)
		}
	})
	if err := <-ready; err != nil {
		t.Fatal(err)
	}
	return n
}

func (n *testNetwork) start(seed uint64) error {
	var err error
	n.fabric, err = fabric.Start(n.tomb, fabric.Settings{
		Ingress: netip.MustParseAddrPort(loopbackAnyPort),
		Return:  netip.MustParseAddrPort(loopbackAnyPort),
		Control: loopbackAnyPort,
		Seed:    seed,
	})
	if err != nil {
		return err
	}
	n.endpoint, err = endpoint.Start(n.tomb, endpoint.Settings{
		Name:     "endpoint-1",
		Services: []netip.AddrPort{service},
		Tunnel:   netip.MustParseAddrPort(loopbackAnyPort),
		Return:   n.fabric.ReturnAddress(),
		Health:   loopbackAnyPort,
		Slots:    32,
		Queue:    64,
		Status:   endpoint.StatusUp,
	})
	if err != nil {
		return err
	}
	return control(http.MethodPut, fmt.Sprintf("http://%s/control/entries/%s", n.fabric.ControlAddress, n.endpoint.TunnelAddress()), "", nil)
}

// control sends a request to a control interface and decodes the JSON response
// into result unless that is nil. A status of 300 or above is an error.
func control(method, url, body string, result any) error {
	request, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %s", method, url, response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// run runs four callers with the default settings as modified by configure.
func (n *testNetwork) run(t *testing.T, configure func(*caller.Settings)) caller.Summary {
	t.Helper()
	settings := caller.Settings{
		Listen:          netip.MustParseAddrPort(loopbackAnyPort),
		Fabric:          n.fabric.IngressAddress(),
		Prefix:          netip.MustParsePrefix("10.200.0.0/16"),
		Callers:         4,
		Seed:            1,
		Drawings:        service,
		Boards:          service,
		Reports:         service,
		DownloadSize:    300_000,
		RequestsPerFlow: 5,
		Pause:           20 * time.Millisecond,
		Duration:        2 * time.Second,
		GracePeriod:     10 * time.Second,
		StallTimeout:    5 * time.Second,
		Endpoints:       []netip.AddrPort{netip.MustParseAddrPort(n.endpoint.HealthAddress.String())},
	}
	configure(&settings)
	runner, err := caller.New(n.tomb, settings)
	if err != nil {
		t.Fatal(err)
	}
	return runner.Run(t.Context())
}

// requireNoFaults fails the test if a kind of request never succeeded, a flow
// broke, a response was wrong or a report was lost or run twice.
func requireNoFaults(t *testing.T, summary caller.Summary) {
	t.Helper()
	text, err := json.Marshal(summary)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("summary: %s", text)
	if summary.DownloadsComplete == 0 || summary.BoardsOK == 0 || summary.ReportsOK == 0 {
		t.Error("at least one kind of request (download, board, report) never succeeded")
	}
	if summary.BrokenFlows != 0 || summary.WrongResponses != 0 || summary.MismatchedResponses != 0 {
		t.Error("there were broken flows, wrong responses or responses to another request")
	}
	if summary.ReportsUnknown != 0 || summary.ReportsDoubleRun != 0 {
		t.Error("there were reports with unknown outcome or reports run twice")
	}
	if v := summary.Verified; v == nil || v.EndpointsRead != 1 || v.ReportsRunTwice != 0 || v.RefusedButRun != 0 || v.AnsweredButNotRun != 0 || v.RunButNeverSent != 0 {
		t.Errorf("the endpoint's list of reports differs from the callers' outcomes: %+v", v)
	}
}

// TestDirectTraffic guards against bytes or requests lost by the stand-ins
// themselves, which would hide or look like faults of the load balancer.
func TestDirectTraffic(t *testing.T) {
	n := startNetwork(t, 1)
	summary := n.run(t, func(*caller.Settings) {})
	requireNoFaults(t, summary)
	if summary.FlowsOpen != 0 {
		t.Errorf("%d flows are open after the run, want 0", summary.FlowsOpen)
	}
}

// TestTrafficWithImpairments guards against flows that break because of delay,
// loss, duplication or reordering, which TCP tolerates.
func TestTrafficWithImpairments(t *testing.T) {
	n := startNetwork(t, 2)
	var set map[string]fabric.Impairments
	impairments := `{"delay_ms": 1, "loss_percent": 1, "duplicate_percent": 2, "reorder_percent": 5, "reorder_ms": 3}`
	err := control(http.MethodPatch, fmt.Sprintf("http://%s/control/impairments", n.fabric.ControlAddress),
		fmt.Sprintf(`{"to_entries": %s, "to_callers": %s}`, impairments, impairments), &set)
	if err != nil {
		t.Fatal(err)
	}
	requireNoFaults(t, n.run(t, func(*caller.Settings) {}))
	var counters struct {
		ToEntriesLink fabric.LinkCounters `json:"to_entries_link"`
		ToCallersLink fabric.LinkCounters `json:"to_callers_link"`
	}
	err = control(http.MethodGet, fmt.Sprintf("http://%s/control/counters", n.fabric.ControlAddress), "", &counters)
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range []fabric.LinkCounters{counters.ToEntriesLink, counters.ToCallersLink} {
		if link.Lost == 0 || link.Duplicated == 0 || link.Reordered == 0 || link.Overflowed != 0 {
			t.Errorf("an impairment had no effect or a queue overflowed: %+v", link)
		}
	}
}

// startEndpoint starts a further endpoint of the same service.
func (n *testNetwork) startEndpoint(t *testing.T, name string) *endpoint.Endpoint {
	t.Helper()
	started, err := endpoint.Start(n.tomb, endpoint.Settings{
		Name:     name,
		Services: []netip.AddrPort{service},
		Tunnel:   netip.MustParseAddrPort(loopbackAnyPort),
		Return:   n.fabric.ReturnAddress(),
		Health:   loopbackAnyPort,
		Slots:    32,
		Status:   endpoint.StatusUp,
	})
	if err != nil {
		t.Fatal(err)
	}
	return started
}

// redirectTo makes the fabric forward all packets to another endpoint, as a
// faulty load balancer would.
func (n *testNetwork) redirectTo(to *endpoint.Endpoint) error {
	base := fmt.Sprintf("http://%s/control/entries/", n.fabric.ControlAddress)
	if err := control(http.MethodDelete, base+n.endpoint.TunnelAddress().String(), "", nil); err != nil {
		return err
	}
	return control(http.MethodPut, base+to.TunnelAddress().String(), "", nil)
}

// TestCallerDetectsMovedFlows guards against callers that do not count flows
// that are reset because their packets reach another endpoint.
func TestCallerDetectsMovedFlows(t *testing.T) {
	n := startNetwork(t, 3)
	other := n.startEndpoint(t, "endpoint-2")
	moved := make(chan error, 1)
	time.AfterFunc(time.Second, func() { moved <- n.redirectTo(other) })
	summary := n.run(t, func(s *caller.Settings) {
		s.DownloadRate = 300_000
		s.Reports = netip.AddrPort{}
	})
	if err := <-moved; err != nil {
		t.Fatal(err)
	}
	// Each of the 4 callers had a download in flight at the redirection.
	if summary.BrokenFlowsByReason["reset"] < 4 {
		t.Errorf("broken flows by reason %v, want at least 4 resets", summary.BrokenFlowsByReason)
	}
	if flows := summary.FlowsPerEndpoint[service.String()]; flows["endpoint-1"] == 0 || flows["endpoint-2"] == 0 {
		t.Errorf("flows per endpoint %v, want some on both endpoints", flows)
	}
	if summary.WrongResponses != 0 || summary.MismatchedResponses != 0 {
		t.Errorf("%d wrong responses, %d responses to another request, want none", summary.WrongResponses, summary.MismatchedResponses)
	}
}

// TestCallerDetectsPacketLoss guards against callers that wait forever, or
// count a request as not run, when packets are dropped without a reset.
func TestCallerDetectsPacketLoss(t *testing.T) {
	n := startNetwork(t, 4)
	removed := make(chan error, 1)
	time.AfterFunc(time.Second, func() {
		removed <- control(http.MethodDelete,
			fmt.Sprintf("http://%s/control/entries/%s", n.fabric.ControlAddress, n.endpoint.TunnelAddress()), "", nil)
	})
	summary := n.run(t, func(s *caller.Settings) {
		s.DownloadRate = 300_000
		s.RequestsPerFlow = 0
		s.StallTimeout = time.Second
		s.GracePeriod = 3 * time.Second
	})
	if err := <-removed; err != nil {
		t.Fatal(err)
	}
	if summary.BrokenFlowsByReason["stalled"] < 4 {
		t.Errorf("broken flows by reason %v, want at least 4 stalled", summary.BrokenFlowsByReason)
	}
	if summary.ReportsUnknown == 0 || summary.Verified.RefusedButRun != 0 || summary.Verified.AnsweredButNotRun != 0 {
		t.Errorf("%d reports with unknown outcome, want at least 1; compared with the endpoint: %+v", summary.ReportsUnknown, summary.Verified)
	}
}

// TestCallerDetectsRepeatedReports guards against a report run by two endpoints
// that the comparison with the endpoints' lists does not find.
func TestCallerDetectsRepeatedReports(t *testing.T) {
	n := startNetwork(t, 5)
	other := n.startEndpoint(t, "endpoint-2")
	first := netip.MustParseAddrPort(n.endpoint.HealthAddress.String())
	second := netip.MustParseAddrPort(other.HealthAddress.String())
	reportsOnly := func(s *caller.Settings) {
		s.Drawings, s.Boards = netip.AddrPort{}, netip.AddrPort{}
		s.Duration = 300 * time.Millisecond
		s.Endpoints = []netip.AddrPort{first, second}
	}
	firstRun := n.run(t, reportsOnly)
	if err := n.redirectTo(other); err != nil {
		t.Fatal(err)
	}
	// The same seed gives the same report identifiers.
	secondRun := n.run(t, reportsOnly)
	if firstRun.Verified.ReportsRunTwice != 0 || firstRun.ReportsOK == 0 {
		t.Errorf("first run: no report succeeded, or a report ran twice: %+v", firstRun.Verified)
	}
	if secondRun.Verified.ReportsRunTwice == 0 {
		t.Errorf("second run: no report was found to have run twice: %+v", secondRun.Verified)
	}
}

// TestEndpointControl guards against a health endpoint that ignores settings
// made through the control interface, and against refused requests whose
// responses do not state that nothing was run.
func TestEndpointControl(t *testing.T) {
	n := startNetwork(t, 6)
	base := "http://" + n.endpoint.HealthAddress.String()
	if err := control(http.MethodPatch, base+"/control/settings", `{"status": "draining", "false_load": 7}`, nil); err != nil {
		t.Fatal(err)
	}
	var health endpoint.Health
	if err := control(http.MethodGet, base+"/healthz", "", &health); err != nil {
		t.Fatal(err)
	}
	if want := (endpoint.Health{Status: endpoint.StatusDraining, Load: 7, Slots: 32}); health != want {
		t.Errorf("health %+v, want %+v", health, want)
	}
	if err := control(http.MethodPatch, base+"/control/settings", `{"status": "down", "false_load": null}`, nil); err != nil {
		t.Fatal(err)
	}
	if err := control(http.MethodGet, base+"/healthz", "", &health); err == nil {
		t.Error("the health check of an endpoint that is down succeeded")
	}
	if err := control(http.MethodPatch, base+"/control/settings", `{"status": "tired"}`, nil); err == nil {
		t.Error("an unknown status was accepted")
	}
	// Slow requests fill the 32 slots and the queue of 64; further requests are
	// refused.
	if err := control(http.MethodPatch, base+"/control/settings", `{"status": "up", "request_delay_ms": 500}`, nil); err != nil {
		t.Fatal(err)
	}
	summary := n.run(t, func(s *caller.Settings) {
		s.Callers = 120
		s.Drawings, s.Boards = netip.AddrPort{}, netip.AddrPort{}
		s.Duration = time.Second
	})
	if summary.ReportsRefused == 0 || summary.Verified.RefusedButRun != 0 || summary.Verified.AnsweredButNotRun != 0 {
		t.Errorf("%d reports refused, want at least 1 and none of them run: %+v", summary.ReportsRefused, summary.Verified)
	}
	if summary.ReportsUnknown != 0 || summary.BrokenFlows != 0 {
		t.Errorf("%d reports with unknown outcome, broken flows by reason %v, want none", summary.ReportsUnknown, summary.BrokenFlowsByReason)
	}
}
