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

// testNetwork is a fabric that sends straight to one endpoint.
type testNetwork struct {
	tomb     *tomb.Tomb
	fabric   *fabric.Fabric
	endpoint *endpoint.Endpoint
}

// startNetwork starts the fabric and the endpoint on free ports.
func startNetwork(t *testing.T, seed uint64) *testNetwork {
	t.Helper()
	p := &testNetwork{tomb: new(tomb.Tomb)}
	ready := make(chan error, 1)
	p.tomb.Go(func() error {
		ready <- p.start(seed)
		<-p.tomb.Dying()
		return nil
	})
	t.Cleanup(func() {
		p.tomb.Kill(nil)
		if err := p.tomb.Wait(); err != nil {
			t.Errorf("stand-ins: %v", err)
		}
	})
	if err := <-ready; err != nil {
		t.Fatal(err)
	}
	return p
}

func (p *testNetwork) start(seed uint64) error {
	var err error
	p.fabric, err = fabric.Start(p.tomb, fabric.Settings{
		Ingress: netip.MustParseAddrPort(loopbackAnyPort),
		Return:  netip.MustParseAddrPort(loopbackAnyPort),
		Control: loopbackAnyPort,
		Seed:    seed,
	})
	if err != nil {
		return err
	}
	p.endpoint, err = endpoint.Start(p.tomb, endpoint.Settings{
		Name:     "endpoint-1",
		Services: []netip.AddrPort{service},
		Tunnel:   netip.MustParseAddrPort(loopbackAnyPort),
		Return:   p.fabric.ReturnAddress(),
		Health:   loopbackAnyPort,
		Slots:    32,
		Queue:    64,
		Status:   endpoint.StatusUp,
	})
	if err != nil {
		return err
	}
	return control(http.MethodPut, fmt.Sprintf("http://%s/control/entries/%s", p.fabric.ControlAddress, p.endpoint.TunnelAddress()), "", nil)
}

// control calls a control interface and decodes the response into answer.
func control(method, url, body string, answer any) error {
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
	if answer == nil {
		return nil
	}
	return json.Unmarshal(data, answer)
}

func (p *testNetwork) run(t *testing.T, change func(*caller.Settings)) caller.Summary {
	t.Helper()
	settings := caller.Settings{
		Listen:          netip.MustParseAddrPort(loopbackAnyPort),
		Fabric:          p.fabric.IngressAddress(),
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
		Endpoints:       []netip.AddrPort{netip.MustParseAddrPort(p.endpoint.HealthAddress.String())},
	}
	change(&settings)
	run, err := caller.New(p.tomb, settings)
	if err != nil {
		t.Fatal(err)
	}
	return run.Run(t.Context())
}

func requireNoFaults(t *testing.T, summary caller.Summary) {
	t.Helper()
	text, err := json.Marshal(summary)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("summary: %s", text)
	if summary.DownloadsComplete == 0 || summary.BoardsOK == 0 || summary.ReportsOK == 0 {
		t.Error("some kind of request never succeeded")
	}
	if summary.BrokenFlows != 0 || summary.WrongResponses != 0 || summary.MismatchedResponses != 0 {
		t.Error("there were broken flows, wrong or crossed answers")
	}
	if summary.ReportsUnknown != 0 || summary.ReportsDoubleRun != 0 {
		t.Error("there were unknown or repeated reports")
	}
	if v := summary.Verified; v == nil || v.EndpointsRead != 1 || v.ReportsRunTwice != 0 || v.RefusedButRun != 0 || v.AnsweredButNotRun != 0 || v.RunButNeverSent != 0 {
		t.Errorf("the endpoint's list of reports differs: %+v", v)
	}
}

