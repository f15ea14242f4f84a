package controller

import (
	"context"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// ackReportInterval is the time between renewals of a watcher's report: 36
	// watchers make 12 writes per second.
	ackReportInterval = 3 * time.Second
	// ackReportSpacing is the minimum time between writes while acknowledgements
	// arrive.
	ackReportSpacing = 500 * time.Millisecond
	// groupLease is how long a group counts as reachable after its newest report.
	// It tolerates two lost renewals.
	groupLease = 8 * time.Second
)

// ackSpec is one instance's acknowledgement in a watcher's report.
type ackSpec struct {
	Instance   string `json:"instance"`
	Number     uint64 `json:"number"`
	Hash       string `json:"hash"`
	ResultCode uint32 `json:"resultCode"`
	InForce    uint64 `json:"inForce"`
}

// ackReportSpec is the spec of a watcher's report in the collection
// acknowledgements. Each watcher writes its own object, so watchers never conflict.
type ackReportSpec struct {
	Group      string `json:"group"`
	DataCentre string `json:"dataCentre"`
	// Sequence increases with each write. It changes the object's resource version,
	// by which a publisher detects that the report was renewed.
	Sequence uint64   `json:"beat"`
	Alive    []string `json:"alive"`
	// Dead are the instances that were declared dead or have never responded.
	Dead []string  `json:"dead"`
	Acks []ackSpec `json:"acks"`
}

// ackReportController reports the acknowledgements of the group to the platform
// while this instance is a watcher.
type ackReportController struct {
	*core
	sequence      uint64
	version       string
	written       ackReportSpec
	lastAttemptAt time.Duration
	// mayExist is false once the report is known to be absent. It is true at the
	// start, because an earlier process may have left a report.
	mayExist bool
}

func (r *ackReportController) run(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, ackReportSpacing)
		if r.isWatcher() {
			r.writeIfDue(ctx)
		} else if r.mayExist {
			r.remove(ctx)
		}
	}
	return nil
}

// writeIfDue writes the report if it has changed or its renewal is due.
func (r *ackReportController) writeIfDue(ctx context.Context) {
	report := r.report()
	unchanged := reflect.DeepEqual(report, r.written)
	if unchanged && r.now()-r.lastAttemptAt < ackReportInterval {
		return
	}
	r.lastAttemptAt = r.now()
	r.sequence++
	sent := report
	sent.Sequence = r.sequence
	if err := r.write(ctx, &sent); err != nil {
		r.logger.Debug("report_not_written", zap.Error(err))
		r.version = ""
		return
	}
	r.mayExist = true
	r.written = report
}

// write replaces the report of this instance. After a failure it first reads the
// resource version.
func (r *ackReportController) write(ctx context.Context, report *ackReportSpec) error {
	if r.version == "" {
		object, err := r.platform.Get(ctx, platform.Acknowledgements, r.settings.Instance)
		code, _ := resultcode.Of(err)
		if err != nil && code != resultcode.PlatformNotFound {
			return err
		}
		if err == nil {
			r.version = object.Metadata.ResourceVersion
		}
	}
	object, err := platform.NewObject("Acknowledgement", r.settings.Instance, r.version, report)
	if err != nil {
		return err
	}
	var written *platform.Object
	if r.version == "" {
		written, err = r.platform.Create(ctx, platform.Acknowledgements, object)
	} else {
		written, err = r.platform.Update(ctx, platform.Acknowledgements, object)
	}
	if err != nil {
		return err
	}
	r.version = written.Metadata.ResourceVersion
	return nil
}

// remove deletes the report of an instance that is no longer a watcher.
func (r *ackReportController) remove(ctx context.Context) {
	err := r.platform.Delete(ctx, platform.Acknowledgements, r.settings.Instance)
	if code, _ := resultcode.Of(err); err != nil && code != resultcode.PlatformNotFound {
		return
	}
	r.mayExist = false
	r.version = ""
	r.written = ackReportSpec{}
}

func (r *ackReportController) report() ackReportSpec {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := ackReportSpec{Group: r.settings.Group, DataCentre: r.settings.DataCentre}
	for _, member := range r.machine.Members() {
		if member.State == common.MemberDead {
			report.Dead = append(report.Dead, member.Name)
			continue
		}
		report.Alive = append(report.Alive, member.Name)
		if ack, found := r.ackOf(member.ID); found {
			ref := ack.Ref.Short()
			report.Acks = append(report.Acks, ackSpec{member.Name, ref.Number, ref.Hash, uint32(ack.Code), ack.InForce})
		}
	}
	for _, unresponsive := range r.machine.Unresponsive(r.now()) {
		report.Dead = append(report.Dead, unresponsive.Name)
	}
	slices.Sort(report.Alive)
	slices.Sort(report.Dead)
	slices.SortFunc(report.Acks, func(a, b ackSpec) int { return strings.Compare(a.Instance, b.Instance) })
	return report
}
