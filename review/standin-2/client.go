package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const openLimit = 1400 * time.Millisecond

// lastAttempt numbers the requests.
var lastAttempt atomic.Int64

// host is the address of clients of one zone.
type host struct {
	rec    *recorder
	router *router
	zone   string
	addr   netip.Addr
	socket *net.UDPConn
	stop   chan struct{}

	mu    sync.Mutex
	flows map[uint16]*flow
	port  uint16
	// lossUntil is until when the link to the client loses all packets.
	lossUntil time.Time
}

// flow is the client's end of a flow.
type flow struct {
	stream
	first    uint32
	startAt  time.Time
	copies   uint32
	open     bool
	openedAt time.Time
	failed   string // why the flow has ended
}

func openHost(rec *recorder, r *router, zone string, addr netip.Addr, port uint16) (*host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	h := &host{rec: rec, router: r, zone: zone, addr: addr, socket: socket, stop: make(chan struct{}), flows: map[uint16]*flow{}, port: 20000}
	go h.read()
	go h.timers()
	return h, nil
}

func (h *host) close() {
	close(h.stop)
	_ = h.socket.Close()
}

func (h *host) send(p *packet) {
	if to, found := h.router.pick(h.zone, p); found {
		_, _ = h.socket.WriteToUDPAddrPort(p.encode(), to)
	}
}

func (h *host) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, bySystem, valid := decode(buffer[:n])
		if !valid {
			h.rec.sayf("MIXED client %s got a packet that nobody wrote so", h.addr)
			continue
		}
		h.mu.Lock()
		h.handle(&p, bySystem)
		h.mu.Unlock()
	}
}

func (h *host) handle(p *packet, bySystem bool) {
	if time.Now().Before(h.lossUntil) {
		h.rec.logf("client %s: a packet is lost, flags %d", p.to, p.flags)
		return
	}
	f := h.flows[p.to.Port()]
	if f == nil || f.remote != p.from {
		return
	}
	switch {
	case p.has(flagRst):
		by := "an endpoint"
		if bySystem {
			by = "the system"
		}
		if f.failed == "" {
			f.failed = "reset by " + by
		}
		h.rec.logf("client %s: reset by %s on the flow to %s, open %v", f.local, by, f.remote, f.open)
	case p.has(flagSyn):
		h.rec.logf("client %s: answer to the first packet, open %v, echo %08x", f.local, f.open, p.echo)
		f.echo = p.echo
		if !f.open {
			f.open, f.openedAt = true, time.Now()
			f.stream.next, f.stream.expect = f.first+1, p.seq+1
			f.send(f.packet(flagAck))
			f.push()
		}
	case f.open:
		f.receive(p)
	}
}

func (h *host) timers() {
	for {
		select {
		case <-h.stop:
			return
		case now := <-time.After(tick):
			h.mu.Lock()
			for _, f := range h.flows {
				h.tick(f, now)
			}
			h.mu.Unlock()
		}
	}
}

func (h *host) tick(f *flow, now time.Time) {
	waited := now.Sub(f.startAt)
	switch {
	case f.failed != "":
	case f.open:
		f.tick(now)
	case waited >= openLimit:
		f.failed = "not opened"
	case f.copies == 0 && waited >= 200*time.Millisecond, f.copies == 1 && waited >= 600*time.Millisecond:
		f.copies++
		h.first(f)
	}
}

func (h *host) first(f *flow) {
	h.send(&packet{flags: flagSyn, from: f.local, to: f.remote, seq: f.first, ack: f.copies})
}

// dial begins a flow from a new port.
func (h *host) dial(to end) *flow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port++
	f := &flow{first: rand.Uint32(), startAt: time.Now()}
	f.stream = stream{local: netip.AddrPortFrom(h.addr, h.port), remote: to, send: h.send}
	f.stream.next = f.first + 1
	h.flows[h.port] = f
	h.rec.logf("client %s: opens a flow to %s", f.local, to)
	h.first(f)
	return f
}

// result is the outcome of one request.
type result struct {
	attempt int
	to      end
	status  int
	seal    string
	why     string
	sentAt  time.Time
	opened  bool
}

// ask sends one request on a flow and waits for the answer.
func (h *host) ask(f *flow, limit time.Duration) result {
	res := result{attempt: int(lastAttempt.Add(1)), to: f.remote, sentAt: time.Now()}
	request := fmt.Sprintf("GET /plan HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %d\r\n\r\n", f.remote.Addr(), res.attempt)
	h.rec.logf("client %s: sends attempt %d to %s", f.local, res.attempt, f.remote)
	h.mu.Lock()
	if f.open {
		f.write([]byte(request))
	} else {
		f.unsent = append(f.unsent, request...)
	}
	h.mu.Unlock()
	for until := time.Now().Add(limit); ; time.Sleep(2 * time.Millisecond) {
		h.mu.Lock()
		head, rest, whole := bytes.Cut(f.received, []byte("\r\n\r\n"))
		if length := lengthOf(head); whole && len(rest) >= length {
			f.received = rest[length:]
			res.status, res.seal = statusOf(head), headerOf(head, "Server-Seal")
			if got := attemptOf(head); got != res.attempt {
				res.why = fmt.Sprintf("answer to %d", got)
			}
		} else if f.failed != "" {
			res.why = f.failed
		} else if time.Now().After(until) {
			res.why = "no answer in time"
		}
		res.opened = f.open
		h.mu.Unlock()
		if res.status != 0 || res.why != "" {
			h.rec.logf("client %s: attempt %d ends with %d %s %s", f.local, res.attempt, res.status, res.seal, res.why)
			return res
		}
	}
}

func lengthOf(head []byte) int {
	n, _ := strconv.Atoi(headerOf(head, "Content-Length"))
	return n
}

func statusOf(head []byte) int {
	fields := strings.Fields(string(head))
	if len(fields) < 2 {
		return 0
	}
	n, _ := strconv.Atoi(fields[1])
	return n
}

func headerOf(head []byte, name string) string {
	for line := range strings.Lines(string(head)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), name+": "); found {
			return value
		}
	}
	return ""
}

// end closes a flow.
func (h *host) end(f *flow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if f.open && f.failed == "" {
		f.stream.close()
	}
	time.AfterFunc(3*time.Second, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.flows, f.local.Port())
	})
}

// lose makes the link to the client lose all packets for a time.
func (h *host) lose(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lossUntil = time.Now().Add(d)
}
