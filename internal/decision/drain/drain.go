// Package drain merges the drain overrides of endpoints, which operators may set
// on any instance. All instances converge on the override with the highest
// version.
package drain

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// Override is the drain setting of one endpoint.
type Override struct {
	Endpoint common.EndpointID
	Draining bool
	// Version increases with each override of the endpoint.
	Version uint64
	// Origin is the instance on which the override was set. It breaks ties
	// between overrides with the same version.
	Origin common.InstanceID
}

// Newer reports whether o replaces other, an override of the same endpoint. The
// order is total, so all instances converge on the same override.
func (o Override) Newer(other Override) bool {
	if o.Version != other.Version {
		return o.Version > other.Version
	}
	if o.Origin != other.Origin {
		return o.Origin > other.Origin
	}
	return o.Draining && !other.Draining
}

// Table holds the newest override of each endpoint on one instance.
type Table struct {
	overrides map[common.EndpointID]Override
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{overrides: map[common.EndpointID]Override{}}
}

// Set stores and returns an operator's override with the next version.
func (t *Table) Set(endpoint common.EndpointID, draining bool, origin common.InstanceID) Override {
	override := Override{
		Endpoint: endpoint,
		Draining: draining,
		Version:  t.overrides[endpoint].Version + 1,
		Origin:   origin,
	}
	t.overrides[endpoint] = override
	return override
}

// Merge stores an override from a peer or the platform if it is newer than the
// stored one, and reports whether it was stored.
func (t *Table) Merge(override Override) bool {
	known, found := t.overrides[override.Endpoint]
	if found && !override.Newer(known) {
		return false
	}
	t.overrides[override.Endpoint] = override
	return true
}

// Draining reports whether the override of the endpoint, if any, drains it.
func (t *Table) Draining(endpoint common.EndpointID) bool {
	return t.overrides[endpoint].Draining
}

// Get returns the override of an endpoint, and false if there is none.
func (t *Table) Get(endpoint common.EndpointID) (Override, bool) {
	override, found := t.overrides[endpoint]
	return override, found
}

// All returns all overrides, ordered by endpoint.
func (t *Table) All() []Override {
	all := make([]Override, 0, len(t.overrides))
	for _, override := range t.overrides {
		all = append(all, override)
	}
	slices.SortFunc(all, func(a, b Override) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	return all
}
