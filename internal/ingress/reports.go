package ingress

import (
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

// OnVerdict sets the function that is called with each endpoint that this instance has found
// silent. It must be called before Start; call must not block.
func (s *Server) OnVerdict(call func(silence.EndpointID)) { s.observer.onVerdict = call }

// SilenceReported handles the report of another instance that it has found endpoints silent.
// Those with flows of this instance are checked; their number is returned. It is safe for
// concurrent use.
func (s *Server) SilenceReported(endpoints map[silence.EndpointID]bool) (checked int) {
	now := s.views.Now()
	view, _ := s.views.Current(now)
	members := s.flows.Reported(view, endpoints, now)
	for _, m := range members {
		s.observer.onSuspect(m)
	}
	return len(members)
}

// reportVerdict passes the verdict that an endpoint has fallen silent to onVerdict.
func (o *Observer) reportVerdict(m *selection.Member) {
	if o.onVerdict != nil {
		o.onVerdict(m.ReportID())
	}
}
