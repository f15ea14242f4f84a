package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// Scenario names the events of a run.
type Scenario string

// Scenarios. Planned ones must break no flow.
const (
	Steady      Scenario = "steady"
	Drain       Scenario = "drain"
	Replacement Scenario = "replacement"
	Kill        Scenario = "kill"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, Drain, Replacement, Kill}

// Settings of one run.
type Settings struct {
	Workload  Workload
	Scenario  Scenario
	Instances int
	Duration  time.Duration
	Seed      uint64
	// ReportLag is the age of load reports when they reach the decisions.
	ReportLag time.Duration
}

// Result of one run.
type Result struct {
	Flows  int
	Broken int
	// BrokenShare is broken flows over all flows.
	BrokenShare float64
	// Imbalance is the mean over time of the highest endpoint load over the
	// mean load, over endpoints that take new flows.
	Imbalance float64
	// ControlBytesPerSecond is the busiest instance's mean rate over the run.
	ControlBytesPerSecond float64
	// PeakControlBytesPerSecond is the highest rate over 10 s of an instance.
	PeakControlBytesPerSecond float64
}

const (
	// lostLimit is how many packets of a flow in a row may reach no endpoint
	// before the flow counts as broken. A kill loses packets for up to
	// detectionDelay, which retransmissions survive.
	lostLimit = 8
	// warmUp is left out of the imbalance.
	warmUp = 10 * time.Second
	// peakWindow is the time over which the peak rate is taken.
	peakWindow = 10 * time.Second
)

type run struct {
	Settings
	random    *rand.Rand
	router    Router
	source    *source
	endpoints []common.Endpoint
	open      map[common.EndpointID]int
	history   []map[common.EndpointID]int
	alive     []bool
	result    Result
	ratios    float64
	samples   int
	windows   [][]int
}

// Run replays the workload over the router.
func Run(settings Settings, router Router) Result {
	r := &run{
		Settings: settings, router: router,
		random: rand.New(rand.NewPCG(settings.Seed, 1)),
		open:   make(map[common.EndpointID]int),
		alive:  make([]bool, settings.Instances),
	}
	for i := range r.alive {
		r.alive[i] = true
	}
	r.source = newSource(settings.Workload, r.random)
	for i := range settings.Workload.Endpoints {
		r.endpoints = append(r.endpoints, common.Endpoint{
			ID:     common.EndpointID(firstEndpoint + i),
			Name:   fmt.Sprintf("endpoint-%d", i+1),
			Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 20, byte(i + 1)}), 6081),
			Weight: 100,
		})
	}
	r.update(0)
	r.loop()
	return r.finish()
}

func (r *run) loop() {
	nextTick := TickInterval
	for now := time.Duration(0); now < r.Duration; {
		now = min(r.source.next, nextTick)
		if len(r.source.steps) > 0 {
			now = min(now, r.source.steps[0].at)
		}
		switch now {
		case nextTick:
			nextTick += TickInterval
			r.tick(now)
		case r.source.next:
			r.start(now)
		default:
			r.advance(now)
		}
	}
}

func (r *run) tick(now time.Duration) {
	r.events(now)
	r.record()
	r.update(now)
	r.router.Tick(now)
	if now >= warmUp {
		r.sample()
	}
	r.windows = append(r.windows, r.router.ControlBytes())
}

// events brings about the changes of the scenario, at fixed parts of the run.
func (r *run) events(now time.Duration) {
	part := now * 10 / r.Duration
	before := (now - TickInterval) * 10 / r.Duration
	if part == before {
		return
	}
	switch {
	case r.Scenario == Drain && part == 3:
		r.endpoints[2].State = common.EndpointDraining
	case r.Scenario == Drain && part == 5:
		r.endpoints[7].State = common.EndpointDraining
	case r.Scenario == Drain && part == 7:
		r.endpoints[2].State = common.EndpointUp
	case r.Scenario == Replacement && part >= 2 && int(part) < 2+r.Instances:
		r.router.Replace(int(part)-2, now)
	case r.Scenario == Kill && part == 4:
		r.router.Kill(1, now)
		r.alive[1] = false
	}
}