// TestPath guards against a loss of bytes or requests in the stand-ins
// themselves, which would hide or imitate faults of the load balancer.
func TestPath(t *testing.T) {
	p := startNetwork(t, 1)
	summary := p.run(t, func(*caller.Settings) {})
	requireNoFaults(t, summary)
	if summary.FlowsOpen != 0 {
		t.Errorf("%d flows are open after the run", summary.FlowsOpen)
	}
}

// TestPathWithImpairments guards against impairments that break flows, which
// TCP must survive.
func TestPathWithImpairments(t *testing.T) {
	p := startNetwork(t, 2)
	var set map[string]fabric.Impairments
	one := `{"delay_ms": 1, "loss_percent": 1, "duplicate_percent": 2, "reorder_percent": 5, "reorder_ms": 3}`
	err := control(http.MethodPatch, fmt.Sprintf("http://%s/control/impairments", p.fabric.ControlAddress),
		fmt.Sprintf(`{"to_entries": %s, "to_callers": %s}`, one, one), &set)
	if err != nil {
		t.Fatal(err)
	}
	requireNoFaults(t, p.run(t, func(*caller.Settings) {}))
	var counters struct {
		ToEntriesLink fabric.LinkCounters `json:"to_entries_link"`
		ToCallersLink fabric.LinkCounters `json:"to_callers_link"`
	}
	err = control(http.MethodGet, fmt.Sprintf("http://%s/control/counters", p.fabric.ControlAddress), "", &counters)
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range []fabric.LinkCounters{counters.ToEntriesLink, counters.ToCallersLink} {
		if link.Lost == 0 || link.Duplicated == 0 || link.Reordered == 0 || link.Overflowed != 0 {
			t.Errorf("impairments had no effect: %+v", link)
		}
	}
}

// startEndpoint starts another endpoint of the same service.
func (p *testNetwork) startEndpoint(t *testing.T, name string) *endpoint.Endpoint {
	t.Helper()
	started, err := endpoint.Start(p.tomb, endpoint.Settings{
		Name:     name,
		Services: []netip.AddrPort{service},
		Tunnel:   netip.MustParseAddrPort(loopbackAnyPort),
		Return:   p.fabric.ReturnAddress(),
		Health:   loopbackAnyPort,
		Slots:    32,
		Status:   endpoint.StatusUp,
	})
	if err != nil {
		t.Fatal(err)
	}
	return started
}

// redirectTo sends all packets to another endpoint, as a faulty load balancer does.
func (p *testNetwork) redirectTo(to *endpoint.Endpoint) error {
	base := fmt.Sprintf("http://%s/control/entries/", p.fabric.ControlAddress)
	if err := control(http.MethodDelete, base+p.endpoint.TunnelAddress().String(), "", nil); err != nil {
		return err
	}
	return control(http.MethodPut, base+to.TunnelAddress().String(), "", nil)
}

// TestCallerSeesMovedFlows guards against a caller that misses flows that are
// reset because their packets reach another endpoint.
func TestCallerSeesMovedFlows(t *testing.T) {
	p := startNetwork(t, 3)
	other := p.startEndpoint(t, "endpoint-2")
	moved := make(chan error, 1)
	time.AfterFunc(time.Second, func() { moved <- p.redirectTo(other) })
	summary := p.run(t, func(s *caller.Settings) {
		s.DownloadRate = 300_000
		s.Reports = netip.AddrPort{}
	})
	if err := <-moved; err != nil {
		t.Fatal(err)
	}
	// Each of the 4 callers had a download under way when the packets moved.
	if summary.BrokenFlowsByReason["reset"] < 4 {
		t.Errorf("broken flows %v, want at least 4 resets", summary.BrokenFlowsByReason)
	}
	if flows := summary.FlowsPerEndpoint[service.String()]; flows["endpoint-1"] == 0 || flows["endpoint-2"] == 0 {
		t.Errorf("flows per endpoint %v", flows)
	}
	if summary.WrongResponses != 0 || summary.MismatchedResponses != 0 {
		t.Errorf("%d wrong and %d crossed answers", summary.WrongResponses, summary.MismatchedResponses)
	}
}

