package directory

import "burdockrelay.example/burdockrelay/common"

// coverage tracks since which revisions a catalog has a record of every removed endpoint.
// A difference since any other revision could lack removals.
type coverage struct {
	// completeSince is the revision of the last snapshot, or of the first update of the
	// present era: a snapshot does not contain endpoints that were added and removed
	// before it.
	completeSince common.Revision
	// prunedThrough is the highest revision of a removal whose record was pruned.
	prunedThrough common.Revision
	// previousFrom and previousTo limit the revisions of the previous era from which
	// the catalog has all removals up to its entry into the present era.
	previousFrom, previousTo common.Revision
}

// enterEra records that a catalog complete at a revision of an earlier era continues with
// an update of a new era.
func (v *coverage) enterEra(completeAt, entered common.Revision) {
	v.previousFrom, v.previousTo = v.completeSince, completeAt
	v.completeSince = entered
}

func (v *coverage) snapshotApplied(at common.Revision) {
	v.completeSince = latest(v.completeSince, at)
}

func (v *coverage) removalPruned(at common.Revision) {
	v.prunedThrough = latest(v.prunedThrough, at)
}

// covers reports whether the catalog, complete at completeAt, has a record of every
// endpoint removed after a revision.
func (v *coverage) covers(since, completeAt common.Revision) bool {
	switch {
	case since.After(completeAt):
		return true
	case since.IsZero() || v.prunedThrough.After(since):
		return false
	case since.Era == completeAt.Era:
		return !v.completeSince.After(since)
	default:
		return since.Era == v.previousTo.Era && !since.After(v.previousTo) && !v.previousFrom.After(since)
	}
}