// record keeps the loads for lagging reports.
func (r *run) record() {
	loads := make(map[common.EndpointID]int, len(r.open))
	for id, open := range r.open {
		loads[id] = open
	}
	r.history = append(r.history, loads)
}

func (r *run) update(now time.Duration) {
	lag := int(r.ReportLag / TickInterval)
	endpoints := append([]common.Endpoint(nil), r.endpoints...)
	if position := len(r.history) - 1 - lag; position >= 0 {
		for i := range endpoints {
			endpoints[i].Load = uint32(r.history[position][endpoints[i].ID])
			endpoints[i].LoadAge = r.ReportLag
		}
	}
	r.router.Update(endpoints, now)
}

func (r *run) sample() {
	total, highest, count := 0, 0, 0
	for _, endpoint := range r.endpoints {
		if !endpoint.State.TakesNewFlows() {
			continue
		}
		total += r.open[endpoint.ID]
		highest = max(highest, r.open[endpoint.ID])
		count++
	}
	if total > 0 {
		r.ratios += float64(highest) * float64(count) / float64(total)
		r.samples++
	}
}

// receiver returns the instance that the fabric gives a packet to.
func (r *run) receiver() int {
	for {
		if i := r.random.IntN(r.Instances); r.alive[i] {
			return i
		}
	}
}

func (r *run) start(now time.Duration) {
	started := r.source.arrive()
	packet := &flow.Packet{Tuple: started.tuple, Hash: started.hash, First: true, Sequence: started.sequence}
	started.endpoint = r.router.Route(r.receiver(), packet, now)
	if started.endpoint == 0 {
		// The caller's stack repeats a first packet that got no answer.
		started.lost = 1
	} else {
		r.open[started.endpoint]++
	}
	r.result.Flows++
	r.source.schedule(started, now)
}

func (r *run) advance(now time.Duration) {
	current := heap.Pop(&r.source.steps).(step).flow
	last := now >= current.ends
	packet := &flow.Packet{
		Tuple: current.tuple, Hash: current.hash, Sequence: current.sequence,
		First: current.endpoint == 0, Fin: last && current.endpoint != 0, PayloadLength: 0,
	}
	endpoint := r.router.Route(r.receiver(), packet, now)
	r.check(current, endpoint)
	if last || current.failed {
		r.open[current.endpoint]--
		return
	}
	r.source.schedule(current, now)
}

// check compares the endpoint with the one that serves the flow.
func (r *run) check(current *flowRun, endpoint common.EndpointID) {
	switch {
	case current.endpoint == 0 && endpoint != 0:
		current.endpoint = endpoint
		r.open[endpoint]++
	case endpoint == 0:
		current.lost++
		if current.lost >= lostLimit {
			current.failed = true
		}
	case endpoint != current.endpoint:
		current.failed = true
	default:
		current.lost = 0
	}
	if current.failed {
		r.result.Broken++
	}
}

func (r *run) finish() Result {
	result := r.result
	result.BrokenShare = float64(result.Broken) / float64(max(result.Flows, 1))
	if r.samples > 0 {
		result.Imbalance = r.ratios / float64(r.samples)
	}
	last := r.windows[len(r.windows)-1]
	width := int(peakWindow / TickInterval)
	for i, total := range last {
		result.ControlBytesPerSecond = max(result.ControlBytesPerSecond, float64(total)/r.Duration.Seconds())
		for j := width; j < len(r.windows); j++ {
			rate := float64(r.windows[j][i]-r.windows[j-width][i]) / peakWindow.Seconds()
			result.PeakControlBytesPerSecond = max(result.PeakControlBytesPerSecond, rate)
		}
	}
	return result
}
