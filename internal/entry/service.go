package entry

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// service implements the Entry RPC service that burdock-controld calls.
type service struct {
	server *Server
}

var errNoTables = resultcode.Errorf(resultcode.DroppedNoTables, "no snapshot has been applied")

// codeOf returns the result code of an error, OK for nil and SnapshotInvalid
// for an error without a code.
func codeOf(err error) resultcode.Code {
	code, found := resultcode.Of(err)
	if !found {
		return resultcode.SnapshotInvalid
	}
	return code
}

// ApplySnapshot implements entrypb.Entry.
func (s *service) ApplySnapshot(_ context.Context, request *entrypb.ApplySnapshotRequest) (*entrypb.ApplySnapshotResponse, error) {
	snapshot, err := SnapshotFromProto(request)
	if err == nil {
		err = s.server.apply(snapshot)
	}
	if err != nil {
		s.server.logger.Warn("snapshot_refused", zap.Uint64("release", request.GetRelease()),
			zap.Uint64("epoch", request.GetEpoch()), zap.Uint64("sequence", request.GetSequence()), zap.Error(err))
	}
	return &entrypb.ApplySnapshotResponse{ResultCode: uint32(codeOf(err)), Release: s.server.release()}, nil
}

// apply puts a snapshot in force. While it runs, shards may have different
// tables; a worker uses the tables of the packet's shard. It returns an error
// with a result code if the snapshot is invalid, old or for another instance.
func (s *Server) apply(snapshot *common.Snapshot) error {
	if snapshot.Self != common.InstanceIDOf(s.settings.Instance) {
		return invalidf("the snapshot is for instance %d, not for this instance %q", snapshot.Self, s.settings.Instance)
	}
	s.applyLock.Lock()
	defer s.applyLock.Unlock()
	var previous *flow.Tables
	if current := s.state.Load(); current != nil {
		previous = current.tables
	}
	tables, err := flow.NewTables(snapshot, previous)
	if err != nil {
		return err
	}
	next := newState(snapshot, tables)
	s.state.Store(next)
	for i := range s.shards {
		s.shards[i].mu.Lock()
		s.shards[i].flows.Install(tables, s.now())
		s.shards[i].state = next
		s.shards[i].mu.Unlock()
	}
	s.snapshotApplied()
	return nil
}

// RenewLease implements entrypb.Entry.
func (s *service) RenewLease(_ context.Context, request *entrypb.RenewLeaseRequest) (*entrypb.RenewLeaseResponse, error) {
	wasFenced, err := s.server.renewLease(milliseconds(request.GetDurationMs()), request.GetIncarnation())
	return &entrypb.RenewLeaseResponse{ResultCode: uint32(codeOf(err)), WasFenced: wasFenced}, nil
}

// TakeReplication implements entrypb.Entry.
func (s *service) TakeReplication(_ context.Context, request *entrypb.TakeReplicationRequest) (*entrypb.TakeReplicationResponse, error) {
	current := s.server.state.Load()
	if current == nil {
		return nil, unavailable()
	}
	budget := flow.Budget{Bytes: int(request.GetMaxBytes()), MaxBatchBytes: int(request.GetMaxBatchBytes())}
	response := &entrypb.TakeReplicationResponse{}
	for i := range s.server.shards {
		batches := s.server.takeReplication(i, &budget)
		for j := range batches {
			response.Batches = append(response.Batches, batchToProto(&batches[j]))
		}
	}
	response.Pending = uint32(s.server.flowStats().Pending)
	return response, nil
}

func (s *Server) takeReplication(index int, budget *flow.Budget) []common.ReplicationBatch {
	sh := &s.shards[index]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.state == nil {
		return nil
	}
	return sh.flows.TakeReplication(sh.state.tables, s.now(), budget)
}

// AckReplication implements entrypb.Entry.
func (s *service) AckReplication(_ context.Context, request *entrypb.AckReplicationRequest) (*entrypb.AckReplicationResponse, error) {
	sh := &s.server.shards[flow.ShardOfSequence(request.GetSequence())]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.flows.AckReplication(common.InstanceID(request.GetTarget()), request.GetSequence())
	return &entrypb.AckReplicationResponse{}, nil
}

// AddReplication implements entrypb.Entry.
func (s *service) AddReplication(_ context.Context, request *entrypb.AddReplicationRequest) (*entrypb.AddReplicationResponse, error) {
	if s.server.state.Load() == nil {
		return &entrypb.AddReplicationResponse{ResultCode: uint32(resultcode.DroppedNoTables)}, nil
	}
	for _, message := range request.GetBatches() {
		batch, err := batchFromProto(message)
		if err != nil {
			return &entrypb.AddReplicationResponse{ResultCode: uint32(codeOf(err))}, nil
		}
		if !s.server.addReplication(batch) {
			return &entrypb.AddReplicationResponse{ResultCode: uint32(resultcode.ReplicationUnknownTable)}, nil
		}
	}
	return &entrypb.AddReplicationResponse{}, nil
}

