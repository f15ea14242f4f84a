// Package drain merges the drain overrides of endpoints that operators set on
// any instance. The highest version of an endpoint wins everywhere.
package drain

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
)

// Override is the newest known wish for one endpoint.
type Override struct {
	Endpoint common.EndpointID
	Draining bool
	Version  uint64
	// Origin breaks ties between two operators that set the same version.
	Origin common.InstanceID
}

// Newer orders overrides of one endpoint; the order is total, so all instances
// settle on the same one.
func (o Override) Newer(other Override) bool {
	if o.Version != other.Version {
		return o.Version > other.Version
	}
	if o.Origin != other.Origin {
		return o.Origin > other.Origin
	}
	return o.Draining && !other.Draining
}

// Table holds the overrides that one instance knows.
type Table struct {
	overrides map[common.EndpointID]Override
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{overrides: map[common.EndpointID]Override{}}
}

// Set records an operator's wish with the next version.
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

// Merge takes an override from a peer or from the platform and reports whether
// it was newer than the known one.
func (t *Table) Merge(override Override) bool {
	known, found := t.overrides[override.Endpoint]
	if found && !override.Newer(known) {
		return false
	}
	t.overrides[override.Endpoint] = override
	return true
}

// Draining reports whether an operator drains the endpoint.
func (t *Table) Draining(endpoint common.EndpointID) bool {
	return t.overrides[endpoint].Draining
}

// Get returns the override of an endpoint.
func (t *Table) Get(endpoint common.EndpointID) (Override, bool) {
	override, found := t.overrides[endpoint]
	return override, found
}

// All returns every override, ordered by endpoint.
func (t *Table) All() []Override {
	all := make([]Override, 0, len(t.overrides))
	for _, override := range t.overrides {
		all = append(all, override)
	}
	slices.SortFunc(all, func(a, b Override) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	return all
}
