package testbed

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// An endpoint runs up to slots requests at once and queues queueLength more. It sheds
	// further requests.
	slots       = 2
	queueLength = 8
	// tick is the resolution of the timers of flows.
	tick = 20 * time.Millisecond
)

// EndpointSettings describe an endpoint.
type EndpointSettings struct {
	// Name ends in the endpoint's ID as hexadecimal digits after a hyphen.
	Name       string
	Service    string
	DataCentre string
	// Address receives packets over UDP and health checks over TCP.
	Address netip.AddrPort
	// CallerPort is the UDP port on which callers receive packets.
	CallerPort uint16
}

// Endpoint is a simulated backend server, which serves requests on flows.
type Endpoint struct {
	settings  EndpointSettings
	id        uint64
	store     *Store
	checker   *Checker
	socket    *net.UDPConn
	health    *http.Server
	startedAt int64 // Unix time in milliseconds

	mu           sync.Mutex
	flows        map[socketAddr]*endpointFlow
	running      int
	queued       []func()
	draining     bool
	unresponsive bool
	closed       bool
	sequence     int
	done         chan struct{}
}

// endpointFlow is the endpoint's side of one flow. It is established when the caller has
// acknowledged initialSeq.
type endpointFlow struct {
	stream       stream
	established  bool
	initialSeq   uint32
	lastPacketAt time.Time
	destination  socketAddr
}

// StartEndpoint starts an endpoint, which registers itself in the store. It returns an
// error if the name contains no ID or the address is in use.
func StartEndpoint(settings EndpointSettings, store *Store, checker *Checker) (*Endpoint, error) {
	id, err := strconv.ParseUint(settings.Name[strings.LastIndexByte(settings.Name, '-')+1:], 16, 64)
	if err != nil {
		return nil, fmt.Errorf("no ID in the name of endpoint %s: %w", settings.Name, err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(settings.Address))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", settings.Address.String())
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	e := &Endpoint{
		settings: settings, id: id, store: store, checker: checker, socket: socket,
		startedAt: time.Now().UnixMilli(), flows: make(map[socketAddr]*endpointFlow), done: make(chan struct{}),
	}
	e.health = &http.Server{Handler: http.HandlerFunc(e.handleHealth), ReadHeaderTimeout: time.Second}
	go func() { _ = e.health.Serve(listener) }()
	go e.read()
	go e.runTimers()
	e.Register()
	return e, nil
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.settings.Name }

// Register writes the endpoint's record to the store, as a heartbeat does.
func (e *Endpoint) Register() {
	e.mu.Lock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.sequence++
	record := map[string]any{
		"service": e.settings.Service, "address": e.settings.Address.String(), "zone": e.settings.DataCentre, "version": "v1",
		"max_concurrency": slots, "state": state, "warmup_left_ms": 0, "sequence": e.sequence, "born": e.startedAt,
	}
	e.mu.Unlock()
	content, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	e.store.Heartbeat(e.settings.Name, content)
}

// Drain registers the endpoint as draining. It continues to serve requests.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.Register()
}

// SetUnresponsive sets whether the endpoint drops received packets and health checks
// and suspends retransmissions.
func (e *Endpoint) SetUnresponsive(unresponsive bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unresponsive = unresponsive
}

// Close stops the endpoint at once. Its record stays in the store.
func (e *Endpoint) Close() {
	e.mu.Lock()
	wasClosed := e.closed
	e.closed = true
	e.mu.Unlock()
	if wasClosed {
		return
	}
	close(e.done)
	_ = e.socket.Close()
	_ = e.health.Close()
}

func (e *Endpoint) handleHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresponsive {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Instance-Id", e.settings.Name)
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Endpoint) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < envelopeSize {
			e.checker.recordViolation("endpoint %s got a packet of %d bytes, too short for the envelope", e.settings.Name, n)
			continue
		}
		intendedID := binary.BigEndian.Uint64(buffer)
		p, bySystem, err := decode(buffer[envelopeSize:n])
		if err != nil || bySystem {
			e.checker.recordViolation("endpoint %s got an invalid packet or a reset by the system: %v", e.settings.Name, err)
			continue
		}
		e.handle(intendedID, &p)
	}
}

