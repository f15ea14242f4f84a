package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/drain"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// storeInterval is the mean time between attempts to store drains.
	storeInterval = 2 * time.Second
	// storeTimeout bounds how long an operator waits for the platform. After it the
	// drain is reported as not stored yet.
	storeTimeout = 2 * time.Second
)

// drainController stores drain overrides at the platform and reads them from it.
type drainController struct {
	*core
	// stored holds the newest override of each endpoint that was read from the
	// platform or written to it.
	stored map[common.EndpointID]drain.Override
}

// drainSpec is the spec of an object of the collection drains.
type drainSpec struct {
	Endpoint common.EndpointID `json:"endpoint"`
	Draining bool              `json:"draining"`
	Version  uint64            `json:"version"`
	Origin   common.InstanceID `json:"origin"`
}

func drainName(id common.EndpointID) string { return fmt.Sprintf("endpoint-%d", id) }

// mergeDrain applies an override from a peer or the platform. The caller holds mu.
func (c *core) mergeDrain(override drain.Override) {
	if !c.drains.Merge(override) {
		return
	}
	c.gossipQueue.addDrain(override.Endpoint)
	c.snapshotChanged()
}

// set records an operator's drain request and passes it on to the peers. It reports
// whether the platform has stored the drain.
func (d *drainController) set(ctx context.Context, name string, draining bool) (bool, error) {
	d.mu.Lock()
	if d.inForce == nil {
		d.mu.Unlock()
		return false, resultcode.Errorf(resultcode.AdminUnavailable, "no release is in force yet")
	}
	endpoint, found := d.inForce.release.EndpointByName(name)
	if !found {
		d.mu.Unlock()
		return false, resultcode.Errorf(resultcode.AdminUnknownName, "no endpoint has the name %q", name)
	}
	override := d.drains.Set(endpoint.ID, draining, d.self)
	d.gossipQueue.addDrain(endpoint.ID)
	d.mu.Unlock()
	d.snapshotChanged()
	d.logger.Info("drain_set", zap.String("endpoint", name), zap.Bool("draining", draining), zap.Uint64("version", override.Version))
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.store(ctx, override); err != nil {
		d.logger.Warn("drain_not_stored", zap.String("endpoint", name), zap.Error(err))
		return false, nil
	}
	return true, nil
}

// run stores the overrides that the platform does not have. The instance that
// received the operator's request stores them. The watchers do so too, in case that
// instance is gone.
func (d *drainController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, jitter(storeInterval))
		for _, override := range d.unstored() {
			if err := d.store(ctx, override); err != nil {
				d.logger.Debug("drain_not_stored", zap.Error(err))
				break
			}
		}
	}
	return nil
}

func (d *drainController) unstored() []drain.Override {
	watcher := d.isWatcher()
	d.mu.Lock()
	defer d.mu.Unlock()
	var unstored []drain.Override
	for _, override := range d.drains.All() {
		if d.stored[override.Endpoint] != override && (watcher || override.Origin == d.self) {
			unstored = append(unstored, override)
		}
	}
	return unstored
}

// store writes an override unless the platform has a newer one. It reads the object
// before each conditional update, so a retry after a lost response detects whether
// the first write took effect.
func (d *drainController) store(ctx context.Context, override drain.Override) error {
	name := drainName(override.Endpoint)
	object, err := d.platform.Get(ctx, platform.Drains, name)
	code, _ := resultcode.Of(err)
	if err != nil && code != resultcode.PlatformNotFound {
		return err
	}
	version := ""
	if err == nil {
		stored, ok := d.observe(object)
		if ok && !override.Newer(stored) {
			return nil
		}
		version = object.Metadata.ResourceVersion
	}
	written, err := platform.NewObject("Drain", name, version, drainSpec(override))
	if err != nil {
		return err
	}
	if version == "" {
		_, err = d.platform.Create(ctx, platform.Drains, written)
	} else {
		_, err = d.platform.Update(ctx, platform.Drains, written)
	}
	if err == nil {
		d.observe(written)
	}
	return err
}

// observe applies a drain object of the platform. It returns false if the object
// cannot be decoded.
func (d *drainController) observe(object *platform.Object) (drain.Override, bool) {
	var spec drainSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		d.logger.Warn("drain_object", zap.String("name", object.Metadata.Name), zap.Error(err))
		return drain.Override{}, false
	}
	override := drain.Override(spec)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stored[override.Endpoint] = override
	d.mergeDrain(override)
	return override, true
}

// Replace implements platform.Handler for the collection drains. Overrides that the list
// lacks are stored again: the platform may have lost them.
func (d *drainController) Replace(list *platform.List) {
	d.mu.Lock()
	clear(d.stored)
	d.mu.Unlock()
	for i := range list.Items {
		d.observe(&list.Items[i])
	}
}

// Change implements platform.Handler. A removed drain object changes nothing.
func (d *drainController) Change(eventType string, object *platform.Object) {
	if eventType != platform.Deleted {
		d.observe(object)
	}
}

// Failed implements platform.Handler.
func (d *drainController) Failed(err error) { d.inputFailed(inputPlatform, err) }
