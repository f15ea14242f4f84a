package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slots       = 2
	queueLength = 8
	tick        = 10 * time.Millisecond
)

// opening is a first packet that an endpoint took.
type opening struct {
	at   time.Time
	from end
	to   end
}

// run is a request that an endpoint began to work on.
type run struct {
	at      time.Time
	attempt int
	from    end
	// openedAt is when the first packet of the flow arrived.
	openedAt time.Time
}

// endpoint serves one service on flows. It reports itself to the store.
type endpoint struct {
	rec        *recorder
	id         string
	number     uint64
	service    string
	zone       string
	address    end
	clientPort uint16
	storeAt    string // where it reaches the store
	work       time.Duration
	born       int64
	socket     *net.UDPConn
	health     *http.Server
	http       *http.Client
	stop       chan struct{}

	mu       sync.Mutex
	flows    map[end]*served
	running  int
	queue    []func()
	draining bool
	sequence int
	openings []opening
	runs     []run
	// reportedDraining is when the store acknowledged that the endpoint is draining.
	reportedDraining time.Time
	lastBeat         time.Time
	closed           bool
	// packets are the later packets of flows that arrived, opened and ended the times at which
	// flows were open here, resets those of packets that were answered with a reset.
	packets map[end][]time.Time
	opened  map[end]time.Time
	ended   map[end]time.Time
	resets  map[end][]time.Time
}

// served is the endpoint's side of a flow.
type served struct {
	stream
	open     bool
	first    uint32 // the client's first sequence number
	initial  uint32
	openedAt time.Time
	lastAt   time.Time
	// answeredAt is when the answer to the first packet was last sent, tries how often again.
	answeredAt time.Time
	wait       time.Duration
	tries      int
}

func startEndpoint(e *endpoint) (*endpoint, error) {
	number, err := strconv.ParseUint(e.id[strings.LastIndexByte(e.id, '-')+1:], 16, 64)
	if err != nil {
		return nil, err
	}
	e.number = number
	if e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", e.address.String())
	if err != nil {
		_ = e.socket.Close()
		return nil, err
	}
	e.born, e.flows, e.stop = time.Now().UnixMilli(), map[end]*served{}, make(chan struct{})
	e.packets, e.opened = map[end][]time.Time{}, map[end]time.Time{}
	e.ended, e.resets = map[end]time.Time{}, map[end][]time.Time{}
	e.http = &http.Client{Timeout: time.Second}
	e.health = &http.Server{Handler: http.HandlerFunc(e.serveHealth)}
	go func() { _ = e.health.Serve(listener) }()
	go e.read()
	go e.timers()
	go e.report()
	return e, nil
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.closed = true
	close(e.stop)
	_ = e.socket.Close()
	_ = e.health.Close()
}

func (e *endpoint) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(wire["identity"], e.id)
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// entry returns what the endpoint says of itself. The caller holds mu.
func (e *endpoint) entry() map[string]any {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", wire["slots"]: slots,
		"state": state, wire["warm"]: 0, "sequence": e.sequence, "born": e.born,
	}
}

// report writes the endpoint's entry every beat.
func (e *endpoint) report() {
	for {
		start := time.Now()
		e.writeEntry()
		select {
		case <-e.stop:
			return
		case <-time.After(time.Until(start.Add(beat))):
		}
	}
}

// writeEntry writes the entry and returns the status, 0 without an answer.
func (e *endpoint) writeEntry() int {
	e.mu.Lock()
	e.lastBeat = time.Now()
	entry := e.entry()
	e.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"meta": map[string]any{"name": e.id}, "spec": entry})
	status, err := e.call(http.MethodPut, "servers/"+e.id, body)
	if status == http.StatusNotFound {
		status, err = e.call(http.MethodPost, "servers", body)
	}
	if err != nil {
		e.rec.logf("endpoint %s: report %v without an answer: %v", e.id, entry["sequence"], err)
		return 0
	}
	if (status == http.StatusOK || status == http.StatusCreated) && entry["state"] == "draining" {
		e.mu.Lock()
		if e.reportedDraining.IsZero() {
			e.reportedDraining = time.Now()
			e.rec.sayf("endpoint %s: the store has acknowledged that it is draining", e.id)
		}
		e.mu.Unlock()
	}
	return status
}

func (e *endpoint) call(method, path string, body []byte) (int, error) {
	request, err := http.NewRequest(method, "http://"+e.storeAddress()+wire["objects"]+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var sink bytes.Buffer
	_, err = sink.ReadFrom(response.Body)
	return response.StatusCode, err
}

// drain reports that the endpoint is about to leave, until the store acknowledges it.
func (e *endpoint) drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	for range 5 {
		if e.writeEntry() == http.StatusOK {
			return true
		}
	}
	return false
}

