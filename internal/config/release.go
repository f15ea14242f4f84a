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

// MaxQuarantine is the maximum number of quarantined addresses in a release. It
// is large enough to replace every endpoint of the target scale in one release.
const MaxQuarantine = 16_384

// Release is an immutable, numbered version of the configuration.
type Release struct {
	Number uint64 `json:"number"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// CreatedAt is a UTC time in RFC 3339 with nanoseconds. It is informative and
	// never used for ordering.
	CreatedAt string `json:"created_at"`
	// NextService and NextEndpoint are the lowest IDs that were never assigned.
	NextService  common.ServiceID  `json:"next_service"`
	NextEndpoint common.EndpointID `json:"next_endpoint"`
	Configuration
	// Quarantine lists the addresses that this release does not use, but that
	// instances with an older release may still use for a service.
	Quarantine []QuarantinedAddress `json:"quarantine"`
	// History lists up to MaxHistory accepted releases before this one, newest
	// first. The platform keeps the bodies of only the newest releases.
	History []ReleaseRecord `json:"history"`
}

// MaxHistory is the maximum number of records in the history of a release. It
// covers months of changes of the current users and 2.5 hours of the 4,800
// changes a day at the target scale.
const MaxHistory = 500

// maxRecordNoteLength is the maximum length of the note of a record in bytes. It
// lets the longest history fit into the body together with the objects of the
// target scale.
const maxRecordNoteLength = 200

// ReleaseRecord is the summary of an accepted release in a history.
type ReleaseRecord struct {
	Number    uint64 `json:"number"`
	Hash      string `json:"hash"`
	Author    string `json:"author"`
	Note      string `json:"note,omitempty"`
	CreatedAt string `json:"created_at"`
}

// Record returns the summary of the release. The note is cut to
// maxRecordNoteLength bytes.
func (r *Release) Record() ReleaseRecord {
	note := r.Note
	if len(note) > maxRecordNoteLength {
		note = strings.ToValidUTF8(note[:maxRecordNoteLength], "")
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

// QuarantinedAddress is an address that only the service that used it last may
// use again.
type QuarantinedAddress struct {
	// Address is "tcp/192.0.2.1:443" for a service and "endpoint/10.0.0.1:6081"
	// for an endpoint.
	Address string `json:"address"`
	Service string `json:"service"`
	// Since is the number of the first release in which the service does not use
	// the address.
	Since uint64 `json:"since"`
}

// ReleaseInfo holds the properties of a release that do not come from the
// configuration.
type ReleaseInfo struct {
	// Number is the number of the release. If it is 0, the release gets the
	// number after that of the previous release.
	Number    uint64
	Author    string
	Note      string
	CreatedAt time.Time
	// OldestInForce is the lowest number of a release that any instance may still
	// have in force. Addresses that are in quarantine since that release or an
	// earlier one leave the quarantine. If it is 0, the number is unknown and no
	// address leaves the quarantine.
	OldestInForce uint64
}

// Length limits of the texts of a release, in bytes.
const (
	MaxAuthorLength = 128
	MaxNoteLength   = 1_024
)

// BuildRelease builds the release that follows previous from a validated
// configuration and assigns IDs to its services and endpoints. A service keeps
// its ID as long as its name stays the same; an endpoint keeps its ID as long as
// its name, address and service stay the same. IDs are never reused. previous is
// the newest accepted release, or nil for the first release. BuildRelease
// returns either a release or at least one fault.
func BuildRelease(c *Configuration, previous *Release, info ReleaseInfo) (*Release, []Fault) {
	release := &Release{
		Number: info.Number,
		// JSON cannot represent invalid UTF-8.
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
	restrictions := addressRestrictions(previous, release, info.OldestInForce)
	if faults := checkQuarantine(c, restrictions); len(faults) > 0 {
		return nil, sortFaults(faults)
	}
	release.Quarantine = unusedRestrictions(release, restrictions)
	release.History = historyAfter(previous)
	if len(release.Quarantine) > MaxQuarantine {
		return nil, []Fault{{
			Code:    resultcode.CheckLimit,
			Message: fmt.Sprintf("%d addresses would be in quarantine, more than the limit of %d", len(release.Quarantine), MaxQuarantine),
			Advice:  "publish fewer removals, or wait until all instances have the release in force",
		}}
	}
	if !release.assignIDs(previous) {
		return nil, []Fault{{
			Code: resultcode.CheckLimit, Message: "all endpoint or service IDs have been used",
			Advice: "start a new installation; IDs are never reused",
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
		add(resultcode.PublishConflict, fmt.Sprintf("release %d is not newer than release %d", release.Number, previous.Number),
			"publish again on the basis of the newest release")
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

// clone returns a deep copy of the objects without their positions.
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

// serviceAddressKey returns the address of a service in the format of
// QuarantinedAddress.Address.
func serviceAddressKey(service *Service) string { return string(appendServiceAddressKey(nil, service)) }

func appendServiceAddressKey(key []byte, service *Service) []byte {
	key = append(key, service.Protocol...)
	key = service.Address.AppendTo(append(key, '/'))
	return strconv.AppendUint(append(key, ':'), uint64(service.Port), 10)
}

// endpointAddressKey returns the address of an endpoint in the format of
// QuarantinedAddress.Address.
func endpointAddressKey(endpoint *Endpoint) string {
	return string(appendEndpointAddressKey(nil, endpoint))
}

func appendEndpointAddressKey(key []byte, endpoint *Endpoint) []byte {
	return endpoint.Address.AppendTo(append(key, "endpoint/"...))
}

// serviceByBackendSet returns the name of the service that each backend set
// serves.
func (c *Configuration) serviceByBackendSet() map[string]string {
	services := make(map[string]string, len(c.Rules))
	for i := range c.Rules {
		services[c.Rules[i].BackendSet] = c.Rules[i].Service
	}
	return services
}

// serviceByAddress returns the name of the service that uses each address.
func (c *Configuration) serviceByAddress() map[string]string {
	serviceByAddress := make(map[string]string)
	for i := range c.Services {
		serviceByAddress[serviceAddressKey(&c.Services[i])] = c.Services[i].Name
	}
	services := c.serviceByBackendSet()
	for i := range c.BackendSets {
		set := &c.BackendSets[i]
		for j := range set.Endpoints {
			serviceByAddress[endpointAddressKey(&set.Endpoints[j])] = services[set.Name]
		}
	}
	return serviceByAddress
}

// addressRestrictions returns the addresses that only one service may use in the
// new release: those that remain in quarantine and those that the previous
// release uses.
func addressRestrictions(previous, next *Release, oldestInForce uint64) map[string]QuarantinedAddress {
	restrictions := make(map[string]QuarantinedAddress)
	for _, entry := range previous.Quarantine {
		if entry.Since > oldestInForce {
			restrictions[entry.Address] = entry
		}
	}
	for address, service := range previous.serviceByAddress() {
		restrictions[address] = QuarantinedAddress{Address: address, Service: service, Since: next.Number}
	}
	return restrictions
}

// checkQuarantine reports a fault for each service or endpoint that uses an
// address that is restricted to another service.
func checkQuarantine(c *Configuration, restrictions map[string]QuarantinedAddress) []Fault {
	var faults []Fault
	checkUse := func(position strictyaml.Position, address, service string) {
		entry, ok := restrictions[address]
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

// unusedRestrictions returns the restricted addresses that the release does not
// use, sorted by address.
func unusedRestrictions(release *Release, restrictions map[string]QuarantinedAddress) []QuarantinedAddress {
	serviceByAddress := release.serviceByAddress()
	quarantine := []QuarantinedAddress{}
	for address, entry := range restrictions {
		if _, ok := serviceByAddress[address]; !ok {
			quarantine = append(quarantine, entry)
		}
	}
	slices.SortFunc(quarantine, func(a, b QuarantinedAddress) int { return strings.Compare(a.Address, b.Address) })
	return quarantine
}

// endpointIdentity holds the properties that an endpoint ID identifies. An
// endpoint with another value of any of them gets a new ID.
type endpointIdentity struct {
	service common.ServiceID
	name    string
	address string
}

func (r *Release) endpointIDsByIdentity() map[endpointIdentity]common.EndpointID {
	ids := make(map[endpointIdentity]common.EndpointID)
	serviceIDs := r.serviceIDsByName()
	services := r.serviceByBackendSet()
	for i := range r.BackendSets {
		set := &r.BackendSets[i]
		service := serviceIDs[services[set.Name]]
		for j := range set.Endpoints {
			endpoint := &set.Endpoints[j]
			ids[endpointIdentity{service, endpoint.Name, endpoint.Address.String()}] = endpoint.ID
		}
	}
	return ids
}

func (r *Release) serviceIDsByName() map[string]common.ServiceID {
	ids := make(map[string]common.ServiceID, len(r.Services))
	for i := range r.Services {
		ids[r.Services[i].Name] = r.Services[i].ID
	}
	return ids
}

// assignIDs sets the IDs of all services and endpoints. It reports whether there
// were enough unused IDs.
func (r *Release) assignIDs(previous *Release) bool {
	oldServices := previous.serviceIDsByName()
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
	oldEndpoints := previous.endpointIDsByIdentity()
	serviceIDs := r.serviceIDsByName()
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
