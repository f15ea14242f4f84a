package steering

import (
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// repeats reports whether a packet is a repetition: it has data but no new bytes, and the
// caller has acknowledged nothing since the request was sent. The request must be old
// enough, because bytes may arrive twice or in another order soon after they were sent.
func (f *flow) repeats(p *Packet, now time.Duration) bool {
	return p.Length > 0 && f.inFlight && f.requests > 0 && p.Acknowledgement == f.lastAck &&
		int32(p.Sequence+uint32(p.Length)-f.sentEnd) <= 0 && now-f.dataAt >= silence.MinRepeatDelay
}

// carriesSeveral reports whether the flow of a packet to an endpoint carries several
// requests, or may do so. Only such flows are closed when the endpoint falls silent: the
// caller of a flow with one request learns nothing sooner from the reset that it could still
// use. f is the record of the flow, nil if there is none.
func (v *View) carriesSeveral(f *flow, m *selection.Member, p *Packet) bool {
	if f != nil && f.member == m {
		return f.carriesSeveral()
	}
	r := v.routes[destination(&p.Tuple)]
	return r != nil && !r.kinds.Short()
}

func (f *flow) carriesSeveral() bool { return f.requests > 1 || !f.kinds.Short() }

// needsAnswer reports whether the caller waits for an answer to a packet.
func needsAnswer(p *Packet) bool { return !p.Reset && (p.Length > 0 || p.Fin) }

// handleSilent closes the flow of a packet whose endpoint has fallen silent. f is the record of
// the flow, nil if there is none.
func handleSilent(f *flow, m *selection.Member, p *Packet, now time.Duration) Action {
	action := refuse(resultcode.RouteEndpointSilent)
	action.Event, action.Member, action.Label = Closed, m, p.Label
	if f != nil && f.member == m {
		f.close(now)
		action.OpenFor = now - f.openedAt
	}
	return action
}

// close marks a flow whose caller is sent a reset. Its record is kept for a while, so that
// copies of its packets are handled alike. It does not count for the kind of the rule's
// flows, because its caller did not end it.
func (f *flow) close(now time.Duration) {
	f.closed, f.finished = true, true
	if f.inFlight {
		f.inFlight = false
		f.member.RequestFailed(now, f.kind)
	}
}

// handleClosed handles a packet of a flow that was closed because its endpoint had fallen
// silent or stalled. handled is false if the packet belongs to a later flow with the same five-tuple,
// which was opened through another instance; then the record is removed.
func (s *shard) handleClosed(v *View, f *flow, p *Packet) (action Action, handled bool) {
	if v.resolve(p.Label) != f.member || f.otherSequence(p) || outsideWindow(p.Sequence, f.sentEnd) {
		delete(s.flows, f.tuple)
		f.uncountLong()
		return Action{}, false
	}
	if needsAnswer(p) {
		return refuse(f.closedCode()), true
	}
	return drop(f.closedCode()), true
}

// otherSequence reports whether the acknowledgement number of a packet belongs to the
// sequence numbers of another endpoint.
func (f *flow) otherSequence(p *Packet) bool { return otherSequence(p, f.lastAck) }

func otherSequence(p *Packet, lastAck uint32) bool {
	return outsideWindow(p.Acknowledgement, lastAck)
}

// outsideWindow reports whether two numbers are too far from each other to belong to the
// bytes of one flow.
func outsideWindow(a, b uint32) bool { return a-b > ackWindowBytes && b-a > ackWindowBytes }

// ClosedFlow is a flow that was closed because its endpoint has fallen silent or stalled.
type ClosedFlow struct {
	// Packet identifies the flow for the reset.
	Packet Packet
	// Sequence is that of the flow's first packet, 0 if the flow has no record.
	Sequence uint32
	Member   *selection.Member
	OpenFor  time.Duration
}

// closedFlow describes a flow that was closed without a packet of its caller.
func (f *flow) closedFlow(now time.Duration) ClosedFlow {
	return ClosedFlow{
		Packet:   Packet{Tuple: f.tuple, Label: f.label, Sequence: f.sentEnd, Acknowledgement: f.lastAck},
		Sequence: f.sequence, Member: f.member, OpenFor: now - f.openedAt,
	}
}

// CloseSilent closes the open flows of silent endpoints that carry several requests, and
// returns them. An idle flow is closed as well, before its caller sends a request on it: that
// request would be lost, and the caller might not be allowed to repeat it.
func (t *Table) CloseSilent(members []*selection.Member, now time.Duration) []ClosedFlow {
	var closed []ClosedFlow
	for i := range t.shards {
		closed = t.shards[i].closeSilent(members, now, closed)
	}
	return closed
}

func (s *shard) closeSilent(members []*selection.Member, now time.Duration, into []ClosedFlow) []ClosedFlow {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		open := f.established && !f.finished && slices.Contains(members, f.member)
		// The endpoint may have answered since the verdict.
		if !open || !f.carriesSeveral() || !f.member.Silent() {
			continue
		}
		f.close(now)
		into = append(into, f.closedFlow(now))
	}
	return s.closeUnrecorded(members, now, into)
}

// MarkSilent marks the endpoints that have fallen silent and returns the verdicts. It must
// be called regularly and whenever there is new evidence.
func (v *View) MarkSilent(fresh Freshness, now time.Duration) []selection.SilenceVerdict {
	var verdicts []selection.SilenceVerdict
	for _, p := range v.pools {
		verdicts = append(verdicts, p.MarkSilent(now, fresh.endpointsComplete(minSettledForReset))...)
	}
	return verdicts
}

// DiscardSilence discards what is known of silent endpoints, because the process has not run
// for a while.
func (v *View) DiscardSilence(now time.Duration) {
	for _, p := range v.pools {
		p.DiscardSilence(now)
	}
}
