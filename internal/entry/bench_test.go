package entry

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"golang.org/x/net/ipv4"

	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	benchFlows   = 1024
	benchPayload = 64
	// benchEndpoints and benchPeers match one user's deployment.
	benchEndpoints = 15
	benchPeers     = 4
	benchWarmup    = 50 * time.Millisecond
	benchWindow    = 250 * time.Millisecond
)

// sinks is a set of sockets that count the packets they receive.
type sinks struct {
	sockets []*net.UDPConn
	count   atomic.Uint64
}

func openSinks(b *testing.B, count int) *sinks {
	b.Helper()
	s := &sinks{}
	for range count {
		sockets, err := listenAll(netip.MustParseAddrPort("127.0.0.1:0"), 1)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { closeAll(sockets) })
		s.sockets = append(s.sockets, sockets[0].(*net.UDPConn))
		go s.receive(sockets[0])
	}
	return s
}

func (s *sinks) receive(socket net.PacketConn) {
	conn := ipv4.NewPacketConn(receiveConn{socket})
	messages := benchMessages()
	for {
		n, err := conn.ReadBatch(messages, 0)
		if err != nil {
			return
		}
		s.count.Add(uint64(n))
	}
}

func (s *sinks) endpoints() []*endpoint {
	endpoints := make([]*endpoint, len(s.sockets))
	for i, socket := range s.sockets {
		endpoints[i] = &endpoint{socket}
	}
	return endpoints
}

func benchMessages() []ipv4.Message {
	messages := make([]ipv4.Message, maxBatch)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxPacketBytes)}
	}
	return messages
}

