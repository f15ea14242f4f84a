package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// ackPollInterval is the time between reads of the watchers' reports.
	ackPollInterval = 500 * time.Millisecond
	// abandonedAfter is the age at which a written release without acceptance
	// is removed by the next publisher. It exceeds the longest publication.
	abandonedAfter = 6 * time.Minute
	// keptAtPlatform is the number of accepted releases kept for the history.
	keptAtPlatform = 20
	// cleanupTimeout bounds the removal of a refused release.
	cleanupTimeout = 10 * time.Second
	// writeRetryInterval is the time before a write is tried again.
	writeRetryInterval = 300 * time.Millisecond
)

// publicationController publishes releases for operators.
type publicationController struct {
	*core
	// one admits one publication at a time on this instance.
	one chan struct{}
}

func newPublicationController(c *core) *publicationController {
	return &publicationController{core: c, one: make(chan struct{}, 1)}
}

// pointerState is the pointer object as read from the platform.
type pointerState struct {
	spec    pointerSpec
	version string
}

// publishing is one publication under way.
type publishing struct {
	*publicationController
	state    *release.Publication
	release  *config.Release
	previous *config.Release
	pointer  pointerState
	body     []byte
	started  time.Duration
	reports  map[string]seenReport
	verdict  release.Verdict
	// conflict is the release that has the number.
	conflict *config.Release
}

type seenReport struct {
	version string
	at      time.Duration
}

func (p *publicationController) publish(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (admin.PublishResult, error) {
	select {
	case p.one <- struct{}{}:
		defer func() { <-p.one }()
	case <-ctx.Done():
		return admin.PublishResult{}, resultcode.Errorf(resultcode.AdminUnavailable, "another publication is under way")
	}
	job := &publishing{publicationController: p, started: p.now(), reports: map[string]seenReport{}}
	result, err := job.prepare(ctx, c, base, info)
	if err != nil || result.Code != resultcode.OK {
		return result, err
	}
	return job.run(ctx), nil
}

// prepare reads the pointer and builds the release.
func (p *publishing) prepare(ctx context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (admin.PublishResult, error) {
	if err := p.readPointerState(ctx); err != nil {
		return admin.PublishResult{}, err
	}
	if err := p.removeAbandoned(ctx); err != nil {
		return admin.PublishResult{}, err
	}
	previous, err := p.readRelease(ctx, p.pointer.spec.Number)
	if err != nil {
		return admin.PublishResult{}, err
	}
	p.previous = previous
	if base != 0 && base != p.pointer.spec.Number {
		return p.baseConflict(ctx, base), nil
	}
	info.Number = p.pointer.spec.Number + 1
	info.OldestInForce = p.oldestInForce(ctx)
	built, faults := config.BuildRelease(c, previous, info)
	if len(faults) > 0 {
		return admin.PublishResult{Code: faults[0].Code, Message: "the check found faults", Faults: faults}, nil
	}
	if previous != nil && len(config.Diff(previous, built)) == 0 {
		return admin.PublishResult{
			Code:    resultcode.PublishUnchanged,
			Message: fmt.Sprintf("release %d has the same objects", previous.Number),
			Release: previous.Number,
		}, nil
	}
	body, hash, err := built.Encode()
	if err != nil {
		code, _ := resultcode.Of(err)
		return admin.PublishResult{Code: code, Message: err.Error()}, nil
	}
	p.release = built
	p.body = body
	p.state = release.NewPublication(release.Ref{Number: built.Number, Hash: hash, Attempt: p.pointer.spec.Withdrawn})
	return admin.PublishResult{}, nil
}

// readPointerState reads the pointer, or creates it as "no release yet", so that
// each move of it is a conditional update.
func (p *publishing) readPointerState(ctx context.Context) error {
	object, err := p.platform.Get(ctx, platform.Pointers, pointerName)
	if code, _ := resultcode.Of(err); err != nil && code == resultcode.PlatformNotFound {
		empty, encodeErr := platform.NewObject("Pointer", pointerName, "", pointerSpec{})
		if encodeErr != nil {
			return encodeErr
		}
		// Another publisher may create it first; the read shows either one.
		_, _ = p.platform.Create(ctx, platform.Pointers, empty)
		object, err = p.platform.Get(ctx, platform.Pointers, pointerName)
	}
	if err != nil {
		return err
	}
	return p.takePointerState(object)
}

func (p *publishing) takePointerState(object *platform.Object) error {
	var spec pointerSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return resultcode.Errorf(resultcode.PlatformBadAnswer, "decode pointer: %w", err)
	}
	p.pointer = pointerState{spec: spec, version: object.Metadata.ResourceVersion}
	return nil
}

// readRelease returns a release of the platform, nil for number 0.
func (p *publishing) readRelease(ctx context.Context, number uint64) (*config.Release, error) {
	if number == 0 {
		return nil, nil
	}
	spec, err := p.readReleaseSpec(ctx, number)
	if err != nil {
		return nil, err
	}
	return decodeBody(spec.ref(), spec.Body)
}

func (p *publicationController) readReleaseSpec(ctx context.Context, number uint64) (*releaseSpec, error) {
	object, err := p.platform.Get(ctx, platform.Releases, strconv.FormatUint(number, 10))
	if err != nil {
		return nil, err
	}
	var spec releaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		return nil, resultcode.Errorf(resultcode.PlatformBadAnswer, "decode release %d: %w", number, err)
	}
	return &spec, nil
}