// handle processes a packet. intendedID is the endpoint ID in the envelope, 0 for any
// endpoint.
func (e *Endpoint) handle(intendedID uint64, p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unresponsive || e.closed || intendedID != 0 && intendedID != e.id {
		return
	}
	now := time.Now()
	f := e.flows[p.from]
	if p.has(flagSyn) {
		e.openFlow(f, p, now)
		return
	}
	if f == nil || f.destination != p.to {
		e.checker.unknownFlow(e.settings.Name, p)
		e.reply(&packet{flags: flagReset, from: p.to, to: p.from, seq: p.ack})
		return
	}
	f.lastPacketAt = now
	if !f.established {
		if p.ack != f.initialSeq+1 {
			return
		}
		f.established = true
		e.checker.flowOpened(p.from, p.to, e.settings.Name)
	}
	if p.has(flagReset) {
		delete(e.flows, p.from)
		e.checker.flowEnded(p.from)
		return
	}
	f.stream.receive(p, now)
	e.serve(f, now)
}

// openFlow responds to a first packet. Unless it is a retransmission, it replaces the
// flow f, which may be nil, with a new one.
func (e *Endpoint) openFlow(f *endpointFlow, p *packet, now time.Time) {
	if f == nil || f.stream.expectedSeq != p.seq+1 {
		f = &endpointFlow{initialSeq: rand.Uint32(), destination: p.to}
		f.stream = stream{local: p.to, remote: p.from, send: e.reply, nextSeq: f.initialSeq + 1, expectedSeq: p.seq + 1}
		e.flows[p.from] = f
		e.checker.firstPacketReceived(e.settings.Name, e.settings.Service, p)
		e.checker.firstPacketIn(e.settings.DataCentre, e.settings.Name, p)
	}
	f.lastPacketAt, f.stream.echo = now, p.echo
	synAck := f.stream.packet(flagSyn | flagAck)
	synAck.seq = f.initialSeq
	e.reply(synAck)
}

// reply sends a packet to a caller directly.
func (e *Endpoint) reply(p *packet) {
	to := netip.AddrPortFrom(p.to.address, e.settings.CallerPort)
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), to)
}

// serve runs, queues or sheds the requests that were received completely.
func (e *Endpoint) serve(f *endpointFlow, now time.Time) {
	for {
		request, rest, complete := parseRequest(f.stream.received)
		if !complete {
			break
		}
		f.stream.received = rest
		if e.running >= slots && len(e.queued) >= queueLength {
			f.stream.write(encodeResponse(&request, statusShed), now)
			continue
		}
		run := func() { e.runRequest(f, &request) }
		if e.running >= slots {
			e.queued = append(e.queued, run)
			continue
		}
		run()
	}
	if f.stream.finReceived {
		f.stream.close(now)
	}
}

// runRequest runs a request. mu must be held.
func (e *Endpoint) runRequest(f *endpointFlow, r *request) {
	e.running++
	e.checker.requestRan(r, e.settings.Name, e.settings.Service)
	time.AfterFunc(r.serviceTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if e.closed {
			return
		}
		f.stream.write(encodeResponse(r, statusDone), time.Now())
		if len(e.queued) > 0 {
			next := e.queued[0]
			e.queued = e.queued[1:]
			next()
		}
	})
}

const flowIdleTimeout = 15 * time.Second

// runTimers retransmits packets and removes finished and idle flows.
func (e *Endpoint) runTimers() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			for from, f := range e.flows {
				if !e.unresponsive {
					f.stream.tick(now)
				}
				if f.stream.finished() || now.Sub(f.lastPacketAt) > flowIdleTimeout {
					delete(e.flows, from)
					e.checker.flowEnded(from)
				}
			}
			e.mu.Unlock()
		}
	}
}

// FlowCount returns the number of flows, including those not yet established.
func (e *Endpoint) FlowCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}
