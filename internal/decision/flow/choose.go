package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/loadpolicy"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// maxCandidates bounds the endpoints that are compared for one new flow.
const maxCandidates = 8

// choose selects the endpoint of a new flow, or returns why there is none.
func (s *Shard) choose(t *Tables, p *Packet, now time.Duration) (*endpoint, resultcode.Code) {
	service := p.Service
	target := service.endpoints[service.table.Default(p.Hash.Bucket())]
	if target == nil {
		return nil, resultcode.RefusedNoEndpoint
	}
	if former := s.formerDefault(t, p, now); former != nil {
		target = former
	} else if s.mayDeviate(t, p, now) {
		target = s.deviate(t, p, target, now)
	}
	if s.atLimit(t, service, target) {
		return nil, resultcode.RefusedEndpointLimit
	}
	if !service.shared.admit(service.service.Policy.NewFlowsPerSecond, now) {
		return nil, resultcode.RefusedRateLimit
	}
	return target, resultcode.OK
}

// mayDeviate reports whether a new flow may get another endpoint than the
// default: only its undisputed owner in a settled view may do so.
func (s *Shard) mayDeviate(t *Tables, p *Packet, now time.Duration) bool {
	if !t.snapshot.Settled || t.snapshot.Isolated || p.Orphaned {
		return false
	}
	owner, found := t.owners.Owner(p.Hash.Slot())
	if !found || owner != t.self {
		return false
	}
	state := s.slot(p.Hash)
	return state.former == 0 || now-state.gained >= handover
}

func (s *Shard) deviate(t *Tables, p *Packet, usual *endpoint, now time.Duration) *endpoint {
	policy := &p.Service.service.Policy
	simple := policy.Selection == common.SelectionHash
	if simple && s.admits(t, p, usual, now) {
		return usual
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
		loads[n] = s.estimate(t, candidate, now)
		n++
	}
	if n == 0 {
		return usual
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

// candidateCount leaves room for endpoints that are left out.
func candidateCount(selection common.Selection) int {
	if selection == common.SelectionTwoChoices {
		return 4
	}
	return maxCandidates
}

// admits reports whether the endpoint takes the flow: it is not at its limit
// and past the part of slow start that leaves this flow out.
func (s *Shard) admits(t *Tables, p *Packet, candidate *endpoint, now time.Duration) bool {
	policy := &p.Service.service.Policy
	coldFor := candidate.ColdFor + now - s.installed
	share := loadpolicy.SlowStartShare(candidate.State, coldFor, policy.SlowStart)
	return loadpolicy.Admits(share, p.Hash) && !s.atLimit(t, p.Service, candidate)
}

func (s *Shard) atLimit(t *Tables, service *ServiceTables, candidate *endpoint) bool {
	limit := service.service.Policy.MaxFlowsPerEndpoint
	if limit == 0 {
		return false
	}
	open := max(candidate.counters.open.Load(), 0)
	return open*int64(t.sharers()) >= int64(limit)
}

func (s *Shard) estimate(t *Tables, candidate *endpoint, now time.Duration) float64 {
	repeats := candidate.counters.repeats.Load() - candidate.repeatsBefore
	return loadpolicy.Estimate(loadpolicy.Observation{
		Flows:                uint32(max(candidate.counters.open.Load(), 0)),
		Members:              t.sharers(),
		Reported:             candidate.Load,
		Age:                  candidate.LoadAge + now - s.installed,
		RepeatedFirstPackets: uint32(repeats),
	})
}

func (s *Shard) meanLoad(t *Tables, service *ServiceTables, now time.Duration) float64 {
	sum, count := 0.0, 0
	for _, candidate := range service.order {
		if candidate.eligible {
			sum += s.estimate(t, candidate, now)
			count++
		}
	}
	return (sum + 1) / float64(max(count, 1))
}

// admit counts a new flow against the rate limit of the service. It admits a
// burst of up to one second's flows.
func (s *sharedService) admit(perSecond uint32, now time.Duration) bool {
	if perSecond == 0 {
		return true
	}
	interval := int64(time.Second) / int64(perSecond)
	for {
		last := s.nextArrival.Load()
		next := max(last, int64(now)) + interval
		if next > int64(now)+int64(time.Second) {
			return false
		}
		if s.nextArrival.CompareAndSwap(last, next) {
			return true
		}
	}
}

// formerDefault returns the endpoint that a flow has if it is older than this
// instance's ownership of its slot, or nil. A first packet may be a late
// duplicate, and a UDP flow shows no beginning. A leaving endpoint is not
// chosen: its flows were reported, and it gets no new ones.
func (s *Shard) formerDefault(t *Tables, p *Packet, now time.Duration) *endpoint {
	base, found := s.slotBases[slotService{p.Hash.Slot(), p.Service.service.ID}]
	if !found {
		return nil
	}
	if p.Tuple.Protocol == common.ProtocolTCP && now-base.since >= lateDuplicateLife {
		return nil
	}
	former := p.Service.endpoints[base.table.Default(p.Hash.Bucket())]
	if former == nil || !former.eligible || s.atLimit(t, p.Service, former) {
		return nil
	}
	return former
}
