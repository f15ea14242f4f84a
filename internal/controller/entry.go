package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	// renewInterval is the time between lease renewals.
	renewInterval = 500 * time.Millisecond
	// snapshotInterval is the longest time between snapshots. They refresh the
	// loads of endpoints, whose weight halves in 2 s.
	snapshotInterval = 2 * time.Second
	// snapshotSpacing is the pause after a snapshot. It limits the rate during a
	// burst of changes.
	snapshotSpacing = 100 * time.Millisecond
	// entryTimeout bounds a call to entryd on the loopback address.
	entryTimeout = time.Second
)

// entryController sends snapshots and lease renewals to entryd.
type entryController struct {
	*core
	// epoch distinguishes this process from other controld processes. sequence
	// numbers its snapshots.
	epoch    uint64
	sequence uint64
	// appliedRelease is the release in entryd's last response to a snapshot. A
	// lower release in its statistics means that it has restarted.
	appliedRelease uint64
	lastSnapshotAt time.Duration
	reachable      bool
	// incarnationStep is added to a refused incarnation. It doubles with each
	// refusal.
	incarnationStep uint64
}

func (e *entryController) run(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.renewLease(ctx)
			e.readStats(ctx)
			if e.now()-e.lastSnapshotAt >= snapshotInterval {
				e.sendSnapshot(ctx)
			}
		case <-e.snapshotSignal:
			e.sendSnapshot(ctx)
			sleep(ctx, snapshotSpacing)
		}
	}
}

// renewLease extends the lease of entryd by the remaining validity of the last
// confirmed contact with a peer. Without contact it sends nothing, so the lease
// expires and entryd is fenced.
func (e *entryController) renewLease(ctx context.Context) {
	e.mu.Lock()
	remaining, ok := e.machine.Lease(e.now())
	self := e.machine.Self()
	e.mu.Unlock()
	if !ok {
		return
	}
	requestedAt := e.now()
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	response, err := e.entry.RenewLease(ctx, &entrypb.RenewLeaseRequest{
		DurationMs:  uint32(remaining.Milliseconds()),
		Incarnation: self.Incarnation,
	})
	if err != nil {
		e.metrics.leaseFailures.Inc()
		e.callFailed("renew_lease", err)
		return
	}
	e.callSucceeded()
	switch resultcode.Code(response.GetResultCode()) {
	case resultcode.OK:
		e.incarnationStep = 0
	case resultcode.LeaseOldIncarnation:
		e.raiseIncarnation()
		return
	default:
		e.metrics.leaseFailures.Inc()
		return
	}
	if response.GetWasFenced() {
		e.rejoin(self.State, requestedAt)
	}
}

// raiseIncarnation handles a refused renewal: entryd has the higher incarnation of
// an earlier controld process.
func (e *entryController) raiseIncarnation() {
	e.incarnationStep = max(1, 2*e.incarnationStep)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.RaiseIncarnation(e.machine.Self().Incarnation+e.incarnationStep, e.now())
	e.logger.Info("incarnation_raised", zap.Uint64("incarnation", e.machine.Self().Incarnation))
}

// rejoin handles a lease that had expired while this instance was serving: its slots
// may have another owner, or entryd has restarted without flows.
func (e *entryController) rejoin(state common.MemberState, requestedAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state != common.MemberServing || e.machine.Self().State != common.MemberServing {
		return
	}
	e.logger.Warn("lease_had_lapsed", zap.Duration("since_start", requestedAt))
	e.machine.Rejoin(e.now())
	e.snapshotChanged()
}

// callFailed records a failed call to entryd.
func (e *entryController) callFailed(call string, err error) {
	e.inputFailed(inputEntry, err)
	if e.reachable {
		e.logger.Warn("entryd_unreachable", zap.String("call", call), zap.Error(err))
	}
	e.reachable = false
}

// callSucceeded records a response of entryd. If entryd was unreachable before, it
// requests a full snapshot.
func (e *entryController) callSucceeded() {
	e.inputOK(inputEntry)
	if !e.reachable {
		e.logger.Info("entryd_reachable")
		e.snapshotChanged()
	}
	e.reachable = true
}

func (e *entryController) readStats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	stats, err := e.entry.Stats(ctx, &entrypb.StatsRequest{})
	if err != nil {
		e.callFailed("stats", err)
		return
	}
	e.callSucceeded()
	e.mu.Lock()
	e.stats = stats
	e.mu.Unlock()
	if stats.GetRelease() < e.appliedRelease {
		e.logger.Warn("entryd_restarted", zap.Uint64("release", stats.GetRelease()))
		e.appliedRelease = 0
		e.snapshotChanged()
	}
}

