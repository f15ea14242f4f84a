package release

// Step is what a publication does next.
type Step uint8

// Steps of a publication, docs/design.md section 5.
const (
	// StepCreate writes the release object, create-only.
	StepCreate Step = iota
	// StepReadRelease reads the object back, because the answer was lost or
	// the name was taken.
	StepReadRelease
	// StepAwait waits for acknowledgements.
	StepAwait
	// StepMove moves the pointer by conditional update.
	StepMove
	// StepReadPointer reads the pointer back, because the answer was lost or
	// the update met a conflict.
	StepReadPointer
	// StepReadAccepted reads the release object again, because a higher release
	// was accepted before the pointer could be read back.
	StepReadAccepted
	// StepDone means accepted.
	StepDone
	// StepConflict means that another release has the number.
	StepConflict
	// StepRefused means that an instance could not load the release.
	StepRefused
	// StepUnconfirmed means that the outcome could not be read back in time.
	StepUnconfirmed
)

// Outcome is the answer to a write.
type Outcome uint8

// Outcomes of a write.
const (
	// OutcomeApplied means that the write took effect.
	OutcomeApplied Outcome = iota
	// OutcomeConflict means that another write came first, or that an earlier
	// try of this one took effect.
	OutcomeConflict
	// OutcomeUnknown means that the effect is unknown.
	OutcomeUnknown
	// OutcomeNotApplied means that the write certainly had no effect.
	OutcomeNotApplied
)

// Publication is the state of one publication. Every lost answer leads to a
// read, and a write is repeated only when the read shows that it had no effect
// and that no write can still take effect twice: both writes are conditional.
type Publication struct {
	ref  Ref
	step Step
}

// NewPublication returns a publication of a release at its first step.
func NewPublication(ref Ref) *Publication {
	return &Publication{ref: ref, step: StepCreate}
}

// Ref returns the release that is published.
func (p *Publication) Ref() Ref { return p.ref }

// Step returns what to do next.
func (p *Publication) Step() Step { return p.step }

// Finished reports whether the outcome is final.
func (p *Publication) Finished() bool { return p.step >= StepDone }

// OnCreate takes the answer to the creation of the release object.
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

// OnReadRelease takes the object read back. A missing object allows the creation
// to be repeated, because creation is exclusive.
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

// OnEvaluate takes the verdict on the acknowledgements.
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

// OnMove takes the answer to the move of the pointer.
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

// OnReadPointer takes the pointer read back. unchanged tells that it still has the
// version that the move is conditional on, so the move can be repeated.
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

// OnReadAccepted takes the release object read after a higher number was accepted.
// An object below the pointer is an accepted release: written releases are only
// removed while the pointer is below them.
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

// Expire ends a publication whose time is over. A publication that may have
// written the pointer stays unconfirmed.
func (p *Publication) Expire() {
	if !p.Finished() {
		p.step = StepUnconfirmed
	}
}
