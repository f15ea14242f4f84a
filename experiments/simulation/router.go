package simulation

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/decision/lookup"
)

// Router routes packets of the simulated service through a group of instances.
// An instance is identified by its index, from 0.
type Router interface {
	// Route returns the endpoint that receives the packet, or 0 if it is dropped.
	Route(index int, packet *flow.Packet, now time.Duration) common.EndpointID
	// UpdateEndpoints replaces the endpoint states and loads on every instance.
	UpdateEndpoints(endpoints []common.Endpoint, now time.Duration)
	// Tick runs the periodic work. It is called once every TickInterval.
	Tick(now time.Duration)
	// Kill ends an instance without notice. The others detect it after
	// detectionDelay.
	Kill(index int, now time.Duration)
	// Replace lets an instance leave gracefully and starts a new one in its place.
	Replace(index int, now time.Duration)
	// ControlBytes returns the number of bytes of control traffic that each instance
	// has sent and received so far, in total.
	ControlBytes() []int
}

const (
	// TickInterval is the time between two rounds of replication.
	TickInterval = 500 * time.Millisecond
	// detectionDelay is the time until a killed instance is declared dead.
	detectionDelay = 4 * time.Second
)

// hashRouter is a stateless router. It forwards each packet to the default endpoint of
// its hash.
type hashRouter struct {
	instances int
	table     *lookup.Table
}

// NewHashRouter returns a baseline router that keeps no flow state.
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

// localRouter tracks each flow in the instance that received its packet. The
// instances share no state.
type localRouter struct {
	flows []map[common.FiveTuple]common.EndpointID
	table *lookup.Table
}

// NewLocalRouter returns a baseline router that keeps flow state in the receiving
// instance only.
func NewLocalRouter(instances int) Router {
	r := &localRouter{flows: make([]map[common.FiveTuple]common.EndpointID, instances)}
	for i := range r.flows {
		r.flows[i] = make(map[common.FiveTuple]common.EndpointID)
	}
	return r
}

func (r *localRouter) Route(index int, packet *flow.Packet, _ time.Duration) common.EndpointID {
	flows := r.flows[index]
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

func (r *localRouter) Kill(index int, _ time.Duration) {
	r.flows[index] = make(map[common.FiveTuple]common.EndpointID)
}

func (r *localRouter) Replace(index int, now time.Duration) {
	r.Kill(index, now)
}

func (r *localRouter) ControlBytes() []int { return make([]int, len(r.flows)) }

// defaultTable returns the lookup table of the endpoints that accept new flows.
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