func (e *endpoint) read() {
	buffer := make([]byte, 4096)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n < envelopeSize {
			continue
		}
		intended := binary.BigEndian.Uint64(buffer)
		p, bySystem, valid := decode(buffer[envelopeSize:n])
		if !valid || bySystem {
			e.rec.sayf("UNASKED endpoint %s got a packet that nobody wrote so", e.id)
			continue
		}
		if intended != 0 && intended != e.number {
			continue
		}
		e.handle(&p)
	}
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, now := e.flows[p.from], time.Now()
	if p.has(flagSyn) {
		e.open(f, p, now)
		return
	}
	e.packets[p.from] = append(e.packets[p.from], now)
	if f == nil || f.local != p.to {
		if !p.has(flagRst) {
			e.rec.logf("endpoint %s: reset to %s, which has no flow here", e.id, p.from)
			e.resets[p.from] = append(e.resets[p.from], now)
			e.send(&packet{flags: flagRst, from: p.to, to: p.from, echo: p.echo, seq: p.ack, ack: p.seq})
		}
		return
	}
	if !f.open {
		if p.ack != f.initial+1 {
			return
		}
		f.open = true
		e.opened[p.from] = now
	}
	f.lastAt = now
	if p.has(flagRst) {
		e.forget(p.from)
		return
	}
	f.receive(p)
	e.serve(f)
}

// open answers a first packet.
func (e *endpoint) open(f *served, p *packet, now time.Time) {
	if f == nil || f.first != p.seq {
		f = &served{first: p.seq, initial: rand.Uint32(), openedAt: now, lastAt: now}
		f.stream = stream{local: p.to, remote: p.from, next: f.initial + 1, expect: p.seq + 1, send: e.send}
		e.flows[p.from] = f
		e.openings = append(e.openings, opening{at: now, from: p.from, to: p.to})
		e.rec.logf("endpoint %s (%s): took the first packet of %s to %s", e.id, e.service, p.from, p.to)
	}
	f.echo, f.wait = p.echo, firstRetry
	e.answer(f, now)
}

// answer answers the first packet of a flow. The answer is sent again until the client
// acknowledges it.
func (e *endpoint) answer(f *served, now time.Time) {
	f.answeredAt = now
	p := f.packet(flagSyn | flagAck)
	p.seq = f.initial
	e.send(p)
}

// forget ends a flow. The caller holds mu.
func (e *endpoint) forget(from end) {
	delete(e.flows, from)
	e.ended[from] = time.Now()
}

func (e *endpoint) send(p *packet) {
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.to.Addr(), e.clientPort))
}

// serve runs or queues the requests that have arrived whole. The caller holds mu.
func (e *endpoint) serve(f *served) {
	for {
		head, rest, whole := bytes.Cut(f.received, []byte("\r\n\r\n"))
		if !whole {
			break
		}
		f.received = rest
		attempt := attemptOf(head)
		if e.running >= slots && len(e.queue) >= queueLength {
			f.write(response(503, "Not-Executed: true", attempt, ""))
			continue
		}
		work := func() { e.work1(f, attempt) }
		if e.running >= slots {
			e.queue = append(e.queue, work)
			continue
		}
		work()
	}
	if f.finReceived && !f.finWanted {
		f.close()
	}
}

// work1 runs one request. The caller holds mu.
func (e *endpoint) work1(f *served, attempt int) {
	e.running++
	e.runs = append(e.runs, run{at: time.Now(), attempt: attempt, from: f.remote, openedAt: f.openedAt})
	e.rec.logf("endpoint %s (%s): runs attempt %d from %s to %s", e.id, e.service, attempt, f.remote, f.local)
	time.AfterFunc(e.work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if e.closed {
			return
		}
		f.write(response(200, "Server-Seal: "+e.id, attempt, strings.Repeat("x", 600)))
		if e.draining {
			f.close()
		}
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
	})
}

func attemptOf(head []byte) int {
	for line := range strings.Lines(string(head)) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "Attempt-Id: "); found {
			number, _ := strconv.Atoi(value)
			return number
		}
	}
	return 0
}

func response(status int, header string, attempt int, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s\r\nAttempt-Id: %d\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, attempt, len(body), body)
}

func (e *endpoint) timers() {
	for {
		select {
		case <-e.stop:
			return
		case now := <-time.After(tick):
			e.mu.Lock()
			for from, f := range e.flows {
				if !f.open && now.Sub(f.answeredAt) >= f.wait {
					if f.tries++; f.tries > mostTries {
						delete(e.flows, from)
						continue
					}
					f.wait = min(2*f.wait, mostRetry)
					e.answer(f, now)
				}
				f.tick(now)
				if f.done() || now.Sub(f.lastAt) > 20*time.Second {
					e.forget(from)
				}
			}
			e.mu.Unlock()
		}
	}
}

// setStore changes where the endpoint reaches the store.
func (e *endpoint) setStore(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeAt = address
}

// acknowledged returns when the store acknowledged that the endpoint is draining.
func (e *endpoint) acknowledged() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reportedDraining
}

// beatSoon waits until the next report is a time away, or has just been sent if it is 0, and
// returns when it is or was sent.
func (e *endpoint) beatSoon(before time.Duration) time.Time {
	e.mu.Lock()
	last := e.lastBeat
	e.mu.Unlock()
	if before > 0 {
		next := last.Add(beat)
		if time.Until(next) < before {
			next = next.Add(beat)
		}
		time.Sleep(time.Until(next.Add(-before)))
		return next
	}
	for {
		time.Sleep(time.Millisecond)
		e.mu.Lock()
		at := e.lastBeat
		e.mu.Unlock()
		if at.After(last) {
			return at
		}
	}
}

func (e *endpoint) storeAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeAt
}
