package config

import (
	"fmt"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// resolvePolicies fills in the fields that each policy inherits. It reports a
// fault for each policy whose chain of extended policies has a cycle.
func resolvePolicies(specs []policySpec) ([]Policy, []Fault) {
	byName := make(map[string]*policySpec, len(specs))
	for i := range specs {
		byName[specs[i].Name] = &specs[i]
	}
	var policies []Policy
	var faults []Fault
	for i := range specs {
		policy, fault := resolvePolicy(&specs[i], byName)
		if fault != nil {
			faults = append(faults, *fault)
		}
		policies = append(policies, policy)
	}
	return policies, faults
}

func resolvePolicy(spec *policySpec, byName map[string]*policySpec) (Policy, *Fault) {
	chain := []*policySpec{spec}
	seen := map[string]bool{spec.Name: true}
	for next := spec; next.Extends != ""; {
		parent, ok := byName[next.Extends]
		if !ok {
			// checkPolicies reports unknown names.
			break
		}
		if seen[parent.Name] {
			return Policy{Name: spec.Name, Extends: spec.Extends, Position: spec.Position}, cycleFault(spec, parent)
		}
		seen[parent.Name] = true
		chain = append(chain, parent)
		next = parent
	}
	policy := DefaultPolicy()
	for i := len(chain) - 1; i >= 0; i-- {
		chain[i].apply(&policy)
	}
	policy.Name = spec.Name
	policy.Extends = spec.Extends
	policy.Position = spec.Position
	return policy, nil
}

func cycleFault(spec, parent *policySpec) *Fault {
	return &Fault{
		File: spec.Position.File, Line: spec.Position.LineOf("extends"), Code: resultcode.CheckCycle,
		Message: fmt.Sprintf("policy %s extends a chain of policies with a cycle at %s", spec.Name, parent.Name),
		Advice:  "remove extends from one policy of the cycle",
	}
}

// apply overwrites the fields of the policy that the spec sets.
func (s *policySpec) apply(policy *Policy) {
	setString(&policy.Selection, s.Selection)
	setNumber(&policy.BoundPercent, s.Bound)
	setMilliseconds(&policy.SlowStartMS, s.SlowStart)
	setMilliseconds(&policy.IdleTimeoutMS, s.IdleTimeout)
	setMilliseconds(&policy.DrainDeadlineMS, s.DrainDeadline)
	setNumber(&policy.MaxFlowsPerEndpoint, s.MaxFlowsPerEndpoint)
	setNumber(&policy.NewFlowsPerSecond, s.NewFlowsPerSecond)
	setNumber(&policy.MaxEjectedPercent, s.MaxEjected)
}

func setString(target, value *string) {
	if value != nil {
		*target = *value
	}
}

func setNumber[T ~uint32](target *uint32, value *T) {
	if value != nil {
		*target = uint32(*value)
	}
}

func setMilliseconds(target *uint32, value *time.Duration) {
	if value != nil {
		*target = uint32(*value / time.Millisecond)
	}
}
