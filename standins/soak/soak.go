package soak

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"os"
	"time"

	"burdockrelay.example/burdockrelay/standins/testbed"
)

const (
	// applyDeadline is the time within which a change must take effect.
	applyDeadline = 3 * time.Second
	// stopTimeout is the time after which a process that does not stop is killed.
	stopTimeout = 6 * time.Second
	// startTimeout is the time within which all instances must be in rotation.
	startTimeout = 10 * time.Second
	// recoveryTime is the time for recovery between the last fault and the fault-free
	// phase, faultFreeTime the length of that phase.
	recoveryTime  = 6 * time.Second
	faultFreeTime = 3 * time.Second
	// minAnsweredShare is the share of requests that must be answered in the fault-free
	// phase.
	minAnsweredShare = 0.99
	// callersPerDestination is the number of callers of each host for each destination,
	// requestPause the mean pause between two requests of a caller.
	callersPerDestination = 4
	requestPause          = 60 * time.Millisecond
)

// Settings describe one run.
type Settings struct {
	Seed int64
	// Length is the time during which faults are injected.
	Length    time.Duration
	Instances int
	// Program is the path of burdock-relayd, Folder the directory for settings files and
	// logs.
	Program string
	Folder  string
	// Output receives one line for each fault.
	Output io.Writer
}

// Result holds the counts and the violations of a run.
type Result struct {
	Violations []string
	Faults     int
	// Requests and Answered count the requests of the whole run, FaultFreeRequests and
	// FaultFreeAnswered those of the fault-free phase at its end.
	Requests, Answered                   int
	FaultFreeRequests, FaultFreeAnswered int
	BrokenFlows                          int
}

// run is the state of one run.
type run struct {
	settings  Settings
	random    *rand.Rand
	startedAt time.Time
	store     *testbed.Store
	checker   *testbed.Checker
	operator  *testbed.Operator
	router    *testbed.Router
	port      uint16
	instances []*instance
	endpoints map[string][]*testbed.Endpoint
	// running holds all endpoints that run, by name, including those that leave.
	running map[string]*testbed.Endpoint
	nextID  int
	faults  int
	// backups are copies of the store, oldest first.
	backups []backup
	hosts   []*testbed.Host
	// pendingEnds are the scheduled ends of active faults.
	pendingEnds []faultEnd
	// configurationNumber counts the changes of the optional destination, which is part
	// of even configurations.
	configurationNumber int
}

// faultEnd is a function that ends a fault at a given time.
type faultEnd struct {
	at  time.Time
	end func()
}

// Run runs the instances with the faults of one seed. It returns an error if the run
// could not start; violated guarantees are in the result.
func Run(settings Settings) (*Result, error) {
	r := &run{
		settings: settings, random: rand.New(rand.NewSource(settings.Seed)), startedAt: time.Now(),
		store: testbed.NewStore(), checker: testbed.NewChecker(applyDeadline + schedulingSlack), router: testbed.NewRouter(),
		endpoints: make(map[string][]*testbed.Endpoint), running: make(map[string]*testbed.Endpoint),
	}
	defer r.close()
	if err := r.start(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var tally testbed.Tally
	r.startCallers(&tally, stop)
	for time.Since(r.startedAt) < settings.Length {
		r.endExpiredFaults(time.Now())
		r.makeBackup()
		r.injectFault()
		r.wait(time.Duration(100+r.random.Intn(900)) * time.Millisecond)
	}
	// A time in the future ends all faults that are still active.
	r.endExpiredFaults(time.Now().Add(time.Hour))
	time.Sleep(recoveryTime)
	result := &Result{Faults: r.faults}
	requests, answered, _, _ := tally.Counts()
	time.Sleep(faultFreeTime)
	result.Requests, result.Answered, _, result.BrokenFlows = tally.Counts()
	result.FaultFreeRequests, result.FaultFreeAnswered = result.Requests-requests, result.Answered-answered
	close(stop)
	result.Violations = r.checker.Violations()
	for _, i := range r.instances {
		if i.exitedUnexpectedly() {
			result.Violations = append(result.Violations, i.name+" exited unexpectedly")
		}
	}
	if float64(result.FaultFreeAnswered) < minAnsweredShare*float64(result.FaultFreeRequests) || result.FaultFreeRequests == 0 {
		result.Violations = append(result.Violations,
			fmt.Sprintf("%d of %d requests answered in the fault-free phase", result.FaultFreeAnswered, result.FaultFreeRequests))
	}
	return result, nil
}

// schedulingSlack is added to applyDeadline to allow for scheduling delays on the test
// machine.
const schedulingSlack = 300 * time.Millisecond

// logEvent writes one line to the output, with the time since the start of the run.
func (r *run) logEvent(format string, args ...any) {
	fmt.Fprintf(r.settings.Output, "%7.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) close() {
	for _, h := range r.hosts {
		h.Close()
	}
	for _, i := range r.instances {
		i.close()
	}
	for _, e := range r.running {
		e.Close()
	}
	r.router.Close()
}

func (r *run) start() error {
	if err := os.MkdirAll(r.settings.Folder, 0o755); err != nil {
		return err
	}
	// All instances, endpoints and callers use one free port on different addresses.
	socket, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.port = socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	_ = socket.Close()
	r.operator = testbed.NewOperator(r.store, r.checker)
	r.publish()
	for range 5 {
		if err := r.addEndpoint("desk"); err != nil {
			return err
		}
	}
	for range 2 {
		if err := r.addEndpoint("store"); err != nil {
			return err
		}
	}
	for n := range r.settings.Instances {
		if err := r.addInstance(n); err != nil {
			return err
		}
	}
	for end := time.Now().Add(startTimeout); r.router.InRotation() < r.settings.Instances; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances in rotation after %v", r.router.InRotation(), r.settings.Instances, startTimeout)
		}
	}
	return nil
}

