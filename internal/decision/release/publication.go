package release

// Step is the next step of a publication.
type Step uint8

// Steps of a publication, docs/design.md section 5.
const (
	// StepCreate writes the release object, which must not exist yet.
	StepCreate Step = iota
	// StepReadRelease reads the release object back, because the response to its
	// creation was lost or the object already exists.
	StepReadRelease
	// StepAwait waits for the acknowledgements of the instances.
	StepAwait
	// StepMove moves the pointer to the release by a conditional update, which
	// accepts the release.
	StepMove
	// StepReadPointer reads the pointer back, because the response to the update
	// was lost or the update conflicted with another one.
	StepReadPointer
	// StepReadAccepted reads the release object again, because a higher release
	// was accepted before the pointer could be read back.
	StepReadAccepted
	// StepDone is final: the release was accepted.
	StepDone
	// StepConflict is final: another release has the number.
	StepConflict
	// StepRefused is final: at least one instance could not load the release.
	StepRefused
	// StepUnconfirmed is final: the outcome could not be read back in time.
	StepUnconfirmed
)

// Outcome is the result of a write to the platform.
type Outcome uint8

// Outcomes of a write.
const (
	// OutcomeApplied means that the write took effect.
	OutcomeApplied Outcome = iota
	// OutcomeConflict means that another write came first, or that an earlier
	// attempt of the same write took effect.
	OutcomeConflict
	// OutcomeUnknown means that the response was lost; the write may have taken
	// effect.
	OutcomeUnknown
	// OutcomeNotApplied means that the write certainly had no effect.
	OutcomeNotApplied
)

// Publication is the state machine of one publication. The caller executes Step and
// reports the result with the On method of that step.
//
// An unknown outcome always leads to a read. A write is repeated only if the read
// shows that it had no effect. As both writes are conditional, a delayed write cannot
// take effect a second time.
type Publication struct {
	ref  Ref
	step Step
}

// NewPublication returns the publication of a release at its first step.
func NewPublication(ref Ref) *Publication {
	return &Publication{ref: ref, step: StepCreate}
}

// Ref returns the release being published.
func (p *Publication) Ref() Ref { return p.ref }

// Step returns the step to execute next.
func (p *Publication) Step() Step { return p.step }

// Finished reports whether the outcome is final.
func (p *Publication) Finished() bool { return p.step >= StepDone }

// OnCreate handles the outcome of creating the release object.
func (p *Publication) OnCreate(outcome Outcome) {
	switch outcome {
	case OutcomeApplied:
		p.step = StepAwait
	case OutcomeNotApplied:
		p.step = StepCreate
	default:
		p.step = StepReadRelease
	}
}

// OnReadRelease handles the release object that was read back. If it is missing,
// the creation is repeated, which is safe because it fails if the object exists.
func (p *Publication) OnReadRelease(found bool, ref Ref) {
	switch {
	case !found:
		p.step = StepCreate
	case ref.Matches(p.ref):
		p.step = StepAwait
	default:
		p.step = StepConflict
	}
}

// OnEvaluate handles the decision on the acknowledgements.
func (p *Publication) OnEvaluate(decision Decision) {
	switch decision {
	case Accept:
		p.step = StepMove
	case Refuse:
		p.step = StepRefused
	default:
		p.step = StepAwait
	}
}

// OnReleaseLost handles a platform that was restored from a copy without the release while
// acknowledgements were awaited. The creation is repeated, which is safe because it fails
// if the object exists.
func (p *Publication) OnReleaseLost() { p.step = StepCreate }

// OnMove handles the outcome of moving the pointer.
func (p *Publication) OnMove(outcome Outcome) {
	switch outcome {
	case OutcomeApplied:
		p.step = StepDone
	case OutcomeNotApplied:
		p.step = StepMove
	default:
		p.step = StepReadPointer
	}
}

// OnReadPointer handles the pointer that was read back. unchanged is true if it
// still has the version on which the move is conditional, so that the move can be
// repeated.
func (p *Publication) OnReadPointer(ref Ref, unchanged bool) {
	switch {
	case ref.Matches(p.ref):
		p.step = StepDone
	case ref.Number > p.ref.Number:
		p.step = StepReadAccepted
	case unchanged:
		p.step = StepMove
	default:
		p.step = StepConflict
	}
}

// OnReadAccepted handles the release object that was read after a higher release
// was accepted. An object below the pointer is an accepted release, because release
// objects are only removed while the pointer is below them.
func (p *Publication) OnReadAccepted(found bool, ref Ref) {
	switch {
	case !found:
		p.step = StepUnconfirmed
	case ref.Matches(p.ref):
		p.step = StepDone
	default:
		p.step = StepConflict
	}
}

// Expire ends a publication that has exceeded its time limit. Its outcome is
// unconfirmed, because it may already have moved the pointer.
func (p *Publication) Expire() {
	if !p.Finished() {
		p.step = StepUnconfirmed
	}
}
