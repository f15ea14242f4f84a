// Package simulation runs the packet decisions of a group of instances against
// synthetic workloads and measures broken flows, load imbalance and control
// traffic. It uses a virtual clock and no network.
package simulation

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Workload describes the traffic of one service.
type Workload struct {
	Name      string
	Endpoints int
	// NewFlowsPerSecond is the arrival rate at all instances together.
	NewFlowsPerSecond float64
	// LongShare is the fraction of flows that are long transfers or sessions.
	LongShare float64
	// ShortMean and LongMean are the means of the exponentially distributed
	// durations of short and long flows.
	ShortMean, LongMean time.Duration
	// PacketInterval is the mean time between two packets of a flow.
	PacketInterval time.Duration
}

// Office and Trust model the busiest service of each of the two users of the load
// balancer. The rates keep 15 endpoints, each limited to about 2,000 connections, below
// that limit.
var (
	Office = Workload{
		Name: "office-crew-desk", Endpoints: 15, NewFlowsPerSecond: 1000, LongShare: 0.2,
		ShortMean: 400 * time.Millisecond, LongMean: 60 * time.Second, PacketInterval: 2 * time.Second,
	}
	Trust = Workload{
		Name: "trust-order-desk", Endpoints: 15, NewFlowsPerSecond: 2000, LongShare: 0.2,
		ShortMean: 400 * time.Millisecond, LongMean: 10 * time.Second, PacketInterval: time.Second,
	}
)

const (
	// servicePort and idleTimeout are the port and the idle timeout of the simulated
	// service.
	servicePort = 80
	idleTimeout = 5 * time.Minute
	// firstEndpoint is the ID of the first endpoint.
	firstEndpoint = 101
)

var serviceAddress = netip.MustParseAddr("203.0.113.10")

// activeFlow is a flow that has started and not yet ended.
type activeFlow struct {
	tuple    common.FiveTuple
	hash     common.FlowHash
	sequence uint32
	endsAt   time.Duration
	// endpoint is the endpoint that received the first packet, or 0 while no
	// first packet has reached an endpoint.
	endpoint common.EndpointID
	// consecutiveLost counts the packets since the last one that reached an
	// endpoint.
	consecutiveLost int
	failed          bool
}

// scheduledPacket is the next packet of a flow and the time at which it is sent.
type scheduledPacket struct {
	at   time.Duration
	flow *activeFlow
}

// packetQueue is a heap ordered by time.
type packetQueue []scheduledPacket

func (q packetQueue) Len() int           { return len(q) }
func (q packetQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q packetQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *packetQueue) Push(x any) { *q = append(*q, x.(scheduledPacket)) }

// Pop implements heap.Interface.
func (q *packetQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// generator creates flows and schedules their packets according to a workload.
type generator struct {
	workload    Workload
	random      *rand.Rand
	nextArrival time.Duration
	flowCount   uint32
	packets     packetQueue
}

func newGenerator(workload Workload, random *rand.Rand) *generator {
	return &generator{workload: workload, random: random}
}

// newFlow returns the flow that starts at nextArrival and draws the time of the
// arrival after it.
func (g *generator) newFlow() *activeFlow {
	w := &g.workload
	mean := w.ShortMean
	if g.random.Float64() < w.LongShare {
		mean = w.LongMean
	}
	g.flowCount++
	flow := &activeFlow{
		sequence: g.random.Uint32(),
		endsAt:   g.nextArrival + time.Duration(g.random.ExpFloat64()*float64(mean)),
	}
	flow.tuple = common.FiveTuple{
		Destination:     serviceAddress.As4(),
		SourcePort:      uint16(1024 + g.flowCount%60000),
		DestinationPort: servicePort,
		Protocol:        common.ProtocolTCP,
	}
	binary.BigEndian.PutUint32(flow.tuple.Source[:], 0x0A000000+g.flowCount/60000*251+g.random.Uint32N(1<<20)<<2)
	flow.hash = flow.tuple.Hash()
	g.nextArrival += time.Duration(g.random.ExpFloat64() / w.NewFlowsPerSecond * float64(time.Second))
	return flow
}

// schedulePacket queues the next packet of the flow. It is due at the end of the flow at
// the latest, but at least one millisecond after now.
func (g *generator) schedulePacket(flow *activeFlow, now time.Duration) {
	at := now + time.Duration((0.5+g.random.Float64())*float64(g.workload.PacketInterval))
	heap.Push(&g.packets, scheduledPacket{at: min(at, max(flow.endsAt, now+time.Millisecond)), flow: flow})
}
