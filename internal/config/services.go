package config

import (
	"slices"
	"strings"

	"burdockrelay.example/burdockrelay/common"
)

// ServicesFor returns the services of a group of entry instances that covers the
// given places, each identified by its name or its data centre. These are the
// services with a rule for one of the places or for all places. Each such rule
// contributes the endpoints of its backend set at the given places or, if there
// are none, all endpoints of the set, so that all instances of the group use the
// same endpoints. All endpoints have the state EndpointUp.
func (r *Release) ServicesFor(places []string) []common.Service {
	groupPlaces := r.placeNames(places)
	sets := make(map[string]*BackendSet, len(r.BackendSets))
	for i := range r.BackendSets {
		sets[r.BackendSets[i].Name] = &r.BackendSets[i]
	}
	endpoints := make(map[string][]common.Endpoint)
	for i := range r.Rules {
		rule := &r.Rules[i]
		if rule.appliesTo(groupPlaces) {
			endpoints[rule.Service] = append(endpoints[rule.Service], endpointsAt(sets[rule.BackendSet], groupPlaces)...)
		}
	}
	services := make([]common.Service, 0, len(endpoints))
	for i := range r.Services {
		service := &r.Services[i]
		list, ok := endpoints[service.Name]
		if !ok {
			continue
		}
		slices.SortFunc(list, func(a, b common.Endpoint) int { return int(int64(a.ID) - int64(b.ID)) })
		policy := r.EffectivePolicy(service)
		services = append(services, common.Service{
			ID: service.ID, Name: service.Name, Address: service.ServiceAddress(),
			Idempotent: service.Idempotent, Policy: policy.ToCommon(), Endpoints: list,
		})
	}
	return services
}

// EffectivePolicy returns the policy of a service, or DefaultPolicy if the
// service names none.
func (r *Release) EffectivePolicy(service *Service) Policy {
	if policy, ok := r.policy(service.Policy); ok {
		return *policy
	}
	return DefaultPolicy()
}

func (r *Release) policy(name string) (*Policy, bool) {
	index, ok := slices.BinarySearchFunc(r.Policies, name, func(policy Policy, name string) int {
		return strings.Compare(policy.Name, name)
	})
	if !ok {
		return nil, false
	}
	return &r.Policies[index], true
}

// placeNames returns the names of places that are given by name or data centre.
func (r *Release) placeNames(places []string) map[string]bool {
	names := make(map[string]bool, len(places))
	for i := range r.Places {
		place := &r.Places[i]
		if slices.Contains(places, place.Name) || slices.Contains(places, place.DataCentre) {
			names[place.Name] = true
		}
	}
	return names
}

func (r *Rule) appliesTo(places map[string]bool) bool {
	if len(r.Places) == 0 {
		return true
	}
	for _, place := range r.Places {
		if places[place] {
			return true
		}
	}
	return false
}

// endpointsAt returns the endpoints of the set at the places, or all endpoints of
// the set if there are none.
func endpointsAt(set *BackendSet, places map[string]bool) []common.Endpoint {
	var local, all []common.Endpoint
	for i := range set.Endpoints {
		endpoint := &set.Endpoints[i]
		converted := common.Endpoint{
			ID: endpoint.ID, Name: endpoint.Name, Tunnel: endpoint.Address, Weight: endpoint.Weight,
		}
		all = append(all, converted)
		if places[endpoint.Place] {
			local = append(local, converted)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}

// EndpointByName returns the endpoint with the given name, and false if there is
// none.
func (r *Release) EndpointByName(name string) (*Endpoint, bool) {
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			if r.BackendSets[i].Endpoints[j].Name == name {
				return &r.BackendSets[i].Endpoints[j], true
			}
		}
	}
	return nil, false
}

// EndpointsByID returns all endpoints of the release, indexed by ID.
func (r *Release) EndpointsByID() map[common.EndpointID]*Endpoint {
	endpoints := make(map[common.EndpointID]*Endpoint)
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			endpoint := &r.BackendSets[i].Endpoints[j]
			endpoints[endpoint.ID] = endpoint
		}
	}
	return endpoints
}
