package steering

import (
	"math/bits"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
)

// View is what packets are steered by: the rules of one configuration and the
// endpoints known at one time. It is immutable.
type View struct {
	// configuration is nil before the first.
	configuration *directory.Configuration
	routes        map[common.ServiceAddress]*route
	members       []*selection.Member
	labels        *label.Table
	ownLabels     map[*selection.Member]label.Label
	// hasLabel reports whether a member has a label.
	hasLabel func(*selection.Member) bool
	// pools holds the pools of the members.
	pools []*selection.Pool
}

// route is one rule with the pools of its services.
type route struct {
	rule    directory.Rule
	pools   []*selection.Pool
	weights uint64
	// priorityLevel is how far the rule's priority is above the lowest one of its services.
	priorityLevel int
}

// LabelledMember is a member with what its labels depend on.
type LabelledMember struct {
	Member *selection.Member
	Holder label.Holder
}

// NewView returns the view of a configuration, nil for none, and of the known
// endpoints: those listed and those that have left and may still have flows. pool
// returns the pool of a service, always the same one. former is an earlier view, or
// nil: a view of the same configuration takes its routes.
func NewView(configuration *directory.Configuration, known []LabelledMember, pool func(service string) *selection.Pool, former *View) *View {
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
	if former != nil && former.configuration == configuration {
		v.routes = former.routes
	} else {
		v.routes = newRoutes(configuration, pool)
	}
	return v
}

func newRoutes(configuration *directory.Configuration, pool func(service string) *selection.Pool) map[common.ServiceAddress]*route {
	if configuration == nil {
		return nil
	}
	routes := make(map[common.ServiceAddress]*route, len(configuration.Rules))
	lowest := lowestPriorities(configuration.Rules)
	for _, rule := range configuration.Rules {
		routes[rule.Address] = newRoute(rule, lowest, pool)
	}
	return routes
}

// lowestPriorities returns the lowest priority, the highest number, of the rules of
// each service.
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
	r := &route{rule: rule}
	for _, target := range rule.Targets {
		r.priorityLevel = max(r.priorityLevel, lowest[target.Service]-rule.Priority)
		r.pools = append(r.pools, pool(target.Service))
		r.weights += uint64(target.Weight)
	}
	return r
}

// defaultTimeout is how long callers wait for a response when their rule does not
// say it.
const defaultTimeout = 3 * time.Second

func (r *route) timeout() time.Duration {
	if r.rule.Timeout > 0 {
		return r.rule.Timeout
	}
	return defaultTimeout
}

// pick returns the pool for a new flow. All instances pick the same one for a
// flow, so that copies of its first packet reach one service.
func (r *route) pick(hash common.FlowHash) *selection.Pool {
	if r.weights == 0 {
		return nil
	}
	// The hash scaled to the sum of the weights.
	point, _ := bits.Mul64(uint64(hash), r.weights)
	for i, target := range r.rule.Targets {
		if point < uint64(target.Weight) {
			return r.pools[i]
		}
		point -= uint64(target.Weight)
	}
	return r.pools[len(r.pools)-1]
}

// MarkSuspects returns the endpoints that have become suspect since the last new flows of
// their services: a service with few flows would notice late.
func (v *View) MarkSuspects(now time.Duration) []*selection.Member {
	var silent []*selection.Member
	for _, p := range v.pools {
		silent = append(silent, p.MarkSuspects(now)...)
	}
	return silent
}

// Version returns the version of the configuration, 0 for none.
func (v *View) Version() uint64 {
	if v.configuration == nil {
		return 0
	}
	return v.configuration.Version
}

// IdleTimeout returns the time after which a flow without packets ends.
func (v *View) IdleTimeout() time.Duration {
	if v.configuration == nil || v.configuration.IdleTimeout <= 0 {
		return DefaultIdleTimeout
	}
	return v.configuration.IdleTimeout
}

func (v *View) resolve(l label.Label) *selection.Member {
	position, found := v.labels.Resolve(l)
	if !found {
		return nil
	}
	return v.members[position]
}
