package config

import (
	"fmt"
	"net/netip"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// Limits of a configuration.
const (
	MaxFiles = 1_000
	// MaxInputBytes is the maximum size of all files together. The target scale
	// of 14,000 endpoints and 1,900 services needs about 3 MB.
	MaxInputBytes = 8 << 20
	MaxPlaces     = 256
	MaxPolicies   = 4_000
	// MaxServices and MaxEndpoints are about twice the target scale of 1,900
	// services and 14,000 endpoints.
	MaxServices  = 4_000
	MaxEndpoints = 32_000
	// MaxEndpointsPerService limits the work of building the default table of a
	// service, from which new flows get their endpoints.
	MaxEndpointsPerService = 1_000
	// MaxNameLength is in bytes. It is the limit of a DNS label, so that names
	// are valid as labels and object names in other systems.
	MaxNameLength = 63
)

// validName reports whether the name consists of 1 to MaxNameLength lower-case
// letters, digits and inner hyphens. It uses no regular expression, because that
// took a tenth of the time to decode a release at the target scale.
func validName(name string) bool {
	if name == "" || len(name) > MaxNameLength || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for i := range len(name) {
		if c := name[i]; (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// checker holds the faults found and the indexes that the checks share. The used
// maps hold the names of objects that other objects refer to.
type checker struct {
	configuration *Configuration
	faults        []Fault
	places        map[string]*Place
	policies      map[string]*Policy
	services      map[string]*Service
	sets          map[string]*BackendSet
	usedPlaces    map[string]bool
	usedPolicies  map[string]bool
	usedServices  map[string]bool
	usedSets      map[string]bool
}

// check validates the names, references, sizes and overlaps of all objects and
// returns the faults.
func check(configuration *Configuration) []Fault {
	c := &checker{
		configuration: configuration,
		places:        make(map[string]*Place, len(configuration.Places)),
		policies:      make(map[string]*Policy, len(configuration.Policies)),
		services:      make(map[string]*Service, len(configuration.Services)),
		sets:          make(map[string]*BackendSet, len(configuration.BackendSets)),
		usedPlaces:    make(map[string]bool, len(configuration.Places)),
		usedPolicies:  make(map[string]bool, len(configuration.Policies)),
		usedServices:  make(map[string]bool, len(configuration.Services)),
		usedSets:      make(map[string]bool, len(configuration.BackendSets)),
	}
	c.checkCounts()
	c.checkNames()
	c.checkPlaceOverlaps()
	c.checkPolicies()
	c.checkServices()
	c.checkBackendSets()
	c.checkRules()
	c.checkAddressOverlaps()
	c.checkUnused()
	return c.faults
}

func (c *checker) addFault(position strictyaml.Position, field string, code resultcode.Code, advice, format string, args ...any) {
	c.faults = append(c.faults, Fault{
		File: position.File, Line: position.LineOf(field), Code: code,
		Message: fmt.Sprintf(format, args...), Advice: advice,
	})
}

// endpointCount returns the number of endpoints. The maps of all endpoints are
// allocated with this size, because growing them took a third of the time of the
// checks at the target scale.
func (c *Configuration) endpointCount() int {
	count := 0
	for i := range c.BackendSets {
		count += len(c.BackendSets[i].Endpoints)
	}
	return count
}

func (c *checker) checkCounts() {
	endpoints := c.configuration.endpointCount()
	c.checkCount("places", len(c.configuration.Places), MaxPlaces)
	c.checkCount("policies", len(c.configuration.Policies), MaxPolicies)
	c.checkCount("services", len(c.configuration.Services), MaxServices)
	c.checkCount("endpoints", endpoints, MaxEndpoints)
	if len(c.configuration.Services) == 0 {
		c.addFault(strictyaml.Position{}, "", resultcode.CheckEmpty, "add a document with kind: Service, or check the file names",
			"the configuration has no service")
	}
}

func (c *checker) checkCount(objects string, count, limit int) {
	if count > limit {
		c.addFault(strictyaml.Position{}, "", resultcode.CheckLimit, "remove objects that are not needed",
			"%d %s exceed the limit of %d", count, objects, limit)
	}
}

// register checks the name of one object and adds the object to the index, or
// reports a duplicate name.
func register[T any](c *checker, kind, name string, position strictyaml.Position, index map[string]*T, object *T) {
	c.checkName(kind, name, position)
	if _, ok := index[name]; ok {
		c.addFault(position, "name", resultcode.CheckDuplicateName, "rename or remove one of the two",
			"%s %s is defined more than once", kind, name)
		return
	}
	index[name] = object
}

// checkName reports a fault if the name of an object is invalid.
func (c *checker) checkName(kind, name string, position strictyaml.Position) {
	if !validName(name) {
		c.addFault(position, "name", resultcode.ConfigBadName,
			fmt.Sprintf("use 1 to %d lower-case letters, digits and inner hyphens", MaxNameLength),
			"%s name %q is invalid", kind, name)
	}
}

func (c *checker) checkNames() {
	configuration := c.configuration
	for i := range configuration.Places {
		place := &configuration.Places[i]
		register(c, "Place", place.Name, place.Position, c.places, place)
	}
	for i := range configuration.Policies {
		policy := &configuration.Policies[i]
		register(c, "Policy", policy.Name, policy.Position, c.policies, policy)
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		register(c, "Service", service.Name, service.Position, c.services, service)
	}
	for i := range configuration.BackendSets {
		set := &configuration.BackendSets[i]
		register(c, "BackendSet", set.Name, set.Position, c.sets, set)
	}
	rules := make(map[string]*Rule, len(configuration.Rules))
	for i := range configuration.Rules {
		rule := &configuration.Rules[i]
		register(c, "Rule", rule.Name, rule.Position, rules, rule)
	}
	endpoints := make(map[string]*Endpoint, configuration.endpointCount())
	for i := range configuration.BackendSets {
		for j := range configuration.BackendSets[i].Endpoints {
			endpoint := &configuration.BackendSets[i].Endpoints[j]
			register(c, "endpoint", endpoint.Name, endpoint.Position, endpoints, endpoint)
		}
	}
}

// checkPlaceOverlaps verifies that each name of a place or data centre identifies
// one place, because the settings of an instance may use either.
func (c *checker) checkPlaceOverlaps() {
	owners := map[string]string{}
	for i := range c.configuration.Places {
		place := &c.configuration.Places[i]
		c.checkName("data centre", place.DataCentre, place.Position)
		for _, key := range []string{place.Name, place.DataCentre} {
			owner, ok := owners[key]
			if ok && owner != place.Name {
				c.addFault(place.Position, "data_centre", resultcode.CheckOverlap, "give each data centre one place",
					"places %s and %s both use the name or data centre %s", owner, place.Name, key)
				continue
			}
			owners[key] = place.Name
		}
	}
}

func (c *checker) checkPolicies() {
	for i := range c.configuration.Policies {
		policy := &c.configuration.Policies[i]
		if policy.Extends == "" {
			continue
		}
		c.usedPolicies[policy.Extends] = true
		if _, ok := c.policies[policy.Extends]; !ok {
			c.addUnknownName(policy.Position, "extends", "Policy", policy.Extends, "policy "+policy.Name)
		}
	}
}

func (c *checker) addUnknownName(position strictyaml.Position, field, kind, name, referrer string) {
	c.addFault(position, field, resultcode.CheckUnknownName, fmt.Sprintf("correct the name or add a %s named %s", kind, name),
		"%s refers to the unknown %s %q", referrer, kind, name)
}

func (c *checker) checkServices() {
	for i := range c.configuration.Services {
		service := &c.configuration.Services[i]
		if service.Protocol == "udp" && !service.Idempotent {
			c.addFault(service.Position, "idempotent", resultcode.CheckUDPNotIdempotent,
				"write idempotent: true if repeated requests do no harm, else use protocol: tcp",
				"UDP service %s is not idempotent: a first datagram carries data and may arrive twice", service.Name)
		}
		if service.Policy == "" {
			continue
		}
		c.usedPolicies[service.Policy] = true
		if _, ok := c.policies[service.Policy]; !ok {
			c.addUnknownName(service.Position, "policy", "Policy", service.Policy, "service "+service.Name)
		}
	}
}

func (c *checker) checkBackendSets() {
	for i := range c.configuration.BackendSets {
		set := &c.configuration.BackendSets[i]
		if len(set.Endpoints) == 0 {
			c.addFault(set.Position, "endpoints", resultcode.CheckEmpty, "add an endpoint or remove the set",
				"backend set %s has no endpoints", set.Name)
		}
		if len(set.Endpoints) > MaxEndpointsPerService {
			c.addFault(set.Position, "endpoints", resultcode.CheckLimit, "split the service",
				"backend set %s has %d endpoints, more than the limit of %d", set.Name, len(set.Endpoints), MaxEndpointsPerService)
		}
		for j := range set.Endpoints {
			c.checkEndpointPlace(&set.Endpoints[j])
		}
	}
}

func (c *checker) checkEndpointPlace(endpoint *Endpoint) {
	c.usedPlaces[endpoint.Place] = true
	if _, ok := c.places[endpoint.Place]; !ok {
		c.addUnknownName(endpoint.Position, "place", "Place", endpoint.Place, "endpoint "+endpoint.Name)
	}
}

func (c *checker) checkRules() {
	type servicePlace struct{ service, place string }
	rules := len(c.configuration.Rules)
	serviceBySet := make(map[string]string, rules)
	ruleByPlace := map[servicePlace]string{}
	allPlacesRule := make(map[string]string, rules)
	anyRule := make(map[string]string, rules)
	for i := range c.configuration.Rules {
		rule := &c.configuration.Rules[i]
		c.checkRuleReferences(rule)
		if firstService, ok := serviceBySet[rule.BackendSet]; ok && firstService != rule.Service {
			c.addFault(rule.Position, "backend_set", resultcode.CheckOverlap, "give each service its own backend set",
				"backend set %s serves the services %s and %s", rule.BackendSet, firstService, rule.Service)
		}
		serviceBySet[rule.BackendSet] = rule.Service
		other, overlaps := allPlacesRule[rule.Service]
		if len(rule.Places) == 0 {
			if !overlaps {
				other, overlaps = anyRule[rule.Service]
			}
			allPlacesRule[rule.Service] = rule.Name
		}
		for _, place := range rule.Places {
			if earlier, ok := ruleByPlace[servicePlace{rule.Service, place}]; ok {
				other, overlaps = earlier, true
			}
			ruleByPlace[servicePlace{rule.Service, place}] = rule.Name
		}
		anyRule[rule.Service] = rule.Name
		if overlaps {
			c.addFault(rule.Position, "places", resultcode.CheckOverlap, "give the rules of a service separate places",
				"rules %s and %s apply to service %s at the same place", other, rule.Name, rule.Service)
		}
	}
}

func (c *checker) checkRuleReferences(rule *Rule) {
	c.usedServices[rule.Service] = true
	c.usedSets[rule.BackendSet] = true
	if _, ok := c.services[rule.Service]; !ok {
		c.addUnknownName(rule.Position, "service", "Service", rule.Service, "rule "+rule.Name)
	}
	if _, ok := c.sets[rule.BackendSet]; !ok {
		c.addUnknownName(rule.Position, "backend_set", "BackendSet", rule.BackendSet, "rule "+rule.Name)
	}
	if len(rule.Places) == 0 {
		for name := range c.places {
			c.usedPlaces[name] = true
		}
	}
	for _, place := range rule.Places {
		c.usedPlaces[place] = true
		if _, ok := c.places[place]; !ok {
			c.addUnknownName(rule.Position, "places", "Place", place, "rule "+rule.Name)
		}
	}
}

// checkAddressOverlaps verifies that each address identifies one service or one
// endpoint. Otherwise packets could reach an endpoint of another service
// (guarantee P2).
func (c *checker) checkAddressOverlaps() {
	serviceByAddress := make(map[string]string, len(c.configuration.Services))
	serviceByHost := make(map[netip.Addr]string, len(c.configuration.Services))
	for i := range c.configuration.Services {
		service := &c.configuration.Services[i]
		serviceByHost[service.Address] = service.Name
		key := serviceAddressKey(service)
		if owner, ok := serviceByAddress[key]; ok {
			c.addFault(service.Position, "address", resultcode.CheckOverlap, "change the address, the port or the protocol of one",
				"services %s and %s share %s", owner, service.Name, key)
			continue
		}
		serviceByAddress[key] = service.Name
	}
	endpointByAddress := make(map[netip.AddrPort]string, c.configuration.endpointCount())
	for i := range c.configuration.BackendSets {
		for j := range c.configuration.BackendSets[i].Endpoints {
			endpoint := &c.configuration.BackendSets[i].Endpoints[j]
			if owner, ok := endpointByAddress[endpoint.Address]; ok {
				c.addFault(endpoint.Position, "address", resultcode.CheckOverlap, "give each endpoint its own address and port",
					"endpoints %s and %s share %s", owner, endpoint.Name, endpoint.Address)
			}
			endpointByAddress[endpoint.Address] = endpoint.Name
			if service, ok := serviceByHost[endpoint.Address.Addr()]; ok {
				c.addFault(endpoint.Position, "address", resultcode.CheckOverlap, "use the backend server's own address",
					"endpoint %s has the address of service %s, so packets would loop", endpoint.Name, service)
			}
		}
	}
}

func (c *checker) checkUnused() {
	for _, place := range c.configuration.Places {
		c.checkUsed("place", place.Name, place.Position, c.usedPlaces, "remove it, or name it in an endpoint or a rule")
	}
	for _, policy := range c.configuration.Policies {
		c.checkUsed("policy", policy.Name, policy.Position, c.usedPolicies, "remove it, or name it in a service or another policy")
	}
	for _, service := range c.configuration.Services {
		c.checkUsed("service", service.Name, service.Position, c.usedServices, "remove it, or add a Rule that assigns a backend set to it")
	}
	for _, set := range c.configuration.BackendSets {
		c.checkUsed("backend set", set.Name, set.Position, c.usedSets, "remove it, or add a Rule that assigns it to a service")
	}
}

func (c *checker) checkUsed(kind, name string, position strictyaml.Position, used map[string]bool, advice string) {
	if !used[name] {
		c.addFault(position, "", resultcode.CheckUnused, advice, "%s %s is not used", kind, name)
	}
}