func (r *run) addInstance(n int) error {
	i := &instance{
		name: fmt.Sprintf("entry-%d", n+1), ip: fmt.Sprintf("127.1.%d.%d", n/200, n%200+1),
		program: r.settings.Program, folder: r.settings.Folder, port: r.port,
	}
	var err error
	if i.storeServer, err = r.store.StartServer("127.0.0.1"); err != nil {
		return err
	}
	if i.storeProxy, err = startProxy(i.storeServer.Address()); err != nil {
		return err
	}
	if i.peerProxy, err = startProxy(fmt.Sprintf("%s:%d", i.ip, i.port+2)); err != nil {
		return err
	}
	r.instances = append(r.instances, i)
	if err := i.writeSettings("info"); err != nil {
		return err
	}
	r.router.Add(&testbed.Target{
		Name:          i.name,
		PacketAddress: netip.MustParseAddrPort(fmt.Sprintf("%s:%d", i.ip, i.port)),
		ReadyAddress:  netip.MustParseAddrPort(fmt.Sprintf("%s:%d", i.ip, i.port+1)),
	})
	r.checker.SuspendDeadlines(i.name, time.Now(), true)
	return i.start()
}

func (r *run) addEndpoint(service string) error {
	r.nextID++
	e, err := testbed.StartEndpoint(testbed.EndpointSettings{
		Name: fmt.Sprintf("i-%x", r.nextID*7919), Service: service, DataCentre: dataCentres[r.nextID%len(dataCentres)], CallerPort: r.port,
		Address: netip.MustParseAddrPort(fmt.Sprintf("127.2.%d.%d:%d", r.nextID/200, r.nextID%200+1, r.port)),
	}, r.store, r.checker)
	if err != nil {
		return err
	}
	r.endpoints[service] = append(r.endpoints[service], e)
	r.running[e.Name()] = e
	return nil
}

// stopEndpoint stops an endpoint at once.
func (r *run) stopEndpoint(e *testbed.Endpoint) {
	r.checker.EndpointStopped(e.Name())
	e.Close()
	delete(r.running, e.Name())
}

// destinations returns the permanent destinations and, in even configurations, the
// optional one.
func (r *run) destinations() []testbed.Destination {
	host := netip.MustParseAddr("198.18.0.1")
	list := []testbed.Destination{
		{Address: host, Port: 443, Service: "desk", Kind: testbed.Idempotent, ResponseSize: 4000, ServiceTime: 8 * time.Millisecond, Timeout: time.Second},
		{Address: host, Port: 8443, Service: "desk", Kind: testbed.Report, ResponseSize: 600, ServiceTime: 8 * time.Millisecond, Timeout: time.Second, KeepAlive: true},
		{Address: host, Port: 80, Service: "store", Kind: testbed.Download, ResponseSize: 60_000, ServiceTime: 3 * time.Millisecond, Timeout: 3 * time.Second, KeepAlive: true},
	}
	if r.configurationNumber%2 == 0 {
		list = append(list, r.optional())
	}
	return list
}

// optional returns the destination that configurations add and remove.
func (r *run) optional() testbed.Destination {
	return testbed.Destination{
		Address: netip.MustParseAddr("198.18.0.2"), Port: 443, Service: "desk", Kind: testbed.Idempotent,
		ResponseSize: 1000, ServiceTime: 2 * time.Millisecond, Timeout: time.Second,
	}
}

func (r *run) publish() { r.operator.Publish(r.destinations()) }

// startCallers starts the callers. Requests to the optional destination do not count
// in tally, because they fail while it is not configured.
func (r *run) startCallers(tally *testbed.Tally, stop <-chan struct{}) {
	var optional testbed.Tally
	for n := range 2 {
		host, err := testbed.OpenHost(netip.MustParseAddr(fmt.Sprintf("127.3.0.%d", n+1)), r.port, r.router, r.checker)
		if err != nil {
			r.logEvent("cannot start caller: %v", err)
			continue
		}
		r.hosts = append(r.hosts, host)
		// The first three destinations are permanent.
		for _, d := range r.destinations()[:3] {
			for range callersPerDestination {
				go host.SendRequests(&d, requestPause, tally, stop)
			}
		}
		d := r.optional()
		go host.SendRequests(&d, requestPause, &optional, stop)
	}
}

// wait waits for d and ends the faults that expire meanwhile.
func (r *run) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.endExpiredFaults(time.Now())
	}
}

// scheduleEnd schedules the end of a fault after d.
func (r *run) scheduleEnd(d time.Duration, end func()) {
	r.pendingEnds = append(r.pendingEnds, faultEnd{at: time.Now().Add(d), end: end})
}

func (r *run) endExpiredFaults(now time.Time) {
	var left []faultEnd
	due := r.pendingEnds
	r.pendingEnds = nil
	for _, e := range due {
		if e.at.After(now) {
			left = append(left, e)
			continue
		}
		e.end()
	}
	r.pendingEnds = append(r.pendingEnds, left...)
}
