package discovery

import "burdockrelay.example/burdockrelay/internal/directory"

// EndpointState is what an instance believes of an endpoint.
type EndpointState uint8

// Standings. Excused endpoints are missing from the store after an outage and still
// used.
const (
	Unknown EndpointState = iota
	Serving
	Draining
	Excused
	Gone
)

// String returns the name used in logs.
func (s EndpointState) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Excused:
		return "excused"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// EndpointChange is a change of what is believed of one endpoint.
type EndpointChange struct {
	Endpoint directory.Endpoint
	From, To EndpointState
}

// changes compares what is believed now with the last time and returns the
// changes, in the order of the given endpoints. The caller holds mu.
func (k *Cache) changes(known []*directory.EndpointRecord, standing func(*directory.EndpointRecord) EndpointState) []EndpointChange {
	var changes []EndpointChange
	next := make(map[string]EndpointState, len(known))
	for _, each := range known {
		name := each.Endpoint.Name
		next[name] = standing(each)
		if former := k.standings[name]; former != next[name] {
			changes = append(changes, EndpointChange{Endpoint: each.Endpoint, From: former, To: next[name]})
		}
	}
	k.standings = next
	return changes
}
