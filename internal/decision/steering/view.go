package steering

import (
	"math/bits"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flowkind"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/overflow"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// View is an immutable snapshot of the state that packets are forwarded by: the rules of
// one configuration and the endpoints known at one time.
type View struct {
	// configuration is nil until the first one is received.
	configuration *directory.Configuration
	routes        map[common.ServiceAddress]*route
	members       []*selection.Member
	labels        *label.Table
	ownLabels     map[*selection.Member]label.Label
	// hasLabel reports whether a member has a label.
	hasLabel func(*selection.Member) bool
	// pools holds the pools of the members, without duplicates.
	pools []*selection.Pool
}

// route is a rule with the pools of its target services.
type route struct {
	rule    directory.Rule
	pools   []*selection.Pool
	weights uint64
	// priorityLevel is the number of levels by which the rule's priority is above the
	// lowest priority of its services.
	priorityLevel int
	// kinds is shared by the routes of one address in successive views.
	kinds *flowkind.Estimate
	// overflow is shared like kinds.
	overflow *overflow.Budget
}

// LabelledMember is a pool member with the properties that determine its label.
type LabelledMember struct {
	Member *selection.Member
	Holder label.Holder
}

// NewView returns the view of a configuration and of the known endpoints. configuration
// may be nil. known holds the listed endpoints and those that are no longer listed but
// may still have flows. pool must always return the same pool for a service. previous is
// an earlier view or nil. Its routes are reused if it has the same configuration.
func NewView(configuration *directory.Configuration, known []LabelledMember, pool func(service string) *selection.Pool, previous *View) *View {
	v := &View{
		configuration: configuration,
		members:       make([]*selection.Member, len(known)),
		ownLabels:     make(map[*selection.Member]label.Label, len(known)),
	}
	holders := make([]label.Holder, len(known))
	seen := make(map[*selection.Pool]bool)
	for i, k := range known {
		holders[i] = k.Holder
		v.members[i] = k.Member
		if p := k.Member.Pool(); !seen[p] {
			seen[p] = true
			v.pools = append(v.pools, p)
		}
	}
	v.labels = label.Build(holders)
	for i, m := range v.members {
		v.ownLabels[m] = v.labels.Own(i)
	}
	v.hasLabel = func(m *selection.Member) bool { return v.ownLabels[m] != 0 }
	switch {
	case previous == nil:
		v.routes = newRoutes(configuration, pool, nil)
	case previous.configuration == configuration:
		v.routes = previous.routes
	default:
		v.routes = newRoutes(configuration, pool, previous.routes)
	}
	return v
}

// newRoutes returns the routes of a configuration. They keep the estimates of the previous
// routes.
func newRoutes(configuration *directory.Configuration, pool func(service string) *selection.Pool, previous map[common.ServiceAddress]*route) map[common.ServiceAddress]*route {
	if configuration == nil {
		return nil
	}
	routes := make(map[common.ServiceAddress]*route, len(configuration.Rules))
	lowest := lowestPriorities(configuration.Rules)
	for _, rule := range configuration.Rules {
		r := newRoute(rule, lowest, pool)
		if p := previous[rule.Address]; p != nil {
			r.kinds, r.overflow = p.kinds, p.overflow
		}
		routes[rule.Address] = r
	}
	return routes
}

// lowestPriorities returns the lowest priority among the rules of each service, which is
// the highest number.
func lowestPriorities(rules []directory.Rule) map[string]int {
	lowest := make(map[string]int)
	for _, rule := range rules {
		for _, target := range rule.Targets {
			lowest[target.Service] = max(lowest[target.Service], rule.Priority)
		}
	}
	return lowest
}

func newRoute(rule directory.Rule, lowest map[string]int, pool func(string) *selection.Pool) *route {
	r := &route{rule: rule, kinds: &flowkind.Estimate{}, overflow: &overflow.Budget{}}
	for _, target := range rule.Targets {
		r.priorityLevel = max(r.priorityLevel, lowest[target.Service]-rule.Priority)
		r.pools = append(r.pools, pool(target.Service))
		r.weights += uint64(target.Weight)
	}
	return r
}

// defaultTimeout is how long callers wait for a response if their rule sets no timeout.
const defaultTimeout = 3 * time.Second

func (r *route) timeout() time.Duration {
	if r.rule.Timeout > 0 {
		return r.rule.Timeout
	}
	return defaultTimeout
}

// pick returns the pool for a new flow, nil if the rule has no targets. The choice is by
// hash and weight and the same on all instances, so that all retransmissions of a first
// packet reach the same service.
func (r *route) pick(hash common.FlowHash) *selection.Pool {
	if r.weights == 0 {
		return nil
	}
	// Scale the hash to the range [0, weights).
	point, _ := bits.Mul64(uint64(hash), r.weights)
	for i, target := range r.rule.Targets {
		if point < uint64(target.Weight) {
			return r.pools[i]
		}
		point -= uint64(target.Weight)
	}
	return r.pools[len(r.pools)-1]
}

// serves reports whether the rule sends new flows to a pool.
func (r *route) serves(pool *selection.Pool) bool {
	for i, target := range r.rule.Targets {
		if r.pools[i] == pool && target.Weight > 0 {
			return true
		}
	}
	return false
}

// MarkSuspects marks endpoints suspect whose handshakes have timed out and returns them.
// It must be called regularly: otherwise handshakes are only checked when a new flow
// arrives, which is late for a service with few flows.
func (v *View) MarkSuspects(now time.Duration) []*selection.Member {
	var suspects []*selection.Member
	for _, p := range v.pools {
		suspects = append(suspects, p.MarkSuspects(now)...)
	}
	return suspects
}

// Version returns the version of the configuration, 0 if there is none.
func (v *View) Version() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

// IdleTimeout returns the time without packets after which a flow expires.
func (v *View) IdleTimeout() time.Duration {
	if v.configuration == nil || v.configuration.IdleTimeout <= 0 {
		return DefaultIdleTimeout
	}
	return v.configuration.IdleTimeout
}

// resolve returns the endpoint of a label, nil if it is unknown.
func (v *View) resolve(l label.Label) *selection.Member {
	position, found := v.labels.Resolve(l)
	if !found {
		return nil
	}
	return v.members[position]
}
