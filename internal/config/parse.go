package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// defaultWeight is the weight of an endpoint that sets none.
const defaultWeight = 100

var codes = strictyaml.Codes{
	Syntax:       resultcode.ConfigSyntax,
	UnknownField: resultcode.ConfigUnknownField,
	WrongType:    resultcode.ConfigWrongType,
	WrongUnit:    resultcode.ConfigWrongUnit,
	BadAddress:   resultcode.ConfigBadAddress,
	MissingField: resultcode.ConfigMissingField,
	OutOfRange:   resultcode.ConfigOutOfRange,
}

// policySpec is a policy as written in a file. Absent fields are nil and are
// inherited.
type policySpec struct {
	Name                string              `yaml:"name" required:"true"`
	Extends             string              `yaml:"extends"`
	Selection           *string             `yaml:"selection" oneof:"hash bounded two-choices"`
	Bound               *strictyaml.Percent `yaml:"bound" min:"100%" max:"1000%"`
	SlowStart           *time.Duration      `yaml:"slow_start" min:"0s" max:"1h"`
	IdleTimeout         *time.Duration      `yaml:"idle_timeout" min:"1s" max:"24h"`
	DrainDeadline       *time.Duration      `yaml:"drain_deadline" min:"1s" max:"24h"`
	MaxFlowsPerEndpoint *uint32             `yaml:"max_flows_per_endpoint" min:"1" max:"1000000"`
	NewFlowsPerSecond   *uint32             `yaml:"new_flows_per_second" min:"0" max:"10000000"`
	MaxEjected          *strictyaml.Percent `yaml:"max_ejected" min:"0%" max:"50%"`
	Position            strictyaml.Position `yaml:"-"`
}

type parser struct {
	configuration Configuration
	policies      []policySpec
	faults        []Fault
}

// Parse decodes the files strictly and checks all objects together. It returns
// either a configuration or at least one fault.
func Parse(files []File) (*Configuration, []Fault) {
	p := &parser{}
	p.checkSizes(files)
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	for _, file := range files {
		p.decodeFile(file)
	}
	if len(p.faults) > 0 {
		return nil, sortFaults(p.faults)
	}
	p.configuration.Policies, p.faults = resolvePolicies(p.policies)
	p.configuration.sort()
	p.faults = append(p.faults, check(&p.configuration)...)
	if len(p.faults) > 0 {
		return nil, sortFaults(p.faults)
	}
	return &p.configuration, nil
}

func sortFaults(faults []Fault) []Fault {
	slices.SortStableFunc(faults, func(a, b Fault) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		return a.Line - b.Line
	})
	return faults
}

func (p *parser) checkSizes(files []File) {
	total := 0
	for _, file := range files {
		total += len(file.Content)
	}
	if len(files) > MaxFiles {
		p.faults = append(p.faults, Fault{
			File: files[MaxFiles].Name, Line: 1, Code: resultcode.CheckLimit,
			Message: fmt.Sprintf("%d files exceed the limit of %d", len(files), MaxFiles),
			Advice:  "put several documents into one file",
		})
	}
	if total > MaxInputBytes {
		p.faults = append(p.faults, Fault{
			File: files[0].Name, Line: 1, Code: resultcode.CheckLimit,
			Message: fmt.Sprintf("%d bytes of configuration exceed the limit of %d", total, MaxInputBytes),
			Advice:  "remove objects that are not needed",
		})
	}
}

// decodeFile decodes the documents of one file.
func (p *parser) decodeFile(file File) {
	decoder := &strictyaml.Decoder{File: file.Name, Codes: codes}
	for _, root := range decoder.Documents(file.Content) {
		p.decodeDocument(decoder, root)
	}
	p.faults = append(p.faults, decoder.Faults...)
}

// decodeDocument decodes one document into the object of its kind.
func (p *parser) decodeDocument(decoder *strictyaml.Decoder, root *yaml.Node) {
	kind, line := kindOf(root)
	switch kind {
	case "Place":
		var place Place
		decoder.Struct(root, &place, "kind")
		if place.DataCentre == "" {
			place.DataCentre = place.Name
		}
		p.configuration.Places = append(p.configuration.Places, place)
	case "Policy":
		var policy policySpec
		decoder.Struct(root, &policy, "kind")
		p.policies = append(p.policies, policy)
	case "Service":
		var service Service
		decoder.Struct(root, &service, "kind")
		p.configuration.Services = append(p.configuration.Services, service)
	case "BackendSet":
		var set BackendSet
		decoder.Struct(root, &set, "kind")
		setDefaultWeights(set.Endpoints)
		p.configuration.BackendSets = append(p.configuration.BackendSets, set)
	case "Rule":
		var rule Rule
		decoder.Struct(root, &rule, "kind")
		p.configuration.Rules = append(p.configuration.Rules, rule)
	default:
		decoder.Add(line, Fault{
			Code: resultcode.ConfigUnknownKind, Message: fmt.Sprintf("unknown kind %q", kind),
			Advice: "start the document with kind: Place, Service, BackendSet, Rule or Policy",
		})
	}
}

func setDefaultWeights(endpoints []Endpoint) {
	for i := range endpoints {
		if !endpoints[i].Position.Has("weight") {
			endpoints[i].Weight = defaultWeight
		}
	}
}

// kindOf returns the value of the field kind and the line of the field. Without
// the field it returns an empty kind and the line of the document.
func kindOf(root *yaml.Node) (kind string, line int) {
	if root.Kind != yaml.MappingNode {
		return "", root.Line
	}
	for i := 0; i+1 < len(root.Content); i += 2 {
		if root.Content[i].Value == "kind" {
			return root.Content[i+1].Value, root.Content[i].Line
		}
	}
	return "", root.Line
}

func byPlace(a, b Place) int           { return strings.Compare(a.Name, b.Name) }
func byPolicy(a, b Policy) int         { return strings.Compare(a.Name, b.Name) }
func byService(a, b Service) int       { return strings.Compare(a.Name, b.Name) }
func byBackendSet(a, b BackendSet) int { return strings.Compare(a.Name, b.Name) }
func byRule(a, b Rule) int             { return strings.Compare(a.Name, b.Name) }
func byEndpoint(a, b Endpoint) int     { return strings.Compare(a.Name, b.Name) }

// sort puts the objects into the canonical order.
func (c *Configuration) sort() {
	slices.SortFunc(c.Places, byPlace)
	slices.SortFunc(c.Policies, byPolicy)
	slices.SortFunc(c.Services, byService)
	slices.SortFunc(c.BackendSets, byBackendSet)
	slices.SortFunc(c.Rules, byRule)
	for i := range c.BackendSets {
		slices.SortFunc(c.BackendSets[i].Endpoints, byEndpoint)
	}
	for i := range c.Rules {
		slices.Sort(c.Rules[i].Places)
	}
}

// isSorted reports whether the objects are in the canonical order.
func (c *Configuration) isSorted() bool {
	for i := range c.BackendSets {
		if !slices.IsSortedFunc(c.BackendSets[i].Endpoints, byEndpoint) {
			return false
		}
	}
	for i := range c.Rules {
		if !slices.IsSorted(c.Rules[i].Places) {
			return false
		}
	}
	return slices.IsSortedFunc(c.Places, byPlace) && slices.IsSortedFunc(c.Policies, byPolicy) &&
		slices.IsSortedFunc(c.Services, byService) && slices.IsSortedFunc(c.BackendSets, byBackendSet) &&
		slices.IsSortedFunc(c.Rules, byRule)
}
