package config

import (
	"net/netip"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// validateValues checks a decoded release against the bounds that the YAML
// decoder enforces. They must equal the bounds in the tags of the object types and
// of policySpec.
func (r *Release) validateValues() error {
	for i := range r.Policies {
		policy := &r.Policies[i]
		if !policy.inBounds() {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: policy %s has a value that is out of range", r.Number, policy.Name)
		}
		if r.hasPolicyCycle(policy) {
			return resultcode.Errorf(resultcode.CheckCycle, "release %d: policy %s extends a chain of policies with a cycle", r.Number, policy.Name)
		}
	}
	for i := range r.Services {
		service := &r.Services[i]
		if !isHostAddress(service.Address) || service.Port == 0 {
			return resultcode.Errorf(resultcode.ConfigBadAddress, "release %d: service %s has no valid IPv4 address and port", r.Number, service.Name)
		}
		if service.Protocol != "tcp" && service.Protocol != "udp" {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: service %s has the unknown protocol %q", r.Number, service.Name, service.Protocol)
		}
	}
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			endpoint := &r.BackendSets[i].Endpoints[j]
			if !isHostPort(endpoint.Address) || !isHostPort(endpoint.Health) {
				return resultcode.Errorf(resultcode.ConfigBadAddress, "release %d: endpoint %s has an address or health address without a valid IPv4 address and port", r.Number, endpoint.Name)
			}
			if endpoint.Weight < 1 || endpoint.Weight > 1000 {
				return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: endpoint %s has weight %d, which is out of range", r.Number, endpoint.Name, endpoint.Weight)
			}
		}
	}
	return nil
}

// isHostAddress reports whether the address can belong to one IPv4 host.
func isHostAddress(address netip.Addr) bool {
	return address.Is4() && !address.IsUnspecified() && !address.IsMulticast() &&
		address != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

func isHostPort(address netip.AddrPort) bool {
	return isHostAddress(address.Addr()) && address.Port() != 0
}

func (p *Policy) inBounds() bool {
	const hourMS, dayMS = 3_600_000, 86_400_000
	_, valid := selections[p.Selection]
	return valid &&
		p.BoundPercent >= 100 && p.BoundPercent <= 1000 &&
		p.SlowStartMS <= hourMS &&
		p.IdleTimeoutMS >= 1000 && p.IdleTimeoutMS <= dayMS &&
		p.DrainDeadlineMS >= 1000 && p.DrainDeadlineMS <= dayMS &&
		p.MaxFlowsPerEndpoint >= 1 && p.MaxFlowsPerEndpoint <= 1_000_000 &&
		p.NewFlowsPerSecond <= 10_000_000 &&
		p.MaxEjectedPercent <= 50
}

// hasPolicyCycle reports whether the chain of policies that the policy extends
// has a cycle.
func (r *Release) hasPolicyCycle(policy *Policy) bool {
	next := policy
	for range r.Policies {
		if next.Extends == "" {
			return false
		}
		parent, ok := r.policy(next.Extends)
		if !ok {
			return false
		}
		next = parent
	}
	return next.Extends != ""
}
