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

// historyForResolution is how many releases are read to find an unconfirmed
// one. At 4,800 changes a day it covers half an hour.
const historyForResolution = 100

func (c *command) publish(ctx context.Context) error {
	files, err := c.checkedFiles()
	if err != nil {
		return err
	}
	if c.client.Author == "" {
		c.client.Author = c.Getenv("USER")
	}
	if c.client.Author == "" {
		return failed(ExitUsage, resultcode.AdminBadRequest, "the author is not known; give -author or author in the settings")
	}
	ctx, cancel := context.WithTimeout(ctx, c.client.PublishTimeout)
	defer cancel()
	difference, err := c.remoteDiff(ctx, files)
	if err != nil {
		return err
	}
	base := c.base
	if base == 0 {
		// Publishing on the release that the difference was computed from turns
		// a race into a conflict.
		base = difference.GetRelease()
	}
	if base == difference.GetRelease() && base != 0 && len(difference.GetChanges()) == 0 {
		return c.published(&adminpb.PublishResponse{
			ResultCode: uint32(resultcode.PublishUnchanged), Release: base, Message: "the release in force has this configuration",
		})
	}
	return c.send(ctx, files, base)
}

func (c *command) send(ctx context.Context, files []config.File, base uint64) error {
	request := &adminpb.PublishRequest{
		Files: toProto(files), BaseRelease: base, Author: c.client.Author, Note: c.note,
		TimeoutMs: uint32(c.serverTimeout(ctx) / time.Millisecond),
	}
	response, err := c.api.Publish(ctx, request)
	if err != nil {
		if rejected(err) {
			f := classify(err)
			return failed(f.exit, f.code, "%s; nothing was published", f.text)
		}
		return c.resolve(ctx, files, base, &adminpb.PublishResponse{Message: err.Error()})
	}
	switch resultcode.Code(response.GetResultCode()) {
	case resultcode.OK, resultcode.PublishUnchanged:
		return c.published(response)
	case resultcode.PublishUnconfirmed:
		return c.resolve(ctx, files, base, response)
	case resultcode.PublishConflict:
		return c.conflict(response)
	default:
		return c.refused(response)
	}
}

// serverTimeout leaves the server two thirds of the time; the rest is for
// resolving an unconfirmed outcome.
func (c *command) serverTimeout(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) * 2 / 3
}

