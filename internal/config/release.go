package config

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// MaxQuarantine bounds the addresses that a release holds in quarantine. It
// allows every endpoint of the target scale to be replaced in one release.
const MaxQuarantine = 16_384

// Release is one immutable numbered configuration.
type Release struct {
	Number uint64 `json:"number"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// CreatedAt is in RFC 3339 with nanoseconds, UTC. It is informative and
	// never used for ordering.
	CreatedAt string `json:"created_at"`
	// NextService and NextEndpoint are the lowest numbers never assigned.
	NextService  common.ServiceID  `json:"next_service"`
	NextEndpoint common.EndpointID `json:"next_endpoint"`
	Configuration
	// Quarantine lists addresses that older releases gave to a service and
	// that instances with such a release may still use for it.
	Quarantine []QuarantinedAddress `json:"quarantine"`
	// History lists the accepted releases before this one, newest first, at
	// most MaxHistory. The platform keeps only the newest bodies.
	History []ReleaseRecord `json:"history"`
}

// MaxHistory bounds the history of a release. It covers months of the present
// users' changes and 2.5 hours of the 4,800 a day of the target scale.
const MaxHistory = 500

// maxRecordNote bounds the note of a record, so that the longest history fits
// into the body next to the target scale's objects.
const maxRecordNote = 200

// ReleaseRecord summarizes an accepted release.
type ReleaseRecord struct {
	Number    uint64 `json:"number"`
	Hash      string `json:"hash"`
	Author    string `json:"author"`
	Note      string `json:"note,omitempty"`
	CreatedAt string `json:"created_at"`
}

// Record summarizes the release itself.
func (r *Release) Record() ReleaseRecord {
	note := r.Note
	if len(note) > maxRecordNote {
		note = strings.ToValidUTF8(note[:maxRecordNote], "")
	}
	return ReleaseRecord{Number: r.Number, Hash: r.Hash(), Author: r.Author, Note: note, CreatedAt: r.CreatedAt}
}

// historyAfter returns the history of the release that follows previous.
func historyAfter(previous *Release) []ReleaseRecord {
	if previous.Number == 0 {
		return []ReleaseRecord{}
	}
	kept := previous.History[:min(len(previous.History), MaxHistory-1)]
	return append([]ReleaseRecord{previous.Record()}, kept...)
}

// QuarantinedAddress is an address that only its last service may use again.
type QuarantinedAddress struct {
	// Address is "tcp/192.0.2.1:443" for a service and "endpoint/10.0.0.1:6081"
	// for an endpoint.
	Address string `json:"address"`
	Service string `json:"service"`
	// Since is the first release in which the service does not use the address.
	Since uint64 `json:"since"`
}

// ReleaseInfo describes a publication.
type ReleaseInfo struct {
	// Number is the number of the release; 0 takes the one after previous.
	Number    uint64
	Author    string
	Note      string
	CreatedAt time.Time
	// OldestInForce is the lowest release that any instance may still have in
	// force. Addresses in quarantine since that release or an earlier one are
	// free. 0 means unknown: nothing becomes free.
	OldestInForce uint64
}

// Length limits of the texts of a release.
const (
	MaxAuthorLength = 128
	MaxNoteLength   = 1_024
)

// BuildRelease numbers the services and endpoints of a checked configuration.
// A service keeps its number while its name stays; an endpoint keeps its number
// while its name, address and service stay. Numbers are never reused. previous
// is the newest accepted release, nil before the first one.
func BuildRelease(c *Configuration, previous *Release, info ReleaseInfo) (*Release, []Fault) {
	release := &Release{
		Number: info.Number,
		// JSON cannot carry invalid UTF-8 unchanged.
		Author:        strings.ToValidUTF8(info.Author, "?"),
		Note:          strings.ToValidUTF8(info.Note, "?"),
		CreatedAt:     info.CreatedAt.UTC().Format(time.RFC3339Nano),
		NextService:   1,
		NextEndpoint:  1,
		Configuration: c.clone(),
		Quarantine:    []QuarantinedAddress{},
	}
	if previous == nil {
		previous = &Release{NextService: 1, NextEndpoint: 1}
	}
	release.NextService = previous.NextService
	release.NextEndpoint = previous.NextEndpoint
	if release.Number == 0 {
		release.Number = previous.Number + 1
	}
	if faults := checkInfo(release, previous); len(faults) > 0 {
		return nil, faults
	}
	carried := addressRestrictions(previous, release, info.OldestInForce)
	if faults := checkQuarantine(c, carried); len(faults) > 0 {
		return nil, sortFaults(faults)
	}
	release.Quarantine = unusedRestrictions(release, carried)
	release.History = historyAfter(previous)
	if len(release.Quarantine) > MaxQuarantine {
		return nil, []Fault{{
			Code:    resultcode.CheckLimit,
			Message: fmt.Sprintf("%d addresses would be in quarantine, more than %d", len(release.Quarantine), MaxQuarantine),
			Advice:  "publish fewer removals, or wait until all instances have the release in force",
		}}
	}
	if !release.assignIDs(previous) {
		return nil, []Fault{{
			Code: resultcode.CheckLimit, Message: "the endpoint or service numbers are used up",
			Advice: "start a new installation; numbers are never reused",
		}}
	}
	return release, nil
}

func checkInfo(release, previous *Release) []Fault {
	var faults []Fault
	add := func(code resultcode.Code, message, advice string) {
		faults = append(faults, Fault{Code: code, Message: message, Advice: advice})
	}
	if release.Number <= previous.Number {
		add(resultcode.PublishConflict, fmt.Sprintf("release %d does not follow release %d", release.Number, previous.Number),
			"publish on the newest release")
	}
	if release.Author == "" || len(release.Author) > MaxAuthorLength {
		add(resultcode.ConfigMissingField, "the author is missing or too long",
			fmt.Sprintf("give an author of 1 to %d bytes", MaxAuthorLength))
	}
	if len(release.Note) > MaxNoteLength {
		add(resultcode.CheckLimit, "the note is too long", fmt.Sprintf("shorten the note to %d bytes", MaxNoteLength))
	}
	return faults
}

// clone copies the objects without their positions.
func (c *Configuration) clone() Configuration {
	copied := Configuration{
		Places:      append([]Place{}, c.Places...),
		Policies:    append([]Policy{}, c.Policies...),
		Services:    append([]Service{}, c.Services...),
		BackendSets: append([]BackendSet{}, c.BackendSets...),
		Rules:       append([]Rule{}, c.Rules...),
	}
	for i := range copied.Places {
		copied.Places[i].Position = strictyaml.Position{}
	}
	for i := range copied.Policies {
		copied.Policies[i].Position = strictyaml.Position{}
	}
	for i := range copied.Services {
		copied.Services[i].Position = strictyaml.Position{}
	}
	for i := range copied.BackendSets {
		set := &copied.BackendSets[i]
		set.Position = strictyaml.Position{}
		set.Endpoints = append([]Endpoint{}, set.Endpoints...)
		for j := range set.Endpoints {
			set.Endpoints[j].Position = strictyaml.Position{}
		}
	}
	for i := range copied.Rules {
		copied.Rules[i].Position = strictyaml.Position{}
		copied.Rules[i].Places = slices.Clone(copied.Rules[i].Places)
	}
	return copied
}

func serviceAddressKey(service *Service) string { return string(appendServiceAddressKey(nil, service)) }

func appendServiceAddressKey(key []byte, service *Service) []byte {
	key = append(key, service.Protocol...)
	key = service.Address.AppendTo(append(key, '/'))
	return strconv.AppendUint(append(key, ':'), uint64(service.Port), 10)
}

func endpointAddressKey(endpoint *Endpoint) string { return string(appendEndpointAddressKey(nil, endpoint)) }

func appendEndpointAddressKey(key []byte, endpoint *Endpoint) []byte {
	return endpoint.Address.AppendTo(append(key, "endpoint/"...))
}

// serviceByBackendSet returns the service that each backend set serves.
func (c *Configuration) serviceByBackendSet() map[string]string {
	services := make(map[string]string, len(c.Rules))
	for i := range c.Rules {
		services[c.Rules[i].BackendSet] = c.Rules[i].Service
	}
	return services
}

// serviceByAddress returns the service that serviceByAddress each address.
func (c *Configuration) serviceByAddress() map[string]string {
	uses := make(map[string]string)
	for i := range c.Services {
		uses[serviceAddressKey(&c.Services[i])] = c.Services[i].Name
	}
	services := c.serviceByBackendSet()
	for i := range c.BackendSets {
		set := &c.BackendSets[i]
		for j := range set.Endpoints {
			uses[endpointAddressKey(&set.Endpoints[j])] = services[set.Name]
		}
	}
	return uses
}

// addressRestrictions returns the quarantine that restricts the new release: what
// is not free yet, and every address that the previous release uses.
func addressRestrictions(previous, next *Release, oldestInForce uint64) map[string]QuarantinedAddress {
	carried := make(map[string]QuarantinedAddress)
	for _, entry := range previous.Quarantine {
		if entry.Since > oldestInForce {
			carried[entry.Address] = entry
		}
	}
	for address, service := range previous.serviceByAddress() {
		carried[address] = QuarantinedAddress{Address: address, Service: service, Since: next.Number}
	}
	return carried
}

func checkQuarantine(c *Configuration, carried map[string]QuarantinedAddress) []Fault {
	var faults []Fault
	checkUse := func(position strictyaml.Position, address, service string) {
		entry, ok := carried[address]
		if !ok || entry.Service == service {
			return
		}
		faults = append(faults, Fault{
			File: position.File, Line: position.LineOf("address"), Code: resultcode.CheckAddressQuarantined,
			Message: fmt.Sprintf("%s cannot move to service %s: instances may still use it for %s", address, service, entry.Service),
			Advice: fmt.Sprintf("use another address, or publish without it and wait until all instances have release %d or higher",
				entry.Since),
		})
	}
	for i := range c.Services {
		service := &c.Services[i]
		checkUse(service.Position, serviceAddressKey(service), service.Name)
	}
	services := c.serviceByBackendSet()
	for i := range c.BackendSets {
		set := &c.BackendSets[i]
		for j := range set.Endpoints {
			endpoint := &set.Endpoints[j]
			checkUse(endpoint.Position, endpointAddressKey(endpoint), services[set.Name])
		}
	}
	return faults
}

// unusedRestrictions returns the carried addresses that the release does not use,
// sorted by address.
func unusedRestrictions(release *Release, carried map[string]QuarantinedAddress) []QuarantinedAddress {
	uses := release.serviceByAddress()
	quarantine := []QuarantinedAddress{}
	for address, entry := range carried {
		if _, ok := uses[address]; !ok {
			quarantine = append(quarantine, entry)
		}
	}
	slices.SortFunc(quarantine, func(a, b QuarantinedAddress) int { return strings.Compare(a.Address, b.Address) })
	return quarantine
}

// endpointIdentity is what an endpoint number stands for.
type endpointIdentity struct {
	service common.ServiceID
	name    string
	address string
}

func (r *Release) endpointIDs() map[endpointIdentity]common.EndpointID {
	numbers := make(map[endpointIdentity]common.EndpointID)
	serviceIDs := r.serviceIDs()
	services := r.serviceByBackendSet()
	for i := range r.BackendSets {
		set := &r.BackendSets[i]
		service := serviceIDs[services[set.Name]]
		for j := range set.Endpoints {
			endpoint := &set.Endpoints[j]
			numbers[endpointIdentity{service, endpoint.Name, endpoint.Address.String()}] = endpoint.ID
		}
	}
	return numbers
}

func (r *Release) serviceIDs() map[string]common.ServiceID {
	numbers := make(map[string]common.ServiceID, len(r.Services))
	for i := range r.Services {
		numbers[r.Services[i].Name] = r.Services[i].ID
	}
	return numbers
}

// assignIDs reports false when the numbers are used up.
func (r *Release) assignIDs(previous *Release) bool {
	oldServices := previous.serviceIDs()
	for i := range r.Services {
		service := &r.Services[i]
		if id, ok := oldServices[service.Name]; ok {
			service.ID = id
			continue
		}
		if r.NextService == math.MaxUint32 {
			return false
		}
		service.ID = r.NextService
		r.NextService++
	}
	oldEndpoints := previous.endpointIDs()
	serviceIDs := r.serviceIDs()
	services := r.serviceByBackendSet()
	for i := range r.BackendSets {
		set := &r.BackendSets[i]
		service := serviceIDs[services[set.Name]]
		for j := range set.Endpoints {
			endpoint := &set.Endpoints[j]
			identity := endpointIdentity{service, endpoint.Name, endpoint.Address.String()}
			if id, ok := oldEndpoints[identity]; ok {
				endpoint.ID = id
				continue
			}
			if r.NextEndpoint == math.MaxUint32 {
				return false
			}
			endpoint.ID = r.NextEndpoint
			r.NextEndpoint++
		}
	}
	return true
}
