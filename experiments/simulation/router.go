package simulation

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// Router routes packets of the replayed service. Instance numbers count from 0.
type Router interface {
	// Route returns the endpoint that gets the packet; 0 when none does.
	Route(instance int, packet *flow.Packet, now time.Duration) common.EndpointID
	// UpdateEndpoints gives the routers new endpoint states and loads.
	UpdateEndpoints(endpoints []common.Endpoint, now time.Duration)
	// Tick runs the periodic work, once every TickInterval.
	Tick(now time.Duration)
	// Kill ends an instance; the others notice after detectionDelay.
	Kill(instance int, now time.Duration)
	// Replace ends a leaving instance in order and starts a fresh one.
	Replace(instance int, now time.Duration)
	// ControlBytes returns the bytes that each instance has sent so far.
	ControlBytes() []int
}

const (
	// TickInterval is the time between two rounds of replication.
	TickInterval = 500 * time.Millisecond
	// detectionDelay is the time until a killed instance is declared dead.
	detectionDelay = 4 * time.Second
)

// hashRouter forwards by the present default table and remembers nothing.
type hashRouter struct {
	instances int
	table     *lookup.Table
}

// NewHashRouter returns the baseline without memory.
func NewHashRouter(instances int) Router {
	return &hashRouter{instances: instances}
}

func (r *hashRouter) Route(_ int, packet *flow.Packet, _ time.Duration) common.EndpointID {
	return r.table.Default(packet.Hash.Bucket())
}

func (r *hashRouter) UpdateEndpoints(endpoints []common.Endpoint, _ time.Duration) {
	r.table = defaultTable(endpoints)
}

func (r *hashRouter) Tick(time.Duration)         {}
func (r *hashRouter) Kill(int, time.Duration)    {}
func (r *hashRouter) Replace(int, time.Duration) {}
func (r *hashRouter) ControlBytes() []int        { return make([]int, r.instances) }

// localRouter tracks each flow in the instance that received the packet, and
// shares nothing.
type localRouter struct {
	flows []map[common.FiveTuple]common.EndpointID
	table *lookup.Table
}

// NewLocalRouter returns the baseline that tracks flows in the receiving
// instance only.
func NewLocalRouter(instances int) Router {
	r := &localRouter{flows: make([]map[common.FiveTuple]common.EndpointID, instances)}
	for i := range r.flows {
		r.flows[i] = make(map[common.FiveTuple]common.EndpointID)
	}
	return r
}

func (r *localRouter) Route(instance int, packet *flow.Packet, _ time.Duration) common.EndpointID {
	flows := r.flows[instance]
	endpoint, known := flows[packet.Tuple]
	if !known || packet.First {
		endpoint = r.table.Default(packet.Hash.Bucket())
		flows[packet.Tuple] = endpoint
	}
	if packet.Fin {
		delete(flows, packet.Tuple)
	}
	return endpoint
}

func (r *localRouter) UpdateEndpoints(endpoints []common.Endpoint, _ time.Duration) {
	r.table = defaultTable(endpoints)
}

func (r *localRouter) Tick(time.Duration) {}

func (r *localRouter) Kill(instance int, _ time.Duration) {
	r.flows[instance] = make(map[common.FiveTuple]common.EndpointID)
}

func (r *localRouter) Replace(instance int, now time.Duration) {
	r.Kill(instance, now)
}

func (r *localRouter) ControlBytes() []int { return make([]int, len(r.flows)) }

func defaultTable(endpoints []common.Endpoint) *lookup.Table {
	var ids []common.EndpointID
	var weights []uint32
	for _, endpoint := range endpoints {
		if endpoint.State.TakesNewFlows() {
			ids = append(ids, endpoint.ID)
			weights = append(weights, endpoint.Weight)
		}
	}
	return lookup.Build(1, ids, weights)
}
