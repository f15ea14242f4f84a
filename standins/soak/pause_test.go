package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/propertytest"
	"burdockrelay.example/burdockrelay/standins/testbed"
)

// callKind is the kind of a call of the store.
type callKind string

const (
	revisionCall callKind = "revision"
	changesCall  callKind = "changes"
	listCall     callKind = "list"
)

func kindOf(r *http.Request) callKind {
	switch query := r.URL.Query(); {
	case query.Has("watch"):
		return changesCall
	case query.Get("after") == "main":
		return revisionCall
	default:
		return listCall
	}
}

// pauseMoment is the moment of a call at which the process is paused.
type pauseMoment string

const (
	beforeResponse pauseMoment = "before the response"
	withinResponse pauseMoment = "within the response"
	afterResponse  pauseMoment = "after the response"
	betweenReads   pauseMoment = "between reads"
)

// pausePlan is one pause of a process.
type pausePlan struct {
	kind   callKind
	moment pauseMoment
	// held is the time from the call, or between reads from the previous pause, to the pause.
	held, length time.Duration
	// answered is set if the store responds during the pause; otherwise it responds after it.
	answered bool
}

// pausedProcess is a burdock-relayd process with a store of its own, which pauses it.
type pausedProcess struct {
	t     *testing.T
	store *testbed.Store
	inner *testbed.StoreServer
	// metricsURL serves the metrics of the process.
	metricsURL string
	process    *exec.Cmd

	mu sync.Mutex
	// version is the version of the last configuration.
	version int
	// next is the next pause, nil if none is to begin at a call. resumed is closed after it.
	next    *pausePlan
	resumed chan struct{}
}

// ServeHTTP serves the store, and pauses the process at the call that the plan names.
func (p *pausedProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	plan, resumed := p.next, p.resumed
	if plan != nil && plan.moment != betweenReads && plan.kind == kindOf(r) {
		p.next = nil
	} else {
		plan = nil
	}
	p.mu.Unlock()
	if plan == nil {
		p.inner.ServeHTTP(w, r)
		return
	}
	response := httptest.NewRecorder()
	p.inner.ServeHTTP(response, r)
	body := response.Body.Bytes()
	before := map[pauseMoment]int{beforeResponse: 0, withinResponse: len(body) / 2, afterResponse: len(body)}[plan.moment]
	time.Sleep(plan.held)
	for name, values := range response.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if plan.moment != beforeResponse {
		w.WriteHeader(response.Code)
		_, _ = w.Write(body[:before])
		_ = http.NewResponseController(w).Flush()
	}
	go p.pause(plan, resumed)
	if plan.answered {
		time.Sleep(plan.length / 2)
	} else {
		<-resumed
	}
	if plan.moment == beforeResponse {
		w.WriteHeader(response.Code)
	}
	_, _ = w.Write(body[before:])
}

// pause pauses the process for the length of a plan.
func (p *pausedProcess) pause(plan *pausePlan, resumed chan struct{}) {
	_ = p.process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(plan.length)
	_ = p.process.Process.Signal(syscall.SIGCONT)
	close(resumed)
}

// play pauses the process once and returns after the pause. Before a pause at a call of
// changes or of a list it changes the store until the process makes that call.
func (p *pausedProcess) play(plan *pausePlan) {
	resumed := make(chan struct{})
	p.mu.Lock()
	p.next, p.resumed = plan, resumed
	p.mu.Unlock()
	if plan.moment == betweenReads {
		time.Sleep(plan.held)
		p.pause(plan, resumed)
		return
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
		if plan.kind != revisionCall && p.pausePending() {
			p.publish()
		}
		if plan.kind == listCall {
			p.store.DropHistory()
		}
		select {
		case <-resumed:
			return
		case <-time.After(time.Second):
		}
	}
	p.t.Errorf("%+v: the process did not make the call", *plan)
}

// pausePending reports whether the next pause has not begun.
func (p *pausedProcess) pausePending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.next != nil
}

// publish writes the next configuration and returns its version.
func (p *pausedProcess) publish() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.store.Put("config", "main", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/","service":"desk"}],"services":[{"name":"desk","health_path":"/health","max_conns":2000}],"limits":{"idle_timeout_ms":15000}}`, p.version))
	return p.version
}

