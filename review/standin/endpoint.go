package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	endpointSlots = 2
	endpointQueue = 8
	// heartbeat is the time between two reports of an endpoint.
	heartbeat = 1200 * time.Millisecond
	// halfOpenLifetime is how long an endpoint keeps a flow whose handshake is not complete.
	halfOpenLifetime = 5 * time.Second
)

// endpointFlow is an endpoint's side of a flow.
type endpointFlow struct {
	stream   stream
	open     bool
	initial  uint32
	openedAt time.Time
	opening  opening
}

// opening describes the opening packet that an endpoint took.
type opening struct {
	arrivedAt time.Time
	copies    uint32
}

// endpoint serves requests on flows, one at a time for each flow.
type endpoint struct {
	name, service, zone string
	id                  uint64
	address             netip.AddrPort
	work                time.Duration
	world               *world
	socket              *net.UDPConn
	listener            net.Listener
	startedAt           int64

	mu       sync.Mutex
	flows    map[end]*endpointFlow
	running  int
	queue    []func()
	draining bool
	// answerLate is the delay of all packets that the endpoint sends.
	answerLate time.Duration
	// fullUntil is the time until which the endpoint is full: it answers no opening packet.
	fullUntil time.Time
	// calmSince is when the endpoint was last impaired.
	calmSince time.Time
	sequence  int
	stopped   bool
	stop      chan struct{}
}

func (w *world) startEndpoint(id uint64, service, zone string, address netip.AddrPort, work time.Duration) (*endpoint, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	e := &endpoint{
		name: fmt.Sprintf("s-%x", id), id: id, service: service, zone: zone, address: address, work: work, world: w,
		socket: socket, listener: listener, startedAt: time.Now().UnixMilli(), flows: map[end]*endpointFlow{}, stop: make(chan struct{}),
	}
	go func() { _ = http.Serve(listener, http.HandlerFunc(e.health)) }()
	go e.read()
	go e.run()
	e.report()
	return e, nil
}

// report writes the endpoint's entry and returns when the store has acknowledged it.
func (e *endpoint) report() time.Time {
	e.mu.Lock()
	state := name("ready")
	if e.draining {
		state = name("draining")
	}
	e.sequence++
	entry := fields("service", e.service, "address", e.address.String(), "zone", e.zone, "version", "v1",
		"slots", float64(endpointSlots), "state", state, "warm_up", 0.0, "sequence", e.sequence, "born", float64(e.startedAt))
	e.mu.Unlock()
	e.world.store.beat(e.name, entry)
	return time.Now()
}

// drain reports the endpoint as draining and returns when the store has acknowledged it.
func (e *endpoint) drain() time.Time {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.report()
}

// leave ends the endpoint and removes its entry.
func (e *endpoint) leave() {
	e.end()
	e.world.store.remove(name("endpoint_kind"), e.name)
}

func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.stopped = true
	close(e.stop)
	_ = e.socket.Close()
	_ = e.listener.Close()
}

func (e *endpoint) setAnswerLate(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerLate, e.calmSince = d, time.Now()
}

// fill makes the endpoint full for a time.
func (e *endpoint) fill(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fullUntil = time.Now().Add(d)
}

// inTouch reports whether the endpoint has been without impairment for the stability window.
func (e *endpoint) inTouch(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answerLate == 0 && at.Sub(e.calmSince) > stabilityWindow
}

func (e *endpoint) health(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	draining, late := e.draining, e.answerLate
	e.mu.Unlock()
	time.Sleep(late)
	w.Header().Set(name("server_header"), e.name)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// run reports the endpoint at intervals and runs the timers of its flows.
func (e *endpoint) run() {
	beat, timer := time.NewTicker(heartbeat), time.NewTicker(timerTick)
	defer beat.Stop()
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-beat.C:
			e.report()
		case now := <-timer.C:
			e.tick(now)
		}
	}
}

