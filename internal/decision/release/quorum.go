package release

import (
	"slices"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Ack is an instance's answer to a written release.
type Ack struct {
	Instance common.InstanceID
	Ref      Ref
	Code     resultcode.Code
	InForce  uint64
}

// Group is what the publisher knows about one group of instances.
type Group struct {
	// Leased is false when the group's watchers have not renewed their report
	// at the platform in time; such a group keeps its last release.
	Leased bool
	// Listed are the live instances of the instance list.
	Listed []common.InstanceID
	// Alive are the instances that the group's watchers see.
	Alive []common.InstanceID
	// Dead are the instances that the group's watchers declared dead.
	Dead []common.InstanceID
	Acks []Ack
}

// Decision is the state of a publication.
type Decision uint8

// Decisions on a publication.
const (
	Wait Decision = iota
	Accept
	Refuse
)

// Evaluation is a decision with the instances that led to it.
type Evaluation struct {
	Decision     Decision
	Acknowledged int
	Missing      []common.InstanceID
	RefusedBy    []common.InstanceID
}

// EvaluateAcks decides on a written release. Every live leased instance must have
// acknowledged exactly this release; a single refusal rejects it.
func EvaluateAcks(ref Ref, groups []Group) Evaluation {
	var verdict Evaluation
	for i := range groups {
		if groups[i].Leased {
			judgeGroup(ref, &groups[i], &verdict)
		}
	}
	switch {
	case len(verdict.RefusedBy) > 0:
		verdict.Decision = Refuse
	case len(verdict.Missing) > 0:
		verdict.Decision = Wait
	default:
		verdict.Decision = Accept
	}
	return verdict
}

func judgeGroup(ref Ref, group *Group, verdict *Evaluation) {
	for _, id := range group.expected() {
		ack, found := group.ack(id, ref)
		switch {
		case !found:
			verdict.Missing = append(verdict.Missing, id)
		case ack.Code != resultcode.OK:
			verdict.RefusedBy = append(verdict.RefusedBy, id)
		default:
			verdict.Acknowledged++
		}
	}
}

// expected returns the instances that may hold a lease: all that the watchers
// see, and those listed that the watchers have not declared dead. The list lags
// in both directions, so neither source is enough.
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

func (g *Group) ack(id common.InstanceID, ref Ref) (Ack, bool) {
	for _, ack := range g.Acks {
		if ack.Instance == id && ack.Ref.Matches(ref) {
			return ack, true
		}
	}
	return Ack{}, false
}
