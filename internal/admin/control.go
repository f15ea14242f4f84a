// Package admin serves the administration API of burdock-controld.
package admin

import (
	"context"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// Control is the interface through which the administration API reads and changes
// the state of controld.
type Control interface {
	// Accepted returns the accepted release that is in force, nil if there is none.
	Accepted() *config.Release
	// Publish builds, writes and accepts a release of a checked configuration.
	// base is the number of the release that the change is based on; 0 stands for
	// the newest one. Outcomes that the operator can act on are in the result; an
	// error means that nothing was published.
	Publish(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (PublishResult, error)
	// Status returns the state of the instances, services and endpoints.
	Status(ctx context.Context) (*adminpb.StatusResponse, error)
	// History returns at most limit accepted releases, newest first.
	History(ctx context.Context, limit int) ([]*adminpb.ReleaseSummary, error)
	// Drain starts or ends the drain of an endpoint. stored reports whether the
	// platform has stored the change.
	Drain(ctx context.Context, endpoint string, draining bool) (stored bool, err error)
}

// OldestInForce is an optional interface of a Control. Check and Diff use it to
// decide which addresses have left quarantine; without it, no address leaves
// quarantine.
type OldestInForce interface {
	// OldestInForce returns the lowest number of a release that any instance may
	// still have in force, or 0 if it is unknown.
	OldestInForce() uint64
}

// PublishResult is the outcome of a publication.
type PublishResult struct {
	// Code is OK, PublishConflict, PublishRefused, PublishTimeout,
	// PublishUnconfirmed, PublishTooLarge, PublishUnchanged or the code of the
	// first fault.
	Code    resultcode.Code
	Message string
	// Faults are the faults that config.BuildRelease reported.
	Faults []config.Fault
	// Release and Hash identify the release that was written, even if the
	// outcome is not confirmed.
	Release uint64
	Hash    string
	// Conflict describes the release that was accepted after the base, nil without
	// a conflict.
	Conflict *Conflict
	// RefusedBy names the instances that could not load the release.
	RefusedBy []string
	// Acknowledged is the number of instances that loaded the release.
	Acknowledged uint32
}

// Conflict describes a release that was accepted after the base of a publication.
type Conflict struct {
	Release uint64
	Author  string
	// Changes are the differences from the base to the release.
	Changes []config.Change
}
