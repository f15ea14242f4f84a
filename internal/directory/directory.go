// Package directory holds what an instance knows of the configuration and the
// endpoints that the object store lists: rules, services and endpoints with the
// revisions that order them. It has no clock, socket or goroutine.
package directory

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Configuration is one accepted configuration.
type Configuration struct {
	// Version is the operator's number, which grows in irregular steps.
	Version uint64
	// Revision is the store's revision of the object; it orders configurations.
	Revision uint64
	Rules    []Rule
	Services []Service
	// IdleTimeout ends a flow without packets.
	IdleTimeout time.Duration
}

// Rule sends the flows to one address to services.
type Rule struct {
	Name    string
	Address common.ServiceAddress
	// Targets has one entry, or several that share new flows by weight.
	Targets []Target
	// Timeout is how long a caller waits for a response.
	Timeout time.Duration
	// LatencyTarget is the time in which a response should come, 0 for none.
	LatencyTarget time.Duration
	// Priority orders rules of one service under overload; 0 is the highest.
	Priority int
}

// Target is one service of a rule. A target of weight 0 gets no new flows.
type Target struct {
	Service string
	Weight  uint32
}

// Service is what the configuration says of one service.
type Service struct {
	Name string
	// HealthPath answers GET on an endpoint's address with 200 while the
	// endpoint is healthy.
	HealthPath string
	// MaxFlows is the number of flows that one endpoint holds.
	MaxFlows uint32
}

// Endpoint is one endpoint as the store lists it.
type Endpoint struct {
	// Name is the endpoint's key in the store. An endpoint may start again
	// under its name; Born then differs.
	Name string
	// Number identifies the endpoint in the envelope of its packets, never 0.
	Number     uint64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the endpoint serves at once.
	Slots    uint32
	Draining bool
	// WarmUp is how long the endpoint stays slow after this entry was written.
	WarmUp time.Duration
	// Born is the start of the endpoint in Unix milliseconds, 0 when unknown.
	Born int64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// SameIncarnation reports whether both entries describe the same run of the
// same endpoint.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	return e.Name == other.Name && e.Born == other.Born && e.Service == other.Service && e.Address == other.Address
}
