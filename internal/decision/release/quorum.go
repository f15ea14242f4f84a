package release

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Ack is an instance's acknowledgement of a written release.
type Ack struct {
	Instance common.InstanceID
	Ref      Ref
	// Code is resultcode.OK if the instance has loaded the release, and the
	// reason of its refusal otherwise.
	Code resultcode.Code
	// InForce is the number of the release that the instance applies.
	InForce uint64
}

// Group is the publisher's information about one group of instances. The group's
// watchers are the instances that watch the platform and report to it on behalf of
// the group.
type Group struct {
	// Leased is false if the group's watchers did not renew their report at the
	// platform in time. Such a group keeps its last release and does not take part
	// in the decision.
	Leased bool
	// Listed are the live instances on the instance list.
	Listed []common.InstanceID
	// Alive are the instances that are alive according to the group's watchers.
	Alive []common.InstanceID
	// Dead are the instances that the group's watchers declared dead.
	Dead []common.InstanceID
	// Acks are the acknowledgements of the group's instances, of any release.
	Acks []Ack
}

// Decision is the result of evaluating the acknowledgements of a release.
type Decision uint8

// Decisions on a written release.
const (
	// Wait means that acknowledgements are missing.
	Wait Decision = iota
	// Accept means that all required instances have loaded the release.
	Accept
	// Refuse means that at least one instance could not load the release.
	Refuse
)

// Evaluation is a decision with the instances that determined it.
type Evaluation struct {
	Decision Decision
	// Acknowledged is the number of instances that have loaded the release.
	Acknowledged int
	Missing      []common.InstanceID
	RefusedBy    []common.InstanceID
}

// EvaluateAcks decides on a written release. In each leased group, every instance that
// may hold a lease must have loaded exactly this release; a single refusal rejects
// it.
func EvaluateAcks(ref Ref, groups []Group) Evaluation {
	var evaluation Evaluation
	for i := range groups {
		if groups[i].Leased {
			evaluateGroup(ref, &groups[i], &evaluation)
		}
	}
	switch {
	case len(evaluation.RefusedBy) > 0:
		evaluation.Decision = Refuse
	case len(evaluation.Missing) > 0:
		evaluation.Decision = Wait
	default:
		evaluation.Decision = Accept
	}
	return evaluation
}

func evaluateGroup(ref Ref, group *Group, evaluation *Evaluation) {
	for _, id := range group.expected() {
		ack, found := group.ack(id, ref)
		switch {
		case !found:
			evaluation.Missing = append(evaluation.Missing, id)
		case ack.Code != resultcode.OK:
			evaluation.RefusedBy = append(evaluation.RefusedBy, id)
		default:
			evaluation.Acknowledged++
		}
	}
}

// expected returns the instances that may hold a lease: those that are alive
// according to the watchers, and those on the list that the watchers have not
// declared dead. Both sources are needed: the list may lack new instances and still
// contain removed ones, and the watchers may not have discovered a new instance yet.
func (g *Group) expected() []common.InstanceID {
	expected := slices.Clone(g.Alive)
	for _, id := range g.Listed {
		if !slices.Contains(expected, id) && !slices.Contains(g.Dead, id) {
			expected = append(expected, id)
		}
	}
	slices.Sort(expected)
	return slices.Compact(expected)
}

// ack returns the instance's acknowledgement of the release, and false if there is
// none.
func (g *Group) ack(id common.InstanceID, ref Ref) (Ack, bool) {
	for _, ack := range g.Acks {
		if ack.Instance == id && ack.Ref.Matches(ref) {
			return ack, true
		}
	}
	return Ack{}, false
}
