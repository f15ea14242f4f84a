package entry

import (
	"net"
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
)

// worker moves packets from one socket through the filter chain.
type worker struct {
	server  *Server
	receive *ipv4.PacketConn
	send    *sender

	chain    []filter
	exchange exchange
	traffic  traffic

	buffers [maxBatch][]byte
	in      [maxBatch]ipv4.Message
}

func newWorker(server *Server, receive, send net.PacketConn) *worker {
	w := &worker{
		server:  server,
		receive: ipv4.NewPacketConn(receiveConn{receive}),
		send:    newSender(send),
	}
	w.chain = []filter{
		&decodeFilter{},
		&matchFilter{},
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
	w.exchange.orphaned = !w.exchange.leaseValid && w.server.orphaned(now)
	batchState := w.server.state.Load()
	w.send.begin(now)
	bytes := 0
	for i := range count {
		w.exchange.state = batchState
		w.handle(i, started)
		bytes += w.in[i].N
	}
	sentBytes, failed := w.send.flush(now)
	w.traffic.sentBytes.Add(uint64(sentBytes))
	for range failed {
		w.traffic.codes.add(resultcode.PacketSendFailed)
	}
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
	w.send.add(x.to, x.out)
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
