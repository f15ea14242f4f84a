package steering

import (
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// settledFreshness is the freshness of an instance that is up to date.
var settledFreshness = Freshness{Configured: true, SettledFor: time.Minute}

func packetTo(port uint16, source uint16) Packet {
	p := Packet{
		First: true, Sequence: 100,
		Tuple: common.FiveTuple{
			Source: [4]byte{100, 64, 0, 7}, Destination: [4]byte{198, 18, 0, 1},
			SourcePort: source, DestinationPort: port, Protocol: common.ProtocolTCP,
		},
	}
	p.Hash = p.Tuple.Hash()
	return p
}

// newSmallInstance returns an instance with one endpoint of the desk and one rule without
// endpoints.
func newSmallInstance() *instance {
	w := newSimulation(1)
	w.catalog = w.catalog[:1]
	w.rules.Rules = append(w.rules.Rules, directory.Rule{
		Address: serviceAddress(81), Targets: []directory.Target{{Service: "empty", Weight: 1}},
		Timeout: 500 * time.Millisecond,
	})
	w.rules.Rules[0].Timeout = 500 * time.Millisecond
	return w.newInstance()
}

// Guards against refusals from knowledge that is too old or incomplete, silence
// where a refusal is due, and first packets forwarded for callers that have given
// up.
func TestNewFlows(t *testing.T) {
	old := Freshness{Configured: true, Age: 2 * time.Second, SettledFor: time.Minute}
	returned := Freshness{Configured: true, SettledFor: time.Second}
	for _, c := range []struct {
		name   string
		port   uint16
		copies uint8
		fresh  Freshness
		kind   Kind
		code   resultcode.Code
	}{
		{"served", 443, 0, settledFreshness, Forward, resultcode.PacketForwarded},
		{"served with old knowledge", 443, 0, old, Forward, resultcode.PacketForwarded},
		{"a copy in time", 443, 1, settledFreshness, Forward, resultcode.PacketForwarded},
		{"a copy of a caller that has given up", 443, 2, settledFreshness, Refuse, resultcode.RefusedTooLate},
		{"unknown address", 999, 0, settledFreshness, Refuse, resultcode.PacketNoService},
		{"unknown address, old knowledge", 999, 0, old, Drop, resultcode.PacketNoService},
		{"nothing known", 999, 0, Freshness{}, Drop, resultcode.DroppedNoTables},
		{"no endpoint", 81, 0, settledFreshness, Refuse, resultcode.RefusedNoEndpoint},
		{"no endpoint after an outage", 81, 0, returned, Drop, resultcode.RefusedNoEndpoint},
	} {
		i := newSmallInstance()
		p := packetTo(c.port, 1000)
		p.Retransmits = c.copies
		action := i.table.Handle(i.view, &p, c.fresh, time.Second)
		if action.Kind != c.kind || action.Code != c.code {
			t.Errorf("%s: kind %d code %d, want %d and %d", c.name, action.Kind, action.Code, c.kind, c.code)
		}
	}
}

// Guards against resets of flows whose endpoint this instance may only not know yet.
func TestUnknownLabels(t *testing.T) {
	for _, c := range []struct {
		name  string
		fresh Freshness
		reset bool
		kind  Kind
	}{
		{"settled", settledFreshness, false, Refuse},
		{"just started", Freshness{Configured: true, SettledFor: 4 * time.Second}, false, Drop},
		{"old knowledge", Freshness{Configured: true, Age: 2 * time.Second, SettledFor: time.Minute}, false, Drop},
		{"a reset is not answered", settledFreshness, true, Drop},
	} {
		i := newSmallInstance()
		p := packetTo(443, 1000)
		p.First, p.Reset, p.Label = false, c.reset, 0x1234
		if action := i.table.Handle(i.view, &p, c.fresh, time.Second); action.Kind != c.kind {
			t.Errorf("%s: kind %d, want %d", c.name, action.Kind, c.kind)
		}
	}
}

// Guards against a reset of a flow whose caller has no label to return: its endpoint
// answered a packet that was sent there without one.
func TestPacketsWithoutLabelAreDropped(t *testing.T) {
	i := newSmallInstance()
	p := packetTo(443, 1000)
	p.First, p.Label = false, 0
	if action := i.table.Handle(i.view, &p, settledFreshness, time.Second); action.Kind != Drop {
		t.Errorf("kind %d, want a drop", action.Kind)
	}
}

// Guards against a choice of an endpoint that the pool has and the view of the packet
// does not have yet: the flow would have no label.
func TestEndpointsWithoutLabelAreNotChosen(t *testing.T) {
	i := newSmallInstance()
	earlier := i.view
	i.sim.addEndpoint("desk")
	i.updateView()
	for source := range uint16(20) {
		p := packetTo(443, 1000+source)
		for copies := range uint8(3) {
			p.Retransmits = copies
			now := time.Second + retransmitTimes[copies]
			if action := i.table.Handle(earlier, &p, settledFreshness, now); action.Kind == Forward && action.Label == 0 {
				t.Errorf("copy %d of flow %d is sent without a label", copies, source)
			}
		}
	}
}

// Guards against a full table that refuses packets of open flows with the new ones.
func TestFullTableRefusesNewFlowsOnly(t *testing.T) {
	i := newSmallInstance()
	i.table = NewTable(Shards)
	var open []Packet
	refused := 0
	for source := uint16(1); source < 200; source++ {
		p := packetTo(443, source)
		action := i.table.Handle(i.view, &p, settledFreshness, time.Second)
		if action.Kind == Refuse {
			refused++
			continue
		}
		p.First, p.Label = false, action.Label
		open = append(open, p)
	}
	if refused == 0 || len(open) > Shards {
		t.Fatalf("%d refused, %d open with room for %d", refused, len(open), Shards)
	}
	for _, p := range open {
		if action := i.table.Handle(i.view, &p, settledFreshness, time.Second); action.Kind != Forward {
			t.Errorf("packet of an open flow: kind %d code %d", action.Kind, action.Code)
		}
	}
}

// Guards against copies of a first packet that reach two endpoints while the first
// one is alive, and against staying with one that is silent.
func TestRetransmittedFirstPackets(t *testing.T) {
	w := newSimulation(1)
	i := w.newInstance()
	p := packetTo(443, 1000)
	first := i.table.Handle(i.view, &p, settledFreshness, time.Second)
	first.Member.HandshakeCompleted(time.Second+time.Millisecond, 0)
	if again := i.table.Handle(i.view, &p, settledFreshness, 1200*time.Millisecond); again.Member != first.Member {
		t.Error("a copy goes to another endpoint although the first one answers callers")
	}
	p = packetTo(443, 1001)
	first = i.table.Handle(i.view, &p, settledFreshness, 2*time.Second)
	again := i.table.Handle(i.view, &p, settledFreshness, 2200*time.Millisecond)
	if again.Member == first.Member || again.Event != Repeated || again.Retransmits != 1 {
		t.Errorf("a copy stays with a silent endpoint: %+v", again)
	}
	if len(again.Suspected) != 1 || again.Suspected[0] != first.Member {
		t.Errorf("suspected: %v", again.Suspected)
	}
}

// Guards against a reused address and port that is taken for the former flow.
func TestNewSequenceIsANewFlow(t *testing.T) {
	i := newSmallInstance()
	p := packetTo(443, 1000)
	first := i.table.Handle(i.view, &p, settledFreshness, time.Second)
	if first.Event != Opened {
		t.Fatalf("event %v", first.Event)
	}
	p.Sequence = 101
	if second := i.table.Handle(i.view, &p, settledFreshness, 2*time.Second); second.Event != Opened {
		t.Errorf("event %v for a new flow", second.Event)
	}
	if n := i.table.Len(); n != 1 {
		t.Errorf("%d flows", n)
	}
}

// Guards against load that is counted for ever for flows that go on through another
// instance.
func TestRequestsInFlightEndAtTimeout(t *testing.T) {
	i := newSmallInstance()
	p := packetTo(443, 1000)
	action := i.table.Handle(i.view, &p, settledFreshness, time.Second)
	p.First, p.Label, p.Acknowledgement, p.Length = false, action.Label, 5, 100
	i.table.Handle(i.view, &p, settledFreshness, time.Second)
	waiting := func() int { return action.Member.Status(0).InFlight }
	if waiting() != 1 {
		t.Fatalf("%d requests wait", waiting())
	}
	for shard := range Shards {
		if expired := i.table.Expire(shard, time.Minute, 1600*time.Millisecond, nil); len(expired) != 0 {
			t.Errorf("expired: %+v", expired)
		}
	}
	if waiting() != 0 {
		t.Errorf("%d requests wait after the timeout", waiting())
	}
}

// Guards against a pause of the process that makes endpoints look slow or dead: what
// was under way before it says nothing.
func TestPauseDiscardsRequestsInFlight(t *testing.T) {
	i := newSmallInstance()
	p := packetTo(443, 1000)
	action := i.table.Handle(i.view, &p, settledFreshness, time.Second)
	i.table.ResetAfterPause(i.view, 6*time.Second)
	if status := action.Member.Status(0); status.InFlight != 0 {
		t.Errorf("%d requests wait after the pause", status.InFlight)
	}
	if again := i.table.Handle(i.view, &p, settledFreshness, 6*time.Second); len(again.Suspected) != 0 || again.Member != action.Member {
		t.Errorf("the copy that waited in the socket: %+v", again)
	}
	p.First, p.Label, p.Acknowledgement, p.Length = false, action.Label, 5, 0
	i.table.Handle(i.view, &p, settledFreshness, 6*time.Second)
	p.Acknowledgement = 4005
	if answer := i.table.Handle(i.view, &p, settledFreshness, 6*time.Second); answer.Response != 0 {
		t.Errorf("a response after %v counts", answer.Response)
	}
}

// Guards against a first packet that waited in the socket and opens its flow again for
// a caller that may have gone on through another instance, and against a drop of the
// last copy, or of packets that came after the pause.
func TestFirstPacketsQueuedDuringPauseAreDropped(t *testing.T) {
	const resumed = 6 * time.Second
	for _, c := range []struct {
		name   string
		copies uint8
		at     time.Duration
		kind   Kind
	}{
		{"first", 0, resumed, Drop},
		{"copy", 1, resumed + 90*time.Millisecond, Drop},
		{"last copy", 2, resumed, Forward},
		{"after the pause", 0, resumed + 110*time.Millisecond, Forward},
	} {
		i := newSmallInstance()
		i.sim.rules.Rules[0].Timeout = 5 * time.Second
		i.updateView()
		i.table.ResetAfterPause(i.view, resumed)
		p := packetTo(443, 1000)
		p.Retransmits = c.copies
		if action := i.table.Handle(i.view, &p, settledFreshness, c.at); action.Kind != c.kind {
			t.Errorf("%s: kind %d code %d, want kind %d", c.name, action.Kind, action.Code, c.kind)
		}
	}
}

// Guards against a flow without an answer that leaves no trace when it expires.
func TestUnansweredFlowsExpire(t *testing.T) {
	i := newSmallInstance()
	p := packetTo(443, 1000)
	i.table.Handle(i.view, &p, settledFreshness, time.Second)
	var expired []ExpiredFlow
	for shard := range Shards {
		expired = i.table.Expire(shard, time.Minute, 5*time.Second, expired)
	}
	if len(expired) != 1 || expired[0].Established || expired[0].Sequence != 100 {
		t.Errorf("expired: %+v", expired)
	}
	if i.table.Len() != 0 {
		t.Errorf("%d flows left", i.table.Len())
	}
}

// Guards against instances that pick different services for copies of a first
// packet, and against shares that do not follow the weights.
func TestWeightsShareNewFlows(t *testing.T) {
	rules := &directory.Configuration{Version: 1, Rules: []directory.Rule{{
		Address: serviceAddress(443),
		Targets: []directory.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}},
	}}}
	pools := map[string]*selection.Pool{}
	pool := func(service string) *selection.Pool {
		if pools[service] == nil {
			pools[service] = selection.NewPool(service, "entry-1", "")
		}
		return pools[service]
	}
	r := NewView(rules, nil, pool, nil).routes[serviceAddress(443)]
	counts := map[string]int{}
	for source := range 10_000 {
		p := packetTo(443, uint16(source))
		counts[r.pick(p.Hash).Service()]++
	}
	if counts["b"] < 850 || counts["b"] > 1150 || counts["c"] != 0 {
		t.Errorf("shares: %v", counts)
	}
}

