package testbed

import (
	"bytes"
	"encoding/binary"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// The first packet of a flow is retransmitted at these two times after it was sent;
	// the flow fails at openTimeout.
	firstSynRetransmit  = 200 * time.Millisecond
	secondSynRetransmit = 600 * time.Millisecond
	openTimeout         = 1400 * time.Millisecond
)

// lastRequestID is the last ID given to a request of any caller.
var lastRequestID atomic.Uint64

// Host is an address shared by several callers, whose flows have different ports.
type Host struct {
	address netip.Addr
	socket  *net.UDPConn
	router  *Router
	checker *Checker

	mu       sync.Mutex
	flows    map[uint16]*callerFlow
	nextPort uint16
	done     chan struct{}
}

// callerFlow is the caller's side of one flow.
type callerFlow struct {
	local, remote socketAddr
	initialSeq    uint32
	openedAt      time.Time
	retransmits   uint32
	established   bool
	failed        bool
	stream        stream
	// stateChanged is signalled at each change of the state.
	stateChanged chan struct{}
}

// OpenHost opens a host at a loopback address. It receives packets over UDP at port, on
// which the instances listen as well.
func OpenHost(address netip.Addr, port uint16, router *Router, checker *Checker) (*Host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	h := &Host{
		address: address, socket: socket, router: router, checker: checker,
		flows: make(map[uint16]*callerFlow), nextPort: 1024, done: make(chan struct{}),
	}
	go h.read()
	go h.runTimers()
	return h, nil
}

// Close closes the socket and abandons all flows.
func (h *Host) Close() {
	close(h.done)
	_ = h.socket.Close()
}

func (h *Host) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, bySystem, err := decode(buffer[:n])
		if err != nil {
			h.checker.recordViolation("caller %s got an invalid packet: %v", h.address, err)
			continue
		}
		h.handle(&p, bySystem)
	}
}

func (h *Host) handle(p *packet, bySystem bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.to.port]
	if f == nil || p.from != f.remote {
		if p.has(flagSyn) {
			// The caller has closed this flow, so it resets the endpoint's side.
			h.send(&packet{flags: flagReset, from: p.to, to: p.from, echo: p.echo, seq: p.ack, ack: p.seq + 1})
		}
		return
	}
	now := time.Now()
	switch {
	case p.has(flagReset):
		if bySystem {
			h.checker.resetBySystem(f.local, f.remote)
		}
		f.failed = true
	case p.has(flagSyn):
		f.establish(p, h.send)
	case f.established:
		f.stream.receive(p, now)
	}
	f.signal()
}

// establish handles an endpoint's response to the first packet.
func (f *callerFlow) establish(p *packet, send func(*packet)) {
	f.stream.echo = p.echo
	if f.established {
		return
	}
	f.established = true
	f.stream = stream{local: f.local, remote: f.remote, echo: p.echo, send: send, nextSeq: f.initialSeq + 1, expectedSeq: p.seq + 1}
	f.stream.acknowledge()
}

func (f *callerFlow) signal() {
	select {
	case f.stateChanged <- struct{}{}:
	default:
	}
}

func (h *Host) send(p *packet) {
	h.router.send(h.socket, p, func(instance string) {
		if p.has(flagSyn) {
			h.checker.firstPacketSent(p.from, instance)
		}
	})
}

// runTimers retransmits packets and fails flows that do not open in time.
func (h *Host) runTimers() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-ticker.C:
			h.mu.Lock()
			for _, f := range h.flows {
				h.tick(f, now)
			}
			h.mu.Unlock()
		}
	}
}

func (h *Host) tick(f *callerFlow, now time.Time) {
	if f.established {
		f.stream.tick(now)
		return
	}
	elapsed := now.Sub(f.openedAt)
	switch {
	case elapsed >= openTimeout:
		f.failed = true
		f.signal()
	case f.retransmits == 0 && elapsed >= firstSynRetransmit, f.retransmits == 1 && elapsed >= secondSynRetransmit:
		f.retransmits++
		h.sendFirstPacket(f)
	}
}

// sendFirstPacket sends the first packet of a flow. It acknowledges nothing, so its
// acknowledgement field carries the number of retransmissions.
func (h *Host) sendFirstPacket(f *callerFlow) {
	h.send(&packet{flags: flagSyn, from: f.local, to: f.remote, seq: f.initialSeq, ack: f.retransmits})
}

// dial starts to open a flow.
func (h *Host) dial(to socketAddr) *callerFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextPort++
	f := &callerFlow{
		local: socketAddr{h.address, h.nextPort}, remote: to, initialSeq: rand.Uint32(), openedAt: time.Now(),
		stateChanged: make(chan struct{}, 1),
	}
	h.flows[f.local.port] = f
	h.sendFirstPacket(f)
	return f
}

// closeFlow closes a flow. Its port stays reserved for two seconds, so that late packets
// are not attributed to another flow.
func (h *Host) closeFlow(f *callerFlow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.established && !f.failed {
		f.stream.close(time.Now())
	}
	time.AfterFunc(2*time.Second, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.flows, f.local.port)
	})
}

// outcome is the result of a request.
type outcome int

const (
	answered  outcome = iota
	notOpened         // the flow was not established
	refused           // shed by the endpoint
	broken            // the flow ended before the response
	timedOut
)

// exchange sends a request on a flow and waits until the response is complete, the flow
// has failed or the deadline has passed.
func (h *Host) exchange(f *callerFlow, r *request, deadline time.Time) outcome {
	sent := false
	for {
		h.mu.Lock()
		if f.established && !sent && !f.failed {
			sent = true
			f.stream.write(r.encode(), time.Now())
		}
		status, size, content, complete := parseResponse(f.stream.received, r.id, h.checker)
		if complete {
			f.stream.received = f.stream.received[size:]
		}
		established, failed, finReceived := f.established, f.failed, f.established && f.stream.finReceived
		h.mu.Unlock()
		switch {
		case complete && status == statusShed:
			if h.checker.hasRun(r.id) {
				h.checker.recordViolation("request %x was refused as not run, but had run", r.id)
			}
			return refused
		case complete:
			if !bytes.Equal(content, responseBody(r.id, r.size)) {
				h.checker.recordViolation("request %x got a response with a wrong body", r.id)
			}
			return answered
		case failed && !established:
			return notOpened
		case failed || finReceived:
			return broken
		}
		select {
		case <-f.stateChanged:
		case <-h.done:
			return timedOut
		case <-time.After(time.Until(deadline)):
			if !established {
				return notOpened
			}
			return timedOut
		}
	}
}

// parseResponse parses the response at the start of data if it is complete. size is its
// length in bytes. A response to another request is recorded as a violation.
func parseResponse(data []byte, id uint64, checker *Checker) (status byte, size int, content []byte, complete bool) {
	if len(data) < responseHeaderSize {
		return 0, 0, nil, false
	}
	if responseID := binary.BigEndian.Uint64(data); responseID != id {
		checker.recordViolation("request %x got the response to %x", id, responseID)
	}
	size = responseHeaderSize + int(binary.BigEndian.Uint32(data[9:]))
	if len(data) < size {
		return 0, 0, nil, false
	}
	return data[8], size, data[responseHeaderSize:size], true
}
