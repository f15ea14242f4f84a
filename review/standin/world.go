package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site kpgmo-relay.
const (
	stabilityWindow = 4 * time.Second
	applyBound      = 3 * time.Second
	drainBound      = 3 * time.Second
	stopGrace       = 6 * time.Second
	idleTimeout     = 15 * time.Second
	flowLifetime    = 60 * time.Second
)

// Site has the zones and machines of kpgmo-relay.
var (
	zones        = []string{"fukuoka", "kumamoto", "kagoshima", "oita"}
	machineZones = []string{"fukuoka", "fukuoka", "kumamoto", "kagoshima", "oita"}
)

// instance is one process of the system.
type instance struct {
	world       *world
	name, zone  string
	ip          netip.Addr
	packets     netip.AddrPort
	ready, peer netip.AddrPort
	metrics     netip.AddrPort
	store       *storeServer
	settings    string

	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
	impaired bool
	// calmSince is when the last impairment of the process ended.
	calmSince  time.Time
	misses     int
	inRotation bool
}

// world is a small deployment with everything around it.
type world struct {
	store       *store
	router      *router
	instances   []*instance
	clients     []*client
	packetPort  uint16
	readyPort   uint16
	peerPort    uint16
	servicePort uint16
	network     byte
	folder      string

	mu         sync.Mutex
	record     *recorder
	deployment string
	closed     chan struct{}
	closing    sync.Once
	violations map[string]int
	sent       map[string]bool
	ran        map[string]int
	results    map[result]int
	// openings holds the times at which a flow's SYN and its copies were sent, flowAt the
	// endpoint at which it is open.
	openings map[end][]sending
	flowAt   map[end]*endpoint
	// resetBy is the endpoint that last reset a flow.
	resetBy map[end]*endpoint
	// judge is called with each request that an endpoint begins to run.
	judge func(e *endpoint, from, to end, s sending)
	// judgeReset is called when a client gets a reset on a flow that is open at an endpoint:
	// from another endpoint, or from the system if by is nil.
	judgeReset func(f *clientFlow, at, by *endpoint)
}

// sending is one transmission of an opening packet.
type sending struct {
	at time.Time
	by *instance
}

// recorder writes the record of a run, which may have several deployments.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	// broken counts the breaks of each rule in all deployments.
	broken map[string]int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, started: time.Now(), broken: map[string]int{}}, err
}

// countBreak counts a break of a rule.
func (r *recorder) countBreak(rule string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[rule]++
}

// breaks returns the breaks of a rule so far.
func (r *recorder) breaks(rule string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken[rule]
}

func (r *recorder) write(deployment, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s %s\n", time.Since(r.started).Seconds(), deployment, line)
}

// newWorld returns the deployment with a number, which has loopback addresses of its own.
func newWorld(record *recorder, number int) (*world, error) {
	scratch, err := os.MkdirTemp("", "relay-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		store: newStore(), network: byte(20 + 2*rand.Intn(100) + number), folder: scratch, record: record, closed: make(chan struct{}), deployment: fmt.Sprintf("d%d", number+1),
		violations: map[string]int{}, sent: map[string]bool{}, ran: map[string]int{}, results: map[result]int{},
		openings: map[end][]sending{}, flowAt: map[end]*endpoint{}, resetBy: map[end]*endpoint{},
	}
	for _, port := range []*uint16{&w.packetPort, &w.readyPort, &w.peerPort, &w.servicePort} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	w.router = &router{world: w, client: http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}}
	return w, nil
}

// freePort returns a port that is free for TCP on all loopback addresses.
func freePort() (uint16, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort().Port(), nil
}

// ip returns a loopback address of this run.
func (w *world) ip(group, host byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network, group, host})
}

// log adds a line to the record.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	w.record.write(w.deployment, fmt.Sprintf(format, args...))
}

func (w *world) violation(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violationLocked(rule, format, args...)
}

