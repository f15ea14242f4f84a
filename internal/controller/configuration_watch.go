package controller

import (
	"context"
	"encoding/json"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// watchPlatform watches the platform while this instance is one of the watchers of
// its data centre.
func (c *configurationController) watchPlatform(ctx context.Context) error {
	var stop context.CancelFunc
	for ctx.Err() == nil {
		watcher := c.isWatcher()
		if watcher && stop == nil {
			c.logger.Info("watch_started")
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			c.startWatch(watchCtx, platform.Pointers, &pointerHandler{c})
			c.startWatch(watchCtx, platform.Releases, &releaseHandler{c})
			c.startWatch(watchCtx, platform.Drains, c.drains)
		}
		if !watcher && stop != nil {
			c.logger.Info("watch_ended")
			stop()
			stop = nil
		}
		sleep(ctx, watchCheckInterval)
	}
	if stop != nil {
		stop()
	}
	return nil
}

func (c *configurationController) startWatch(ctx context.Context, collection string, handler platform.Handler) {
	c.tomb.Go(func() error {
		c.platform.Watch(ctx, collection, handler)
		return nil
	})
}

// pollPointer reads the pointer periodically on instances that do not watch the
// platform.
func (c *configurationController) pollPointer(ctx context.Context) error {
	for ctx.Err() == nil {
		c.mu.Lock()
		hasAccepted := c.tracker.Accepted().Number > 0
		c.mu.Unlock()
		interval := firstPollInterval
		if hasAccepted {
			interval = pollInterval
		}
		sleep(ctx, jitter(interval))
		if !c.isWatcher() {
			c.readPointer(ctx)
		}
	}
	return nil
}

func (c *configurationController) readPointer(ctx context.Context) {
	object, err := c.platform.Get(ctx, platform.Pointers, pointerName)
	code, _ := resultcode.Of(err)
	switch {
	case err == nil:
		c.observePointer(object)
	case code == resultcode.PlatformNotFound:
		c.inputOK(inputPlatform)
	default:
		c.inputFailed(inputPlatform, err)
	}
}

// observePointer records the accepted release that a pointer object refers to.
func (c *configurationController) observePointer(object *platform.Object) {
	c.inputOK(inputPlatform)
	if object.Metadata.Name != pointerName {
		return
	}
	var spec pointerSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		c.logger.Warn("pointer_object", zap.Error(err))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ref := release.Ref{Number: spec.Number, Hash: spec.Hash}
	accepted := c.tracker.Accepted()
	if ref.Number < accepted.Number {
		// The pointer may have been read before the release was accepted, or the
		// platform was restored from a copy.
		signal(c.restoreSignal)
	}
	if ref.Number == accepted.Number && !ref.Matches(accepted) && ref.Number > 0 {
		c.logger.Error("release_number_reused", zap.Uint64("release", ref.Number), zap.String("hash", ref.Hash), zap.String("accepted_hash", accepted.Hash))
	}
	c.observeAccepted(ref)
}

// pointerHandler implements platform.Handler for the collection pointers.
type pointerHandler struct{ *configurationController }

// Replace implements platform.Handler.
func (h *pointerHandler) Replace(list *platform.List) {
	h.inputOK(inputPlatform)
	for i := range list.Items {
		h.observePointer(&list.Items[i])
	}
}

// Change implements platform.Handler.
func (h *pointerHandler) Change(eventType string, object *platform.Object) {
	if eventType != platform.Deleted {
		h.observePointer(object)
	}
}

// Failed implements platform.Handler.
func (h *pointerHandler) Failed(err error) {
	h.inputFailed(inputPlatform, err)
	h.logger.Debug("watch_failed", zap.Error(err))
}

// releaseHandler implements platform.Handler for the collection releases.
type releaseHandler struct{ *configurationController }

// Replace implements platform.Handler. It withdraws the prepared release if the list
// does not contain it. A release that became known after the list was requested may be
// newer than the list. If the list lacks the accepted release, the platform may have lost
// it.
func (h *releaseHandler) Replace(list *platform.List) {
	h.mu.Lock()
	prepared, accepted := h.tracker.Prepared(), h.tracker.Accepted()
	newer := !h.start.Add(h.preparedSince).Before(list.RequestedAt)
	h.mu.Unlock()
	found, hasAccepted := false, accepted.Number == 0
	for i := range list.Items {
		spec, ok := h.observeRelease(&list.Items[i])
		found = found || (ok && spec.ref().Matches(prepared))
		hasAccepted = hasAccepted || (ok && spec.ref().Matches(accepted))
	}
	if !hasAccepted {
		signal(h.restoreSignal)
	}
	if !found && !newer && prepared.Number > 0 {
		h.withdraw(prepared)
	}
}

// Change implements platform.Handler. It withdraws a removed release.
func (h *releaseHandler) Change(eventType string, object *platform.Object) {
	if eventType != platform.Deleted {
		h.observeRelease(object)
		return
	}
	var spec releaseSpec
	if json.Unmarshal(object.Spec, &spec) == nil && spec.Number > 0 {
		h.withdraw(spec.ref())
	}
}

// Failed implements platform.Handler.
func (h *releaseHandler) Failed(err error) { h.inputFailed(inputPlatform, err) }

// withdraw drops a prepared release that was removed from the platform.
func (c *configurationController) withdraw(ref release.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Withdraw(ref)
	if existing := c.loaded[ref.Number]; existing != nil && existing.ref.Matches(ref) && ref.Number > c.tracker.Accepted().Number {
		delete(c.loaded, ref.Number)
	}
	if c.ownAck.Ref.Matches(ref) {
		// The acknowledgement states that the release is loaded.
		c.ownAck = release.Ack{Instance: c.self, Ref: c.tracker.InForce(), Code: resultcode.OK}
	}
}

// observeRelease loads a release of the platform unless it is too old, and records
// it as prepared. It returns false if the object cannot be decoded.
func (c *configurationController) observeRelease(object *platform.Object) (*releaseSpec, bool) {
	var spec releaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		c.logger.Warn("release_object", zap.String("name", object.Metadata.Name), zap.Error(err))
		return nil, false
	}
	c.mu.Lock()
	inForce, accepted := c.tracker.InForce().Number, c.tracker.Accepted()
	c.mu.Unlock()
	if accepted.Number > 0 && spec.Number == accepted.Number && !spec.ref().Matches(accepted) {
		// The publisher does not know the accepted release, because the platform has
		// lost it. It learns from the refusal that this one cannot be accepted.
		c.recordLoadResult(&loadedRelease{ref: spec.ref()}, formBody, resultcode.Errorf(resultcode.ReleaseHashMismatch,
			"another release %d with hash %s was accepted", accepted.Number, accepted.Hash))
		return &spec, true
	}
	if spec.Number > inForce && spec.Number >= accepted.Number {
		c.loadBody(spec.ref(), spec.Body)
	}
	// The release is announced only after it is loaded. An instance that requested
	// it earlier would find no peer that has it and read the whole body from the
	// platform.
	c.mu.Lock()
	c.observePrepared(spec.ref())
	c.mu.Unlock()
	return &spec, true
}