// startBareForwarder starts the baseline: a forwarder that reads and writes
// batches like a worker and sends the packets to the sinks in turn.
func startBareForwarder(b *testing.B, s *sinks) netip.AddrPort {
	b.Helper()
	receivers, err := listenAll(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	if err != nil {
		b.Fatal(err)
	}
	senders, err := openSenders(netip.MustParseAddr("127.0.0.1"), 1)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { closeAll(receivers); closeAll(senders) })
	out := make([]ipv4.Message, maxBatch)
	for i := range out {
		out[i] = ipv4.Message{Buffers: make([][]byte, 1), Addr: s.sockets[i%len(s.sockets)].LocalAddr()}
	}
	go runBareForwarder(ipv4.NewPacketConn(receiveConn{receivers[0]}), ipv4.NewPacketConn(senders[0]), out)
	return receivers[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

func runBareForwarder(receive, send *ipv4.PacketConn, out []ipv4.Message) {
	in := benchMessages()
	for {
		n, err := receive.ReadBatch(in, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i].Buffers[0] = in[i].Buffers[0][:in[i].N]
		}
		for pending := out[:n]; len(pending) > 0; {
			sent, err := send.WriteBatch(pending, 0)
			if err != nil {
				return
			}
			pending = pending[sent:]
		}
	}
}

// flood sends the packets to the address repeatedly until the context ends.
func flood(ctx context.Context, b *testing.B, to netip.AddrPort, packets [][]byte) {
	b.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	conn := ipv4.NewPacketConn(socket)
	address := net.UDPAddrFromAddrPort(to)
	messages := make([]ipv4.Message, len(packets))
	for i := range messages {
		messages[i] = ipv4.Message{Buffers: [][]byte{packets[i]}, Addr: address}
	}
	go func() {
		defer socket.Close()
		for ctx.Err() == nil {
			for first := 0; first < len(messages); first += maxBatch {
				if _, err := conn.WriteBatch(messages[first:first+maxBatch], 0); err != nil {
					return
				}
			}
		}
	}()
}

// forwardingRate returns how many packets per second reach the sinks through an
// overloaded forwarder.
func forwardingRate(b *testing.B, to netip.AddrPort, packets [][]byte, s *sinks) float64 {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	flood(ctx, b, to, packets)
	time.Sleep(benchWarmup)
	begin, before := time.Now(), s.count.Load()
	time.Sleep(benchWindow)
	packetsPerSecond := float64(s.count.Load()-before) / time.Since(begin).Seconds()
	cancel()
	time.Sleep(benchWarmup) // let the queues drain
	return packetsPerSecond
}

func benchPackets(b *testing.B) [][]byte {
	b.Helper()
	packets := make([][]byte, benchFlows)
	for i := range packets {
		data := segment(b, 20000+uint16(i), layers.TCP{ACK: true, Seq: 1001}, string(make([]byte, benchPayload)))
		packets[i] = slices.Clone(data)
	}
	return packets
}

func benchInstance(b *testing.B, name string) *instance {
	b.Helper()
	return startInstance(b, name, func(s *Settings) { s.Workers = 1 }, nil)
}

// startOwner returns an instance that owns every slot and has benchFlows open
// flows.
func startOwner(b *testing.B, s *sinks) *instance {
	b.Helper()
	owner := benchInstance(b, "owner")
	request := snapshot(s.endpoints(), owner)
	owner.renew(b, 3*time.Second)
	owner.apply(b, request)
	for i := range uint16(benchFlows) {
		owner.send(b, syn(b, 20000+i))
	}
	waitFor(b, "open flow for every caller", func() bool { return owner.flowStats().OpenFlows == benchFlows })
	return owner
}

// startRelayer returns an instance that owns no slot and relays every packet to
// the sinks.
func startRelayer(b *testing.B, s *sinks) *instance {
	b.Helper()
	relayer := benchInstance(b, "relayer")
	request := snapshot(s.endpoints(), relayer)
	request.Members[0].State = entrypb.MemberState_MEMBER_STATE_JOINING
	for i, socket := range s.sockets {
		request.Members = append(request.Members, &entrypb.Member{
			Instance: uint32(100 + i), Name: "peer", Incarnation: 1,
			EntryAddress: socket.LocalAddr().String(), State: entrypb.MemberState_MEMBER_STATE_SERVING,
		})
	}
	relayer.apply(b, request)
	return relayer
}

// BenchmarkLoopback compares one worker with a bare UDP forwarder. Each iteration
// measures the forwarder, an owner and a relaying instance in turn, so that other
// load on the machine affects all three. It reports the medians.
func BenchmarkLoopback(b *testing.B) {
	endpoints := openSinks(b, benchEndpoints)
	peers := openSinks(b, benchPeers)
	packets := benchPackets(b)
	bare := startBareForwarder(b, endpoints)
	owner := startOwner(b, endpoints)
	relayer := startRelayer(b, peers)
	var bareRates, ownerRates, relayRates, ownerRatios, relayRatios []float64
	for b.Loop() {
		owner.renew(b, 3*time.Second)
		relayer.renew(b, 3*time.Second)
		bareRate := forwardingRate(b, bare, packets, endpoints)
		ownerRate := forwardingRate(b, owner.PacketAddress(), packets, endpoints)
		relayRate := forwardingRate(b, relayer.PacketAddress(), packets, peers)
		bareRates = append(bareRates, bareRate)
		ownerRates = append(ownerRates, ownerRate)
		relayRates = append(relayRates, relayRate)
		ownerRatios = append(ownerRatios, ownerRate/bareRate)
		relayRatios = append(relayRatios, relayRate/bareRate)
	}
	if forwarded, relayed := owner.totals().forwarded, relayer.totals().relayed; forwarded == 0 || relayed == 0 {
		b.Fatalf("forwarded %d, relayed %d", forwarded, relayed)
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(median(bareRates), "bare-packets/s")
	b.ReportMetric(median(ownerRates), "owner-packets/s")
	b.ReportMetric(median(relayRates), "relay-packets/s")
	b.ReportMetric(median(ownerRatios), "owner/bare")
	b.ReportMetric(median(relayRatios), "relay/bare")
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// benchmarkHandle measures the filter chain of a worker without its sockets, per
// packet: from decoding to the header of the packet to send.
func benchmarkHandle(b *testing.B, w *worker) {
	b.Helper()
	packets := benchPackets(b)
	pc := &w.packetContext
	next := 0
	b.ReportAllocs()
	for b.Loop() {
		i := next % maxBatch
		if i == 0 {
			pc.now = w.server.now()
			w.send.begin(pc.now)
			pc.leaseValid = true
		}
		pc.state = w.server.state.Load()
		w.in[i].N = copy(w.in[i].Buffers[0], packets[next%benchFlows])
		w.handle(i, time.Time{})
		next++
	}
	if w.send.count == 0 {
		b.Fatal("no packet was queued for sending")
	}
}

// BenchmarkHandleOwner measures packets of established flows.
func BenchmarkHandleOwner(b *testing.B) {
	benchmarkHandle(b, startOwner(b, openSinks(b, benchEndpoints)).workers[0])
}

// BenchmarkHandleRelay measures packets of flows that another instance owns.
func BenchmarkHandleRelay(b *testing.B) {
	benchmarkHandle(b, startRelayer(b, openSinks(b, benchEndpoints)).workers[0])
}