// Guards against labels in a view that resolve to an endpoint other than the one
// that new flows with them go to.
func TestViewLabelsResolve(t *testing.T) {
	w := newSimulation(1)
	i := w.newInstance()
	for m, l := range i.view.ownLabels {
		if l == 0 || i.view.resolve(l) != m {
			t.Errorf("label %x of %s", l, m.Endpoint().Name)
		}
	}
	if i.view.resolve(label.Label(3)) != nil {
		t.Error("a label of nobody resolves")
	}
}

// BenchmarkEstablished measures a packet in the middle of a flow.
func BenchmarkEstablished(b *testing.B) {
	i := newSimulation(1).newInstance()
	packets := make([]Packet, 1024)
	for n := range packets {
		p := packetTo(443, uint16(n))
		action := i.table.Handle(i.view, &p, settledFreshness, time.Second)
		p.First, p.Label, p.Acknowledgement = false, action.Label, 5
		packets[n] = p
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		i.table.Handle(i.view, &packets[n%len(packets)], settledFreshness, time.Second)
	}
}

// BenchmarkNewFlow measures the choice of an endpoint among 120.
func BenchmarkNewFlow(b *testing.B) {
	w := newSimulation(1)
	for range 114 {
		w.addEndpoint("desk")
	}
	i := w.newInstance()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := packetTo(443, uint16(n%60_000))
		p.Sequence = uint32(n)
		i.table.Handle(i.view, &p, settledFreshness, time.Second)
	}
}

// Guards against allocations in the packet path of established flows.
func TestEstablishedPacketsDoNotAllocate(t *testing.T) {
	i := newSmallInstance()
	p := packetTo(443, 1000)
	action := i.table.Handle(i.view, &p, settledFreshness, time.Second)
	p.First, p.Label, p.Acknowledgement = false, action.Label, 5
	if n := testing.AllocsPerRun(100, func() { i.table.Handle(i.view, &p, settledFreshness, time.Second) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