func (w *world) violationLocked(rule, format string, args ...any) {
	w.violations[rule]++
	w.record.countBreak(rule)
	line := fmt.Sprintf(format, args...)
	w.logLocked("BROKEN %s: %s", rule, line)
	fmt.Printf("%.3f s: %s: %s broken: %s\n", time.Since(w.record.started).Seconds(), w.deployment, rule, line)
}

// startInstances starts the processes of the system within 0.3 s.
func (w *world) startInstances(program string) error {
	for i, zone := range machineZones {
		in, err := w.newInstance(i, zone)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, in)
	}
	for _, in := range w.instances {
		if err := in.writeSettings(); err != nil {
			return err
		}
		if err := in.start(program); err != nil {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
	go w.router.run()
	return w.waitReady()
}

const readyTimeout = 8 * time.Second

func (w *world) waitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, in := range w.instances {
			if in.isInRotation() {
				ready++
			}
		}
		if ready == len(w.instances) {
			return nil
		}
	}
	return errors.New("the instances are not ready")
}

func (w *world) newInstance(i int, zone string) (*instance, error) {
	ip := w.ip(1, byte(10+i))
	server, err := w.store.serve(netip.AddrPortFrom(w.ip(4, byte(10+i)), 0).String())
	if err != nil {
		return nil, err
	}
	return &instance{
		world: w, name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: ip,
		packets: netip.AddrPortFrom(ip, w.packetPort), ready: netip.AddrPortFrom(ip, w.readyPort),
		peer: netip.AddrPortFrom(ip, w.peerPort), metrics: netip.AddrPortFrom(ip, 9464), store: server,
	}, nil
}

