package entry

import (
	"context"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// Guards against applying an older release, or a snapshot that is meant for
// another instance.
func TestApplySnapshotRefusesOldAndForeign(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	request := func(release, sequence uint64, self uint32) *entrypb.ApplySnapshotRequest {
		r := snapshot([]*endpoint{e}, a)
		r.Release, r.Sequence, r.Self = release, sequence, self
		return r
	}
	steps := []struct {
		name    string
		request *entrypb.ApplySnapshotRequest
		code    resultcode.Code
		release uint64
	}{
		{"foreign", request(5, 1, 1), resultcode.SnapshotInvalid, 0},
		{"first", request(5, 2, a.id()), resultcode.OK, 5},
		{"older release", request(4, 3, a.id()), resultcode.SnapshotOldRelease, 5},
		{"repeated sequence", request(6, 2, a.id()), resultcode.SnapshotOldSequence, 5},
		{"newer", request(6, 3, a.id()), resultcode.OK, 6},
	}
	for _, step := range steps {
		response, err := a.client.ApplySnapshot(context.Background(), step.request)
		if err != nil {
			t.Fatal(err)
		}
		if response.ResultCode != uint32(step.code) || response.Release != step.release {
			t.Errorf("%s: %v", step.name, response)
		}
	}
}

// Guards against lease renewals by a controld process that was replaced.
func TestRenewLeaseRefusesOldIncarnation(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	renew := func(incarnation uint64) *entrypb.RenewLeaseResponse {
		response, err := a.client.RenewLease(context.Background(),
			&entrypb.RenewLeaseRequest{DurationMs: 3000, Incarnation: incarnation})
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	if first := renew(2); first.ResultCode != 0 || !first.WasFenced {
		t.Fatalf("first renewal: %v", first)
	}
	if second := renew(2); second.ResultCode != 0 || second.WasFenced {
		t.Fatalf("second renewal: %v", second)
	}
	if old := renew(1); old.ResultCode != uint32(resultcode.LeaseOldIncarnation) {
		t.Fatalf("renewal by an old incarnation: %v", old)
	}
}

// Guards against an Entry service that other hosts can reach, because it has no
// authentication.
func TestEntryServiceNeedsLoopback(t *testing.T) {
	settings := Settings{
		Instance: "entry-a", Listen: netip.MustParseAddrPort("127.0.0.1:0"), APIListen: "0.0.0.0:0", MaxFlows: 640,
	}
	_, err := NewServer(settings, zap.NewNop(), prometheus.NewRegistry(), noop.NewTracerProvider().Tracer(""))
	if err == nil || !strings.Contains(err.Error(), "loopback") {
		t.Fatalf("error %v", err)
	}
}

// Guards against RPCs that panic or return wrong results before the first
// snapshot.
func TestCallsBeforeFirstSnapshot(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	ctx := context.Background()
	stats, err := a.client.Stats(ctx, &entrypb.StatsRequest{})
	if err != nil || stats.Release != 0 || !stats.Fenced || stats.MaxFlows != 64_000 {
		t.Fatalf("stats %v, %v", stats, err)
	}
	if _, err := a.client.TakeReplication(ctx, &entrypb.TakeReplicationRequest{MaxBytes: 1000}); err == nil {
		t.Fatal("TakeReplication succeeded without tables")
	}
	if _, err := a.client.PullReplication(ctx, &entrypb.PullReplicationRequest{}); err == nil {
		t.Fatal("PullReplication succeeded without tables")
	}
	if _, err := a.client.AckReplication(ctx, &entrypb.AckReplicationRequest{Target: 1, Sequence: 65}); err != nil {
		t.Fatal(err)
	}
	added, err := a.client.AddReplication(ctx, &entrypb.AddReplicationRequest{})
	if err != nil || added.ResultCode != uint32(resultcode.DroppedNoTables) {
		t.Fatalf("add: %v, %v", added, err)
	}
}

// Guards against losing replicated state between an owner and its successor.
// After the owner is gone, flows must stay on their endpoint even if it has
// started to drain.
func TestSuccessorKeepsFlowsOfLostOwner(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	b := startInstance(t, "entry-b", nil, nil)
	e, f := openEndpoint(t), openEndpoint(t)
	endpoints := []*endpoint{e, f}
	sequence := uint64(0)
	apply := func(drained bool, instances ...*instance) {
		sequence++
		for _, i := range instances {
			request := snapshot(endpoints, instances...)
			request.Sequence = sequence
			if drained {
				request.Services[0].Endpoints[0].State = entrypb.EndpointState_ENDPOINT_STATE_DRAINING
			}
			i.renew(t, 3*time.Second)
			i.apply(t, request)
		}
	}
	apply(false, a, b)
	const flows = 40
	onFirst := make(map[uint16]bool) // by caller port: whether the flow is on e
	for port := range uint16(flows) {
		a.send(t, syn(t, 40000+port))
		_, onFirst[port] = e.receiveWithin(t, noPacketTimeout)
		if !onFirst[port] {
			f.receive(t)
		}
	}
	time.Sleep(2100 * time.Millisecond) // flows are replicated only from an age of 2 s
	apply(true, a, b)
	replicate(t, a, b)
	apply(true, b)
	for port := range uint16(flows) {
		b.send(t, segment(t, 40000+port, layers.TCP{ACK: true, Seq: 1001}, "confirm"))
		expected := f
		if onFirst[port] {
			expected = e
		}
		if _, found := expected.receiveWithin(t, receiveTimeout); !found {
			t.Fatalf("flow %d moved to another endpoint (was on the first one: %v)", port, onFirst[port])
		}
	}
}

// replicate transfers replication batches from one instance to the other until
// none is pending.
func replicate(t *testing.T, from, to *instance) {
	t.Helper()
	ctx := context.Background()
	const rounds = 20
	for range rounds {
		taken, err := from.client.TakeReplication(ctx, &entrypb.TakeReplicationRequest{MaxBytes: 64 << 10, MaxBatchBytes: 1100})
		if err != nil {
			t.Fatal(err)
		}
		if len(taken.Batches) == 0 && taken.Pending == 0 {
			return
		}
		added, err := to.client.AddReplication(ctx, &entrypb.AddReplicationRequest{Batches: taken.Batches})
		if err != nil || added.ResultCode != 0 {
			t.Fatalf("add replication: %v, %v", added, err)
		}
		for _, batch := range taken.Batches {
			ack := &entrypb.AckReplicationRequest{Target: batch.Target, Sequence: batch.Sequence}
			if _, err := from.client.AckReplication(ctx, ack); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Fatalf("replication updates are still pending after %d rounds", rounds)
}

// Guards against a joining instance that receives no bases for its slots.
func TestPullReplicationReturnsBases(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	b := startInstance(t, "entry-b", nil, nil)
	e := openEndpoint(t)
	a.apply(t, snapshot([]*endpoint{e}, a))
	request := &entrypb.PullReplicationRequest{Joiner: b.id(), Members: []*entrypb.Member{member(a), member(b)}}
	response, err := a.client.PullReplication(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	batch := response.Batch
	if batch.Target != b.id() || batch.Source != a.id() || batch.SourceIncarnation != 1 || len(batch.Bases) != 1 {
		t.Fatalf("batch %v", batch)
	}
}

// Guards against data races (with the race detector) and lost flows when
// snapshots are applied while packets arrive.
func TestSnapshotsDuringTraffic(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	a.renew(t, 3*time.Second)
	a.apply(t, snapshot([]*endpoint{e}, a))
	const flows, snapshots = 200, 50
	var senders sync.WaitGroup
	senders.Go(func() {
		for port := range uint16(flows) {
			a.send(t, syn(t, 40000+port))
			e.receive(t)
		}
	})
	for i := range uint64(snapshots) {
		request := snapshot([]*endpoint{e}, a)
		request.Sequence = 2 + i
		a.apply(t, request)
	}
	senders.Wait()
	if open := a.flowStats().OpenFlows; open != flows {
		t.Fatalf("%d flows open for %d callers", open, flows)
	}
	if a.metrics.violationTotal.Load() != 0 {
		t.Fatal("an invariant was violated")
	}
}

// Guards against malformed metrics, for which a scrape fails as a whole, and
// against counters that are not exported.
func TestMetricsAreWellFormed(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	a.send(t, syn(t, 40000))
	waitFor(t, "counted packet", func() bool { return a.resultCount(resultcode.DroppedNoTables) == 1 })
	problems, err := testutil.GatherAndLint(a.registry)
	if err != nil || len(problems) > 0 {
		t.Fatalf("lint: %v, %v", problems, err)
	}
	expected := `
# HELP burdock_entry_results_total Packets by result code.
# TYPE burdock_entry_results_total counter
burdock_entry_results_total{code="1211"} 1
`
	if err := testutil.GatherAndCompare(a.registry, strings.NewReader(expected), "burdock_entry_results_total"); err != nil {
		t.Fatal(err)
	}
}
