package ingress

import (
	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
)

// Explain returns what would happen now to the first packet of a new flow, and the state that
// this is based on. It changes nothing.
func (s *Server) Explain(tuple common.FiveTuple) (steering.Explanation, *steering.View, steering.Freshness) {
	now := s.views.Now()
	view, fresh := s.views.Current(now)
	p := steering.Packet{Tuple: tuple, Hash: tuple.Hash(), First: true}
	return s.flows.Explain(view, &p, fresh, now), view, fresh
}
