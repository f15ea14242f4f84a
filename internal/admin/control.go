// Package admin serves the administration API of burdock-controld.
package admin

import (
	"context"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// Control is the part of controld that the administration API needs.
type Control interface {
	// Accepted returns the newest accepted release, nil before the first one.
	Accepted() *config.Release
	// Publish builds, writes and accepts a release of a checked configuration.
	// base is the release that the operator started from; 0 takes the newest
	// one. Outcomes that the operator can act on are in the result; an error
	// means that nothing was published.
	Publish(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (PublishResult, error)
	// Status reports the instances, services and endpoints.
	Status(ctx context.Context) (*adminpb.StatusResponse, error)
	// History lists at most limit accepted releases, newest first.
	History(ctx context.Context, limit int) ([]*adminpb.ReleaseSummary, error)
	// Drain starts or ends a drain. stored reports that the platform holds it.
	Drain(ctx context.Context, endpoint string, draining bool) (stored bool, err error)
}

// OldestInForce is implemented by a Control that knows the lowest release that
// any instance may still have in force. Check and Diff use it to tell which
// addresses have left quarantine; without it no address leaves quarantine.
type OldestInForce interface {
	OldestInForce() uint64
}

// PublishResult is the outcome of a publication.
type PublishResult struct {
	// Code is OK, PublishConflict, PublishRefused, PublishTimeout,
	// PublishUnconfirmed, PublishTooLarge, PublishUnchanged or the code of the
	// first fault.
	Code    resultcode.Code
	Message string
	// Faults are those of config.BuildRelease.
	Faults []config.Fault
	// Release and Hash identify the release that was written, also when the
	// outcome is not confirmed.
	Release uint64
	Hash    string
	// Conflict describes the release that came between, nil without one.
	Conflict *Conflict
	// RefusedBy names the instances that could not load the release.
	RefusedBy []string
	// Acknowledged is the number of instances that loaded the release.
	Acknowledged uint32
}

// Conflict describes a release that was accepted after the operator's base.
type Conflict struct {
	Release uint64
	Author  string
	// Changes lead from the operator's base to the release.
	Changes []config.Change
}
