package config

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Values of Change.Action.
const (
	ActionAdded   = "added"
	ActionRemoved = "removed"
	ActionChanged = "changed"
)

// Change is one difference between two releases.
type Change struct {
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	Action string `json:"action"`
	// Detail lists the changed fields as "field: old to new".
	Detail string `json:"detail,omitempty"`
}

// Diff returns the differences between two releases, grouped by kind and sorted
// by name. A nil release is treated as empty.
func Diff(from, to *Release) []Change {
	if from == nil {
		from = &Release{}
	}
	if to == nil {
		to = &Release{}
	}
	var changes []Change
	changes = append(changes, diffKind("Place", placeFields(from), placeFields(to))...)
	changes = append(changes, diffKind("Policy", policyFields(from), policyFields(to))...)
	changes = append(changes, diffKind("Service", serviceFields(from), serviceFields(to))...)
	changes = append(changes, diffKind("BackendSet", backendSetFields(from), backendSetFields(to))...)
	changes = append(changes, diffKind("Endpoint", endpointFields(from), endpointFields(to))...)
	changes = append(changes, diffKind("Rule", ruleFields(from), ruleFields(to))...)
	return changes
}

// fields holds the names and the formatted values of the fields of one object, in
// a fixed order.
type fields []struct{ name, value string }

func (f *fields) add(name string, value any) {
	*f = append(*f, struct{ name, value string }{name, fmt.Sprint(value)})
}

func placeFields(r *Release) map[string]fields {
	objects := map[string]fields{}
	for _, place := range r.Places {
		var f fields
		f.add("data_centre", place.DataCentre)
		objects[place.Name] = f
	}
	return objects
}

func policyFields(r *Release) map[string]fields {
	objects := map[string]fields{}
	for _, policy := range r.Policies {
		var f fields
		f.add("extends", policy.Extends)
		f.add("selection", policy.Selection)
		f.add("bound", fmt.Sprintf("%d%%", policy.BoundPercent))
		f.add("slow_start", formatMilliseconds(policy.SlowStartMS))
		f.add("idle_timeout", formatMilliseconds(policy.IdleTimeoutMS))
		f.add("drain_deadline", formatMilliseconds(policy.DrainDeadlineMS))
		f.add("max_flows_per_endpoint", policy.MaxFlowsPerEndpoint)
		f.add("new_flows_per_second", policy.NewFlowsPerSecond)
		f.add("max_ejected", fmt.Sprintf("%d%%", policy.MaxEjectedPercent))
		objects[policy.Name] = f
	}
	return objects
}

func formatMilliseconds(ms uint32) string {
	if ms%1000 == 0 {
		return fmt.Sprintf("%ds", ms/1000)
	}
	return fmt.Sprintf("%dms", ms)
}

func serviceFields(r *Release) map[string]fields {
	objects := map[string]fields{}
	for _, service := range r.Services {
		var f fields
		f.add("address", service.Address)
		f.add("port", service.Port)
		f.add("protocol", service.Protocol)
		f.add("idempotent", service.Idempotent)
		f.add("policy", service.Policy)
		objects[service.Name] = f
	}
	return objects
}

func backendSetFields(r *Release) map[string]fields {
	objects := map[string]fields{}
	for _, set := range r.BackendSets {
		objects[set.Name] = fields{}
	}
	return objects
}

func endpointFields(r *Release) map[string]fields {
	objects := map[string]fields{}
	for _, set := range r.BackendSets {
		for _, endpoint := range set.Endpoints {
			var f fields
			f.add("backend_set", set.Name)
			f.add("place", endpoint.Place)
			f.add("address", endpoint.Address)
			f.add("health", endpoint.Health)
			f.add("weight", endpoint.Weight)
			objects[endpoint.Name] = f
		}
	}
	return objects
}

func ruleFields(r *Release) map[string]fields {
	objects := map[string]fields{}
	for _, rule := range r.Rules {
		var f fields
		f.add("service", rule.Service)
		f.add("backend_set", rule.BackendSet)
		f.add("places", strings.Join(rule.Places, ","))
		objects[rule.Name] = f
	}
	return objects
}

func diffKind(kind string, from, to map[string]fields) []Change {
	var changes []Change
	for name, before := range from {
		after, ok := to[name]
		if !ok {
			changes = append(changes, Change{Kind: kind, Name: name, Action: ActionRemoved})
			continue
		}
		if !reflect.DeepEqual(before, after) {
			changes = append(changes, Change{Kind: kind, Name: name, Action: ActionChanged, Detail: changedFields(before, after)})
		}
	}
	for name := range to {
		if _, ok := from[name]; !ok {
			changes = append(changes, Change{Kind: kind, Name: name, Action: ActionAdded})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

// changedFields returns the fields that differ as "field: old to new".
func changedFields(before, after fields) string {
	var parts []string
	for i := range before {
		if before[i].value != after[i].value {
			parts = append(parts, fmt.Sprintf("%s: %s to %s", before[i].name, orNone(before[i].value), orNone(after[i].value)))
		}
	}
	return strings.Join(parts, "; ")
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
