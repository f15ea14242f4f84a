package entry

import (
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/packet"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// maxBatch bounds the packets between two checks of the lease.
	maxBatch = 64
	// maxPacketBytes takes a jumbo frame of 9,000 bytes with its Geneve header
	// and options. A longer packet is counted as truncated.
	maxPacketBytes = 9 * 1024
	// maxAddresses bounds the destinations for which a worker keeps a socket
	// address: the endpoints and members of one data centre at the target
	// scale are about 1,360.
	maxAddresses = 8192
)

// worker moves packets from one socket through the filter chain.
type worker struct {
	server  *Server
	receive *ipv4.PacketConn
	send    *ipv4.PacketConn

	chain    []filter
	exchange exchange
	traffic  traffic

	buffers   [maxBatch][]byte
	in        [maxBatch]ipv4.Message
	out       [maxBatch]ipv4.Message
	outCount  int
	addresses map[netip.AddrPort]*net.UDPAddr
}

func newWorker(server *Server, receive, send net.PacketConn) *worker {
	w := &worker{
		server:    server,
		receive:   ipv4.NewPacketConn(receiveConn{receive}),
		send:      ipv4.NewPacketConn(send),
		addresses: make(map[netip.AddrPort]*net.UDPAddr),
	}
	w.chain = []filter{
		&decodeFilter{},
		matchFilter{},
		&flowFilter{shards: &server.shards},
		&invariantFilter{shards: &server.shards, metrics: server.metrics},
		&encodeFilter{
			self:         common.InstanceIDOf(server.settings.Instance),
			fabricReturn: server.fabricReturn,
			resets:       packet.NewResetBuilder(),
			traffic:      &w.traffic,
		},
	}
	for i := range w.buffers {
		w.buffers[i] = make([]byte, packet.RelayHeaderLength+maxPacketBytes)
		w.in[i].Buffers = [][]byte{w.buffers[i][packet.RelayHeaderLength:]}
		w.out[i].Buffers = make([][]byte, 1)
	}
	return w
}

// run handles batches until the sockets are closed.
func (w *worker) run() error {
	for {
		count, err := w.receive.ReadBatch(w.in[:], 0)
		if !w.server.tomb.Alive() {
			return nil
		}
		if err != nil {
			return err
		}
		w.handleBatch(count)
	}
}

func (w *worker) handleBatch(count int) {
	started := time.Now()
	now := w.server.since(started)
	w.exchange.now = now
	w.exchange.leaseValid = w.server.leaseValid(now)
	batchState := w.server.state.Load()
	w.outCount = 0
	bytes := 0
	for i := range count {
		w.exchange.state = batchState
		w.handle(i, started)
		bytes += w.in[i].N
	}
	w.flush()
	w.traffic.receivedPackets.Add(uint64(count))
	w.traffic.receivedBytes.Add(uint64(bytes))
	w.traffic.lastReceived.Store(int64(now))
	w.server.metrics.batchPackets.Observe(float64(count))
	w.server.metrics.batchSeconds.Observe(time.Since(started).Seconds())
}

func (w *worker) handle(i int, started time.Time) {
	x := &w.exchange
	x.buffer = w.buffers[i]
	x.received = x.buffer[packet.RelayHeaderLength : packet.RelayHeaderLength+w.in[i].N]
	x.out = nil
	x.flow = flow.Packet{}
	for _, step := range w.chain {
		if !step.apply(x) {
			break
		}
	}
	w.traffic.codes.add(x.action.Code)
	w.server.tracing.record(x, started)
	if x.out == nil {
		return
	}
	w.count(x.action.Kind)
	w.out[w.outCount].Buffers[0] = x.out
	w.out[w.outCount].Addr = w.address(x.to)
	w.outCount++
}

func (w *worker) count(kind flow.ActionKind) {
	switch kind {
	case flow.Forward:
		w.traffic.forwarded.Add(1)
	case flow.Relay:
		w.traffic.relayed.Add(1)
	case flow.Refuse:
		w.traffic.resets.Add(1)
	}
}

// address returns the socket address of a destination without allocating for
// one that was used before.
func (w *worker) address(to netip.AddrPort) *net.UDPAddr {
	if address := w.addresses[to]; address != nil {
		return address
	}
	if len(w.addresses) >= maxAddresses {
		clear(w.addresses)
	}
	address := net.UDPAddrFromAddrPort(to)
	w.addresses[to] = address
	return address
}

// flush sends the packets of the batch. A packet that cannot be sent is counted
// and skipped.
func (w *worker) flush() {
	pending := w.out[:w.outCount]
	for len(pending) > 0 {
		sent, err := w.send.WriteBatch(pending, 0)
		sent = max(sent, 0)
		bytes := 0
		for i := range sent {
			bytes += pending[i].N
		}
		w.traffic.sentBytes.Add(uint64(bytes))
		pending = pending[sent:]
		if err != nil && len(pending) > 0 {
			w.traffic.codes.add(resultcode.PacketSendFailed)
			pending = pending[1:]
		}
	}
}
