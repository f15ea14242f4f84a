package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// Scenario selects the changes that happen during a run.
type Scenario string

// The scenarios. Drain and Replacement are planned changes and must break no flow.
const (
	Steady      Scenario = "steady"
	Drain       Scenario = "drain"
	Replacement Scenario = "replacement"
	Kill        Scenario = "kill"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{Steady, Drain, Replacement, Kill}

// Settings configures one run.
type Settings struct {
	Workload  Workload
	Scenario  Scenario
	Instances int
	Duration  time.Duration
	Seed      uint64
	// ReportLag is the age of load reports when the router receives them.
	ReportLag time.Duration
}

// Result holds the measurements of one run.
type Result struct {
	Flows  int
	Broken int
	// BrokenShare is the fraction of flows that broke.
	BrokenShare float64
	// Imbalance is the ratio of the highest to the mean load of the endpoints that
	// accept new flows, averaged over the time after warmUp.
	Imbalance float64
	// ControlBytesPerSecond is the mean rate of control traffic of the busiest
	// instance.
	ControlBytesPerSecond float64
	// PeakControlBytesPerSecond is the highest rate of control traffic of any
	// instance within peakWindow.
	PeakControlBytesPerSecond float64
}

const (
	// maxConsecutiveLost is the number of consecutive lost packets at which a flow
	// counts as broken. After a kill packets are lost for up to detectionDelay,
	// which TCP survives by retransmission.
	maxConsecutiveLost = 8
	// warmUp is the initial part of a run that is excluded from the imbalance.
	warmUp = 10 * time.Second
	// peakWindow is the interval over which the peak rate is averaged.
	peakWindow = 10 * time.Second
)

// run is the state of one simulation run. loadHistory and controlBytes have one
// element per tick.
type run struct {
	Settings
	random           *rand.Rand
	router           Router
	generator        *generator
	endpoints        []common.Endpoint
	openFlows        map[common.EndpointID]int
	loadHistory      []map[common.EndpointID]int
	alive            []bool
	result           Result
	imbalanceSum     float64
	imbalanceSamples int
	controlBytes     [][]int
}

// Run sends the packets of the workload through the router and returns the
// measurements. The same settings and router type give the same result.
func Run(settings Settings, router Router) Result {
	r := &run{
		Settings: settings, router: router,
		random:    rand.New(rand.NewPCG(settings.Seed, 1)),
		openFlows: make(map[common.EndpointID]int),
		alive:     make([]bool, settings.Instances),
	}
	for i := range r.alive {
		r.alive[i] = true
	}
	r.generator = newGenerator(settings.Workload, r.random)
	for i := range settings.Workload.Endpoints {
		r.endpoints = append(r.endpoints, common.Endpoint{
			ID:     common.EndpointID(firstEndpoint + i),
			Name:   fmt.Sprintf("endpoint-%d", i+1),
			Tunnel: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 20, byte(i + 1)}), 6081),
			Weight: 100,
		})
	}
	r.updateRouter(0)
	r.loop()
	return r.finish()
}

// loop processes ticks, new flows and packets in order of time until the duration
// has passed.
func (r *run) loop() {
	nextTick := TickInterval
	for now := time.Duration(0); now < r.Duration; {
		now = min(r.generator.nextArrival, nextTick)
		if len(r.generator.packets) > 0 {
			now = min(now, r.generator.packets[0].at)
		}
		switch now {
		case nextTick:
			nextTick += TickInterval
			r.tick(now)
		case r.generator.nextArrival:
			r.startFlow(now)
		default:
			r.sendNextPacket(now)
		}
	}
}

func (r *run) tick(now time.Duration) {
	r.applyScenario(now)
	r.recordLoads()
	r.updateRouter(now)
	r.router.Tick(now)
	if now >= warmUp {
		r.sampleImbalance()
	}
	r.controlBytes = append(r.controlBytes, r.router.ControlBytes())
}

// applyScenario makes the changes of the scenario, each at the start of a fixed
// tenth of the run.
func (r *run) applyScenario(now time.Duration) {
	tenth := now * 10 / r.Duration
	previousTenth := (now - TickInterval) * 10 / r.Duration
	if tenth == previousTenth {
		return
	}
	switch {
	case r.Scenario == Drain && tenth == 3:
		r.endpoints[2].State = common.EndpointDraining
	case r.Scenario == Drain && tenth == 5:
		r.endpoints[7].State = common.EndpointDraining
	case r.Scenario == Drain && tenth == 7:
		r.endpoints[2].State = common.EndpointUp
	case r.Scenario == Replacement && tenth >= 2 && int(tenth) < 2+r.Instances:
		r.router.Replace(int(tenth)-2, now)
	case r.Scenario == Kill && tenth == 4:
		r.router.Kill(1, now)
		r.alive[1] = false
	}
}

