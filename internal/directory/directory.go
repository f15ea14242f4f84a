// Package directory is the data model of the configuration, the endpoints and the
// evacuations in the object store, with their store revisions. It uses no clock, socket or
// goroutine.
package directory

import (
	"cmp"
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

// Configuration is one accepted configuration.
type Configuration struct {
	// Version is the version number set by the operator. It grows in irregular steps.
	// The configuration with the highest version is the newest, even if a restored
	// store lists an older one.
	Version uint64
	// Revision is the store revision of the object's last change.
	Revision common.Revision
	Rules    []Rule
	Services []Service
	// IdleTimeout is the time without packets after which a flow ends.
	IdleTimeout time.Duration
}

// ID returns the identity of the configuration, the zero value if c is nil.
func (c *Configuration) ID() ConfigurationID {
	if c == nil {
		return ConfigurationID{}
	}
	return ConfigurationID{Version: c.Version, Revision: c.Revision}
}

// ConfigurationID identifies a configuration as one entry of the store. The zero value
// precedes all others.
type ConfigurationID struct {
	Version  uint64
	Revision common.Revision
}

// After reports whether other precedes the configuration.
func (i ConfigurationID) After(other ConfigurationID) bool {
	return cmp.Or(cmp.Compare(i.Version, other.Version), i.Revision.Compare(other.Revision)) > 0
}

// Rule maps the flows to one address to services.
type Rule struct {
	Name    string
	Address common.ServiceAddress
	// Targets are the services of the rule. New flows are distributed by weight.
	Targets []Target
	// Timeout is how long a caller waits for a response.
	Timeout time.Duration
	// LatencyTarget is the response time that should be met, 0 for none.
	LatencyTarget time.Duration
	// Priority decides which flows of a service are shed first under overload; 0 is
	// the highest priority.
	Priority int
	// Repeatable is set if a request may run more than once.
	Repeatable bool
}

// Target is one service of a rule. A target of weight 0 gets no new flows.
type Target struct {
	Service string
	Weight  uint32
}

// Service is the configuration of one service.
type Service struct {
	Name string
	// HealthPath is the HTTP path of health checks: a healthy endpoint answers a GET
	// with status 200.
	HealthPath string
	// MaxFlows is the maximum number of flows of one endpoint.
	MaxFlows uint32
	// WarmUpRate is the number of new flows that an endpoint can take in a second while
	// it warms up, 0 if none is specified.
	WarmUpRate float64
}

// Endpoint is one endpoint as the store lists it.
type Endpoint struct {
	// Name is the endpoint's key in the store. An endpoint that restarts keeps its
	// name and gets another start time in StartedAt.
	Name string
	// ID identifies the endpoint in the envelopes of its packets and determines its
	// labels. It is never 0.
	ID         uint64
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the endpoint serves concurrently.
	Slots    uint32
	Draining bool
	// WarmUp is the warm-up time that remained when this entry was written.
	WarmUp time.Duration
	// StartedAt is the start time of the endpoint in Unix milliseconds, 0 if unknown.
	StartedAt int64
	// Sequence counts the heartbeats of the endpoint since its start, at the time at
	// which it wrote this entry.
	Sequence uint64
	// Revision is the store revision of the entry's last change.
	Revision common.Revision
}

// WrittenBefore reports whether the endpoint wrote this entry before the other one. It
// does not depend on the revisions, which a restored store assigns again.
func (e *Endpoint) WrittenBefore(other *Endpoint) bool {
	if e.StartedAt != other.StartedAt && e.StartedAt != 0 && other.StartedAt != 0 {
		return e.StartedAt < other.StartedAt
	}
	return e.Sequence < other.Sequence
}

// lateFor reports whether this entry is an earlier heartbeat of the same incarnation than the
// other one. A start time that is unknown does not tell a restart, which begins the sequence
// again.
func (e *Endpoint) lateFor(other *Endpoint) bool {
	return e.StartedAt != 0 && e.SameIncarnation(other) && e.Sequence < other.Sequence
}

// SameIncarnation reports whether both entries describe the same endpoint since the
// same start.
func (e *Endpoint) SameIncarnation(other *Endpoint) bool {
	return e.Name == other.Name && e.StartedAt == other.StartedAt && e.Service == other.Service && e.Address == other.Address
}
