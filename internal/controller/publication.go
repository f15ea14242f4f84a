package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// ackPollInterval is the time between reads of the watchers' acknowledgement
	// reports.
	ackPollInterval = 500 * time.Millisecond
	// abandonedAfter is the age at which the next publication removes a written
	// release that was not accepted. It exceeds the longest publication.
	abandonedAfter = 6 * time.Minute
	// maxStoredReleases is the number of accepted releases that the platform keeps
	// for the history.
	maxStoredReleases = 20
	// expiredReleaseAttempts is the number of publications that try to remove a
	// release from the platform after it has left the history.
	expiredReleaseAttempts = 5
	// cleanupTimeout bounds the removal of a release when a publication ends.
	cleanupTimeout = 10 * time.Second
	// writeRetryInterval is the mean time before a failed step is retried.
	writeRetryInterval = 300 * time.Millisecond
)

// publicationController publishes releases for operators.
type publicationController struct {
	*core
	// semaphore limits this instance to one publication at a time.
	semaphore chan struct{}
}

func newPublicationController(c *core) *publicationController {
	return &publicationController{core: c, semaphore: make(chan struct{}, 1)}
}

// activePublication is a publication in progress.
type activePublication struct {
	*publicationController
	state    *release.Publication
	release  *config.Release
	previous *config.Release
	pointer  pointerState
	body     []byte
	// createdIn and movedIn are the eras of the platform in which the release was
	// written or read back and the pointer moved, empty if that is not known.
	createdIn, movedIn string
	started            time.Duration
	reports            map[string]observedAckReport
	evaluation         release.Evaluation
	// conflict is the release of another publisher with the same number, nil if it
	// could not be read.
	conflict *config.Release
}

func (p *publicationController) publish(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (admin.PublishResult, error) {
	select {
	case p.semaphore <- struct{}{}:
		defer func() { <-p.semaphore }()
	case <-ctx.Done():
		return admin.PublishResult{}, resultcode.Errorf(resultcode.AdminUnavailable, "another publication is in progress on this instance")
	}
	publication := &activePublication{publicationController: p, started: p.now(), reports: map[string]observedAckReport{}}
	result, err := publication.prepare(ctx, c, base, info)
	if err != nil || result.Code != resultcode.OK {
		return result, err
	}
	return publication.run(ctx), nil
}

// prepare reads the pointer and builds the release. A result code other than OK
// ends the publication.
func (p *activePublication) prepare(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (admin.PublishResult, error) {
	if err := p.restoreAcceptedPointer(ctx); err != nil {
		return admin.PublishResult{}, err
	}
	if err := p.removeAbandoned(ctx); err != nil {
		return admin.PublishResult{}, err
	}
	previous, err := p.readRelease(ctx, p.pointer.spec.Number)
	if code, _ := resultcode.Of(err); err != nil && code == resultcode.PlatformNotFound {
		signal(p.restoreSignal)
		err = resultcode.Errorf(resultcode.AdminUnavailable, "the platform has lost release %d, which is being written again", p.pointer.spec.Number)
	}
	if err != nil {
		return admin.PublishResult{}, err
	}
	p.previous = previous
	if base != 0 && base != p.pointer.spec.Number {
		return p.baseConflict(ctx, base), nil
	}
	info.Number = p.pointer.spec.Number + 1
	info.OldestInForce = p.oldestInForce(ctx)
	built, faults := config.BuildRelease(c, previous, info)
	if len(faults) > 0 {
		return admin.PublishResult{Code: faults[0].Code, Message: "the check found faults", Faults: faults}, nil
	}
	if previous != nil && len(config.Diff(previous, built)) == 0 {
		return admin.PublishResult{
			Code:    resultcode.PublishUnchanged,
			Message: fmt.Sprintf("release %d has the same objects", previous.Number),
			Release: previous.Number,
		}, nil
	}
	body, hash, err := built.Encode()
	if err != nil {
		code, _ := resultcode.Of(err)
		return admin.PublishResult{Code: code, Message: err.Error()}, nil
	}
	p.release = built
	p.body = body
	p.state = release.NewPublication(release.Ref{Number: built.Number, Hash: hash, Attempt: p.nextAttempt(built.Number)})
	return admin.PublishResult{}, nil
}

// nextAttempt returns the attempt of a new release. The pointer of a restored platform may
// have lost the withdrawal of releases that instances know of.
func (p *activePublication) nextAttempt(number uint64) uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.pointer.spec.Withdrawn, p.tracker.NextAttempt(number))
}

