package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// observedAckReport is the resource version of a watcher's report and the time at
// which it was first read.
type observedAckReport struct {
	version   string
	changedAt time.Duration
}

// awaitAcks reads the watchers' reports and evaluates them.
func (p *activePublication) awaitAcks(ctx context.Context) {
	sleep(ctx, ackPollInterval)
	list, err := p.platform.List(ctx, platform.Acknowledgements)
	if err != nil {
		p.waitBeforeRetry(ctx, "read_acknowledgements", err)
		return
	}
	if list.Era != p.createdIn {
		p.logger.Info("publication_step", zap.String("step", "release_lost"), zap.String("era", list.Era), zap.String("created_in", p.createdIn))
		p.state.OnReleaseLost()
		return
	}
	p.evaluation = release.EvaluateAcks(p.state.Ref(), p.collectGroups(list))
	// No report may have been written yet: acceptance needs an acknowledgement.
	if p.evaluation.Decision == release.Accept && p.evaluation.Acknowledged == 0 {
		return
	}
	p.state.OnEvaluate(p.evaluation.Decision)
}

// collectGroups collects the newest reports by group. Until groupLease has passed
// since the start of the publication, a group without a recent report counts as
// leased as well, because its lease from an earlier report may still run.
func (p *activePublication) collectGroups(list *platform.List) []release.Group {
	groups := p.listedGroups()
	for i := range list.Items {
		object := &list.Items[i]
		if object.Kind == groupKind {
			continue
		}
		var report ackReportSpec
		if err := json.Unmarshal(object.Spec, &report); err != nil {
			p.logger.Warn("report_object", zap.String("name", object.Metadata.Name), zap.Error(err))
			continue
		}
		if !p.isRecent(object) {
			continue
		}
		group := groups[report.Group]
		if group == nil {
			group = &release.Group{}
			groups[report.Group] = group
		}
		group.Leased = true
		addAckReport(group, &report)
	}
	return finishGroups(groups, p.now()-p.started < groupLease)
}

// finishGroups returns the groups as a slice. If starting is set, every group
// counts as leased.
func finishGroups(groups map[string]*release.Group, starting bool) []release.Group {
	all := make([]release.Group, 0, len(groups))
	for _, group := range groups {
		group.Leased = group.Leased || starting
		// An instance that any watcher reports as alive is not dead.
		group.Dead = slices.DeleteFunc(group.Dead, func(id common.InstanceID) bool {
			return slices.Contains(group.Alive, id)
		})
		all = append(all, *group)
	}
	return all
}

// isRecent reports whether the object has changed within groupLease, by the local
// monotonic clock. An object that is read for the first time counts as changed.
func (p *activePublication) isRecent(object *platform.Object) bool {
	seen, found := p.reports[object.Metadata.Name]
	if !found || seen.version != object.Metadata.ResourceVersion {
		p.reports[object.Metadata.Name] = observedAckReport{object.Metadata.ResourceVersion, p.now()}
		return true
	}
	return p.now()-seen.changedAt < groupLease
}

// listedGroups returns the groups of the instance list.
func (p *activePublication) listedGroups() map[string]*release.Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	groups := map[string]*release.Group{}
	for _, info := range p.instances {
		if groups[info.group] == nil {
			groups[info.group] = &release.Group{}
		}
		if !info.leaving {
			groups[info.group].Listed = append(groups[info.group].Listed, info.id)
		}
	}
	return groups
}

func addAckReport(group *release.Group, report *ackReportSpec) {
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

// names returns the names of the instances, separated by commas.
func (p *activePublication) names(ids []common.InstanceID) string {
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, p.name(id))
	}
	return strings.Join(names, ", ")
}

// name returns the name of an instance, or its ID if the name is unknown.
func (c *core) name(id common.InstanceID) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, info := range c.instances {
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