// removeAbandoned removes a release whose publisher has gone, once it has been
// known for longer than any publication takes.
func (p *publishing) removeAbandoned(ctx context.Context) error {
	p.mu.Lock()
	prepared := p.tracker.Prepared()
	old := p.now()-p.preparedSince >= abandonedAfter
	p.mu.Unlock()
	if !old || prepared.Number != p.pointer.spec.Number+1 {
		return nil
	}
	p.logger.Warn("abandoned_release_removed", zap.Uint64("release", prepared.Number))
	return p.withdrawRelease(ctx, prepared.Number)
}

// withdrawRelease raises the count of withdrawn releases at the pointer, which
// refuses any move based on its older version, then removes the release.
func (p *publishing) withdrawRelease(ctx context.Context, number uint64) error {
	spec := p.pointer.spec
	spec.Withdrawn++
	object, err := platform.NewObject("Pointer", pointerName, p.pointer.version, spec)
	if err != nil {
		return err
	}
	updated, err := p.platform.Update(ctx, platform.Pointers, object)
	if err != nil {
		return err
	}
	if err := p.takePointerState(updated); err != nil {
		return err
	}
	return p.platform.Delete(ctx, platform.Releases, strconv.FormatUint(number, 10))
}

// baseConflict tells the operator what was published since the base.
func (p *publishing) baseConflict(ctx context.Context, base uint64) admin.PublishResult {
	old, err := p.readRelease(ctx, base)
	if err != nil {
		p.logger.Info("conflict_base_not_read", zap.Uint64("release", base), zap.Error(err))
	}
	return conflictResult(old, p.previous)
}

func conflictResult(from, to *config.Release) admin.PublishResult {
	result := admin.PublishResult{Code: resultcode.PublishConflict, Message: "another release was published in between"}
	if to == nil {
		return result
	}
	result.Message = fmt.Sprintf("release %d of %s came in between", to.Number, to.Author)
	result.Conflict = &admin.Conflict{Release: to.Number, Author: to.Author}
	if from == nil {
		from = &config.Release{}
	}
	result.Conflict.Changes = config.Diff(from, to)
	return result
}

// run performs the steps until the outcome is final or the time is over.
func (p *publishing) run(ctx context.Context) admin.PublishResult {
	for !p.state.Finished() && ctx.Err() == nil {
		p.step(ctx)
	}
	if p.state.Finished() {
		return p.result()
	}
	return p.timedOut()
}