// rejected reports that the server certainly did not publish: the request was
// not sent, or the server answered with an error of its own.
func rejected(err error) bool {
	var remote twirp.Error
	if notSent(err) {
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

func (c *command) published(response *adminpb.PublishResponse) error {
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
		fmt.Fprintln(c.Stdout, printable(response.GetMessage()))
	}
	return nil
}

// conflict tells whose release came between and what it changed.
func (c *command) conflict(response *adminpb.PublishResponse) error {
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
	fmt.Fprintln(c.Stdout, printable(heading))
	c.changeLines(response.GetConflictChanges())
	return failed(ExitConflict, resultcode.PublishConflict,
		"code %d: nothing was published; take these changes into your files, run diff and publish again", resultcode.PublishConflict)
}

func (c *command) refused(response *adminpb.PublishResponse) error {
	if len(response.GetFaults()) > 0 {
		return c.faults(fromProto(response.GetFaults()))
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
	return failed(ExitFailed, resultcode.Code(response.GetResultCode()), "code %d: nothing was published: %s",
		response.GetResultCode(), response.GetMessage())
}

// resolve reads until it knows whether the publication took effect. It never
// publishes again.
func (c *command) resolve(ctx context.Context, files []config.File, base uint64, outcome *adminpb.PublishResponse) error {
	if c.output == "text" {
		fmt.Fprintf(c.Stderr, "the outcome is not confirmed (%s); reading the history\n", outcome.GetMessage())
	}
	for {
		known, err := c.find(ctx, files, base, outcome)
		if known {
			return err
		}
		select {
		case <-ctx.Done():
			return failed(ExitUnconfirmed, resultcode.PublishUnconfirmed,
				"code %d: the outcome is not confirmed; run history before you publish again", resultcode.PublishUnconfirmed)
		case <-time.After(c.RetryInterval):
		}
	}
}

// find looks for the publication among the accepted releases above the base
// and reports it. known is false while the outcome is open.
func (c *command) find(ctx context.Context, files []config.File, base uint64, outcome *adminpb.PublishResponse) (known bool, err error) {
	history, difference, ok := c.readOutcome(ctx, files)
	if !ok {
		return false, nil
	}
	var above []*adminpb.ReleaseSummary
	for _, summary := range history.GetReleases() {
		if summary.GetNumber() > base {
			above = append(above, summary)
		}
	}
	if len(above) == 0 {
		return false, nil
	}
	if difference.GetRelease() != above[0].GetNumber() {
		// A release was accepted between the two reads.
		return false, nil
	}
	same := len(difference.GetChanges()) == 0 && len(difference.GetFaults()) == 0
	for _, summary := range above {
		if c.isOurs(summary, outcome, summary != above[0] || same) {
			return true, c.published(foundAs(summary, above[0], outcome))
		}
	}
	if base == 0 || len(above) == historyForResolution {
		// Without a base the server may still publish on top of the newest
		// release, and a full history may hide the publication.
		return false, nil
	}
	return true, c.overtaken(above[len(above)-1], above[0], difference)
}

// readOutcome reads the history and compares the files with the release in
// force. ok is false without an answer; the caller reads again.
func (c *command) readOutcome(ctx context.Context, files []config.File) (*adminpb.HistoryResponse, *adminpb.DiffResponse, bool) {
	history, err := c.readHistory(ctx, historyForResolution)
	if err != nil {
		return nil, nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, c.client.Timeout)
	defer cancel()
	difference, err := c.api.Diff(ctx, &adminpb.DiffRequest{Files: toProto(files)})
	return history, difference, err == nil
}

// isOurs compares the hash when the server told it, else author, note and,
// where it can be compared, the configuration.
func (c *command) isOurs(summary *adminpb.ReleaseSummary, outcome *adminpb.PublishResponse, sameConfiguration bool) bool {
	if outcome.GetHash() != "" {
		return summary.GetHash() == outcome.GetHash()
	}
	return sameConfiguration && summary.GetAuthor() == c.client.Author && summary.GetNote() == c.note
}

func foundAs(summary, newest *adminpb.ReleaseSummary, outcome *adminpb.PublishResponse) *adminpb.PublishResponse {
	response := &adminpb.PublishResponse{Release: summary.GetNumber(), Hash: summary.GetHash(), Message: "confirmed by the history"}
	if summary == newest {
		return response
	}
	response.Message = fmt.Sprintf("confirmed by the history; release %d by %s has followed since", newest.GetNumber(), newest.GetAuthor())
	if outcome.GetHash() == "" {
		response.Message = fmt.Sprintf("it has your name and note; release %d by %s has followed since, so compare with diff",
			newest.GetNumber(), newest.GetAuthor())
	}
	return response
}

// overtaken reports that another release took the base's place. The server's
// own account is lost, so the changes lead from the newest release to the files.
func (c *command) overtaken(first, newest *adminpb.ReleaseSummary, difference *adminpb.DiffResponse) error {
	response := &adminpb.PublishResponse{
		ResultCode:      uint32(resultcode.PublishConflict),
		ConflictRelease: first.GetNumber(), ConflictAuthor: first.GetAuthor(),
		ConflictChanges: difference.GetChanges(),
		Message:         fmt.Sprintf("conflict_changes lead from release %d to your files", newest.GetNumber()),
	}
	heading := fmt.Sprintf("release %d by %s came between; your files differ from release %d in:",
		first.GetNumber(), first.GetAuthor(), newest.GetNumber())
	return c.reportConflict(response, heading)
}

func (c *command) readHistory(ctx context.Context, limit uint32) (*adminpb.HistoryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.client.Timeout)
	defer cancel()
	return c.api.History(ctx, &adminpb.HistoryRequest{Limit: limit})
}
