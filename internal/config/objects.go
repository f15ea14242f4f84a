// Package config parses and validates the operators' YAML configuration, builds
// numbered releases from it, and encodes, compares and decodes releases and the
// deltas between them.
package config

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// Fault is one fault that Parse or BuildRelease reports.
type Fault = strictyaml.Fault

// File is one YAML file of a configuration.
type File struct {
	Name    string
	Content []byte
}

// Place is a location of endpoints and entry instances, in one data centre.
type Place struct {
	Name string `yaml:"name" json:"name" required:"true"`
	// DataCentre defaults to the name of the place.
	DataCentre string              `yaml:"data_centre" json:"data_centre"`
	Position   strictyaml.Position `yaml:"-" json:"-"`
}

// Policy holds the endpoint selection, the limits and the timeouts of services.
// Each field has its effective value: a field that the policy does not set has
// the value from the policy that it extends, or else from DefaultPolicy.
// common.Policy describes the limits.
type Policy struct {
	Name                string              `json:"name"`
	Extends             string              `json:"extends,omitempty"`
	Selection           string              `json:"selection"`
	BoundPercent        uint32              `json:"bound_percent"`
	SlowStartMS         uint32              `json:"slow_start_ms"`
	IdleTimeoutMS       uint32              `json:"idle_timeout_ms"`
	DrainDeadlineMS     uint32              `json:"drain_deadline_ms"`
	MaxFlowsPerEndpoint uint32              `json:"max_flows_per_endpoint"`
	NewFlowsPerSecond   uint32              `json:"new_flows_per_second"`
	MaxEjectedPercent   uint32              `json:"max_ejected_percent"`
	Position            strictyaml.Position `json:"-"`
}

// Service is an address, port and protocol that callers use.
type Service struct {
	// ID is assigned by BuildRelease and never reused.
	ID       common.ServiceID `yaml:"-" json:"id,omitempty"`
	Name     string           `yaml:"name" json:"name" required:"true"`
	Address  netip.Addr       `yaml:"address" json:"address" required:"true"`
	Port     uint16           `yaml:"port" json:"port" required:"true" min:"1" max:"65535"`
	Protocol string           `yaml:"protocol" json:"protocol" required:"true" oneof:"tcp udp"`
	// Idempotent states that a repeated request does no harm, which permits data
	// in the first packet of a flow. UDP services require it.
	Idempotent bool `yaml:"idempotent" json:"idempotent,omitempty"`
	// Policy is the name of a policy. If it is empty, DefaultPolicy applies.
	Policy   string              `yaml:"policy" json:"policy,omitempty"`
	Position strictyaml.Position `yaml:"-" json:"-"`
}

// Endpoint is one address of a backend server.
type Endpoint struct {
	// ID is assigned by BuildRelease and never reused.
	ID    common.EndpointID `yaml:"-" json:"id,omitempty"`
	Name  string            `yaml:"name" json:"name" required:"true"`
	Place string            `yaml:"place" json:"place" required:"true"`
	// Address is the address on which the endpoint receives Geneve packets.
	Address netip.AddrPort `yaml:"address" json:"address" required:"true"`
	// Health is the address on which the endpoint serves GET /healthz.
	Health netip.AddrPort `yaml:"health" json:"health" required:"true"`
	// Weight is relative to the weights of the other endpoints; the default is
	// defaultWeight.
	Weight   uint32              `yaml:"weight" json:"weight" min:"1" max:"1000"`
	Position strictyaml.Position `yaml:"-" json:"-"`
}

// BackendSet is the set of endpoints that may serve one service.
type BackendSet struct {
	Name      string              `yaml:"name" json:"name" required:"true"`
	Endpoints []Endpoint          `yaml:"endpoints" json:"endpoints" required:"true"`
	Position  strictyaml.Position `yaml:"-" json:"-"`
}

// Rule assigns a backend set to a service, at all places or at some of them.
type Rule struct {
	Name       string `yaml:"name" json:"name" required:"true"`
	Service    string `yaml:"service" json:"service" required:"true"`
	BackendSet string `yaml:"backend_set" json:"backend_set" required:"true"`
	// Places limits the rule to groups of entry instances that cover one of these
	// places; an empty list means all groups.
	Places   []string            `yaml:"places" json:"places,omitempty"`
	Position strictyaml.Position `yaml:"-" json:"-"`
}

// Configuration is a validated set of objects, each kind sorted by name.
type Configuration struct {
	Places      []Place      `json:"places"`
	Policies    []Policy     `json:"policies"`
	Services    []Service    `json:"services"`
	BackendSets []BackendSet `json:"backend_sets"`
	Rules       []Rule       `json:"rules"`
}

// DefaultPolicy returns the policy of services that name none. Its values also
// apply to the fields that a policy neither sets nor inherits.
func DefaultPolicy() Policy {
	return Policy{
		Selection:    "hash",
		BoundPercent: 125,
		SlowStartMS:  30_000,
		// Long downloads can pause for minutes when the caller's link stalls.
		IdleTimeoutMS:   900_000,
		DrainDeadlineMS: 600_000,
		// An endpoint of the current services holds about 2,000 connections.
		MaxFlowsPerEndpoint: 2_000,
		MaxEjectedPercent:   50,
	}
}

// DrainDeadline returns the maximum duration of a drain.
func (p *Policy) DrainDeadline() time.Duration {
	return time.Duration(p.DrainDeadlineMS) * time.Millisecond
}

// ToCommon converts the policy to the type that the packet path uses.
func (p *Policy) ToCommon() common.Policy {
	return common.Policy{
		Selection:           selections[p.Selection],
		BoundPercent:        p.BoundPercent,
		SlowStart:           time.Duration(p.SlowStartMS) * time.Millisecond,
		IdleTimeout:         time.Duration(p.IdleTimeoutMS) * time.Millisecond,
		MaxFlowsPerEndpoint: p.MaxFlowsPerEndpoint,
		NewFlowsPerSecond:   p.NewFlowsPerSecond,
		MaxEjectedPercent:   p.MaxEjectedPercent,
	}
}

var selections = map[string]common.Selection{
	"hash":        common.SelectionHash,
	"bounded":     common.SelectionBounded,
	"two-choices": common.SelectionTwoChoices,
}

// ServiceAddress converts the address, port and protocol to the type that the
// packet path uses.
func (s *Service) ServiceAddress() common.ServiceAddress {
	protocol := common.ProtocolTCP
	if s.Protocol == "udp" {
		protocol = common.ProtocolUDP
	}
	return common.ServiceAddress{Address: s.Address, Port: s.Port, Protocol: protocol}
}
