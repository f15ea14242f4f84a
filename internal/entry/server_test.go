package entry

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/packet"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	testService     = "203.0.113.10"
	testServicePort = 443
	receiveTimeout  = 2 * time.Second
	noPacketTimeout = 100 * time.Millisecond
)

// instance is one server under test with a client of its Entry service.
type instance struct {
	*Server
	name   string
	client entrypb.Entry
}

func startInstance(t testing.TB, name string, edit func(*Settings), tracer trace.Tracer) *instance {
	t.Helper()
	settings := Settings{
		Instance:  name,
		Listen:    netip.MustParseAddrPort("127.0.0.1:0"),
		APIListen: "127.0.0.1:0",
		MaxFlows:  64_000,
		Workers:   2,
	}
	if edit != nil {
		edit(&settings)
	}
	if tracer == nil {
		tracer = noop.NewTracerProvider().Tracer("")
	}
	server, err := NewServer(settings, zap.NewNop(), prometheus.NewRegistry(), tracer)
	if err != nil {
		t.Fatal(err)
	}
	server.Start()
	t.Cleanup(func() {
		if err := server.Stop(); err != nil {
			t.Errorf("stop %s: %v", name, err)
		}
	})
	client := entrypb.NewEntryProtobufClient("http://"+server.APIAddress(), http.DefaultClient)
	return &instance{Server: server, name: name, client: client}
}

func (i *instance) id() uint32 {
	return uint32(common.InstanceIDOf(i.name))
}

func (i *instance) renew(t testing.TB, duration time.Duration) {
	t.Helper()
	i.renewAs(t, duration, 1)
}

func (i *instance) renewAs(t testing.TB, duration time.Duration, incarnation uint64) {
	t.Helper()
	request := &entrypb.RenewLeaseRequest{DurationMs: uint32(duration.Milliseconds()), Incarnation: incarnation}
	response, err := i.client.RenewLease(context.Background(), request)
	if err != nil || response.ResultCode != 0 {
		t.Fatalf("renew lease: %v, %v", response, err)
	}
}

func (i *instance) apply(t testing.TB, request *entrypb.ApplySnapshotRequest) {
	t.Helper()
	request.Self = i.id()
	response, err := i.client.ApplySnapshot(context.Background(), request)
	if err != nil || response.ResultCode != 0 {
		t.Fatalf("apply snapshot: %v, %v", response, err)
	}
}

func (i *instance) resultCount(code resultcode.Code) uint64 {
	return i.totals().results[code]
}

func member(i *instance) *entrypb.Member {
	return &entrypb.Member{
		Instance: i.id(), Name: i.name, Incarnation: 1,
		EntryAddress: i.PacketAddress().String(), State: entrypb.MemberState_MEMBER_STATE_SERVING,
	}
}

// endpoint is a socket in the place of a backend server's tunnel endpoint.
type endpoint struct {
	*net.UDPConn
}

func openEndpoint(t testing.TB) *endpoint {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return &endpoint{socket}
}

func (e *endpoint) receive(t testing.TB) packet.Packet {
	t.Helper()
	p, found := e.receiveWithin(t, receiveTimeout)
	if !found {
		t.Fatal("no packet arrived")
	}
	return p
}

func (e *endpoint) receiveWithin(t testing.TB, timeout time.Duration) (packet.Packet, bool) {
	t.Helper()
	buffer := make([]byte, maxPacketBytes)
	if err := e.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	n, err := e.Read(buffer)
	if err != nil {
		return packet.Packet{}, false
	}
	var p packet.Packet
	if code := new(packet.Decoder).Decode(buffer[:n], &p); code != resultcode.OK {
		t.Fatalf("received packet does not decode: code %d", code)
	}
	return p, true
}

func snapshot(endpoints []*endpoint, instances ...*instance) *entrypb.ApplySnapshotRequest {
	service := &entrypb.Service{
		Id: 1, Name: "order-desk", Address: testService, Port: testServicePort,
		Protocol: entrypb.Protocol_PROTOCOL_TCP,
		Policy:   &entrypb.Policy{IdleTimeoutMs: 60_000, MaxEjectedPercent: 50},
	}
	for i, e := range endpoints {
		service.Endpoints = append(service.Endpoints, &entrypb.Endpoint{
			Id: uint32(i + 1), Name: "endpoint", TunnelAddress: e.LocalAddr().String(), Weight: 1,
		})
	}
	request := &entrypb.ApplySnapshotRequest{
		Release: 1, ReleaseHash: "a", Services: []*entrypb.Service{service}, Settled: true, Sequence: 1, Epoch: 1,
	}
	for _, i := range instances {
		request.Members = append(request.Members, member(i))
	}
	return request
}

