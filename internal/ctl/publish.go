package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// resolutionHistoryLimit is the number of releases that are read to find an
// unconfirmed publication. At 4,800 changes a day they cover half an hour.
const resolutionHistoryLimit = 100

func (c *command) publish(ctx context.Context) error {
	files, err := c.readAndCheckFiles()
	if err != nil {
		return err
	}
	if c.settings.Author == "" {
		c.settings.Author = c.Getenv("USER")
	}
	if c.settings.Author == "" {
		return newFailure(ExitUsage, resultcode.AdminBadRequest, "the author is unknown; give -author, or author in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.PublishTimeout)
	defer cancel()
	difference, err := c.remoteDiff(ctx, files)
	if err != nil {
		return err
	}
	base := c.base
	if base == 0 {
		// With the release of the diff as the base, a concurrent publication leads
		// to a conflict and is not overwritten.
		base = difference.GetRelease()
	}
	if base == difference.GetRelease() && base != 0 && len(difference.GetChanges()) == 0 {
		return c.reportPublished(&adminpb.PublishResponse{
			ResultCode: uint32(resultcode.PublishUnchanged), Release: base, Message: "the release in force has this configuration",
		})
	}
	return c.sendPublication(ctx, files, base)
}

func (c *command) sendPublication(ctx context.Context, files []config.File, base uint64) error {
	request := &adminpb.PublishRequest{
		Files: filesToProto(files), BaseRelease: base, Author: c.settings.Author, Note: c.note,
		TimeoutMs: uint32(c.serverTimeout(ctx) / time.Millisecond),
	}
	response, err := c.api.Publish(ctx, request)
	if err != nil {
		if certainlyNotPublished(err) {
			f := toFailure(err)
			return newFailure(f.exit, f.code, "%s; nothing was published", f.text)
		}
		return c.resolveOutcome(ctx, files, base, &adminpb.PublishResponse{Message: err.Error()})
	}
	switch resultcode.Code(response.GetResultCode()) {
	case resultcode.OK, resultcode.PublishUnchanged:
		return c.reportPublished(response)
	case resultcode.PublishUnconfirmed:
		return c.resolveOutcome(ctx, files, base, response)
	case resultcode.PublishConflict:
		return c.reportConflictResponse(response)
	default:
		return c.reportRefused(response)
	}
}

// serverTimeout returns the timeout for the server: two thirds of the remaining
// time. The rest is for resolving an unconfirmed outcome.
func (c *command) serverTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) * 2 / 3
}

// certainlyNotPublished reports whether the server certainly did not publish: the
// request was not sent, or the server itself returned the error.
func certainlyNotPublished(err error) bool {
	var remote twirp.Error
	if isDialError(err) {
		return true
	}
	if !errors.As(err, &remote) {
		return false
	}
	if _, ok := remoteCode(remote); ok {
		return true
	}
	switch remote.Code() {
	case twirp.Unauthenticated, twirp.PermissionDenied, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute, twirp.ResourceExhausted:
		return true
	default:
		return false
	}
}

func (c *command) reportPublished(response *adminpb.PublishResponse) error {
	if c.output == "json" {
		return c.printProto(response)
	}
	if resultcode.Code(response.GetResultCode()) == resultcode.PublishUnchanged {
		fmt.Fprintf(c.Stdout, "nothing to publish: release %d has this configuration\n", response.GetRelease())
		return nil
	}
	accepted := fmt.Sprintf("release %d is accepted", response.GetRelease())
	fmt.Fprintf(c.Stdout, "%s\nhash %s\n", accepted, response.GetHash())
	if response.GetAcknowledged() > 0 {
		fmt.Fprintf(c.Stdout, "loaded by %d instances\n", response.GetAcknowledged())
	}
	if response.GetMessage() != "" && response.GetMessage() != accepted {
		fmt.Fprintln(c.Stdout, replaceUnprintable(response.GetMessage()))
	}
	return nil
}

// reportConflictResponse prints the release that was accepted after the base, its
// author and its changes.
func (c *command) reportConflictResponse(response *adminpb.PublishResponse) error {
	heading := fmt.Sprintf("release %d by %s came between; it changed:", response.GetConflictRelease(), response.GetConflictAuthor())
	return c.reportConflict(response, heading)
}

func (c *command) reportConflict(response *adminpb.PublishResponse, heading string) error {
	if c.output == "json" {
		if err := c.printProto(response); err != nil {
			return err
		}
		return &failure{exit: ExitConflict}
	}
	fmt.Fprintln(c.Stdout, replaceUnprintable(heading))
	c.printChangeLines(response.GetConflictChanges())
	return newFailure(ExitConflict, resultcode.PublishConflict,
		"code %d: nothing was published; apply these changes to your files, run diff and publish again", resultcode.PublishConflict)
}

func (c *command) reportRefused(response *adminpb.PublishResponse) error {
	if len(response.GetFaults()) > 0 {
		return c.reportFaults(faultsFromProto(response.GetFaults()))
	}
	if c.output == "json" {
		if err := c.printProto(response); err != nil {
			return err
		}
		return &failure{exit: ExitFailed}
	}
	for _, instance := range response.GetRefusedBy() {
		fmt.Fprintf(c.Stdout, "refused by %s\n", instance)
	}
	return newFailure(ExitFailed, resultcode.Code(response.GetResultCode()), "code %d: nothing was published: %s",
		response.GetResultCode(), response.GetMessage())
}