func (p *publishing) step(ctx context.Context) {
	switch p.state.Step() {
	case release.StepCreate:
		p.create(ctx)
	case release.StepReadRelease:
		p.readBackRelease(ctx)
	case release.StepAwait:
		p.await(ctx)
	case release.StepMove:
		p.move(ctx)
	case release.StepReadPointer:
		p.readBackPointer(ctx)
	case release.StepReadAccepted:
		p.readBackAccepted(ctx)
	}
}

func outcomeOf(err error) release.Outcome {
	code, _ := resultcode.Of(err)
	switch {
	case err == nil:
		return release.OutcomeDone
	case code == resultcode.PlatformExists || code == resultcode.PlatformConflict || code == resultcode.PlatformNotFound:
		return release.OutcomeConflict
	case code == resultcode.PlatformUnreachable || code == resultcode.PlatformBudget:
		return release.OutcomeNotDone
	default:
		return release.OutcomeLost
	}
}

func (p *publishing) create(ctx context.Context) {
	ref := p.state.Ref()
	spec := releaseSpec{
		Number:  ref.Number,
		Hash:    ref.Hash,
		Attempt: ref.Attempt,
		Author:  p.release.Author,
		Note:    p.release.Note,
		Body:    p.body,
	}
	object, err := platform.NewObject("Release", strconv.FormatUint(ref.Number, 10), "", spec)
	if err == nil {
		_, err = p.platform.Create(ctx, platform.Releases, object)
	}
	p.retryPause(ctx, "create_release", err)
	p.state.Created(outcomeOf(err))
}

func (p *publishing) retryPause(ctx context.Context, step string, err error) {
	if err == nil {
		return
	}
	p.logger.Info("publication_step", zap.String("step", step), zap.Error(err))
	sleep(ctx, jitter(writeRetryInterval))
}

func (p *publishing) readBackRelease(ctx context.Context) {
	p.readBack(ctx, p.state.ReadRelease)
}

func (p *publishing) readBackAccepted(ctx context.Context) {
	p.readBack(ctx, p.state.ReadAccepted)
}

// readBack reads the release object of the own number and tells the publication.
func (p *publishing) readBack(ctx context.Context, tell func(found bool, ref release.Ref)) {
	ref := p.state.Ref()
	spec, err := p.readReleaseSpec(ctx, ref.Number)
	if code, _ := resultcode.Of(err); err != nil && code != resultcode.PlatformNotFound {
		p.retryPause(ctx, "read_release", err)
		return
	}
	if err != nil {
		tell(false, release.Ref{})
		return
	}
	tell(true, spec.ref())
	if p.state.Step() == release.StepConflict {
		p.conflict, _ = decodeBody(spec.ref(), spec.Body)
	}
}

// await reads the watchers' reports and judges them.
func (p *publishing) await(ctx context.Context) {
	sleep(ctx, ackPollInterval)
	list, err := p.platform.List(ctx, platform.Acknowledgements)
	if err != nil {
		p.retryPause(ctx, "read_acknowledgements", err)
		return
	}
	p.verdict = release.Judge(p.state.Ref(), p.groupsOf(list))
	if p.verdict.Decision == release.Accept && p.verdict.Acknowledged == 0 {
		return
	}
	p.state.Judged(p.verdict.Decision)
}

// groupsOf collects the newest reports by group. A group without a recent report
// counts as leased until its lease has run out since the publication began.
func (p *publishing) groupsOf(list *platform.List) []release.Group {
	groups := p.listedGroups()
	for i := range list.Items {
		object := &list.Items[i]
		if object.Kind == groupKind {
			continue
		}
		var report reportSpec
		if err := json.Unmarshal(object.Spec, &report); err != nil {
			p.logger.Warn("report_object", zap.String("name", object.Metadata.Name), zap.Error(err))
			continue
		}
		if !p.recent(object) {
			continue
		}
		group := groups[report.Group]
		if group == nil {
			group = &release.Group{}
			groups[report.Group] = group
		}
		group.Leased = true
		addReport(group, &report)
	}
	return flatten(groups, p.now()-p.started < groupLease)
}