// segment returns a TCP segment from a caller, encapsulated in Geneve.
func segment(t testing.TB, callerPort uint16, tcp layers.TCP, payload string, options ...*layers.GeneveOption) []byte {
	t.Helper()
	ip := &layers.IPv4{
		Version: 4, TTL: 60, Protocol: layers.IPProtocolTCP,
		SrcIP: net.IPv4(198, 51, 100, 7), DstIP: net.ParseIP(testService),
	}
	tcp.SrcPort = layers.TCPPort(callerPort)
	tcp.DstPort = testServicePort
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	buffer := gopacket.NewSerializeBuffer()
	serialize := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	geneve := &layers.Geneve{Protocol: layers.EthernetTypeIPv4, Options: options}
	if err := gopacket.SerializeLayers(buffer, serialize, geneve, ip, &tcp, gopacket.Payload(payload)); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func syn(t testing.TB, callerPort uint16) []byte {
	return segment(t, callerPort, layers.TCP{SYN: true, Seq: 1000}, "")
}

func (i *instance) send(t testing.TB, data []byte) {
	t.Helper()
	socket, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(i.PacketAddress()))
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if _, err := socket.Write(data); err != nil {
		t.Fatal(err)
	}
}

// waitFor polls until done returns true, and fails the test after
// receiveTimeout.
func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(receiveTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("no %s within %v", what, receiveTimeout)
}

