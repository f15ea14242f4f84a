package config

import (
	"fmt"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// resolvePolicies fills in what each policy inherits. Unknown names and cycles
// are faults.
func resolvePolicies(files []policySpec) ([]Policy, []Fault) {
	byName := make(map[string]*policySpec, len(files))
	for i := range files {
		byName[files[i].Name] = &files[i]
	}
	var policies []Policy
	var faults []Fault
	for i := range files {
		policy, fault := resolvePolicy(&files[i], byName)
		if fault != nil {
			faults = append(faults, *fault)
		}
		policies = append(policies, policy)
	}
	return policies, faults
}

func resolvePolicy(file *policySpec, byName map[string]*policySpec) (Policy, *Fault) {
	chain := []*policySpec{file}
	seen := map[string]bool{file.Name: true}
	for next := file; next.Extends != ""; {
		parent, ok := byName[next.Extends]
		if !ok {
			// The check of names reports it.
			break
		}
		if seen[parent.Name] {
			return Policy{Name: file.Name, Extends: file.Extends, Position: file.Position}, cycleFault(file, parent)
		}
		seen[parent.Name] = true
		chain = append(chain, parent)
		next = parent
	}
	policy := DefaultPolicy()
	for i := len(chain) - 1; i >= 0; i-- {
		chain[i].apply(&policy)
	}
	policy.Name = file.Name
	policy.Extends = file.Extends
	policy.Position = file.Position
	return policy, nil
}

func cycleFault(file, parent *policySpec) *Fault {
	return &Fault{
		File: file.Position.File, Line: file.Position.LineOf("extends"), Code: resultcode.CheckCycle,
		Message: fmt.Sprintf("policy %s extends a chain that returns to %s", file.Name, parent.Name),
		Advice:  "remove extends from one policy of the cycle",
	}
}

func (f *policySpec) apply(policy *Policy) {
	setString(&policy.Selection, f.Selection)
	setNumber(&policy.BoundPercent, f.Bound)
	setMilliseconds(&policy.SlowStartMS, f.SlowStart)
	setMilliseconds(&policy.IdleTimeoutMS, f.IdleTimeout)
	setMilliseconds(&policy.DrainDeadlineMS, f.DrainDeadline)
	setNumber(&policy.MaxFlowsPerEndpoint, f.MaxFlowsPerEndpoint)
	setNumber(&policy.NewFlowsPerSecond, f.NewFlowsPerSecond)
	setNumber(&policy.MaxEjectedPercent, f.MaxEjected)
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
