package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// statusController reports this instance's view and the age of its inputs.
type statusController struct{ *core }

// staleAfter is the age at which an input is shown as stale: three times the
// longest interval between updates.
const staleAfter = 3 * listInterval

func (s *statusController) status(context.Context) (*adminpb.StatusResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	response := &adminpb.StatusResponse{
		Release:             s.tracker.InForce().Number,
		ReleaseHash:         s.tracker.InForce().Hash,
		Settled:             s.machine.Settled(now),
		DataCentre:          s.settings.DataCentre,
		InvariantViolations: s.stats.GetInvariantViolations(),
	}
	for _, member := range s.machine.Members() {
		response.Instances = append(response.Instances, s.instance(&member))
	}
	s.addUnanswered(response)
	s.addEndpoints(response, now)
	s.addInputs(response, now)
	return response, nil
}

func (s *statusController) instance(member *common.Member) *adminpb.InstanceStatus {
	status := &adminpb.InstanceStatus{
		Name:  member.Name,
		State: stateName(member.State),
		Self:  member.ID == s.self,
	}
	status.DataCentre = s.dataCentreOf(member.ID)
	if ack, found := s.ackOf(member.ID); found {
		status.Release = ack.InForce
	}
	if !status.Self {
		return status
	}
	status.Fenced = s.stats.GetFenced()
	status.OpenFlows = s.stats.GetOpenFlows()
	status.ExceptionsOwned = s.stats.GetExceptionsOwned()
	status.ExceptionsHeld = s.stats.GetExceptionsHeld()
	status.ControlBytesPerSecond = s.meter.BytesPerSecond()
	return status
}

func (s *statusController) dataCentreOf(id common.InstanceID) string {
	for _, info := range s.instances {
		if info.id == id {
			return info.dataCentre
		}
	}
	if id == s.self {
		return s.settings.DataCentre
	}
	return ""
}

// addUnanswered adds the listed instances of the group that have never responded.
func (s *statusController) addUnanswered(response *adminpb.StatusResponse) {
	for _, info := range s.instances {
		included := slices.ContainsFunc(response.Instances, func(i *adminpb.InstanceStatus) bool { return i.Name == info.name })
		if !included && info.group == s.settings.Group {
			response.Instances = append(response.Instances, &adminpb.InstanceStatus{
				Name: info.name, DataCentre: info.dataCentre, State: "unanswered",
			})
		}
	}
}

func (s *statusController) addEndpoints(response *adminpb.StatusResponse, now time.Duration) {
	for i := range s.services {
		service := &s.services[i]
		for j := range service.Endpoints {
			endpoint := &service.Endpoints[j]
			status := s.health.Status(endpoint.ID, now)
			response.Endpoints = append(response.Endpoints, &adminpb.EndpointStatus{
				Id:        uint32(endpoint.ID),
				Name:      endpoint.Name,
				Service:   service.Name,
				State:     endpointStateName(s.endpointState(endpoint.ID, status.State), status.Reported),
				Load:      status.Load,
				LoadAgeMs: uint32(status.LoadAge.Milliseconds()),
				OpenFlows: s.openFlows(service.ID, endpoint.ID),
			})
		}
	}
}

func endpointStateName(state common.EndpointState, reported bool) string {
	names := [...]string{"up", "cold", "draining", "down"}
	name := names[min(int(state), len(names)-1)]
	if !reported {
		name += " (no recent report)"
	}
	return name
}

func (s *statusController) openFlows(service common.ServiceID, endpoint common.EndpointID) uint32 {
	for _, flows := range s.stats.GetEndpoints() {
		if flows.GetService() == uint32(service) && flows.GetEndpoint() == uint32(endpoint) {
			return flows.GetOpenFlows()
		}
	}
	return 0
}

func (s *statusController) addInputs(response *adminpb.StatusResponse, now time.Duration) {
	for name, in := range s.inputs {
		status := &adminpb.InputStatus{Name: name, State: in.state}
		if in.received {
			status.AgeMs = uint64((now - in.updatedAt).Milliseconds())
		} else {
			status.AgeMs = uint64(now.Milliseconds())
		}
		if status.State == "ok" && now-in.updatedAt > staleAfter {
			status.State = "stale"
		}
		response.Inputs = append(response.Inputs, status)
	}
	slices.SortFunc(response.Inputs, func(a, b *adminpb.InputStatus) int { return strings.Compare(a.Name, b.Name) })
}
