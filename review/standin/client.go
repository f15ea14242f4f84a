package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Uint64

// client is an address from which flows are opened.
type client struct {
	world  *world
	zone   string
	ip     netip.Addr
	socket *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is a client's side of a flow.
type clientFlow struct {
	client   *client
	local    end
	remote   end
	initial  uint32
	dialedAt time.Time
	copies   uint32
	open     bool
	ended    bool
	reset    string // who has reset the flow
	stream   stream
	// sendTo sends the flow's packets to one instance instead of the router's choice.
	sendTo *instance
	// via is the instance that got the last packet, openedBy the one that got the first.
	openedBy *instance
	changed  chan struct{}
}

func (w *world) startClient(zone string, ip netip.Addr) (*client, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, w.packetPort)))
	if err != nil {
		return nil, err
	}
	c := &client{world: w, zone: zone, ip: ip, socket: socket, flows: map[uint16]*clientFlow{}, port: uint16(20000 + rand.Intn(10000))}
	go c.read()
	go c.run()
	return c, nil
}

func (c *client) read() {
	b := make([]byte, 4096)
	for {
		n, _, err := c.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, bySystem, err := decode(b[:n])
		if err != nil {
			c.world.violation("MIXED", "client %s got a packet that its sender did not write so", c.ip)
			continue
		}
		c.handle(&p, bySystem)
	}
}

func (c *client) handle(p *packet, bySystem bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dst.port]
	if f == nil || f.remote != p.src || f.ended {
		return
	}
	switch {
	case p.has(flagRst):
		f.reset = "an endpoint"
		if bySystem {
			f.reset = "the system"
		}
		f.ended = true
		c.world.flowReset(f, bySystem)
	case p.has(flagSyn) && !f.open:
		f.open = true
		f.stream = stream{local: f.local, remote: f.remote, echo: p.echo, send: f.send, next: f.initial + 1, expected: p.seq + 1}
		f.stream.acknowledge()
	case p.has(flagSyn):
		// A further endpoint has answered: its echo is the last one received.
		f.stream.echo = p.echo
	case f.open:
		f.stream.receive(p)
	}
	f.signal()
}

func (f *clientFlow) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *clientFlow) send(p *packet) {
	to := f.sendTo
	if to == nil {
		to = f.client.world.router.choose(f.client.zone, f.local, f.remote)
	}
	if to == nil {
		return
	}
	if p.has(flagSyn) {
		f.openedBy = to
		f.client.world.openingSent(f, p.ack)
	}
	_, _ = f.client.socket.WriteToUDPAddrPort(p.encode(), to.packets)
}

// synTimes are the times after the SYN at which its copies are sent, and openTimeout is
// when the attempt ends.
var synTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

const openTimeout = 1400 * time.Millisecond

func (c *client) run() {
	for now := range time.Tick(timerTick) {
		c.mu.Lock()
		for _, f := range c.flows {
			f.tick(now)
		}
		c.mu.Unlock()
	}
}

func (f *clientFlow) tick(now time.Time) {
	since := now.Sub(f.dialedAt)
	switch {
	case f.ended:
	case f.open:
		f.stream.tick(now)
		if f.stream.failed {
			f.ended = true
			f.signal()
		}
	case since >= openTimeout:
		f.ended = true
		f.signal()
	case int(f.copies) < len(synTimes) && since >= synTimes[f.copies]:
		f.copies++
		f.syn()
	}
}

func (f *clientFlow) syn() {
	f.send(&packet{flags: flagSyn, src: f.local, dst: f.remote, seq: f.initial, ack: f.copies})
}

// dial opens a flow from a new port.
func (c *client) dial(remote end, sendTo *instance) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	if c.port < 1024 {
		c.port = 1024
	}
	f := &clientFlow{
		client: c, local: end{c.ip.As4(), c.port}, remote: remote, initial: rand.Uint32(), dialedAt: time.Now(),
		sendTo: sendTo, changed: make(chan struct{}, 1),
	}
	c.flows[c.port] = f
	f.syn()
	return f
}

// hangUp closes a flow and forgets it some time later.
func (f *clientFlow) hangUp() {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	if f.open && !f.ended {
		f.stream.close()
	}
	time.AfterFunc(3*time.Second, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		delete(f.client.flows, f.local.port)
	})
}

// result is the outcome of a request.
type result string

const (
	served    result = "served"
	notOpened result = "not-opened"
	notRun    result = "not-run"
	broken    result = "broken"
	timedOut  result = "timed-out"
)

// request sends a request on a flow, waits for its response and records the outcome.
func (f *clientFlow) request(limit time.Duration) result {
	attempt := strconv.FormatUint(lastAttempt.Add(1), 10)
	started := time.Now()
	f.client.world.attemptSent(attempt)
	r := f.exchange(attempt, limit)
	directly := ""
	if f.sendTo != nil {
		directly = " directly to " + f.sendTo.name
	}
	f.client.world.outcome(r, "attempt %s on flow %s to port %d%s, sent %d ms ago: %s",
		attempt, f.local, f.remote.port, directly, time.Since(started).Milliseconds(), r)
	return r
}

func (f *clientFlow) exchange(attempt string, limit time.Duration) result {
	deadline := time.After(limit)
	sent := false
	for {
		if r, done := f.step(attempt, &sent); done {
			return r
		}
		select {
		case <-f.changed:
		case <-deadline:
			if !sent {
				return notOpened
			}
			return timedOut
		}
	}
}

func (f *clientFlow) step(attempt string, sent *bool) (result, bool) {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	if f.open && !*sent && !f.ended {
		*sent = true
		f.stream.write(fmt.Appendf(nil, "GET /work HTTP/1.1\r\nHost: relay\r\nAttempt-Id: %s\r\n\r\n", attempt))
	}
	if at := bytes.Index(f.stream.received, []byte(headEnd)); at >= 0 {
		head := string(f.stream.received[:at])
		size, _ := strconv.Atoi(headerValue(head, "Content-Length"))
		if total := at + len(headEnd) + size; len(f.stream.received) >= total {
			f.stream.received = f.stream.received[total:]
			if headerValue(head, "Not-Executed") != "" {
				return notRun, true
			}
			if got := headerValue(head, "Attempt-Id"); got != attempt {
				f.client.world.violation("MIXED", "attempt %s got the answer to %s", attempt, got)
			}
			return served, true
		}
	}
	if f.ended || f.open && f.stream.finSeen {
		if !*sent {
			return notOpened, true
		}
		return broken, true
	}
	return "", false
}