// run executes the steps until the outcome is final or ctx ends.
func (p *activePublication) run(ctx context.Context) admin.PublishResult {
	for !p.state.Finished() && ctx.Err() == nil {
		p.step(ctx)
	}
	if p.state.Finished() {
		return p.result()
	}
	return p.timedOut()
}

func (p *activePublication) step(ctx context.Context) {
	switch p.state.Step() {
	case release.StepCreate:
		p.createRelease(ctx)
	case release.StepReadRelease:
		p.readBackRelease(ctx)
	case release.StepAwait:
		p.awaitAcks(ctx)
	case release.StepMove:
		p.movePointer(ctx)
	case release.StepReadPointer:
		p.readBackPointer(ctx)
	case release.StepReadAccepted:
		p.readBackAccepted(ctx)
	}
}

// outcomeOf classifies the error of a write.
func outcomeOf(err error) release.Outcome {
	code, _ := resultcode.Of(err)
	switch {
	case err == nil:
		return release.OutcomeApplied
	case code == resultcode.PlatformExists || code == resultcode.PlatformConflict || code == resultcode.PlatformNotFound:
		return release.OutcomeConflict
	case code == resultcode.PlatformUnreachable || code == resultcode.PlatformBudget:
		return release.OutcomeNotApplied
	default:
		return release.OutcomeUnknown
	}
}

func (p *activePublication) createRelease(ctx context.Context) {
	ref := p.state.Ref()
	spec := releaseSpec{
		Number:  ref.Number,
		Hash:    ref.Hash,
		Attempt: ref.Attempt,
		Author:  p.release.Author,
		Note:    p.release.Note,
		Body:    p.body,
	}
	object, err := platform.NewObject("Release", strconv.FormatUint(ref.Number, 10), "", spec)
	if err == nil {
		object, err = p.platform.Create(ctx, platform.Releases, object)
	}
	if err == nil {
		p.createdIn = object.Era
	}
	p.waitBeforeRetry(ctx, "create_release", err)
	p.state.OnCreate(outcomeOf(err))
}

// waitBeforeRetry logs a failed step and waits. Without an error it returns at
// once.
func (p *activePublication) waitBeforeRetry(ctx context.Context, step string, err error) {
	if err == nil {
		return
	}
	p.logger.Info("publication_step", zap.String("step", step), zap.Error(err))
	sleep(ctx, jitter(writeRetryInterval))
}

func (p *activePublication) movePointer(ctx context.Context) {
	ref := p.state.Ref()
	spec := pointerSpec{Number: ref.Number, Hash: ref.Hash, Withdrawn: p.pointer.spec.Withdrawn}
	object, err := platform.NewObject("Pointer", pointerName, p.pointer.version, spec)
	if err == nil {
		object, err = p.platform.Update(ctx, platform.Pointers, object)
	}
	if err == nil {
		p.movedIn = object.Era
	}
	p.waitBeforeRetry(ctx, "move_pointer", err)
	p.state.OnMove(outcomeOf(err))
}

// timedOut ends a publication after its deadline. If the pointer cannot have moved
// yet, the release is withdrawn, so that it is certain not to be accepted.
func (p *activePublication) timedOut() admin.PublishResult {
	step := p.state.Step()
	ref := p.state.Ref()
	result := admin.PublishResult{Release: ref.Number, Hash: ref.Hash, Acknowledged: uint32(p.evaluation.Acknowledged)}
	if step == release.StepAwait && p.withdrawOwnRelease() {
		result.Code = resultcode.PublishTimeout
		result.Message = "no acknowledgement in time from " + p.names(p.evaluation.Missing)
		return result
	}
	p.state.Expire()
	result.Code = resultcode.PublishUnconfirmed
	result.Message = "the platform did not confirm the outcome; burdockctl history shows it once the platform answers"
	return result
}

