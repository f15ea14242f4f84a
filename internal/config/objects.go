// Package config decodes, checks, numbers, encodes and compares the operators'
// configuration.
package config

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// Fault is one finding of a decoder or a check.
type Fault = strictyaml.Fault

// File is one YAML file of a configuration.
type File struct {
	Name    string
	Content []byte
}

// Place names a data centre.
type Place struct {
	Name string `yaml:"name" json:"name" required:"true"`
	// DataCentre defaults to the name of the place.
	DataCentre string              `yaml:"data_centre" json:"data_centre"`
	Position   strictyaml.Position `yaml:"-" json:"-"`
}

// Policy holds the selection, limits and deadlines of services. All values are
// effective: what a policy does not set comes from the policy that it extends.
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
	// Idempotent permits data in a first packet. UDP services require it.
	Idempotent bool `yaml:"idempotent" json:"idempotent,omitempty"`
	// Policy is the name of a policy; the built-in defaults apply without one.
	Policy   string              `yaml:"policy" json:"policy,omitempty"`
	Position strictyaml.Position `yaml:"-" json:"-"`
}

// Endpoint is one address of a backend server.
type Endpoint struct {
	// ID is assigned by BuildRelease and never reused.
	ID    common.EndpointID `yaml:"-" json:"id,omitempty"`
	Name  string            `yaml:"name" json:"name" required:"true"`
	Place string            `yaml:"place" json:"place" required:"true"`
	// Address is where the endpoint receives Geneve packets.
	Address netip.AddrPort `yaml:"address" json:"address" required:"true"`
	// Health is where the endpoint answers GET /healthz.
	Health   netip.AddrPort      `yaml:"health" json:"health" required:"true"`
	Weight   uint32              `yaml:"weight" json:"weight" min:"1" max:"1000"`
	Position strictyaml.Position `yaml:"-" json:"-"`
}

// BackendSet is the set of endpoints that may serve one service.
type BackendSet struct {
	Name      string              `yaml:"name" json:"name" required:"true"`
	Endpoints []Endpoint          `yaml:"endpoints" json:"endpoints" required:"true"`
	Position  strictyaml.Position `yaml:"-" json:"-"`
}

// Rule joins a service with a backend set at some places.
type Rule struct {
	Name       string `yaml:"name" json:"name" required:"true"`
	Service    string `yaml:"service" json:"service" required:"true"`
	BackendSet string `yaml:"backend_set" json:"backend_set" required:"true"`
	// Places limits the rule to entry instances at these places; an empty list
	// means all places.
	Places   []string            `yaml:"places" json:"places,omitempty"`
	Position strictyaml.Position `yaml:"-" json:"-"`
}

// Configuration is a checked set of objects, each kind sorted by name.
type Configuration struct {
	Places      []Place      `json:"places"`
	Policies    []Policy     `json:"policies"`
	Services    []Service    `json:"services"`
	BackendSets []BackendSet `json:"backend_sets"`
	Rules       []Rule       `json:"rules"`
}

// DefaultPolicy returns the values that apply where no policy sets them.
func DefaultPolicy() Policy {
	return Policy{
		Selection:    "hash",
		BoundPercent: 125,
		SlowStartMS:  30_000,
		// Long downloads pause for minutes when a caller's link stalls.
		IdleTimeoutMS:   900_000,
		DrainDeadlineMS: 600_000,
		// An endpoint of today's services holds about 2,000 connections.
		MaxFlowsPerEndpoint: 2_000,
		MaxEjectedPercent:   50,
	}
}

// DrainDeadline is how long a drain may take.
func (p *Policy) DrainDeadline() time.Duration {
	return time.Duration(p.DrainDeadlineMS) * time.Millisecond
}

// ToCommon returns the policy in the form of the packet path.
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

// ServiceAddress returns the address in the form of the packet path.
func (s *Service) ServiceAddress() common.ServiceAddress {
	protocol := common.ProtocolTCP
	if s.Protocol == "udp" {
		protocol = common.ProtocolUDP
	}
	return common.ServiceAddress{Address: s.Address, Port: s.Port, Protocol: protocol}
}
