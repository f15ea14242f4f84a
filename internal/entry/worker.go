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
	// maxBatch is the maximum number of packets received at once. The lease is
	// checked once per batch.
	maxBatch = 64
	// maxPacketBytes is the receive buffer size of a packet. It holds a jumbo
	// frame of 9,000 bytes with its Geneve header and options. A longer packet
	// is dropped as truncated.
	maxPacketBytes = 9 * 1024
)

// worker receives packets from one socket, passes them through the filter chain
// and sends the results.
type worker struct {
	server  *Server
	receive *ipv4.PacketConn
	send    *sender

	chain         []filter
	packetContext packetContext
	counters      counters

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
			counters:     &w.counters,
		},
	}
	for i := range w.buffers {
		w.buffers[i] = make([]byte, packet.RelayHeaderLength+maxPacketBytes)
		w.in[i].Buffers = [][]byte{w.buffers[i][packet.RelayHeaderLength:]}
	}
	return w
}

// run handles batches until the server stops. It returns an error if receiving
// fails.
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
	w.packetContext.now = now
	w.packetContext.leaseValid = w.server.leaseValid(now)
	w.packetContext.orphaned = !w.packetContext.leaseValid && w.server.orphaned(now)
	batchState := w.server.state.Load()
	w.send.begin(now)
	bytes := 0
	for i := range count {
		w.packetContext.state = batchState
		w.handle(i, started)
		bytes += w.in[i].N
	}
	sentBytes, failed := w.send.flush(now)
	w.counters.sentBytes.Add(uint64(sentBytes))
	for range failed {
		w.counters.codes.add(resultcode.PacketSendFailed)
	}
	w.counters.receivedPackets.Add(uint64(count))
	w.counters.receivedBytes.Add(uint64(bytes))
	w.counters.lastReceived.Store(int64(now))
	w.server.metrics.batchPackets.Observe(float64(count))
	w.server.metrics.batchSeconds.Observe(time.Since(started).Seconds())
}

func (w *worker) handle(i int, started time.Time) {
	pc := &w.packetContext
	pc.buffer = w.buffers[i]
	pc.received = pc.buffer[packet.RelayHeaderLength : packet.RelayHeaderLength+w.in[i].N]
	pc.out = nil
	pc.flow = flow.Packet{}
	for _, step := range w.chain {
		if !step.apply(pc) {
			break
		}
	}
	w.counters.codes.add(pc.action.Code)
	w.server.tracing.record(pc, started)
	if pc.out == nil {
		return
	}
	w.countAction(pc.action.Kind)
	w.send.add(pc.to, pc.out)
}

func (w *worker) countAction(kind flow.ActionKind) {
	switch kind {
	case flow.Forward:
		w.counters.forwarded.Add(1)
	case flow.Relay:
		w.counters.relayed.Add(1)
	case flow.Refuse:
		w.counters.resets.Add(1)
	}
}