// withdrawOwnRelease removes the release of this publication and reports whether it
// is certain that the release will not be accepted.
func (p *activePublication) withdrawOwnRelease() bool {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	ref := p.state.Ref()
	if err := p.withdrawRelease(ctx, ref.Number); err != nil {
		p.logger.Warn("release_not_withdrawn", zap.Uint64("release", ref.Number), zap.Error(err))
		return false
	}
	p.mu.Lock()
	p.tracker.Withdraw(ref)
	p.mu.Unlock()
	return true
}

func (p *activePublication) result() admin.PublishResult {
	ref := p.state.Ref()
	result := admin.PublishResult{Release: ref.Number, Hash: ref.Hash, Acknowledged: uint32(p.evaluation.Acknowledged)}
	switch p.state.Step() {
	case release.StepDone:
		result.Message = fmt.Sprintf("release %d is accepted", ref.Number)
		p.handleAccepted(ref)
	case release.StepConflict:
		p.removeAfterConflict()
		conflict := conflictResult(p.previous, p.conflict)
		conflict.Release = ref.Number
		return conflict
	case release.StepUnconfirmed:
		result.Code = resultcode.PublishUnconfirmed
		result.Message = "the outcome could not be read back; burdockctl history shows it"
	case release.StepRefused:
		result.Code = resultcode.PublishRefused
		result.Message = "refused by " + p.names(p.evaluation.RefusedBy)
		for _, id := range p.evaluation.RefusedBy {
			result.RefusedBy = append(result.RefusedBy, p.name(id))
		}
		p.withdrawOwnRelease()
	}
	return result
}

// removeAfterConflict removes the release of this publication after a conflict,
// unless the pointer has reached its number. Written on a pointer that had changed,
// the release would keep the number occupied.
func (p *activePublication) removeAfterConflict() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	ref := p.state.Ref()
	spec, err := p.readReleaseSpec(ctx, ref.Number)
	if err != nil || !spec.ref().Matches(ref) {
		return
	}
	if err := p.readPointerState(ctx); err != nil || p.pointer.spec.Number >= ref.Number {
		return
	}
	if err := p.withdrawRelease(ctx, ref.Number); err != nil {
		p.logger.Warn("release_not_withdrawn", zap.Uint64("release", ref.Number), zap.Error(err))
	}
}

// handleAccepted records the accepted release without waiting for the watch and
// removes the releases that exceed the history.
func (p *activePublication) handleAccepted(ref release.Ref) {
	p.mu.Lock()
	p.observeAccepted(ref)
	p.mu.Unlock()
	if p.createdIn != p.movedIn {
		// The platform may have been restored in between and have lost the release.
		p.restoreAfterMove()
	}
	p.removeExpiredReleases(ref.Number)
}

// removeExpiredReleases removes the releases that left the history with the last
// publications. Those of earlier publications may have failed to be removed.
func (p *activePublication) removeExpiredReleases(accepted uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	for back := range uint64(expiredReleaseAttempts) {
		if accepted <= maxStoredReleases+back {
			return
		}
		expired := strconv.FormatUint(accepted-maxStoredReleases-back, 10)
		err := p.platform.Delete(ctx, platform.Releases, expired)
		if code, _ := resultcode.Of(err); err != nil && code != resultcode.PlatformNotFound {
			p.logger.Info("old_release_not_removed", zap.String("release", expired), zap.Error(err))
		}
	}
}

// history returns accepted releases, newest first.
func (p *publicationController) history(ctx context.Context, limit int) ([]*releaseRecord, error) {
	list, err := p.platform.List(ctx, platform.Releases)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	accepted := p.tracker.Accepted().Number
	p.mu.Unlock()
	var records []*releaseRecord
	for i := range list.Items {
		var spec releaseSpec
		if err := json.Unmarshal(list.Items[i].Spec, &spec); err != nil || spec.Number > accepted {
			continue
		}
		records = append(records, &releaseRecord{spec, list.Items[i].Metadata.CreationTimestamp, spec.Number == accepted})
	}
	slices.SortFunc(records, func(a, b *releaseRecord) int { return int(int64(b.spec.Number) - int64(a.spec.Number)) })
	return records[:min(limit, len(records))], nil
}

type releaseRecord struct {
	spec    releaseSpec
	created string
	inForce bool
}
