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
	// slots and queue bound the requests that an endpoint takes.
	slots = 2
	queue = 8
	// tick is the resolution of the time-outs.
	tick = 20 * time.Millisecond
)

// EndpointSettings describe an endpoint.
type EndpointSettings struct {
	// Name ends in the hexadecimal digits of its number.
	Name    string
	Service string
	Zone    string
	// Address takes packets over UDP and health checks over TCP.
	Address netip.AddrPort
	// CallerPort is where callers receive packets at their addresses.
	CallerPort uint16
}

// Endpoint serves requests on flows.
type Endpoint struct {
	settings EndpointSettings
	number   uint64
	store    *Store
	ledger   *Checker
	socket   *net.UDPConn
	health   *http.Server
	born     int64

	mu       sync.Mutex
	flows    map[end]*served
	busy     int
	waiting  []func()
	draining bool
	silent   bool
	closed   bool
	sequence int
	done     chan struct{}
}

// served is a flow that the endpoint holds.
type served struct {
	stream   stream
	opened   bool
	sequence uint32
	seenAt   time.Time
	destined end
}

// StartEndpoint starts an endpoint, which registers itself in the store.
func StartEndpoint(settings EndpointSettings, store *Store, ledger *Checker) (*Endpoint, error) {
	number, err := strconv.ParseUint(settings.Name[strings.LastIndexByte(settings.Name, '-')+1:], 16, 64)
	if err != nil {
		return nil, fmt.Errorf("name of endpoint %s: %w", settings.Name, err)
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
		settings: settings, number: number, store: store, ledger: ledger, socket: socket,
		born: time.Now().UnixMilli(), flows: make(map[end]*served), done: make(chan struct{}),
	}
	e.health = &http.Server{Handler: http.HandlerFunc(e.answerHealth), ReadHeaderTimeout: time.Second}
	go func() { _ = e.health.Serve(listener) }()
	go e.read()
	go e.run()
	e.Register()
	return e, nil
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.settings.Name }

// Register writes the endpoint's entry.
func (e *Endpoint) Register() {
	e.mu.Lock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.sequence++
	entry := map[string]any{
		"service": e.settings.Service, "address": e.settings.Address.String(), "zone": e.settings.Zone, "version": "v1",
		"max_concurrency": slots, "state": state, "warmup_left_ms": 0, "sequence": 1, "born": e.born,
	}
	e.mu.Unlock()
	content, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	e.store.Put("servers", e.settings.Name, content)
}

// Drain makes the endpoint say that it leaves. It serves on.
func (e *Endpoint) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.Register()
}

// SetUnresponsive makes the endpoint neither receive nor send.
func (e *Endpoint) SetUnresponsive(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

// Close ends the endpoint at once. Its entry stays.
func (e *Endpoint) Close() {
	e.mu.Lock()
	already := e.closed
	e.closed = true
	e.mu.Unlock()
	if already {
		return
	}
	close(e.done)
	_ = e.socket.Close()
	_ = e.health.Close()
}

func (e *Endpoint) answerHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
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
			e.ledger.violate("endpoint %s got %d bytes", e.settings.Name, n)
			continue
		}
		intended := binary.BigEndian.Uint64(buffer)
		p, system, err := decode(buffer[envelopeSize:n])
		if err != nil || system {
			e.ledger.violate("endpoint %s got a packet that no caller wrote: %v", e.settings.Name, err)
			continue
		}
		e.handle(intended, &p)
	}
}

func (e *Endpoint) handle(intended uint64, p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent || e.closed || intended != 0 && intended != e.number {
		return
	}
	now := time.Now()
	f := e.flows[p.from]
	if p.has(flagSyn) {
		e.open(f, p, now)
		return
	}
	if f == nil || f.destined != p.to {
		e.ledger.unknownFlow(e.settings.Name, p)
		e.reply(&packet{flags: flagReset, from: p.to, to: p.from, seq: p.ack})
		return
	}
	f.seenAt = now
	if !f.opened {
		if p.ack != f.sequence+1 {
			return
		}
		f.opened = true
		e.ledger.flowOpened(p.from, p.to, e.settings.Name)
	}
	if p.has(flagReset) {
		delete(e.flows, p.from)
		e.ledger.flowEnded(p.from)
		return
	}
	f.stream.receive(p, now)
	e.serve(f, now)
}

// open answers a first packet.
func (e *Endpoint) open(f *served, p *packet, now time.Time) {
	if f == nil || f.stream.expected != p.seq+1 {
		f = &served{sequence: rand.Uint32(), destined: p.to}
		f.stream = stream{local: p.to, remote: p.from, send: e.reply, next: f.sequence + 1, expected: p.seq + 1}
		e.flows[p.from] = f
		e.ledger.firstPacket(e.settings.Name, e.settings.Service, p)
	}
	f.seenAt, f.stream.echo = now, p.echo
	answer := f.stream.packet(flagSyn | flagAck)
	answer.seq = f.sequence
	e.reply(answer)
}

// reply sends a packet to a caller directly.
func (e *Endpoint) reply(p *packet) {
	to := netip.AddrPortFrom(p.to.address, e.settings.CallerPort)
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), to)
}

// serve takes the requests that have arrived whole.
func (e *Endpoint) serve(f *served, now time.Time) {
	for {
		request, rest, whole := cutRequest(f.stream.received)
		if !whole {
			break
		}
		f.stream.received = rest
		if e.busy >= slots && len(e.waiting) >= queue {
			f.stream.write(response(&request, statusShed), now)
			continue
		}
		run := func() { e.work(f, &request) }
		if e.busy >= slots {
			e.waiting = append(e.waiting, run)
			continue
		}
		run()
	}
	if f.stream.ended {
		f.stream.close(now)
	}
}

// work runs a request. The caller holds mu.
func (e *Endpoint) work(f *served, r *request) {
	e.busy++
	e.ledger.ran(r, e.settings.Name, e.settings.Service)
	time.AfterFunc(r.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy--
		if e.closed {
			return
		}
		f.stream.write(response(r, statusDone), time.Now())
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
}

const idleFlow = 15 * time.Second

// run sends again and forgets flows.
func (e *Endpoint) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-e.done:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			for from, f := range e.flows {
				if !e.silent {
					f.stream.tick(now)
				}
				if f.stream.over() || now.Sub(f.seenAt) > idleFlow {
					delete(e.flows, from)
					e.ledger.flowEnded(from)
				}
			}
			e.mu.Unlock()
		}
	}
}

// Flows returns the number of flows that the endpoint holds.
func (e *Endpoint) Flows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}