// TestCallerSeesSilentLoss guards against a caller that waits without end, or
// counts a request as not run, when packets are no longer delivered.
func TestCallerSeesSilentLoss(t *testing.T) {
	p := startNetwork(t, 4)
	remove := make(chan error, 1)
	time.AfterFunc(time.Second, func() {
		remove <- control(http.MethodDelete,
			fmt.Sprintf("http://%s/control/entries/%s", p.fabric.ControlAddress, p.endpoint.TunnelAddress()), "", nil)
	})
	summary := p.run(t, func(s *caller.Settings) {
		s.DownloadRate = 300_000
		s.RequestsPerFlow = 0
		s.StallTimeout = time.Second
		s.GracePeriod = 3 * time.Second
	})
	if err := <-remove; err != nil {
		t.Fatal(err)
	}
	if summary.BrokenFlowsByReason["stalled"] < 4 {
		t.Errorf("broken flows %v, want at least 4 stalled", summary.BrokenFlowsByReason)
	}
	if summary.ReportsUnknown == 0 || summary.Verified.RefusedButRun != 0 || summary.Verified.AnsweredButNotRun != 0 {
		t.Errorf("%d unknown reports, %+v", summary.ReportsUnknown, summary.Verified)
	}
}

// TestCallerSeesRepeatedReports guards against a comparison that misses a
// report that two endpoints ran.
func TestCallerSeesRepeatedReports(t *testing.T) {
	p := startNetwork(t, 5)
	other := p.startEndpoint(t, "endpoint-2")
	first := netip.MustParseAddrPort(p.endpoint.HealthAddress.String())
	second := netip.MustParseAddrPort(other.HealthAddress.String())
	change := func(s *caller.Settings) {
		s.Drawings, s.Boards = netip.AddrPort{}, netip.AddrPort{}
		s.Duration = 300 * time.Millisecond
		s.Endpoints = []netip.AddrPort{first, second}
	}
	once := p.run(t, change)
	if err := p.redirectTo(other); err != nil {
		t.Fatal(err)
	}
	// The same seed gives the same identifiers.
	twice := p.run(t, change)
	if once.Verified.ReportsRunTwice != 0 || once.ReportsOK == 0 {
		t.Errorf("first run: %+v", once.Verified)
	}
	if twice.Verified.ReportsRunTwice == 0 {
		t.Errorf("second run: %+v", twice.Verified)
	}
}

// TestEndpointControl guards against a health report that ignores the control
// interface, and against refusals that do not say that nothing was run.
func TestEndpointControl(t *testing.T) {
	p := startNetwork(t, 6)
	base := "http://" + p.endpoint.HealthAddress.String()
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
		t.Error("a down endpoint reports success")
	}
	if err := control(http.MethodPatch, base+"/control/settings", `{"status": "tired"}`, nil); err == nil {
		t.Error("an unknown status was accepted")
	}
	// Slow requests hold the 32 slots and the queue of 64; more are refused.
	if err := control(http.MethodPatch, base+"/control/settings", `{"status": "up", "request_delay_ms": 500}`, nil); err != nil {
		t.Fatal(err)
	}
	summary := p.run(t, func(s *caller.Settings) {
		s.Callers = 120
		s.Drawings, s.Boards = netip.AddrPort{}, netip.AddrPort{}
		s.Duration = time.Second
	})
	if summary.ReportsRefused == 0 || summary.Verified.RefusedButRun != 0 || summary.Verified.AnsweredButNotRun != 0 {
		t.Errorf("%d refused reports, %+v", summary.ReportsRefused, summary.Verified)
	}
	if summary.ReportsUnknown != 0 || summary.BrokenFlows != 0 {
		t.Errorf("%d unknown reports, broken flows %v", summary.ReportsUnknown, summary.BrokenFlowsByReason)
	}
}