// resolveOutcome reads the history until the outcome of the publication is known or
// the context ends. It never publishes again.
func (c *command) resolveOutcome(ctx context.Context, files []config.File, base uint64, outcome *adminpb.PublishResponse) error {
	if c.output == "text" {
		fmt.Fprintf(c.Stderr, "the outcome is not confirmed (%s); reading the history\n", outcome.GetMessage())
	}
	for {
		resolved, err := c.findInHistory(ctx, files, base, outcome)
		if resolved {
			return err
		}
		select {
		case <-ctx.Done():
			return newFailure(ExitUnconfirmed, resultcode.PublishUnconfirmed,
				"code %d: the outcome is not confirmed; run history before you publish again", resultcode.PublishUnconfirmed)
		case <-time.After(c.RetryInterval):
		}
	}
}

// findInHistory looks for the publication among the releases accepted after the
// base and reports the outcome. resolved is false while the outcome is unknown.
func (c *command) findInHistory(ctx context.Context, files []config.File, base uint64, outcome *adminpb.PublishResponse) (resolved bool, err error) {
	history, difference, ok := c.readHistoryAndDiff(ctx, files)
	if !ok {
		return false, nil
	}
	var afterBase []*adminpb.ReleaseSummary
	for _, summary := range history.GetReleases() {
		if summary.GetNumber() > base {
			afterBase = append(afterBase, summary)
		}
	}
	if len(afterBase) == 0 {
		return false, nil
	}
	if difference.GetRelease() != afterBase[0].GetNumber() {
		// A release was accepted between the two reads.
		return false, nil
	}
	sameConfiguration := len(difference.GetChanges()) == 0 && len(difference.GetFaults()) == 0
	for _, summary := range afterBase {
		if c.matchesPublication(summary, outcome, summary != afterBase[0] || sameConfiguration) {
			return true, c.reportPublished(confirmedResponse(summary, afterBase[0], outcome))
		}
	}
	if base == 0 || len(afterBase) == resolutionHistoryLimit {
		// Without a base, the server may still publish on top of the newest
		// release; with resolutionHistoryLimit later releases, the publication may
		// be older than the history that was read.
		return false, nil
	}
	return true, c.reportConflictFromHistory(afterBase[len(afterBase)-1], afterBase[0], difference)
}

// readHistoryAndDiff reads the history and compares the files with the release in
// force. It returns false if a request failed; the caller then reads again.
func (c *command) readHistoryAndDiff(ctx context.Context, files []config.File) (*adminpb.HistoryResponse, *adminpb.DiffResponse, bool) {
	history, err := c.readHistory(ctx, resolutionHistoryLimit)
	if err != nil {
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	difference, err := c.api.Diff(ctx, &adminpb.DiffRequest{Files: filesToProto(files)})
	return history, difference, err == nil
}

// matchesPublication reports whether a release is this publication. It compares the
// hash if the server returned one, otherwise the author, the note and the
// configuration. sameConfiguration is true for all releases but the newest, because
// only the newest one can be compared with the files.
func (c *command) matchesPublication(summary *adminpb.ReleaseSummary, outcome *adminpb.PublishResponse, sameConfiguration bool) bool {
	if outcome.GetHash() != "" {
		return summary.GetHash() == outcome.GetHash()
	}
	return sameConfiguration && summary.GetAuthor() == c.settings.Author && summary.GetNote() == c.note
}

// confirmedResponse returns the response for a publication that was found in the
// history.
func confirmedResponse(summary, newest *adminpb.ReleaseSummary, outcome *adminpb.PublishResponse) *adminpb.PublishResponse {
	response := &adminpb.PublishResponse{Release: summary.GetNumber(), Hash: summary.GetHash(), Message: "confirmed by the history"}
	if summary == newest {
		return response
	}
	response.Message = fmt.Sprintf("confirmed by the history; release %d by %s has followed since", newest.GetNumber(), newest.GetAuthor())
	if outcome.GetHash() == "" {
		response.Message = fmt.Sprintf("a release with your name and note was found; release %d by %s has followed since, so compare with diff",
			newest.GetNumber(), newest.GetAuthor())
	}
	return response
}

// reportConflictFromHistory reports a conflict with a release that was accepted
// after the base. The server's response was lost, so the changes shown are those
// from the newest release to the files.
func (c *command) reportConflictFromHistory(first, newest *adminpb.ReleaseSummary, difference *adminpb.DiffResponse) error {
	response := &adminpb.PublishResponse{
		ResultCode:      uint32(resultcode.PublishConflict),
		ConflictRelease: first.GetNumber(), ConflictAuthor: first.GetAuthor(),
		ConflictChanges: difference.GetChanges(),
		Message:         fmt.Sprintf("conflict_changes are the changes from release %d to your files", newest.GetNumber()),
	}
	heading := fmt.Sprintf("release %d by %s came between; your files differ from release %d in:",
		first.GetNumber(), first.GetAuthor(), newest.GetNumber())
	return c.reportConflict(response, heading)
}

func (c *command) readHistory(ctx context.Context, limit uint32) (*adminpb.HistoryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	return c.api.History(ctx, &adminpb.HistoryRequest{Limit: limit})
}
