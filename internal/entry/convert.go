package entry

import (
	"math"
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	// maxServices, maxEndpoints and maxMembers bound the memory of a snapshot.
	// A data centre of the target scale has 160 services, 1,170 endpoints and
	// 192 members.
	maxServices  = 4096
	maxEndpoints = 65536
	maxMembers   = 4096
)

// SnapshotFromProto converts and validates a snapshot. Its errors have the result
// code SnapshotInvalid.
func SnapshotFromProto(request *entrypb.ApplySnapshotRequest) (*common.Snapshot, error) {
	members, err := membersFromProto(request.GetMembers())
	if err != nil {
		return nil, err
	}
	services, err := servicesFromProto(request.GetServices())
	if err != nil {
		return nil, err
	}
	return &common.Snapshot{
		Release:     request.GetRelease(),
		ReleaseHash: request.GetReleaseHash(),
		Services:    services,
		Members:     members,
		Self:        common.InstanceID(request.GetSelf()),
		Settled:     request.GetSettled(),
		Isolated:    request.GetIsolated(),
		Epoch:       request.GetEpoch(),
		Sequence:    request.GetSequence(),
	}, nil
}

func servicesFromProto(messages []*entrypb.Service) ([]common.Service, error) {
	if len(messages) > maxServices {
		return nil, invalidf("%d services exceed the limit of %d", len(messages), maxServices)
	}
	services := make([]common.Service, 0, len(messages))
	endpoints := 0
	for _, message := range messages {
		endpoints += len(message.GetEndpoints())
		if endpoints > maxEndpoints {
			return nil, invalidf("the endpoints exceed the limit of %d", maxEndpoints)
		}
		service, err := serviceFromProto(message)
		if err != nil {
			return nil, err
		}
		services = append(services, service)
	}
	return services, nil
}

func serviceFromProto(message *entrypb.Service) (common.Service, error) {
	name := message.GetName()
	address, err := netip.ParseAddr(message.GetAddress())
	if err != nil || !address.Is4() {
		return common.Service{}, invalidf("service %q: %q is not an IPv4 address", name, message.GetAddress())
	}
	port := message.GetPort()
	if port == 0 || port > math.MaxUint16 {
		return common.Service{}, invalidf("service %q: port %d is out of range", name, port)
	}
	protocol := message.GetProtocol()
	if protocol != entrypb.Protocol_PROTOCOL_TCP && protocol != entrypb.Protocol_PROTOCOL_UDP {
		return common.Service{}, invalidf("service %q: protocol %d is not TCP or UDP", name, protocol)
	}
	if selection := message.GetPolicy().GetSelection(); selection < 0 || selection > entrypb.Selection_SELECTION_TWO_CHOICES {
		return common.Service{}, invalidf("service %q: unknown selection %d", name, selection)
	}
	service := common.Service{
		ID:         common.ServiceID(message.GetId()),
		Name:       name,
		Address:    common.ServiceAddress{Address: address, Port: uint16(port), Protocol: common.Protocol(protocol)},
		Idempotent: message.GetIdempotent(),
		Policy:     policyFromProto(message.GetPolicy()),
		Endpoints:  make([]common.Endpoint, 0, len(message.GetEndpoints())),
	}
	for _, part := range message.GetEndpoints() {
		endpoint, err := endpointFromProto(part)
		if err != nil {
			return common.Service{}, err
		}
		service.Endpoints = append(service.Endpoints, endpoint)
	}
	return service, nil
}

func policyFromProto(message *entrypb.Policy) common.Policy {
	return common.Policy{
		Selection:           common.Selection(message.GetSelection()),
		BoundPercent:        message.GetBoundPercent(),
		SlowStart:           milliseconds(message.GetSlowStartMs()),
		IdleTimeout:         milliseconds(message.GetIdleTimeoutMs()),
		MaxFlowsPerEndpoint: message.GetMaxFlowsPerEndpoint(),
		NewFlowsPerSecond:   message.GetNewFlowsPerSecond(),
		MaxEjectedPercent:   message.GetMaxEjectedPercent(),
	}
}

func endpointFromProto(message *entrypb.Endpoint) (common.Endpoint, error) {
	tunnel, err := parseIPv4AddrPort(message.GetTunnelAddress())
	if err != nil {
		return common.Endpoint{}, invalidf("endpoint %q: %v", message.GetName(), err)
	}
	if state := message.GetState(); state < 0 || state > entrypb.EndpointState_ENDPOINT_STATE_DOWN {
		return common.Endpoint{}, invalidf("endpoint %q: unknown state %d", message.GetName(), state)
	}
	return common.Endpoint{
		ID:      common.EndpointID(message.GetId()),
		Name:    message.GetName(),
		Tunnel:  tunnel,
		Weight:  message.GetWeight(),
		State:   common.EndpointState(message.GetState()),
		Load:    message.GetLoad(),
		LoadAge: milliseconds(message.GetLoadAgeMs()),
		ColdFor: milliseconds(message.GetColdSinceMs()),
	}, nil
}