func (e *entryController) sendSnapshot(ctx context.Context) {
	request, ok := e.buildSnapshot()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	response, err := e.entry.ApplySnapshot(ctx, request)
	if err != nil {
		e.callFailed("apply_snapshot", err)
		return
	}
	e.lastSnapshotAt = e.now()
	e.appliedRelease = response.GetRelease()
	if code := response.GetResultCode(); code != 0 {
		e.logger.Warn("snapshot_refused", zap.Uint32("result_code", code), zap.Uint64("release", request.GetRelease()))
		return
	}
	e.mu.Lock()
	e.snapshotRelease = request.GetRelease()
	e.mu.Unlock()
}

// buildSnapshot returns the current snapshot, or false if no release is in force.
func (e *entryController) buildSnapshot() (*entrypb.ApplySnapshotRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inForce == nil {
		return nil, false
	}
	now := e.now()
	e.sequence++
	request := &entrypb.ApplySnapshotRequest{
		Release:     e.inForce.ref.Number,
		ReleaseHash: e.inForce.ref.Hash,
		Self:        uint32(e.self),
		Settled:     e.machine.Settled(now),
		Isolated:    e.machine.Isolated(now),
		Epoch:       e.epoch,
		Sequence:    e.sequence,
		Members:     encodeMembers(e.machine.Members()),
	}
	for i := range e.services {
		request.Services = append(request.Services, e.encodeService(&e.services[i], now))
	}
	return request, true
}

func encodeMembers(members []common.Member) []*entrypb.Member {
	encoded := make([]*entrypb.Member, 0, len(members))
	for i := range members {
		m := &members[i]
		if !m.EntryAddress.IsValid() {
			continue
		}
		encoded = append(encoded, &entrypb.Member{
			Instance:     uint32(m.ID),
			Name:         m.Name,
			Incarnation:  m.Incarnation,
			EntryAddress: m.EntryAddress.String(),
			State:        entrypb.MemberState(m.State),
		})
	}
	return encoded
}

func (e *entryController) encodeService(s *common.Service, now time.Duration) *entrypb.Service {
	encoded := &entrypb.Service{
		Id:         uint32(s.ID),
		Name:       s.Name,
		Address:    s.Address.Address.String(),
		Port:       uint32(s.Address.Port),
		Protocol:   entrypb.Protocol(s.Address.Protocol),
		Idempotent: s.Idempotent,
		Policy:     encodePolicy(&s.Policy),
	}
	for i := range s.Endpoints {
		encoded.Endpoints = append(encoded.Endpoints, e.encodeEndpoint(&s.Endpoints[i], now))
	}
	return encoded
}

func encodePolicy(p *common.Policy) *entrypb.Policy {
	return &entrypb.Policy{
		Selection:           entrypb.Selection(p.Selection),
		BoundPercent:        p.BoundPercent,
		SlowStartMs:         uint32(p.SlowStart.Milliseconds()),
		IdleTimeoutMs:       uint32(p.IdleTimeout.Milliseconds()),
		MaxFlowsPerEndpoint: p.MaxFlowsPerEndpoint,
		NewFlowsPerSecond:   p.NewFlowsPerSecond,
		MaxEjectedPercent:   p.MaxEjectedPercent,
	}
}

func (e *entryController) encodeEndpoint(endpoint *common.Endpoint, now time.Duration) *entrypb.Endpoint {
	status := e.health.Status(endpoint.ID, now)
	return &entrypb.Endpoint{
		Id:            uint32(endpoint.ID),
		Name:          endpoint.Name,
		TunnelAddress: endpoint.Tunnel.String(),
		Weight:        endpoint.Weight,
		State:         entrypb.EndpointState(e.endpointState(endpoint.ID, status.State)),
		Load:          status.Load,
		LoadAgeMs:     uint32(status.LoadAge.Milliseconds()),
		ColdSinceMs:   uint32(min(status.ColdFor, time.Hour).Milliseconds()),
	}
}

// endpointState combines the probed state with the operators' drains. The caller
// holds mu.
func (c *core) endpointState(id common.EndpointID, probed common.EndpointState) common.EndpointState {
	if probed.TakesNewFlows() && c.drains.Draining(id) {
		return common.EndpointDraining
	}
	return probed
}
