package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/loadpolicy"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// maxCandidates is the maximum number of endpoints compared for one new flow.
const maxCandidates = 8

// chooseEndpoint selects the endpoint of a new flow. Without an endpoint it
// returns nil and the result code of the refusal.
func (s *Shard) chooseEndpoint(t *Tables, p *Packet, now time.Duration) (*endpoint, resultcode.Code) {
	service := p.Service
	ep := service.endpoints[service.table.Default(p.Hash.Bucket())]
	if ep == nil {
		return nil, resultcode.RefusedNoEndpoint
	}
	if former := s.formerDefault(t, p, now); former != nil {
		ep = former
	} else if s.maySelectByPolicy(t, p, now) {
		ep = s.selectByPolicy(t, p, ep, now)
	}
	if s.atLimit(t, service, ep) {
		return nil, resultcode.RefusedEndpointLimit
	}
	if !service.shared.admit(service.service.Policy.NewFlowsPerSecond, now) {
		return nil, resultcode.RefusedRateLimit
	}
	return ep, resultcode.OK
}

// maySelectByPolicy reports whether a new flow may get an endpoint other than the
// default. Only the owner of its slot may assign one, in a settled view and after
// the handover of the slot. Otherwise another instance could choose a different
// endpoint for the same flow.
func (s *Shard) maySelectByPolicy(t *Tables, p *Packet, now time.Duration) bool {
	if !t.snapshot.Settled || t.snapshot.Isolated || p.Orphaned {
		return false
	}
	owner, found := t.owners.Owner(p.Hash.Slot())
	if !found || owner != t.self {
		return false
	}
	state := s.slotOf(p.Hash)
	return state.formerOwner == 0 || now-state.gained >= handoverPeriod
}

// selectByPolicy returns an endpoint according to the selection policy of the
// service, or the default endpoint when no candidate admits the flow.
func (s *Shard) selectByPolicy(t *Tables, p *Packet, defaultEndpoint *endpoint, now time.Duration) *endpoint {
	policy := &p.Service.service.Policy
	hashOnly := policy.Selection == common.SelectionHash
	if hashOnly && s.admits(t, p, defaultEndpoint, now) {
		return defaultEndpoint
	}
	var ids [maxCandidates]common.EndpointID
	var candidates [maxCandidates]*endpoint
	var loads [maxCandidates]float64
	n := 0
	for _, id := range p.Service.table.Candidates(p.Hash, candidateCount(policy.Selection), ids[:0]) {
		candidate := p.Service.endpoints[id]
		if !s.admits(t, p, candidate, now) {
			continue
		}
		candidates[n] = candidate
		loads[n] = s.estimateLoad(t, candidate, now)
		n++
	}
	if n == 0 {
		return defaultEndpoint
	}
	switch policy.Selection {
	case common.SelectionTwoChoices:
		return candidates[loadpolicy.TwoChoices(loads[:n])]
	case common.SelectionBounded:
		mean := s.meanLoad(t, p.Service, now)
		return candidates[loadpolicy.Bounded(loads[:n], mean, policy.BoundPercent)]
	default:
		return candidates[0]
	}
}

// candidateCount returns the number of candidates to rank. SelectionTwoChoices
// compares two, but candidates that do not admit the flow are skipped.
func candidateCount(selection common.Selection) int {
	if selection == common.SelectionTwoChoices {
		return 4
	}
	return maxCandidates
}

// admits reports whether the endpoint may get the new flow: it is below its flow
// limit, and its slow-start share includes the flow's hash.
func (s *Shard) admits(t *Tables, p *Packet, candidate *endpoint, now time.Duration) bool {
	policy := &p.Service.service.Policy
	coldFor := candidate.ColdFor + now - s.installedAt
	share := loadpolicy.SlowStartShare(candidate.State, coldFor, policy.SlowStart)
	return loadpolicy.Admits(share, p.Hash) && !s.atLimit(t, p.Service, candidate)
}

// atLimit reports whether the endpoint has reached its flow limit, assuming that
// every owner has as many flows to it as this instance.
func (s *Shard) atLimit(t *Tables, service *ServiceTables, candidate *endpoint) bool {
	limit := service.service.Policy.MaxFlowsPerEndpoint
	if limit == 0 {
		return false
	}
	open := max(candidate.counters.open.Load(), 0)
	return open*int64(t.ownerCount()) >= int64(limit)
}

// estimateLoad returns the estimated load of the endpoint, in flows.
func (s *Shard) estimateLoad(t *Tables, candidate *endpoint, now time.Duration) float64 {
	retransmissions := candidate.counters.retransmissions.Load() - candidate.retransmissionsAtBuild
	return loadpolicy.Estimate(loadpolicy.Observation{
		Flows:                     uint32(max(candidate.counters.open.Load(), 0)),
		Members:                   t.ownerCount(),
		Reported:                  candidate.Load,
		Age:                       candidate.LoadAge + now - s.installedAt,
		RetransmittedFirstPackets: uint32(retransmissions),
	})
}

// meanLoad returns the mean estimated load of the eligible endpoints, including
// the new flow.
func (s *Shard) meanLoad(t *Tables, service *ServiceTables, now time.Duration) float64 {
	sum, count := 0.0, 0
	for _, candidate := range service.ordered {
		if candidate.eligible {
			sum += s.estimateLoad(t, candidate, now)
			count++
		}
	}
	return (sum + 1) / float64(max(count, 1))
}

// admit applies the rate limit of the service to a new flow by the generic cell
// rate algorithm. It allows a burst of one second's worth of flows. A rate of 0
// means no limit.
func (s *sharedService) admit(perSecond uint32, now time.Duration) bool {
	if perSecond == 0 {
		return true
	}
	interval := int64(time.Second) / int64(perSecond)
	for {
		last := s.theoreticalArrival.Load()
		next := max(last, int64(now)) + interval
		if next > int64(now)+int64(time.Second) {
			return false
		}
		if s.theoreticalArrival.CompareAndSwap(last, next) {
			return true
		}
	}
}

// formerDefault returns the default endpoint in the slot base, or nil if there is
// none or it must not be used. An unreported flow that is older than this instance's
// ownership of its slot is on that endpoint. The packet may belong to such a flow: a
// TCP first packet may be a late duplicate, and UDP does not mark the first packet.
// No such duplicate arrives later than maxSegmentLifetime after the gain of the slot.
// Ineligible endpoints are skipped: their flows were reported as exceptions, and they
// take no new flows.
func (s *Shard) formerDefault(t *Tables, p *Packet, now time.Duration) *endpoint {
	base, found := s.slotBases[slotBaseKey{p.Hash.Slot(), p.Service.service.ID}]
	if !found {
		return nil
	}
	if p.Tuple.Protocol == common.ProtocolTCP && now-base.since >= maxSegmentLifetime {
		return nil
	}
	former := p.Service.endpoints[base.table.Default(p.Hash.Bucket())]
	if former == nil || !former.eligible || s.atLimit(t, p.Service, former) {
		return nil
	}
	return former
}
