package steering

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// handleEstablished handles a packet in the middle of a flow. hedges is set if first packets
// are hedged.
func (s *shard) handleEstablished(v *View, p *Packet, fresh Freshness, hedges bool, now time.Duration) Action {
	f := s.flows[p.Tuple]
	if f != nil && f.closed {
		if action, handled := s.handleClosed(v, f, p); handled {
			return action
		}
		f = nil
	}
	effective := p.Label
	if f == nil {
		effective = s.movedLabel(v, p, hedges, now)
	}
	m := v.resolve(effective)
	var response time.Duration
	hedgeResult := NoHedge
	if f != nil {
		if f.opening != nil {
			hedgeResult = f.endOpening(m)
		}
		m, response = f.handlePacket(p, m, now)
	}
	if m == nil {
		return s.handleUnknownLabel(p, fresh, now)
	}
	if m.Silent() && needsAnswer(p) && v.carriesSeveral(f, m, p) {
		return handleSilent(f, m, p, now)
	}
	action := Action{Kind: Forward, Code: resultcode.PacketForwarded, Member: m, Label: effective, Response: response, Hedge: hedgeResult}
	if f == nil {
		action.Questioned = s.trackUnrecorded(p, m, now)
	}
	if f != nil && m == f.member {
		action.Label = f.currentLabel(v)
		action.Questioned = f.repeats(p, now) && m.PacketRepeated(now, f.dataAt)
	}
	if f != nil && (p.Fin || p.Reset) && f.finish(now) {
		action.Event, action.OpenFor = NoResponse, now-f.openedAt
	}
	return action
}

// currentLabel returns the label with which other instances forward the flow to its
// endpoint. The caller may have returned another one, from an endpoint that answered the
// first packet late; the flow's endpoint corrects it with its next packet.
func (f *flow) currentLabel(v *View) label.Label {
	if own := v.ownLabels[f.member]; own != 0 && v.resolve(f.label) != f.member {
		return own
	}
	return f.label
}

// handleUnknownLabel handles a packet whose label matches no known endpoint. It is
// refused only if the list of endpoints is complete and was confirmed after the first
// packet with the label, so that the endpoint cannot be a new one. A packet without a label
// does not identify its endpoint, which may still be serving the flow, so the packet is
// dropped.
func (s *shard) handleUnknownLabel(p *Packet, fresh Freshness, now time.Duration) Action {
	if p.Reset || p.Label == 0 || !s.unknownBefore(p.Label, now-fresh.Age, now) || !fresh.endpointsComplete(minSettledForReset) {
		return drop(resultcode.RouteUnknownFlow)
	}
	return refuse(resultcode.RouteEndpointGone)
}

// unknownBefore reports whether a label was already unknown at a time, and records that it
// is unknown now.
func (s *shard) unknownBefore(l label.Label, at, now time.Duration) bool {
	since, recorded := s.unknownSince[l]
	if recorded {
		return since < at
	}
	if len(s.unknownSince) < maxUnknownLabels {
		s.unknownSince[l] = now
	}
	return false
}