func membersFromProto(messages []*entrypb.Member) ([]common.Member, error) {
	if len(messages) > maxMembers {
		return nil, invalidf("%d members exceed the limit of %d", len(messages), maxMembers)
	}
	members := make([]common.Member, 0, len(messages))
	for _, message := range messages {
		address, err := parseIPv4AddrPort(message.GetEntryAddress())
		if err != nil {
			return nil, invalidf("member %q: %v", message.GetName(), err)
		}
		if state := message.GetState(); state < 0 || state > entrypb.MemberState_MEMBER_STATE_DEAD {
			return nil, invalidf("member %q: unknown state %d", message.GetName(), state)
		}
		members = append(members, common.Member{
			ID:           common.InstanceID(message.GetInstance()),
			Name:         message.GetName(),
			Incarnation:  message.GetIncarnation(),
			EntryAddress: address,
			State:        common.MemberState(message.GetState()),
		})
	}
	return members, nil
}

func parseIPv4AddrPort(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, err
	}
	if !address.Addr().Is4() || address.Addr().IsUnspecified() || address.Port() == 0 {
		return netip.AddrPort{}, invalidf("%q is not an IPv4 address and port", text)
	}
	return address, nil
}

func milliseconds(value uint32) time.Duration {
	return time.Duration(value) * time.Millisecond
}

// invalidf returns an error with the result code SnapshotInvalid.
func invalidf(format string, args ...any) error {
	return resultcode.Errorf(resultcode.SnapshotInvalid, format, args...)
}

func batchToProto(batch *common.ReplicationBatch) *entrypb.ReplicationBatch {
	message := &entrypb.ReplicationBatch{
		Target:            uint32(batch.Target),
		Source:            uint32(batch.Source),
		SourceIncarnation: batch.SourceIncarnation,
		Sequence:          batch.Sequence,
	}
	for i := range batch.Exceptions {
		message.Exceptions = append(message.Exceptions, groupToProto(&batch.Exceptions[i]))
	}
	for i := range batch.Bases {
		message.Bases = append(message.Bases, baseToProto(&batch.Bases[i]))
	}
	for i := range batch.SlotBases {
		message.SlotBases = append(message.SlotBases, &entrypb.SlotBase{
			Slot: uint32(batch.SlotBases[i].Slot),
			Base: baseToProto(&batch.SlotBases[i].Base),
		})
	}
	return message
}

func groupToProto(group *common.ExceptionGroup) *entrypb.ExceptionGroup {
	hashes := make([]uint64, len(group.Hashes))
	for i, hash := range group.Hashes {
		hashes[i] = uint64(hash)
	}
	return &entrypb.ExceptionGroup{
		Service:   uint32(group.Service),
		Endpoint:  uint32(group.Endpoint),
		Hashes:    hashes,
		Withdrawn: group.Withdrawn,
	}
}

func baseToProto(base *common.ServiceBase) *entrypb.ServiceBase {
	eligible := make([]uint32, len(base.Eligible))
	for i, id := range base.Eligible {
		eligible[i] = uint32(id)
	}
	return &entrypb.ServiceBase{Service: uint32(base.Service), Eligible: eligible, Weights: base.Weights}
}

func batchFromProto(message *entrypb.ReplicationBatch) (*common.ReplicationBatch, error) {
	batch := &common.ReplicationBatch{
		Target:            common.InstanceID(message.GetTarget()),
		Source:            common.InstanceID(message.GetSource()),
		SourceIncarnation: message.GetSourceIncarnation(),
		Sequence:          message.GetSequence(),
	}
	for _, group := range message.GetExceptions() {
		batch.Exceptions = append(batch.Exceptions, groupFromProto(group))
	}
	for _, part := range message.GetBases() {
		base, err := baseFromProto(part)
		if err != nil {
			return nil, err
		}
		batch.Bases = append(batch.Bases, base)
	}
	for _, part := range message.GetSlotBases() {
		base, err := baseFromProto(part.GetBase())
		if err != nil {
			return nil, err
		}
		if part.GetSlot() >= common.Slots {
			return nil, invalidf("slot %d is out of range", part.GetSlot())
		}
		batch.SlotBases = append(batch.SlotBases, common.SlotBase{Slot: uint16(part.GetSlot()), Base: base})
	}
	return batch, nil
}

func groupFromProto(message *entrypb.ExceptionGroup) common.ExceptionGroup {
	hashes := make([]common.FlowHash, len(message.GetHashes()))
	for i, hash := range message.GetHashes() {
		hashes[i] = common.FlowHash(hash)
	}
	return common.ExceptionGroup{
		Service:   common.ServiceID(message.GetService()),
		Endpoint:  common.EndpointID(message.GetEndpoint()),
		Hashes:    hashes,
		Withdrawn: message.GetWithdrawn(),
	}
}

// baseFromProto converts a base, or a reference to a table instead of a list of
// endpoints: it has no endpoints, and its only weight is the ID of the table.
func baseFromProto(message *entrypb.ServiceBase) (common.ServiceBase, error) {
	reference := len(message.GetEligible()) == 0 && len(message.GetWeights()) == 1
	if !reference && len(message.GetEligible()) != len(message.GetWeights()) {
		return common.ServiceBase{}, invalidf("base of service %d: %d endpoints with %d weights",
			message.GetService(), len(message.GetEligible()), len(message.GetWeights()))
	}
	base := common.ServiceBase{
		Service:  common.ServiceID(message.GetService()),
		Eligible: make([]common.EndpointID, len(message.GetEligible())),
		Weights:  message.GetWeights(),
	}
	for i, id := range message.GetEligible() {
		base.Eligible[i] = common.EndpointID(id)
	}
	return base, nil
}