func flatten(groups map[string]*release.Group, starting bool) []release.Group {
	all := make([]release.Group, 0, len(groups))
	for _, group := range groups {
		group.Leased = group.Leased || starting
		// An instance that any watcher sees alive is not dead.
		group.Dead = slices.DeleteFunc(group.Dead, func(id common.InstanceID) bool {
			return slices.Contains(group.Alive, id)
		})
		all = append(all, *group)
	}
	return all
}

// recent reports whether the object has changed within the group lease, by the
// local monotonic clock.
func (p *publishing) recent(object *platform.Object) bool {
	seen, found := p.reports[object.Metadata.Name]
	if !found || seen.version != object.Metadata.ResourceVersion {
		p.reports[object.Metadata.Name] = seenReport{object.Metadata.ResourceVersion, p.now()}
		return true
	}
	return p.now()-seen.at < groupLease
}

func (p *publishing) listedGroups() map[string]*release.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := map[string]*release.Group{}
	for _, info := range p.list {
		if groups[info.group] == nil {
			groups[info.group] = &release.Group{}
		}
		if !info.leaving {
			groups[info.group].Listed = append(groups[info.group].Listed, info.id)
		}
	}
	return groups
}

func addReport(group *release.Group, report *reportSpec) {
	for _, name := range report.Alive {
		group.Alive = append(group.Alive, common.InstanceIDOf(name))
	}
	for _, name := range report.Dead {
		group.Dead = append(group.Dead, common.InstanceIDOf(name))
	}
	for _, ack := range report.Acks {
		group.Acks = append(group.Acks, release.Ack{
			Instance: common.InstanceIDOf(ack.Instance),
			Ref:      release.Ref{Number: ack.Number, Hash: ack.Hash},
			Code:     resultcode.Code(ack.ResultCode),
			InForce:  ack.InForce,
		})
	}
}

func (p *publishing) move(ctx context.Context) {
	ref := p.state.Ref()
	spec := pointerSpec{Number: ref.Number, Hash: ref.Hash, Withdrawn: p.pointer.spec.Withdrawn}
	object, err := platform.NewObject("Pointer", pointerName, p.pointer.version, spec)
	if err == nil {
		_, err = p.platform.Update(ctx, platform.Pointers, object)
	}
	p.retryPause(ctx, "move_pointer", err)
	p.state.Moved(outcomeOf(err))
}

func (p *publishing) readBackPointer(ctx context.Context) {
	object, err := p.platform.Get(ctx, platform.Pointers, pointerName)
	if err != nil {
		p.retryPause(ctx, "read_pointer", err)
		return
	}
	var spec pointerSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		p.retryPause(ctx, "read_pointer", err)
		return
	}
	unchanged := object.Metadata.ResourceVersion == p.pointer.version
	p.state.ReadPointer(release.Ref{Number: spec.Number, Hash: spec.Hash}, unchanged)
	if p.state.Step() == release.StepConflict {
		p.conflict, _ = p.readRelease(ctx, spec.Number)
	}
}

// timedOut ends a publication whose time is over. Before the pointer may have
// moved, the release is withdrawn and the outcome is certain.
func (p *publishing) timedOut() admin.PublishResult {
	step := p.state.Step()
	ref := p.state.Ref()
	result := admin.PublishResult{Release: ref.Number, Hash: ref.Hash, Acknowledged: uint32(p.verdict.Acknowledged)}
	if step == release.StepAwait && p.cleanUp() {
		result.Code = resultcode.PublishTimeout
		result.Message = "no acknowledgement in time from " + p.names(p.verdict.Missing)
		return result
	}
	p.state.GiveUp()
	result.Code = resultcode.PublishUnconfirmed
	result.Message = "the platform did not confirm the outcome; burdockctl history shows it once the platform answers"
	return result
}