// recordLoads stores the current loads for the delayed load reports.
func (r *run) recordLoads() {
	loads := make(map[common.EndpointID]int, len(r.openFlows))
	for id, openFlows := range r.openFlows {
		loads[id] = openFlows
	}
	r.loadHistory = append(r.loadHistory, loads)
}

// updateRouter passes the endpoint states, and the loads as of ReportLag ago, to the
// router.
func (r *run) updateRouter(now time.Duration) {
	lag := int(r.ReportLag / TickInterval)
	endpoints := append([]common.Endpoint(nil), r.endpoints...)
	if position := len(r.loadHistory) - 1 - lag; position >= 0 {
		for i := range endpoints {
			endpoints[i].Load = uint32(r.loadHistory[position][endpoints[i].ID])
			endpoints[i].LoadAge = r.ReportLag
		}
	}
	r.router.UpdateEndpoints(endpoints, now)
}

func (r *run) sampleImbalance() {
	total, highest, count := 0, 0, 0
	for _, endpoint := range r.endpoints {
		if !endpoint.State.TakesNewFlows() {
			continue
		}
		total += r.openFlows[endpoint.ID]
		highest = max(highest, r.openFlows[endpoint.ID])
		count++
	}
	if total > 0 {
		r.imbalanceSum += float64(highest) * float64(count) / float64(total)
		r.imbalanceSamples++
	}
}

// randomReceiver returns the index of the instance that receives the next packet. The
// fabric sprays packets over all live instances.
func (r *run) randomReceiver() int {
	for {
		if i := r.random.IntN(r.Instances); r.alive[i] {
			return i
		}
	}
}

// startFlow sends the first packet of a new flow.
func (r *run) startFlow(now time.Duration) {
	started := r.generator.newFlow()
	packet := &flow.Packet{Tuple: started.tuple, Hash: started.hash, First: true, Sequence: started.sequence}
	started.endpoint = r.router.Route(r.randomReceiver(), packet, now)
	if started.endpoint == 0 {
		// The caller's TCP stack retransmits an unanswered first packet.
		started.consecutiveLost = 1
	} else {
		r.openFlows[started.endpoint]++
	}
	r.result.Flows++
	r.generator.schedulePacket(started, now)
}

// sendNextPacket sends the earliest scheduled packet.
func (r *run) sendNextPacket(now time.Duration) {
	current := heap.Pop(&r.generator.packets).(scheduledPacket).flow
	last := now >= current.endsAt
	packet := &flow.Packet{
		Tuple: current.tuple, Hash: current.hash, Sequence: current.sequence,
		First: current.endpoint == 0, Fin: last && current.endpoint != 0, PayloadLength: 0,
	}
	endpoint := r.router.Route(r.randomReceiver(), packet, now)
	r.recordDelivery(current, endpoint)
	if last || current.failed {
		r.openFlows[current.endpoint]--
		return
	}
	r.generator.schedulePacket(current, now)
}

// recordDelivery updates the flow with the endpoint that received its packet, or 0 if
// the packet was lost. It marks the flow as failed if the endpoint has changed or if
// too many consecutive packets were lost.
func (r *run) recordDelivery(current *activeFlow, endpoint common.EndpointID) {
	switch {
	case current.endpoint == 0 && endpoint != 0:
		current.endpoint = endpoint
		r.openFlows[endpoint]++
	case endpoint == 0:
		current.consecutiveLost++
		if current.consecutiveLost >= maxConsecutiveLost {
			current.failed = true
		}
	case endpoint != current.endpoint:
		current.failed = true
	default:
		current.consecutiveLost = 0
	}
	if current.failed {
		r.result.Broken++
	}
}

// finish computes the rates and means of the run.
func (r *run) finish() Result {
	result := r.result
	result.BrokenShare = float64(result.Broken) / float64(max(result.Flows, 1))
	if r.imbalanceSamples > 0 {
		result.Imbalance = r.imbalanceSum / float64(r.imbalanceSamples)
	}
	last := r.controlBytes[len(r.controlBytes)-1]
	windowTicks := int(peakWindow / TickInterval)
	for i, total := range last {
		result.ControlBytesPerSecond = max(result.ControlBytesPerSecond, float64(total)/r.Duration.Seconds())
		for j := windowTicks; j < len(r.controlBytes); j++ {
			rate := float64(r.controlBytes[j][i]-r.controlBytes[j-windowTicks][i]) / peakWindow.Seconds()
			result.PeakControlBytesPerSecond = max(result.PeakControlBytesPerSecond, rate)
		}
	}
	return result
}
