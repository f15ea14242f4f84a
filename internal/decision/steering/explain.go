package steering

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Explanation says what Handle would do with the first packet of a new flow, and why.
type Explanation struct {
	// Rule is nil if no rule has the destination.
	Rule *directory.Rule
	// Level is the number of priority levels by which the rule is above the lowest one of its
	// services.
	Level int
	// Long is set if the rule's flows count as long.
	Long bool
	// OpenOn is the endpoint of a flow with this five-tuple that this instance has recorded,
	// nil if there is none. The flow's own packets go there. The explanation of a new flow
	// does not include the effects of the end of the recorded one.
	OpenOn *selection.Member
	// Services holds the explanations of the drawn service and of those to which the flow
	// would overflow, in the order in which they are asked.
	Services []selection.Explanation
	// MayOverflow is set if the drawn service does not take the flow, and the rule's settings
	// and budget let it go to another target.
	MayOverflow bool

	// Kind, Code, Member and Overflowed are the result; see Action.
	Kind       Kind
	Code       resultcode.Code
	Member     *selection.Member
	Overflowed bool
}

// shardState is the state of a shard that the handling of a new flow depends on.
type shardState struct {
	openOn        *selection.Member
	full, paused  bool
	overflowShare float64
}

// Explain returns what Handle would do with a first packet that opens a new flow, sent now for
// the first time. It changes nothing. Decisions on other packets may come between the parts
// of the explanation.
func (t *Table) Explain(v *View, p *Packet, fresh Freshness, now time.Duration) Explanation {
	state := t.shard(p.Hash).stateFor(p, now)
	e := Explanation{OpenOn: state.openOn}
	r := v.routes[destination(&p.Tuple)]
	if r != nil {
		e.Rule, e.Level, e.Long = &r.rule, r.priorityLevel, r.kinds.Long()
	}
	switch {
	case state.paused:
		e.end(drop(resultcode.DroppedAfterPause))
	case r == nil:
		e.end(noRoute(fresh))
	default:
		e.explainRoute(v, r, p, fresh, state, now)
	}
	return e
}

func (s *shard) stateFor(p *Packet, now time.Duration) shardState {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := shardState{paused: s.queuedDuringPause(p, now), overflowShare: s.overflowShare}
	flows := len(s.flows)
	if f := s.flows[p.Tuple]; f != nil {
		// A new flow replaces the record.
		flows--
		if !f.finished {
			state.openOn = f.member
		}
	}
	state.full = flows >= s.capacity
	return state
}

func (e *Explanation) end(action Action) { e.Kind, e.Code = action.Kind, action.Code }

// explainRoute explains the handling of a flow that has a rule.
func (e *Explanation) explainRoute(v *View, r *route, p *Packet, fresh Freshness, state shardState, now time.Duration) {
	drawn := r.pick(p.Hash)
	if drawn == nil {
		e.end(refuse(resultcode.RefusedNoEndpoint))
		return
	}
	service := drawn.Explain(now, r.priorityLevel, r.request(v))
	e.Services = append(e.Services, service)
	switch {
	case !service.Admission.Admitted:
		e.end(refuse(resultcode.RefusedOverload))
	case state.full:
		e.end(refuse(resultcode.RefusedTableFull))
		return
	case len(service.Candidates) == 0:
		e.end(noEndpoint(fresh, v.noEndpointCode(drawn, now)))
	default:
		e.choose(&service)
		return
	}
	e.MayOverflow = mayOverflow(state.overflowShare, r) && !state.full && r.overflow.AllowsNext(now, state.overflowShare)
	if e.MayOverflow {
		e.explainOverflow(v, r, drawn, now)
	}
}

// explainOverflow explains the handling of a flow that the drawn service does not take.
func (e *Explanation) explainOverflow(v *View, r *route, drawn *selection.Pool, now time.Duration) {
	for _, pool := range r.otherTargets(drawn) {
		service := pool.Explain(now, r.priorityLevel, r.request(v))
		e.Services = append(e.Services, service)
		if service.Admission.Admitted && !service.Admission.Limited && len(service.Candidates) > 0 {
			e.choose(&service)
			e.Overflowed = true
			return
		}
	}
}

func (e *Explanation) choose(service *selection.Explanation) {
	e.Kind, e.Code, e.Member = Forward, resultcode.PacketForwarded, service.Candidates[0].Member
}