// cleanUp removes the own release and reports whether it is certain that the
// release will not be accepted.
func (p *publishing) cleanUp() bool {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	ref := p.state.Ref()
	if err := p.withdrawRelease(ctx, ref.Number); err != nil {
		p.logger.Warn("release_not_withdrawn", zap.Uint64("release", ref.Number), zap.Error(err))
		return false
	}
	p.mu.Lock()
	p.tracker.Withdraw(ref)
	p.mu.Unlock()
	return true
}

func (p *publishing) result() admin.PublishResult {
	ref := p.state.Ref()
	result := admin.PublishResult{Release: ref.Number, Hash: ref.Hash, Acknowledged: uint32(p.verdict.Acknowledged)}
	switch p.state.Step() {
	case release.StepDone:
		result.Message = fmt.Sprintf("release %d is accepted", ref.Number)
		p.accepted(ref)
	case release.StepConflict:
		p.removeOwn()
		conflict := conflictResult(p.previous, p.conflict)
		conflict.Release = ref.Number
		return conflict
	case release.StepUnconfirmed:
		result.Code = resultcode.PublishUnconfirmed
		result.Message = "the outcome could not be read back; burdockctl history shows it"
	case release.StepRefused:
		result.Code = resultcode.PublishRefused
		result.Message = "refused by " + p.names(p.verdict.RefusedBy)
		for _, id := range p.verdict.RefusedBy {
			result.RefusedBy = append(result.RefusedBy, p.name(id))
		}
		p.cleanUp()
	}
	return result
}

// removeOwn removes the own release after a conflict, when it was written on a
// pointer that had changed and would keep the number taken.
func (p *publishing) removeOwn() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	ref := p.state.Ref()
	spec, err := p.readReleaseSpec(ctx, ref.Number)
	if err != nil || !spec.ref().Matches(ref) {
		return
	}
	if err := p.readPointerState(ctx); err != nil || p.pointer.spec.Number >= ref.Number {
		return
	}
	if err := p.withdrawRelease(ctx, ref.Number); err != nil {
		p.logger.Warn("release_not_withdrawn", zap.Uint64("release", ref.Number), zap.Error(err))
	}
}

// accepted takes the own release at once and removes one that is too old.
func (p *publishing) accepted(ref release.Ref) {
	p.mu.Lock()
	p.observeAccepted(ref)
	p.mu.Unlock()
	if ref.Number <= keptAtPlatform {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	old := strconv.FormatUint(ref.Number-keptAtPlatform, 10)
	if err := p.platform.Delete(ctx, platform.Releases, old); err != nil {
		p.logger.Info("old_release_not_removed", zap.String("release", old), zap.Error(err))
	}
}

func (p *publishing) names(ids []common.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, p.name(id))
	}
	return strings.Join(names, ", ")
}

// name returns the name of an instance as far as it is known.
func (c *core) name(id common.InstanceID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, info := range c.list {
		if info.id == id {
			return info.name
		}
	}
	for _, member := range c.machine.Members() {
		if member.ID == id {
			return member.Name
		}
	}
	return fmt.Sprintf("instance %d", id)
}

// history lists accepted releases, newest first.
func (p *publicationController) history(ctx context.Context, limit int) ([]*releaseRecord, error) {
	list, err := p.platform.List(ctx, platform.Releases)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	accepted := p.tracker.Accepted().Number
	p.mu.Unlock()
	var records []*releaseRecord
	for i := range list.Items {
		var spec releaseSpec
		if err := json.Unmarshal(list.Items[i].Spec, &spec); err != nil || spec.Number > accepted {
			continue
		}
		records = append(records, &releaseRecord{spec, list.Items[i].Metadata.CreationTimestamp, spec.Number == accepted})
	}
	slices.SortFunc(records, func(a, b *releaseRecord) int { return int(int64(b.spec.Number) - int64(a.spec.Number)) })
	return records[:min(limit, len(records))], nil
}

type releaseRecord struct {
	spec    releaseSpec
	created string
	inForce bool
}
