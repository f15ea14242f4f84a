package controller

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// restoreDelay is the mean time before a watcher writes a lost release again. It spreads
// the calls of the watchers, which notice a restore at about the same time.
const restoreDelay = 300 * time.Millisecond

// restoreLostReleases writes the accepted release to the platform again while this
// instance is a watcher, whenever a pointer or a list of releases shows that the platform
// has lost it because it was restored from a copy.
func (p *publicationController) restoreLostReleases(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.restoreSignal:
		}
		if !p.isWatcher() {
			continue
		}
		sleep(ctx, jitter(restoreDelay))
		p.retryRestore(ctx, (&activePublication{publicationController: p}).restoreAccepted)
	}
}

// retryRestore retries an operation until it succeeds or the context ends. It gives up if
// the platform has another release with the number of the accepted one.
func (p *publicationController) retryRestore(ctx context.Context, operation func(context.Context) error) {
	logFailure := func(err error) { p.logger.Warn("release_not_restored", zap.Error(err)) }
	objectstore.RetryUntilSuccess(ctx, func() error {
		err := operation(ctx)
		if code, _ := resultcode.Of(err); err != nil && code == resultcode.ReleaseHashMismatch {
			logFailure(err)
			return nil
		}
		return err
	}, logFailure)
}

// restoreAccepted reads the pointer. If it is below the accepted release, or the platform
// does not have that release, it writes the release and moves the pointer to it.
func (p *activePublication) restoreAccepted(ctx context.Context) error {
	if err := p.restoreAcceptedPointer(ctx); err != nil {
		return err
	}
	accepted, loaded := p.loadedAccepted()
	if loaded == nil || p.pointer.spec.Number != accepted.Number {
		return nil
	}
	return p.restoreRelease(ctx, loaded)
}

// restoreAcceptedPointer reads the pointer. If it is below the accepted release, it writes
// the release and moves the pointer to it. It fails if this instance has not loaded the
// release.
func (p *activePublication) restoreAcceptedPointer(ctx context.Context) error {
	accepted, loaded := p.loadedAccepted()
	if err := p.readPointerState(ctx); err != nil || p.pointer.spec.Number >= accepted.Number {
		return err
	}
	if loaded == nil {
		return resultcode.Errorf(resultcode.AdminUnavailable, "the platform has lost release %d and this instance has not loaded it", accepted.Number)
	}
	if err := p.restoreRelease(ctx, loaded); err != nil {
		return err
	}
	return p.movePointerToAccepted(ctx, loaded)
}

// movePointerToAccepted moves the pointer to an accepted release above it.
func (p *activePublication) movePointerToAccepted(ctx context.Context, accepted *loadedRelease) error {
	spec := pointerSpec{Number: accepted.ref.Number, Hash: accepted.ref.Hash, Withdrawn: p.pointer.spec.Withdrawn}
	object, err := platform.NewObject("Pointer", pointerName, p.pointer.version, spec)
	if err != nil {
		return err
	}
	updated, err := p.platform.Update(ctx, platform.Pointers, object)
	if err != nil {
		return err
	}
	p.logger.Warn("release_restored", zap.Uint64("release", spec.Number), zap.Uint64("pointer", p.pointer.spec.Number))
	return p.setPointerState(updated)
}

// loadedAccepted returns the accepted release. loaded is nil if it is not loaded.
func (c *core) loadedAccepted() (accepted release.Ref, loaded *loadedRelease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted = c.tracker.Accepted()
	if loaded = c.loaded[accepted.Number]; loaded != nil && !loaded.ref.Matches(accepted) {
		loaded = nil
	}
	return accepted, loaded
}

// restoreRelease writes an accepted release unless the platform has it. A release of
// another publisher with the same number, which cannot have been accepted while the
// pointer is below it, is removed first.
func (p *activePublication) restoreRelease(ctx context.Context, accepted *loadedRelease) error {
	stored, err := p.readReleaseSpec(ctx, accepted.ref.Number)
	code, _ := resultcode.Of(err)
	switch {
	case err == nil && stored.ref().Matches(accepted.ref):
		return nil
	case err == nil && p.pointer.spec.Number < accepted.ref.Number:
		err = p.withdrawRelease(ctx, accepted.ref.Number)
	case err == nil:
		err = resultcode.Errorf(resultcode.ReleaseHashMismatch, "the platform has release %d with hash %s, but hash %s is in force",
			stored.Number, stored.Hash, accepted.ref.Hash)
	case code == resultcode.PlatformNotFound:
		err = nil
	}
	if err != nil {
		return err
	}
	body, err := accepted.encodedBody()
	if err != nil {
		return err
	}
	object, err := platform.NewObject("Release", strconv.FormatUint(accepted.ref.Number, 10), "", releaseSpec{
		Number: accepted.ref.Number, Hash: accepted.ref.Hash, Attempt: accepted.ref.Attempt,
		Author: accepted.release.Author, Note: accepted.release.Note, Body: body,
	})
	if err != nil {
		return err
	}
	_, err = p.platform.Create(ctx, platform.Releases, object)
	return err
}

// restoreAfterMove makes sure that the platform has the release to which this publication
// has moved the pointer. The instances may have dropped it when the platform lost it.
func (p *activePublication) restoreAfterMove() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	p.retryRestore(ctx, func(ctx context.Context) error {
		if err := p.readPointerState(ctx); err != nil {
			return err
		}
		return p.restoreRelease(ctx, &loadedRelease{ref: p.state.Ref(), release: p.release, body: p.body})
	})
}
