package controller

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/common"
)

// watchersPerDataCentre limits the watches on the platform: 12 data centres make 36
// on each collection.
const watchersPerDataCentre = 3

// watchers returns the instances that watch the platform for this data centre:
// those on the instance list with the highest rendezvous weight that are not
// leaving and not known to be dead. If there are none, as before the first list, it
// selects from the live members. The caller holds mu.
func (c *core) watchers() []common.InstanceID {
	var eligible []common.InstanceID
	for _, info := range c.instances {
		if info.dataCentre == c.settings.DataCentre && !info.leaving && !c.machine.Dead(info.id) {
			eligible = append(eligible, info.id)
		}
	}
	if len(eligible) == 0 {
		eligible = append(eligible, c.self)
		for _, update := range c.machine.Peers() {
			eligible = append(eligible, update.ID)
		}
	}
	return rendezvous(xxhash.Sum64String(c.settings.DataCentre), eligible, watchersPerDataCentre)
}

// isWatcher reports whether this instance watches the platform.
func (c *core) isWatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.watchers(), c.self)
}
