package config

import (
	"net/netip"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// validateValues repeats on a decoded release the bounds that the YAML decoder
// enforces. They are the same as in the tags of the object types.
func (r *Release) validateValues() error {
	for i := range r.Policies {
		policy := &r.Policies[i]
		if !policy.inBounds() {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: policy %s is out of range", r.Number, policy.Name)
		}
		if r.hasPolicyCycle(policy) {
			return resultcode.Errorf(resultcode.CheckCycle, "release %d: policy %s extends itself", r.Number, policy.Name)
		}
	}
	for i := range r.Services {
		service := &r.Services[i]
		if !isHostAddress(service.Address) || service.Port == 0 {
			return resultcode.Errorf(resultcode.ConfigBadAddress, "release %d: service %s has no usable address", r.Number, service.Name)
		}
		if service.Protocol != "tcp" && service.Protocol != "udp" {
			return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: service %s has protocol %q", r.Number, service.Name, service.Protocol)
		}
	}
	for i := range r.BackendSets {
		for j := range r.BackendSets[i].Endpoints {
			endpoint := &r.BackendSets[i].Endpoints[j]
			if !isHostPort(endpoint.Address) || !isHostPort(endpoint.Health) {
				return resultcode.Errorf(resultcode.ConfigBadAddress, "release %d: endpoint %s has no usable address", r.Number, endpoint.Name)
			}
			if endpoint.Weight < 1 || endpoint.Weight > 1000 {
				return resultcode.Errorf(resultcode.ConfigOutOfRange, "release %d: endpoint %s has weight %d", r.Number, endpoint.Name, endpoint.Weight)
			}
		}
	}
	return nil
}

func isHostAddress(address netip.Addr) bool {
	return address.Is4() && !address.IsUnspecified() && !address.IsMulticast() &&
		address != netip.AddrFrom4([4]byte{255, 255, 255, 255})
}

func isHostPort(address netip.AddrPort) bool {
	return isHostAddress(address.Addr()) && address.Port() != 0
}

func (p *Policy) inBounds() bool {
	const hour, day = 3_600_000, 86_400_000
	_, known := selections[p.Selection]
	return known &&
		p.BoundPercent >= 100 && p.BoundPercent <= 1000 &&
		p.SlowStartMS <= hour &&
		p.IdleTimeoutMS >= 1000 && p.IdleTimeoutMS <= day &&
		p.DrainDeadlineMS >= 1000 && p.DrainDeadlineMS <= day &&
		p.MaxFlowsPerEndpoint >= 1 && p.MaxFlowsPerEndpoint <= 1_000_000 &&
		p.NewFlowsPerSecond <= 10_000_000 &&
		p.MaxEjectedPercent <= 50
}

func (r *Release) hasPolicyCycle(policy *Policy) bool {
	next := policy
	for range r.Policies {
		if next.Extends == "" {
			return false
		}
		parent, ok := r.policyByName(next.Extends)
		if !ok {
			return false
		}
		next = parent
	}
	return next.Extends != ""
}
