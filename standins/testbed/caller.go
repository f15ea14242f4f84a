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
	// firstCopy, secondCopy and giveUp are the times after a first packet when it is
	// repeated, and when the attempt ends.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	giveUp     = 1400 * time.Millisecond
)

// nextRequest numbers the requests of all callers.
var nextRequest atomic.Uint64

// Host is the address of callers. Its flows differ by their ports.
type Host struct {
	address netip.Addr
	socket  *net.UDPConn
	router  *Router
	ledger  *Checker

	mu       sync.Mutex
	attempts map[uint16]*attempt
	nextPort uint16
	done     chan struct{}
}

// attempt is one flow of a caller, opening or open.
type attempt struct {
	local, remote end
	sequence      uint32
	openedAt      time.Time
	copies        uint32
	open          bool
	failed        bool
	stream        stream
	// changed is signalled at each change.
	changed chan struct{}
}

// OpenHost opens a caller's address; it receives packets at the port of the system's
// instances.
func OpenHost(address netip.Addr, port uint16, router *Router, ledger *Checker) (*Host, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(address, port)))
	if err != nil {
		return nil, err
	}
	h := &Host{
		address: address, socket: socket, router: router, ledger: ledger,
		attempts: make(map[uint16]*attempt), nextPort: 1024, done: make(chan struct{}),
	}
	go h.read()
	go h.run()
	return h, nil
}

// Close ends all flows of the host at once.
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
		p, system, err := decode(buffer[:n])
		if err != nil {
			h.ledger.violate("caller %s got a packet that its sender did not write: %v", h.address, err)
			continue
		}
		h.handle(&p, system)
	}
}

func (h *Host) handle(p *packet, system bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.attempts[p.to.port]
	if a == nil || p.from != a.remote {
		if p.has(flagSyn) {
			// The caller has given up: it resets what the endpoint opens.
			h.send(&packet{flags: flagReset, from: p.to, to: p.from, echo: p.echo, seq: p.ack, ack: p.seq + 1})
		}
		return
	}
	now := time.Now()
	switch {
	case p.has(flagReset):
		if system {
			h.ledger.resetBySystem(a.local, a.remote)
		}
		a.failed = true
	case p.has(flagSyn):
		a.accept(p, h.send)
	case a.open:
		a.stream.receive(p, now)
	}
	a.signal()
}

// accept takes an endpoint's answer to the first packet.
func (a *attempt) accept(p *packet, send func(*packet)) {
	a.stream.echo = p.echo
	if a.open {
		return
	}
	a.open = true
	a.stream = stream{local: a.local, remote: a.remote, echo: p.echo, send: send, next: a.sequence + 1, expected: p.seq + 1}
	a.stream.acknowledge()
}

func (a *attempt) signal() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

func (h *Host) send(p *packet) {
	h.router.send(h.socket, p, func(entry string) {
		if p.has(flagSyn) {
			h.ledger.sentThrough(p.from, entry)
		}
	})
}

// run repeats first packets and sends again.
func (h *Host) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-h.done:
			return
		case now := <-ticker.C:
			h.mu.Lock()
			for _, a := range h.attempts {
				h.tick(a, now)
			}
			h.mu.Unlock()
		}
	}
}

func (h *Host) tick(a *attempt, now time.Time) {
	if a.open {
		a.stream.tick(now)
		return
	}
	waited := now.Sub(a.openedAt)
	switch {
	case waited >= giveUp:
		a.failed = true
		a.signal()
	case a.copies == 0 && waited >= firstCopy, a.copies == 1 && waited >= secondCopy:
		a.copies++
		h.first(a)
	}
}

func (h *Host) first(a *attempt) {
	h.send(&packet{flags: flagSyn, from: a.local, to: a.remote, seq: a.sequence, ack: a.copies})
}

// dial begins a flow.
func (h *Host) dial(to end) *attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nextPort++
	a := &attempt{
		local: end{h.address, h.nextPort}, remote: to, sequence: rand.Uint32(), openedAt: time.Now(),
		changed: make(chan struct{}, 1),
	}
	h.attempts[a.local.port] = a
	h.first(a)
	return a
}

// hangUp ends a flow. Its port is kept for a while, so that late packets of the flow
// are not taken for another's.
func (h *Host) hangUp(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.open && !a.failed {
		a.stream.close(time.Now())
	}
	time.AfterFunc(2*time.Second, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.attempts, a.local.port)
	})
}

// outcome is how a request ended.
type outcome int

const (
	answered outcome = iota
	notOpened
	refused
	broken
	timedOut
)

// exchange sends a request on a flow and waits for its whole answer.
func (h *Host) exchange(a *attempt, r *request, deadline time.Time) outcome {
	sent := false
	for {
		h.mu.Lock()
		if a.open && !sent && !a.failed {
			sent = true
			a.stream.write(r.encode(), time.Now())
		}
		status, size, content, whole := cutResponse(a.stream.received, r.id, h.ledger)
		if whole {
			a.stream.received = a.stream.received[size:]
		}
		open, failed, ended := a.open, a.failed, a.open && a.stream.ended
		h.mu.Unlock()
		switch {
		case whole && status == statusShed:
			if h.ledger.hasRun(r.id) {
				h.ledger.violate("request %x was refused as not run and has run", r.id)
			}
			return refused
		case whole:
			if !bytes.Equal(content, body(r.id, r.size)) {
				h.ledger.violate("request %x got another body", r.id)
			}
			return answered
		case failed && !open:
			return notOpened
		case failed || ended:
			return broken
		}
		select {
		case <-a.changed:
		case <-h.done:
			return timedOut
		case <-time.After(time.Until(deadline)):
			if !open {
				return notOpened
			}
			return timedOut
		}
	}
}

// cutResponse takes a whole response off received bytes. One to another request
// breaks a promise.
func cutResponse(data []byte, id uint64, ledger *Checker) (status byte, size int, content []byte, whole bool) {
	if len(data) < responseHead {
		return 0, 0, nil, false
	}
	if got := binary.BigEndian.Uint64(data); got != id {
		ledger.violate("request %x got the response to %x", id, got)
	}
	size = responseHead + int(binary.BigEndian.Uint32(data[9:]))
	if len(data) < size {
		return 0, 0, nil, false
	}
	return data[8], size, data[responseHead:size], true
}
