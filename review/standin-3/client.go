package main

import (
	"math/rand"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Copies of the packet that opens a flow are sent at these times; the attempt ends at
// openTimeout.
var synTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openTimeout = 1400 * time.Millisecond

// host is an address with the flows of clients.
type host struct {
	address netip.Addr
	socket  *net.UDPConn
	router  *router
	rec     *record
	mu      sync.Mutex
	flows   map[uint16]*clientFlow
	port    uint16
}

type clientFlow struct {
	host          *host
	local, remote netip.AddrPort
	seq           uint32
	startedAt     time.Time
	sent          int
	open          bool
	// ended is why the flow has ended, empty while it has not.
	ended  string
	stream stream
}

func startHost(address netip.Addr, port uint16, r *router, rec *record) (*host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	h := &host{address: address, socket: socket, router: r, rec: rec, flows: map[uint16]*clientFlow{}, port: 40000}
	go h.read()
	go func() {
		for now := range time.Tick(tick) {
			h.timers(now)
		}
	}()
	return h, nil
}

func (h *host) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, bySystem, err := decode(buffer[:n])
		if err != nil {
			h.rec.breach("MIXED", "client %s got a packet that its sender didn't write so", h.address)
			continue
		}
		h.handle(&p, bySystem)
	}
}

func (h *host) handle(p *packet, bySystem bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f := h.flows[p.to.Port()]
	if f == nil || f.ended != "" || p.from != f.remote {
		return
	}
	switch {
	case p.has(flagReset):
		h.reset(f, p, bySystem)
	case p.has(flagSyn):
		if f.open {
			h.rec.add("client %s: another answer to its first packet, echo %d", f.local, p.echo)
			f.stream.echo = p.echo
			return
		}
		f.open = true
		f.stream = stream{local: f.local, remote: f.remote, echo: p.echo, next: f.seq + 1, expected: p.seq + 1, send: h.send}
		h.send(f.stream.packet(flagAck))
	case f.open:
		f.stream.receive(p)
	}
}

// reset ends a flow whose client has got a reset, and checks it against the rule FLOW.
func (h *host) reset(f *clientFlow, p *packet, bySystem bool) {
	f.ended = "reset"
	holder := h.rec.holderOf(f.local)
	sender := "the system"
	if !bySystem {
		sender = "an endpoint"
	}
	h.rec.add("client %s: reset by %s", f.local, sender)
	if holder == nil {
		return
	}
	holder.mu.Lock()
	flow := holder.flows[f.local]
	alive := !holder.closed && flow != nil && flow.open
	holder.mu.Unlock()
	if alive {
		h.rec.breach("FLOW", "client %s got a reset from %s, and its endpoint %s lives, holds the flow and sent none", f.local, sender, holder.name)
	}
}

func (h *host) send(p *packet) { h.router.send(h.socket, p) }

func (h *host) timers(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, f := range h.flows {
		switch {
		case f.ended != "":
		case f.open:
			f.stream.tick(now)
		case now.Sub(f.startedAt) >= openTimeout:
			f.ended = "no answer"
			h.rec.add("client %s: no answer to its first packet", f.local)
		case f.sent < len(synTimes) && now.Sub(f.startedAt) >= synTimes[f.sent]:
			h.sendSyn(f)
		}
	}
}

func (h *host) sendSyn(f *clientFlow) {
	h.send(&packet{flags: flagSyn, from: f.local, to: f.remote, seq: f.seq, ack: uint32(f.sent)})
	if f.sent > 0 {
		h.rec.add("client %s: first packet to %s again, copy %d", f.local, f.remote, f.sent)
	}
	f.sent++
}

// dial opens a flow.
func (h *host) dial(to netip.AddrPort) *clientFlow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port++
	f := &clientFlow{host: h, local: netip.AddrPortFrom(h.address, h.port), remote: to, seq: rand.Uint32(), startedAt: time.Now()}
	h.flows[h.port] = f
	h.sendSyn(f)
	return f
}

// request sends a request once the flow is open, and reports whether its answer came in time.
func (f *clientFlow) request(id string, limit time.Duration) bool {
	sent := false
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.host.mu.Lock()
		if f.ended != "" {
			f.host.mu.Unlock()
			break
		}
		if f.open && !sent {
			sent = true
			f.host.rec.add("%s sends %s", f.local, id)
			f.stream.write([]byte("POST / HTTP/1.1\r\nAttempt-Id: " + id + "\r\n\r\n"))
		}
		answered := strings.HasSuffix(string(f.stream.received), "done "+id)
		if answered {
			f.stream.received = nil
		}
		f.host.mu.Unlock()
		if answered {
			f.host.rec.add("%s answered", id)
			return true
		}
	}
	f.host.rec.add("client %s: request %s is not answered (%s)", f.local, id, f.ended)
	return false
}

// close ends a flow.
func (f *clientFlow) close() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	if f.open && f.ended == "" {
		f.stream.close()
	}
}
