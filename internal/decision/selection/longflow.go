package selection

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// longFlowCost is added for each open long flow, divided by the slots of the endpoint: when
	// all callers become active together, each flow has one request in flight. The mean of
	// requests in flight for each flow is not used, because it is lowest just before all
	// callers become active.
	longFlowCost = 1.0
	// longRemoteCost is added for an endpoint in another data centre, in flows for each slot. A
	// long flow leaves its data centre only if that has much more load than others, because a
	// partition between the data centres would interrupt the flow.
	longRemoteCost = 3.0
)

// longCost returns the part of the cost of an endpoint that is specific to long flows.
//
// The distance in the common order is a fraction of a flow. It thus decides between
// endpoints with equal numbers of flows, and an endpoint with twice the slots of another
// one is chosen over it up to twice the distance.
func (m *Member) longCost() float64 {
	return longFlowCost * (float64(m.longFlows) + m.distance) / m.slots()
}

// remoteCost returns what is added for an endpoint in another data centre.
func (r *Request) remoteCost() float64 {
	if r.Long {
		return longRemoteCost
	}
	return remoteCost
}

// LongFlowBound records that an open long flow is bound to the endpoint.
func (m *Member) LongFlowBound() { m.addLongFlows(1) }

// LongFlowUnbound records that a long flow has ended or moved to another endpoint.
func (m *Member) LongFlowUnbound() { m.addLongFlows(-1) }

func (m *Member) addLongFlows(change int) {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	m.longFlows += change
}

// LongFlows returns the number of this instance's open long flows on the endpoint.
func (m *Member) LongFlows() int {
	m.pool.mu.Lock()
	defer m.pool.mu.Unlock()
	return m.longFlows
}

// Place returns the place of an instance in the common order, from 0 up to 1. All instances
// that know the same others have evenly spaced places, in the order of a hash of their
// names.
func Place(instance string, others []string) float64 {
	own := xxhash.Sum64String(instance)
	rank, count := 0, 1
	for _, name := range others {
		if name == instance {
			continue
		}
		count++
		if xxhash.Sum64String(name) < own {
			rank++
		}
	}
	return float64(rank) / float64(count)
}

// SetPlace sets the place in the common order at which this instance's order of endpoints
// begins; see Place.
func (p *Pool) SetPlace(place float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.place = place
	p.updateDistances()
}

// updateDistances sets the distances of the endpoints that get new flows from the place of
// the instance. All instances order the endpoints by a hash of their names, but each begins at
// its own place and continues at the start after the end. The union of their choices is
// therefore more even than if each chose independently.
func (p *Pool) updateDistances() {
	ordered := slices.DeleteFunc(slices.Clone(p.members), func(m *Member) bool { return m.exclusion() != NotExcluded })
	slices.SortFunc(ordered, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	for i, m := range ordered {
		m.distance = float64(i)/float64(len(ordered)) - p.place
		if m.distance < 0 {
			m.distance++
		}
	}
}