// addReplication adds a batch to the shard that its sequence number names. A
// batch without a sequence number is the response to a pull and is added to all
// shards. It reports whether every shard accepted the batch.
func (s *Server) addReplication(batch *common.ReplicationBatch) bool {
	if batch.Sequence != 0 {
		return s.shards[flow.ShardOfSequence(batch.Sequence)].addReplication(batch, s.now())
	}
	accepted := true
	for i := range s.shards {
		accepted = s.shards[i].addReplication(batch, s.now()) && accepted
	}
	return accepted
}

func (s *shard) addReplication(batch *common.ReplicationBatch, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == nil {
		return false
	}
	return s.flows.AddReplication(s.state.tables, batch, now)
}

// PullReplication implements entrypb.Entry.
func (s *service) PullReplication(_ context.Context, request *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	current := s.server.state.Load()
	if current == nil {
		return nil, unavailable()
	}
	members, err := membersFromProto(request.GetMembers())
	if err != nil {
		return nil, twirp.InvalidArgumentError("members", err.Error())
	}
	snapshot := *current.snapshot
	snapshot.Members = members
	nextTables, err := flow.NewTables(&snapshot, nil)
	if err != nil {
		return nil, twirp.InvalidArgumentError("members", err.Error())
	}
	joiner := common.InstanceID(request.GetJoiner())
	merged := common.ReplicationBatch{Target: joiner, Source: snapshot.Self}
	for i := range s.server.shards {
		sh := &s.server.shards[i]
		sh.mu.Lock()
		batch := sh.flows.PullReplication(current.tables, nextTables, joiner)
		sh.mu.Unlock()
		mergeBatch(&merged, &batch)
	}
	flow.CompactPull(current.tables, nextTables, joiner, &merged)
	return &entrypb.PullReplicationResponse{Batch: batchToProto(&merged)}, nil
}

// unavailable returns the RPC error of calls that need a snapshot.
func unavailable() error {
	return twirp.NewError(twirp.Unavailable, errNoTables.Error())
}

// Stats implements entrypb.Entry.
func (s *service) Stats(context.Context, *entrypb.StatsRequest) (*entrypb.StatsResponse, error) {
	flows := s.server.flowStats()
	totals := s.server.totals()
	response := &entrypb.StatsResponse{
		Release:             s.server.release(),
		Fenced:              s.server.fenced(),
		OpenFlows:           uint64(flows.OpenFlows),
		MaxFlows:            uint64(flows.MaxFlows),
		ExceptionsOwned:     uint64(flows.ExceptionsOwned),
		ExceptionsHeld:      uint64(flows.ExceptionsHeld),
		PacketsForwarded:    totals.forwarded,
		PacketsRelayed:      totals.relayed,
		FlowsOpened:         flows.FlowsOpened,
		FlowsRefused:        flows.FlowsRefused,
		InvariantViolations: s.server.metrics.violationTotal.Load(),
		Endpoints:           endpointFlows(s.server.state.Load()),
	}
	for code, count := range totals.results {
		response.Results = append(response.Results, &entrypb.ResultCount{ResultCode: uint32(code), Count: count})
	}
	return response, nil
}

func endpointFlows(current *state) []*entrypb.EndpointFlows {
	if current == nil {
		return nil
	}
	var endpoints []*entrypb.EndpointFlows
	for i := range current.snapshot.Services {
		service := &current.snapshot.Services[i]
		tables := current.tables.Match(service.Address)
		for j := range service.Endpoints {
			open, retransmissions := tables.OpenFlows(service.Endpoints[j].ID)
			endpoints = append(endpoints, &entrypb.EndpointFlows{
				Service:              uint32(service.ID),
				Endpoint:             uint32(service.Endpoints[j].ID),
				OpenFlows:            uint32(open),
				RepeatedFirstPackets: retransmissions,
			})
		}
	}
	return endpoints
}

// mergeBatch adds the batch of one shard to the response for a joining instance.
func mergeBatch(merged, part *common.ReplicationBatch) {
	merged.SourceIncarnation = part.SourceIncarnation
	merged.Exceptions = append(merged.Exceptions, part.Exceptions...)
	merged.SlotBases = append(merged.SlotBases, part.SlotBases...)
	for _, base := range part.Bases {
		if !hasBase(merged.Bases, base.Service) {
			merged.Bases = append(merged.Bases, base)
		}
	}
}

func hasBase(bases []common.ServiceBase, service common.ServiceID) bool {
	for i := range bases {
		if bases[i].Service == service {
			return true
		}
	}
	return false
}
