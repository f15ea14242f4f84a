package discovery

import "burdockrelay.example/burdockrelay/internal/directory"

// EndpointState is the state of an endpoint in the cache of an instance.
type EndpointState uint8

// States of an endpoint. InRecoveryGrace is that of an endpoint that is missing from the
// store after an outage and still in use; see recoveryGrace. A Gone endpoint gets no new
// flows.
const (
	Unknown EndpointState = iota
	Serving
	Draining
	InRecoveryGrace
	Gone
)

// String returns the name used in logs.
func (s EndpointState) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case InRecoveryGrace:
		return "excused"
	case Gone:
		return "gone"
	default:
		return "unknown"
	}
}

// Changes are the changes that took effect with one view.
type Changes struct {
	Endpoints []EndpointChange
	// Evacuations are those that came into force or ended.
	Evacuations []directory.Evacuation
}

// EndpointChange is a change of the state of one endpoint.
type EndpointChange struct {
	Endpoint directory.Endpoint
	From, To EndpointState
}

// stateChanges replaces the last states of all endpoints by the current ones and
// returns the differences, in the order of records. The caller holds mu.
func (c *Cache) stateChanges(records []*directory.EndpointRecord, state func(*directory.EndpointRecord) EndpointState) []EndpointChange {
	var stateChanges []EndpointChange
	next := make(map[string]EndpointState, len(records))
	for _, record := range records {
		name := record.Endpoint.Name
		next[name] = state(record)
		if previous := c.states[name]; previous != next[name] {
			stateChanges = append(stateChanges, EndpointChange{Endpoint: record.Endpoint, From: previous, To: next[name]})
		}
	}
	c.states = next
	return stateChanges
}
