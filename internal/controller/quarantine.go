package controller

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// groupKind distinguishes the object of a group from the reports of its
	// watchers in the same collection.
	groupKind = "GroupRelease"
	// groupPrefix keeps the names distinct from those of instances, which contain
	// no dot.
	groupPrefix = "group."
	// groupWriteInterval limits the writes of a group: releases may follow each
	// other every 18 s. An address may stay in quarantine up to a minute longer.
	groupWriteInterval = time.Minute
	// groupChecksPerInterval is the number of times per groupWriteInterval that a
	// watcher checks whether a write is due.
	groupChecksPerInterval = 12
	// groupReadTimeout bounds the read of the other groups for a check or a diff.
	groupReadTimeout = 3 * time.Second
)

// groupReleaseSpec is the spec of a group's object in the collection
// acknowledgements.
type groupReleaseSpec struct {
	Group string `json:"group"`
	// OldestInForce is the lowest release that any instance of the group may have
	// in force. It never decreases, because no instance returns to an older
	// release.
	OldestInForce uint64 `json:"oldestInForce"`
}

// groupReleaseController stores the oldest release in force of this instance's
// group at the platform while this instance is a watcher. An address stays in
// quarantine while a group may still have a release in force that uses it.
type groupReleaseController struct {
	*core
	interval time.Duration
	// stored and version are the value and the resource version of the object when
	// this instance last read or wrote it.
	stored  uint64
	version string
	// attempted and attemptedAt record the last attempt to write.
	attempted   bool
	attemptedAt time.Duration
}

func newGroupReleaseController(c *core) *groupReleaseController {
	return &groupReleaseController{core: c, interval: groupWriteInterval}
}

func (g *groupReleaseController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, jitter(g.interval/groupChecksPerInterval))
		if g.isWatcher() {
			g.storeIfHigher(ctx)
		}
	}
	return nil
}

// storeIfHigher stores the oldest release in force of the group if it has risen,
// with at most one attempt per interval.
func (g *groupReleaseController) storeIfHigher(ctx context.Context) {
	oldest := g.oldestInGroup()
	if oldest <= g.stored || (g.attempted && g.now()-g.attemptedAt < g.interval) {
		return
	}
	g.attempted = true
	g.attemptedAt = g.now()
	if err := g.store(ctx, oldest); err != nil {
		g.logger.Debug("group_release_not_stored", zap.Uint64("release", oldest), zap.Error(err))
	}
}

func (g *groupReleaseController) objectName() string { return groupPrefix + g.settings.Group }

// store raises the value at the platform. If another watcher has written since the
// last read, store writes nothing: a group writes once per interval.
func (g *groupReleaseController) store(ctx context.Context, oldest uint64) error {
	previous := g.version
	if err := g.refresh(ctx); err != nil {
		return err
	}
	if g.version != previous || g.stored >= oldest {
		return nil
	}
	object, err := platform.NewObject(groupKind, g.objectName(), g.version, groupReleaseSpec{Group: g.settings.Group, OldestInForce: oldest})
	if err != nil {
		return err
	}
	var written *platform.Object
	if g.version == "" {
		written, err = g.platform.Create(ctx, platform.Acknowledgements, object)
	} else {
		written, err = g.platform.Update(ctx, platform.Acknowledgements, object)
	}
	if code, _ := resultcode.Of(err); err != nil && code == resultcode.PlatformUncertain {
		// The write may have taken effect.
		return g.refresh(ctx)
	}
	if err != nil {
		return err
	}
	g.stored = oldest
	g.version = written.Metadata.ResourceVersion
	return nil
}

// refresh reads the object from the platform. A missing object stands for release
// 0.
func (g *groupReleaseController) refresh(ctx context.Context) error {
	object, err := g.platform.Get(ctx, platform.Acknowledgements, g.objectName())
	if code, _ := resultcode.Of(err); err != nil && code == resultcode.PlatformNotFound {
		g.stored, g.version = 0, ""
		return nil
	}
	if err != nil {
		return err
	}
	var spec groupReleaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "decode object of group %s: %w", g.settings.Group, err)
	}
	g.stored, g.version = spec.OldestInForce, object.Metadata.ResourceVersion
	return nil
}

// oldestInGroup returns the lowest release that any instance of this group may have
// in force, or 0 if it is unknown for one of them.
func (c *core) oldestInGroup() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.instancesLoaded {
		return 0
	}
	oldest := c.tracker.InForce().Number
	for _, info := range c.instances {
		if info.group != c.settings.Group {
			continue
		}
		ack, found := c.ackOf(info.id)
		if !found {
			return 0
		}
		oldest = min(oldest, ack.InForce)
	}
	for _, update := range c.machine.Peers() {
		ack, found := c.ackOf(update.ID)
		if !found {
			return 0
		}
		oldest = min(oldest, ack.InForce)
	}
	return oldest
}

// otherGroups returns the other groups on the instance list.
func (c *core) otherGroups() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	groups := map[string]bool{}
	for _, info := range c.instances {
		if info.group != c.settings.Group {
			groups[info.group] = true
		}
	}
	return groups
}

// oldestInForce returns the lowest release that any instance of the listed groups
// may have in force, or 0 if it is unknown for one of them. A group that cannot
// reach the platform keeps its stored value, so its addresses stay in quarantine.
func (c *core) oldestInForce(ctx context.Context) uint64 {
	oldest := c.oldestInGroup()
	groups := c.otherGroups()
	if oldest == 0 || len(groups) == 0 {
		return oldest
	}
	list, err := c.platform.List(ctx, platform.Acknowledgements)
	if err != nil {
		c.logger.Info("group_releases_not_read", zap.Error(err))
		return 0
	}
	stored := c.storedOldestByGroup(list)
	for group := range groups {
		oldest = min(oldest, stored[group])
	}
	return oldest
}

// storedOldestByGroup returns the stored oldest release in force of each group.
func (c *core) storedOldestByGroup(list *platform.List) map[string]uint64 {
	stored := map[string]uint64{}
	for i := range list.Items {
		object := &list.Items[i]
		if object.Kind != groupKind {
			continue
		}
		var spec groupReleaseSpec
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			c.logger.Warn("group_object", zap.String("name", object.Metadata.Name), zap.Error(err))
			continue
		}
		stored[spec.Group] = spec.OldestInForce
	}
	return stored
}
