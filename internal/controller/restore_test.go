package controller

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Guards against a platform that keeps the older pointer of a restored copy: releases
// would be lost with the last instance that has them, and their numbers given to others.
func TestAcceptedReleaseIsWrittenAgainAfterRestore(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	c.mustPublish(c.daemons[0], "12")
	backup := c.platform.copyContent()
	c.mustPublish(c.daemons[1], "13")
	last := c.mustPublish(c.daemons[2], "14")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(last) })
	c.platform.restore(backup)
	eventually(t, 10*time.Second, "pointer at the accepted release", func() bool { return c.platform.pointer() == last })
	if !c.allApplied(last) {
		t.Error("an instance went back to an older release")
	}
}

// Guards against a publication that gets the number of a release that the restored
// platform has lost: it would never be acknowledged, or two releases of one number would
// be in force.
func TestPublicationAfterRestore(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	c.mustPublish(c.daemons[0], "12")
	backup := c.platform.copyContent()
	last := c.mustPublish(c.daemons[1], "13")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(last) })
	c.platform.restore(backup)
	next := c.mustPublish(c.daemons[0], "14")
	if next != last+1 {
		t.Errorf("release %d after release %d", next, last)
	}
	eventually(t, 10*time.Second, "next release everywhere", func() bool { return c.allApplied(next) })
}

// Guards against a pointer to a release that the platform does not have: it was restored
// between the write of the release and the move of the pointer, whose version is in the
// copy as well.
func TestRestoreDuringPublication(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	loading, proceed := make(chan struct{}, 1), make(chan struct{})
	c.verify = map[int]func(*config.Release) error{2: func(r *config.Release) error {
		if r.Number == 2 {
			signal(loading)
			<-proceed
		}
		return nil
	}}
	c.startAll(3)
	first := c.mustPublish(c.daemons[0], "12")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(first) })
	backup := c.platform.copyContent()
	result := make(chan admin.PublishResult, 1)
	go func() { result <- c.publish(c.daemons[0], "tester", "13") }()
	<-loading
	c.platform.restore(backup)
	close(proceed)
	published := <-result
	t.Logf("code %d: %s", published.Code, published.Message)
	hasRelease := func() bool {
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		return c.platform.collections[platform.Releases][fmt.Sprint(published.Release)] != nil
	}
	if published.Code == resultcode.OK {
		eventually(t, 10*time.Second, "accepted release at the platform", hasRelease)
		eventually(t, 10*time.Second, "accepted release everywhere", func() bool { return c.allApplied(published.Release) })
	}
	next := c.mustPublish(c.daemons[1], "14")
	eventually(t, 10*time.Second, "next release everywhere", func() bool { return c.allApplied(next) })
}

// Guards against a drain that is lost with the instances that have it, because the
// restored platform does not have it and none of them stores it again.
func TestDrainIsStoredAgainAfterRestore(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(3)
	release := c.mustPublish(c.daemons[0], "12")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(release) })
	backup := c.platform.copyContent()
	if stored, err := c.daemons[0].controller.Drain(t.Context(), "crew-1", true); err != nil || !stored {
		t.Fatalf("drain: stored %t, error %v", stored, err)
	}
	drains := func() int {
		c.platform.mu.Lock()
		defer c.platform.mu.Unlock()
		return len(c.platform.collections[platform.Drains])
	}
	eventually(t, 10*time.Second, "drain known to be stored everywhere", func() bool {
		for _, d := range c.daemons {
			d.controller.core.mu.Lock()
			known := len(d.controller.drain.stored)
			d.controller.core.mu.Unlock()
			if known == 0 {
				return false
			}
		}
		return true
	})
	c.platform.restore(backup)
	if n := drains(); n != 0 {
		t.Fatalf("%d drains in the copy", n)
	}
	eventually(t, 15*time.Second, "drain at the platform", func() bool { return drains() == 1 })
}

// Guards against two accepted releases of one number: a publisher that does not know the
// accepted one, because the platform has lost it, must not get acknowledgements.
func TestReleaseWithNumberOfAcceptedOneIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.startAll(2)
	accepted := c.mustPublish(c.daemons[0], "12")
	eventually(t, 10*time.Second, "release everywhere", func() bool { return c.allApplied(accepted) })
	spec := releaseSpec{Number: accepted, Hash: strings.Repeat("ab", 32)}
	object, err := platform.NewObject("Release", fmt.Sprint(accepted), "", &spec)
	if err != nil {
		t.Fatal(err)
	}
	controller := c.daemons[1].controller
	controller.configuration.observeRelease(object)
	controller.core.mu.Lock()
	defer controller.core.mu.Unlock()
	if ack, _ := controller.core.ackOf(controller.core.self); !ack.Ref.Matches(spec.ref()) || ack.Code != resultcode.ReleaseHashMismatch {
		t.Errorf("acknowledgement %+v, want a refusal of %+v", ack, spec.ref())
	}
	if prepared := controller.core.tracker.Prepared(); prepared.Number != 0 {
		t.Errorf("prepared release %+v", prepared)
	}
}