func (e *endpoint) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for from, f := range e.flows {
		if f.open {
			f.stream.tick(now)
		}
		if f.open && f.stream.done() || !f.open && now.Sub(f.openedAt) > halfOpenLifetime {
			e.forget(from)
		}
	}
}

func (e *endpoint) forget(from end) {
	delete(e.flows, from)
	e.world.flowEnded(e, from)
}

func (e *endpoint) read() {
	b := make([]byte, 4096)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < envelopeSize {
			e.world.violation("UNASKED", "endpoint %s got %d bytes", e.name, n)
			continue
		}
		intended := binary.BigEndian.Uint64(b)
		p, bySystem, err := decode(b[envelopeSize:n])
		if err != nil || bySystem {
			e.world.violation("UNASKED", "endpoint %s got a packet that its sender did not write so", e.name)
			continue
		}
		if intended == 0 || intended == e.id {
			e.handle(&p)
		}
	}
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[p.src]
	if p.has(flagSyn) {
		e.takeOpening(f, p)
		return
	}
	if f == nil || f.stream.local != p.dst || !f.open && p.ack != f.initial+1 {
		if !p.has(flagRst) {
			e.world.resetSent(e, p)
			e.send(&packet{flags: flagRst, src: p.dst, dst: p.src, echo: p.echo, seq: p.ack})
		}
		return
	}
	if !f.open {
		f.open = true
		e.world.flowOpened(e, p.src)
	}
	if p.has(flagRst) {
		e.forget(p.src)
		return
	}
	f.stream.receive(p)
	e.serve(f)
}

// takeOpening answers a SYN or a copy of it.
func (e *endpoint) takeOpening(f *endpointFlow, p *packet) {
	if time.Now().Before(e.fullUntil) {
		return
	}
	if f == nil || f.stream.expected != p.seq+1 {
		f = &endpointFlow{initial: rand.Uint32(), openedAt: time.Now()}
		f.stream = stream{local: p.dst, remote: p.src, send: e.send, next: f.initial + 1, expected: p.seq + 1}
		f.opening = opening{arrivedAt: time.Now(), copies: p.ack}
		e.flows[p.src] = f
	}
	f.stream.echo = p.echo
	answer := f.stream.packet(flagSyn | flagAck)
	answer.seq = f.initial
	e.send(answer)
}

// send sends a packet to a client directly.
func (e *endpoint) send(p *packet) {
	data, to := p.encode(), netip.AddrPortFrom(netip.AddrFrom4(p.dst.ip), e.world.packetPort)
	if e.answerLate == 0 {
		_, _ = e.socket.WriteToUDPAddrPort(data, to)
		return
	}
	time.AfterFunc(e.answerLate, func() { _, _ = e.socket.WriteToUDPAddrPort(data, to) })
}

const headEnd = "\r\n\r\n"

// serve runs the requests that have arrived in full.
func (e *endpoint) serve(f *endpointFlow) {
	for {
		at := bytes.Index(f.stream.received, []byte(headEnd))
		if at < 0 {
			break
		}
		head := string(f.stream.received[:at])
		f.stream.received = f.stream.received[at+len(headEnd):]
		run := func() { e.runRequest(f, head) }
		switch {
		case e.running < endpointSlots:
			run()
		case len(e.queue) < endpointQueue:
			e.queue = append(e.queue, run)
		default:
			f.stream.write([]byte("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		}
	}
	if f.stream.finSeen {
		f.stream.close()
	}
}

// runRequest runs a request. The caller holds mu.
func (e *endpoint) runRequest(f *endpointFlow, head string) {
	e.running++
	attempt := headerValue(head, "Attempt-Id")
	e.world.requestRan(e, f, attempt)
	time.AfterFunc(e.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if e.stopped {
			return
		}
		body := strings.Repeat(attempt+" ", 20)
		f.stream.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", e.name, attempt, len(body), body))
		if e.draining {
			f.stream.close()
		}
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
	})
}

// headerValue returns the value of a header field.
func headerValue(head, field string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if value, found := strings.CutPrefix(line, field+": "); found {
			return value
		}
	}
	return ""
}