// metric returns the value of a metric of the process, as text.
func (p *pausedProcess) metric(name string) string {
	response, err := http.Get(p.metricsURL)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	for line := range strings.Lines(string(content)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// inForce reports whether a version is in force within the apply deadline.
func (p *pausedProcess) inForce(version int) bool {
	want := fmt.Sprint(version)
	for end := time.Now().Add(applyDeadline + schedulingSlack); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if p.metric("burdock_configuration_version") == want {
			return true
		}
	}
	return false
}

// startPausedProcess starts a process with a store of its own, or with that of another one,
// which then is its seed.
func startPausedProcess(t *testing.T, program, ip string, port uint16, other *pausedProcess, seed string) *pausedProcess {
	t.Helper()
	p := &pausedProcess{t: t, store: testbed.NewStore(), metricsURL: fmt.Sprintf("http://%s:%d/metrics", ip, port+3)}
	if other != nil {
		p.store = other.store
	} else {
		p.publish()
	}
	var err error
	if p.inner, err = p.store.StartServer("127.0.0.1"); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(p)
	settings := fmt.Sprintf(`instance: entry-%s
data_centre: fukuoka
log_level: info
packet_listen: %[1]s:%[2]d
ready_listen: %[1]s:%[3]d
peer_listen: %[1]s:%[4]d
metrics_listen: %[1]s:%[5]d
store: %[6]s
apply_deadline: %[7]v
drain_apply_deadline: %[7]v
stop_deadline: 4s
memory_mb: 200
`, ip, port, port+1, port+2, port+3, server.Listener.Addr(), applyDeadline)
	if seed != "" {
		settings += fmt.Sprintf("seeds: [%s:%d]\n", seed, port+2)
	}
	folder := t.TempDir()
	path := filepath.Join(folder, "settings.yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	var log bytes.Buffer
	p.process = exec.Command(program, "-settings", path)
	p.process.Stdout, p.process.Stderr = &log, &log
	if err := p.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.process.Process.Kill()
		_ = p.process.Wait()
		server.CloseClientConnections()
		server.Close()
		_ = p.inner.Close()
		if t.Failed() {
			t.Logf("log of %s:\n%s", ip, log.String())
		}
	})
	if !p.inForce(1) {
		t.Fatalf("%s: the first configuration is not in force", ip)
	}
	return p
}

// randomPlan returns a random pause. The times are around the timeouts of reads.
func randomPlan(random *rand.Rand) *pausePlan {
	ms := func(choices ...int) time.Duration {
		return time.Duration(choices[random.Intn(len(choices))]) * time.Millisecond
	}
	plan := &pausePlan{
		kind:     []callKind{revisionCall, changesCall, listCall}[random.Intn(3)],
		moment:   []pauseMoment{beforeResponse, withinResponse, afterResponse, betweenReads}[random.Intn(4)],
		held:     ms(0, 0, 1, 190, 200, 210, 390, 400, 410, 2450, 2500),
		length:   ms(20, 200, 380, 420, 700, 1400, 2400, 2600, 4000, 6000),
		answered: random.Intn(2) == 0,
	}
	if plan.moment == betweenReads {
		plan.held = time.Duration(random.Intn(1500)) * time.Millisecond
	}
	return plan
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return uint16(listener.Addr().(*net.TCPAddr).Port)
}

// Guards against a process that does not read the store any more after a pause, whatever the
// moment, the kind of the read and the length. It has no peers, so nothing else brings changes.
func TestProcessReadsAfterPauses(t *testing.T) {
	program, port := buildRelayd(t), freePort(t)
	seed, pauses := propertytest.Seed(t, propertytest.DefaultSeed), 2*propertytest.Factor(t)
	for n := range 10 {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewSource(seed + int64(n)))
			p := startPausedProcess(t, program, fmt.Sprintf("127.4.0.%d", n+1), port, nil, "")
			for range pauses {
				plan := randomPlan(random)
				p.play(plan)
				if version := p.publish(); !p.inForce(version) {
					t.Errorf("%+v: version %s in force, want %d; last read %s s ago", *plan,
						p.metric("burdock_configuration_version"), version, p.metric(`burdock_store_last_read_seconds{result="ok"}`))
					return
				}
			}
		})
	}
}

// Guards against instances that wait for each other and do not read the store after several
// of them were paused one after the other.
func TestProcessesPausedInTurn(t *testing.T) {
	program, port := buildRelayd(t), freePort(t)
	random := rand.New(rand.NewSource(propertytest.Seed(t, propertytest.DefaultSeed)))
	const first = "127.4.1.1"
	processes := []*pausedProcess{startPausedProcess(t, program, first, port, nil, "")}
	for n := 2; n <= 4; n++ {
		processes = append(processes, startPausedProcess(t, program, fmt.Sprintf("127.4.1.%d", n), port, processes[0], first))
	}
	version := 0
	for range propertytest.Factor(t) {
		for _, p := range processes {
			length := time.Duration(300+random.Intn(3700)) * time.Millisecond
			go p.pause(&pausePlan{length: length}, make(chan struct{}))
			// The next pause begins before or after the end of this one.
			time.Sleep(time.Duration(random.Intn(4000)) * time.Millisecond)
			version = processes[0].publish()
		}
		time.Sleep(4 * time.Second)
		for _, p := range processes {
			if !p.inForce(version) {
				t.Fatalf("%s: version %s in force, want %d", p.metricsURL, p.metric("burdock_configuration_version"), version)
			}
		}
	}
}