// writeSettings writes the settings as the template in platform/ lays them out.
func (in *instance) writeSettings() error {
	seeds := ""
	for i, other := range in.world.instances[:min(3, len(in.world.instances))] {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", other.ready)
	}
	in.settings = filepath.Join(in.world.folder, in.name+".yaml")
	text := fmt.Sprintf("instance: %q\ndata_centre: %q\nmetrics_listen: %s\npacket_listen: %s\nready_listen: %s\npeer_listen: %s\nseeds: [%s]\nstore: %s\n"+
		"apply_deadline: 3000ms\ndrain_apply_deadline: 3000ms\nstop_deadline: 6s\nflow_lifetime: 60s\nmemory_mb: 284\n",
		in.name, in.zone, in.metrics, in.packets, in.ready, in.peer, seeds, in.store.listener.Addr())
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

func (in *instance) start(program string) error {
	log, err := os.OpenFile(filepath.Join(in.world.folder, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), name("settings_variable") + "=" + in.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.process, in.exited, in.calmSince, in.impaired = cmd, exited, time.Now(), false
	in.mu.Unlock()
	in.world.log("%s started as process %d", in.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	_ = in.process.Process.Signal(s)
}

func (in *instance) impair(impaired bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.impaired, in.calmSince = impaired, time.Now()
}

// freeze stops the process for a time.
func (in *instance) freeze(d time.Duration) {
	in.impair(true)
	in.signal(syscall.SIGSTOP)
	in.world.log("%s freezes for %v", in.name, d)
	time.Sleep(d)
	in.signal(syscall.SIGCONT)
	in.impair(false)
	in.world.log("%s wakes", in.name)
}

// restart stops the process as the platform does, and starts it again.
func (in *instance) restart(program string) error {
	in.impair(true)
	in.signal(syscall.SIGTERM)
	in.world.log("%s gets SIGTERM", in.name)
	in.mu.Lock()
	exited := in.exited
	in.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(stopGrace):
		in.signal(syscall.SIGKILL)
		in.world.log("%s gets SIGKILL", in.name)
		<-exited
	}
	in.world.log("%s has ended", in.name)
	return in.start(program)
}

// inTouch reports whether the machine has been calm for the stability window before a time.
func (in *instance) inTouch(at time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return !in.impaired && at.Sub(in.calmSince) > stabilityWindow
}

func (in *instance) isInRotation() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.inRotation
}

// close ends all processes that the run has started.
func (w *world) close() {
	w.closing.Do(w.end)
}

func (w *world) end() {
	defer close(w.closed)
	for _, in := range w.instances {
		if in.process != nil {
			in.signal(syscall.SIGCONT)
			in.signal(syscall.SIGKILL)
			<-in.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("attempts by result: %v", w.results)
	w.logLocked("rules broken: %v", w.violations)
}

// router sends the packets of clients to the instances in rotation.
type router struct {
	world  *world
	client http.Client
}

// run probes the readiness of all instances twice a second.
func (r *router) run() {
	for range time.Tick(500 * time.Millisecond) {
		for _, in := range r.world.instances {
			go r.probe(in)
		}
	}
}

func (r *router) probe(in *instance) {
	response, err := r.client.Get("http://" + in.ready.String() + "/readiness")
	ready := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.misses++
	if ready {
		in.misses, in.inRotation = 0, true
	}
	if in.misses >= 2 {
		in.inRotation = false
	}
}

// choose returns the instance for a flow: by a steady hash over those in rotation in the
// client's zone, over all of the zone if fewer than half are, else over those of other zones.
func (r *router) choose(zone string, from, to end) *instance {
	var all, usable, others []*instance
	for _, in := range r.world.instances {
		rotating := in.isInRotation()
		if in.zone == zone {
			all = append(all, in)
		}
		switch {
		case rotating && in.zone == zone:
			usable = append(usable, in)
		case rotating:
			others = append(others, in)
		}
	}
	switch {
	case len(usable) == 0 && len(others) > 0:
		usable = others
	case 2*len(usable) < len(all):
		usable = all
	}
	var best *instance
	var most uint64
	for _, in := range usable {
		h := fnv.New64a()
		fmt.Fprint(h, in.name, from, to)
		if v := h.Sum64(); best == nil || v > most {
			best, most = in, v
		}
	}
	return best
}

func (w *world) attemptSent(attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[attempt] = true
}

func (w *world) openingSent(f *clientFlow, copies uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openings[f.local] = append(w.openings[f.local][:min(int(copies), len(w.openings[f.local]))], sending{at: time.Now(), by: f.openedBy})
}

// requestRan records a request that an endpoint begins to run.
func (w *world) requestRan(e *endpoint, f *endpointFlow, attempt string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[attempt]++
	w.logLocked("attempt %s on flow %s to port %d is run by %s", attempt, f.stream.remote, f.stream.local.port, e.name)
	if !w.sent[attempt] {
		w.violationLocked("UNASKED", "%s ran attempt %q that no client sent", e.name, attempt)
	}
	copies := w.openings[f.stream.remote]
	if w.judge == nil || int(f.opening.copies) >= len(copies) {
		return
	}
	w.judge(e, f.stream.remote, f.stream.local, copies[f.opening.copies])
}

func (w *world) flowOpened(e *endpoint, from end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flowAt[from] = e
}

func (w *world) flowEnded(e *endpoint, from end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.flowAt[from] == e {
		delete(w.flowAt, from)
	}
}

// resetSent records that an endpoint resets a flow that it does not hold.
func (w *world) resetSent(e *endpoint, p *packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetBy[p.src] = e
}

// flowReset is called when a client gets a reset. The judgement is made without the locks of
// the flow's client.
func (w *world) flowReset(f *clientFlow, bySystem bool) {
	w.mu.Lock()
	at, by := w.flowAt[f.local], w.resetBy[f.local]
	w.mu.Unlock()
	if at == nil || !bySystem && (by == nil || by == at) || w.judgeReset == nil {
		return
	}
	if bySystem {
		by = nil
	}
	go w.judgeReset(f, at, by)
}

// outcome records the outcome of an attempt.
func (w *world) outcome(r result, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results[r]++
	w.logLocked(format, args...)
}
