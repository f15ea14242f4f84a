package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// pointerState is the pointer object as read from the platform.
type pointerState struct {
	spec pointerSpec
	// version is the resource version of the object.
	version string
}

// readPointerState reads the pointer. A missing pointer is created with release
// number 0, so that each move of it is a conditional update.
func (p *activePublication) readPointerState(ctx context.Context) error {
	object, err := p.platform.Get(ctx, platform.Pointers, pointerName)
	if code, _ := resultcode.Of(err); err != nil && code == resultcode.PlatformNotFound {
		empty, encodeErr := platform.NewObject("Pointer", pointerName, "", pointerSpec{})
		if encodeErr != nil {
			return encodeErr
		}
		// Another publisher may create it first. The read returns either object.
		_, _ = p.platform.Create(ctx, platform.Pointers, empty)
		object, err = p.platform.Get(ctx, platform.Pointers, pointerName)
	}
	if err != nil {
		return err
	}
	return p.setPointerState(object)
}

func (p *activePublication) setPointerState(object *platform.Object) error {
	var spec pointerSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "decode pointer: %w", err)
	}
	p.pointer = pointerState{spec: spec, version: object.Metadata.ResourceVersion}
	return nil
}

// readRelease returns a release of the platform, nil for number 0.
func (p *activePublication) readRelease(ctx context.Context, number uint64) (*config.Release, error) {
	if number == 0 {
		return nil, nil
	}
	spec, err := p.readReleaseSpec(ctx, number)
	if err != nil {
		return nil, err
	}
	return decodeBody(spec.ref(), spec.Body)
}

func (p *publicationController) readReleaseSpec(ctx context.Context, number uint64) (*releaseSpec, error) {
	object, err := p.platform.Get(ctx, platform.Releases, strconv.FormatUint(number, 10))
	if err != nil {
		return nil, err
	}
	spec := releaseSpec{era: object.Era}
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBadAnswer, "decode release %d: %w", number, err)
	}
	return &spec, nil
}

// removeAbandoned removes a prepared release that has been known for longer than
// any publication takes, because its publisher is gone.
func (p *activePublication) removeAbandoned(ctx context.Context) error {
	p.mu.Lock()
	prepared := p.tracker.Prepared()
	abandoned := p.now()-p.preparedSince >= abandonedAfter
	p.mu.Unlock()
	if !abandoned || prepared.Number != p.pointer.spec.Number+1 {
		return nil
	}
	p.logger.Warn("abandoned_release_removed", zap.Uint64("release", prepared.Number))
	return p.withdrawRelease(ctx, prepared.Number)
}

// withdrawRelease increments the pointer's count of withdrawn releases, so that the
// platform refuses any move of the pointer that is based on an older version. Then
// it removes the release.
func (p *activePublication) withdrawRelease(ctx context.Context, number uint64) error {
	spec := p.pointer.spec
	spec.Withdrawn++
	object, err := platform.NewObject("Pointer", pointerName, p.pointer.version, spec)
	if err != nil {
		return err
	}
	updated, err := p.platform.Update(ctx, platform.Pointers, object)
	if err != nil {
		return err
	}
	if err := p.setPointerState(updated); err != nil {
		return err
	}
	return p.platform.Delete(ctx, platform.Releases, strconv.FormatUint(number, 10))
}

// baseConflict returns a conflict with the changes that were published since the
// base.
func (p *activePublication) baseConflict(ctx context.Context, base uint64) admin.PublishResult {
	old, err := p.readRelease(ctx, base)
	if err != nil {
		p.logger.Info("conflict_base_not_read", zap.Uint64("release", base), zap.Error(err))
	}
	return conflictResult(old, p.previous)
}

func conflictResult(from, to *config.Release) admin.PublishResult {
	result := admin.PublishResult{Code: resultcode.PublishConflict, Message: "another release was published in between"}
	if to == nil {
		return result
	}
	result.Message = fmt.Sprintf("release %d by %s was published in between", to.Number, to.Author)
	result.Conflict = &admin.Conflict{Release: to.Number, Author: to.Author}
	if from == nil {
		from = &config.Release{}
	}
	result.Conflict.Changes = config.Diff(from, to)
	return result
}

func (p *activePublication) readBackRelease(ctx context.Context) {
	p.readBack(ctx, p.state.OnReadRelease)
}

func (p *activePublication) readBackAccepted(ctx context.Context) {
	p.readBack(ctx, p.state.OnReadAccepted)
}

// readBack reads the release object with the number of this publication and passes
// the result to record.
func (p *activePublication) readBack(ctx context.Context, record func(found bool, ref release.Ref)) {
	ref := p.state.Ref()
	spec, err := p.readReleaseSpec(ctx, ref.Number)
	if code, _ := resultcode.Of(err); err != nil && code != resultcode.PlatformNotFound {
		p.waitBeforeRetry(ctx, "read_release", err)
		return
	}
	if err != nil {
		record(false, release.Ref{})
		return
	}
	p.createdIn = spec.era
	record(true, spec.ref())
	if p.state.Step() == release.StepConflict {
		p.conflict, _ = decodeBody(spec.ref(), spec.Body)
	}
}

func (p *activePublication) readBackPointer(ctx context.Context) {
	object, err := p.platform.Get(ctx, platform.Pointers, pointerName)
	if err != nil {
		p.waitBeforeRetry(ctx, "read_pointer", err)
		return
	}
	var spec pointerSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		p.waitBeforeRetry(ctx, "read_pointer", err)
		return
	}
	unchanged := object.Metadata.ResourceVersion == p.pointer.version
	p.state.OnReadPointer(release.Ref{Number: spec.Number, Hash: spec.Hash}, unchanged)
	if p.state.Step() == release.StepConflict {
		p.conflict, _ = p.readRelease(ctx, spec.Number)
	}
}