// Guards against a packet path that does not forward, alters the inner packet or
// sends the relay option to endpoints.
func TestForwardsFlowToOneEndpoint(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	a.renew(t, 3*time.Second)
	a.apply(t, snapshot([]*endpoint{e}, a))
	sent := syn(t, 40000)
	a.send(t, sent)
	got := e.receive(t)
	if string(got.Inner) != string(sent[packet.HeaderLength:]) || got.InnerOffset != packet.HeaderLength {
		t.Fatalf("inner packet %x, sent %x", got.Inner, sent)
	}
	a.send(t, segment(t, 40000, layers.TCP{ACK: true, Seq: 1001}, "confirm"))
	if got := e.receive(t); got.PayloadLength != len("confirm") {
		t.Fatalf("payload of %d bytes", got.PayloadLength)
	}
	stats, err := a.client.Stats(context.Background(), &entrypb.StatsRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if stats.OpenFlows != 1 || stats.PacketsForwarded != 2 || stats.Fenced || stats.InvariantViolations != 0 || stats.Release != 1 {
		t.Fatalf("stats %v", stats)
	}
}

// Guards against a flow that two instances handle, and against a relayed packet
// that is relayed again.
func TestRelaysToOwnerOnce(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	b := startInstance(t, "entry-b", nil, nil)
	e := openEndpoint(t)
	for _, i := range []*instance{a, b} {
		i.renew(t, 3*time.Second)
		i.apply(t, snapshot([]*endpoint{e}, a, b))
	}
	const flows = 50
	for port := range uint16(flows) {
		a.send(t, syn(t, 40000+port))
		e.receive(t)
	}
	relayed := a.totals().relayed
	if relayed == 0 || relayed == flows {
		t.Fatalf("%d of %d packets relayed", relayed, flows)
	}
	if sum := b.totals(); sum.forwarded != relayed || sum.relayed != 0 {
		t.Fatalf("b forwarded %d and relayed %d, a relayed %d", sum.forwarded, sum.relayed, relayed)
	}
	opened := a.flowStats().OpenFlows + b.flowStats().OpenFlows
	if opened != flows {
		t.Fatalf("%d flows open for %d callers", opened, flows)
	}
}

// Guards against relaying a packet that has the maximum hop count.
func TestHandlesPacketAtHopLimitLocally(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	peer := openEndpoint(t)
	request := snapshot([]*endpoint{e}, a)
	request.Members = append(request.Members, &entrypb.Member{
		Instance: 99, Name: "entry-z", Incarnation: 1,
		EntryAddress: peer.LocalAddr().String(), State: entrypb.MemberState_MEMBER_STATE_SERVING,
	})
	a.renew(t, 3*time.Second)
	a.apply(t, request)
	data := make([]byte, 12)
	data[0] = packet.MaxHopCount
	binary.BigEndian.PutUint32(data[4:8], 99)
	option := &layers.GeneveOption{Class: 0xFF42, Type: 1, Data: data}
	const flows = 20
	for port := range uint16(flows) {
		a.send(t, segment(t, 40000+port, layers.TCP{SYN: true}, "", option))
		e.receive(t)
	}
	if _, found := peer.receiveWithin(t, noPacketTimeout); found {
		t.Fatal("a packet with the maximum hop count was relayed")
	}
}

// Guards against a refusal without a reset, which makes callers wait for a
// timeout.
func TestRefusesWithReset(t *testing.T) {
	fabric := openEndpoint(t)
	a := startInstance(t, "entry-a", func(s *Settings) {
		s.FabricReturn = fabric.LocalAddr().(*net.UDPAddr).AddrPort()
	}, nil)
	a.renew(t, 3*time.Second)
	a.apply(t, snapshot(nil, a))
	a.send(t, syn(t, 40000))
	reset := fabric.receive(t)
	if !reset.ResetFlag || !reset.Ack || reset.Sequence != 0 || reset.Tuple.DestinationPort != 40000 {
		t.Fatalf("reset %+v", reset)
	}
	if a.resultCount(resultcode.RefusedNoEndpoint) != 1 {
		t.Fatalf("results %v", a.totals().results)
	}
}

// Guards against missing counts of dropped packets: before the first snapshot,
// for unknown addresses and truncated.
func TestDropsAreCountedByCode(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	counted := func(code resultcode.Code) func() bool {
		return func() bool { return a.resultCount(code) == 1 }
	}
	a.send(t, syn(t, 40000))
	waitFor(t, "drop without tables", counted(resultcode.DroppedNoTables))
	request := snapshot([]*endpoint{e}, a)
	request.Services[0].Port = 80
	a.renew(t, 3*time.Second)
	a.apply(t, request)
	a.send(t, syn(t, 40000))
	waitFor(t, "drop without service", counted(resultcode.PacketNoService))
	a.send(t, syn(t, 40000)[:20])
	waitFor(t, "drop of a truncated packet", counted(resultcode.PacketTruncated))
	if _, found := e.receiveWithin(t, noPacketTimeout); found {
		t.Fatal("a dropped packet arrived")
	}
}

// Guards against an instance that acts as an owner after its lease has expired.
func TestFencedInstanceRelays(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	b := startInstance(t, "entry-b", nil, nil)
	e := openEndpoint(t)
	b.renew(t, 3*time.Second)
	a.renew(t, 20*time.Millisecond)
	for _, i := range []*instance{a, b} {
		i.apply(t, snapshot([]*endpoint{e}, a, b))
	}
	time.Sleep(40 * time.Millisecond)
	const flows = 20
	for port := range uint16(flows) {
		a.send(t, syn(t, 40000+port))
	}
	waitFor(t, "relay of every packet", func() bool { return a.totals().relayed == flows })
	if forwarded := a.totals().forwarded; forwarded != 0 {
		t.Fatalf("the fenced instance forwarded %d packets", forwarded)
	}
	stats, err := a.client.Stats(context.Background(), &entrypb.StatsRequest{})
	if err != nil || !stats.Fenced {
		t.Fatalf("stats %v, %v", stats, err)
	}
}

// Guards against an instance that was paused until its lease expired and then
// uses old tables: the slots they assign to it may have another owner by then.
func TestExpiredLeaseWaitsForSnapshot(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	a.renew(t, 20*time.Millisecond)
	request := snapshot([]*endpoint{e}, a)
	a.apply(t, request)
	time.Sleep(40 * time.Millisecond)
	a.renew(t, 3*time.Second)
	if !a.fenced() {
		t.Fatal("not fenced after the expiry: the old tables are in use")
	}
	a.renewAs(t, 3*time.Second, 2)
	if !a.fenced() {
		t.Fatal("not fenced after a renewal with a new incarnation: the old tables are in use")
	}
	request.Sequence++
	a.apply(t, request)
	if a.fenced() {
		t.Fatal("fenced after the new snapshot")
	}
}

// Guards against stopping while peers still send packets, and against a stop
// that does not end once they no longer do.
func TestStopWaitsUntilIdle(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	e := openEndpoint(t)
	a.renew(t, 3*time.Second)
	a.apply(t, snapshot([]*endpoint{e}, a))
	const idle = 200 * time.Millisecond
	type result struct {
		idle bool
		err  error
	}
	done := make(chan result, 1)
	go func() {
		idle, err := a.StopWhenIdle(idle, 10*time.Second)
		done <- result{idle, err}
	}()
	for port := range uint16(10) {
		a.send(t, syn(t, 40000+port))
		e.receive(t)
		time.Sleep(idle / 4)
	}
	select {
	case got := <-done:
		t.Fatalf("stopped while packets arrived: %+v", got)
	default:
	}
	select {
	case got := <-done:
		if !got.idle || got.err != nil {
			t.Fatalf("stop: %+v", got)
		}
	case <-time.After(receiveTimeout):
		t.Fatal("the stop did not end")
	}
}

// Guards against a stop that waits past its deadline for the packets to cease.
func TestStopIsBounded(t *testing.T) {
	a := startInstance(t, "entry-a", nil, nil)
	begin := time.Now()
	idle, err := a.StopWhenIdle(time.Hour, 50*time.Millisecond)
	if idle || err != nil {
		t.Fatalf("stop: %v, %v", idle, err)
	}
	if took := time.Since(begin); took > receiveTimeout {
		t.Fatalf("the stop took %v", took)
	}
}
