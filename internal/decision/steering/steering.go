// Package steering decides where each packet of a labelled flow is forwarded. Every
// packet of a flow carries a label that identifies the flow's endpoint. Any instance,
// including one that has just started, can therefore forward the flow to its endpoint
// without shared state. The package uses no clock, socket or goroutine.
package steering

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Packet holds the header fields of a packet that the decision depends on.
type Packet struct {
	Tuple common.FiveTuple
	Hash  common.FlowHash
	// First is set for a packet that opens a flow.
	First bool
	// Retransmits is how often the caller has already sent this first packet.
	Retransmits     uint8
	Fin, Reset      bool
	Label           label.Label
	Sequence        uint32
	Acknowledgement uint32
	// Length is the number of data bytes after the header.
	Length int
}

// Kind is the operation to apply to a packet.
type Kind uint8

// The kinds of actions. Refuse drops the packet and answers the caller with a reset.
const (
	Drop Kind = iota
	Forward
	Refuse
)

// Event classifies a decision for logs and metrics.
type Event uint8

// The events. Opened: an endpoint was chosen for a new flow. Retransmitted: a first
// packet was retransmitted. Refused: the caller was sent a reset. Dropped: the packet was
// discarded. NoResponse: the caller ended the flow while a request had no response. Closed:
// the caller was sent a reset because the endpoint of its flow has fallen silent.
// Continued: any other packet.
const (
	Continued Event = iota
	Opened
	Retransmitted
	Refused
	Dropped
	NoResponse
	Closed
)

// String returns the name used in logs.
func (e Event) String() string {
	switch e {
	case Opened:
		return "flow_opened"
	case Retransmitted:
		return "first_packet_repeated"
	case Refused:
		return "flow_refused"
	case Dropped:
		return "packet_dropped"
	case NoResponse:
		return "flow_without_response"
	case Closed:
		return "flow_closed"
	default:
		return "flow_continued"
	}
}

// Action is the decision for one packet. It is returned by value for each packet and fits in
// 64 bytes: with 72 bytes a packet of an established flow took 27% longer.
type Action struct {
	Kind  Kind
	Event Event
	// Questioned is set if Member may have fallen silent, because the caller has repeated
	// this packet. The endpoint's health must be checked.
	Questioned bool
	Code       resultcode.Code
	// Member is the endpoint to forward to and Label the flow's label. Both are set
	// only for Forward and for the event Closed.
	Member *selection.Member
	Label  label.Label
	// Retransmits counts the retransmissions of the flow's first packet.
	Retransmits uint8
	// Hedge is HedgeWon or HedgeLost if this packet decides a hedge, else NoHedge.
	Hedge HedgeResult
	// Overflowed is set with Opened if the flow went to another target than the drawn one,
	// which could not serve it.
	Overflowed bool
	// Suspected lists the endpoints that became suspect with this packet.
	Suspected []*selection.Member
	// Response is the time from a request to the start of its response if this packet
	// acknowledges that start, else 0.
	Response time.Duration
	// OpenFor is how long the flow was open. It is set with NoResponse.
	OpenFor time.Duration
}

// Freshness describes how current the state is that a decision is based on.
type Freshness struct {
	// HasConfiguration is false until the instance has received a configuration.
	HasConfiguration bool
	// Age is the time since the state was last confirmed by the store or by a peer
	// that read the store.
	Age time.Duration
	// SettledFor is the time since the instance started or the store last recovered
	// from an outage. Endpoints may be missing from the store's list for a while
	// after either.
	SettledFor time.Duration
}

// endpointsComplete reports whether the list of endpoints is recent and has been settled
// for at least minSettled, so that an endpoint missing from it no longer exists.
func (f *Freshness) endpointsComplete(minSettled time.Duration) bool {
	return f.HasConfiguration && f.Age <= maxAgeForRefusal && f.SettledFor >= minSettled
}

const (
	// maxAgeForRefusal is the maximum age of the configuration at which a packet to
	// an unknown address is refused. With an older configuration the packet is
	// dropped, and the caller's retransmission may arrive after an update.
	maxAgeForRefusal = 1500 * time.Millisecond
	// minSettledForRefusal is how long the list of endpoints must be settled before a
	// flow is refused because there is no endpoint. Endpoints whose entries expired
	// in an outage of the store register again within about two seconds.
	minSettledForRefusal = 2300 * time.Millisecond
	// minSettledForReset is how long the list must be settled before a flow whose
	// endpoint is unknown is reset. It is longer than minSettledForRefusal because a
	// reset can end a flow that is still being served.
	minSettledForReset = 5 * time.Second
)

// Handle returns the action for a packet and updates the flow's record. now is the time
// since an arbitrary fixed point. It is safe for concurrent use.
func (t *Table) Handle(v *View, p *Packet, fresh Freshness, now time.Duration) Action {
	s := t.shard(p.Hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.First {
		return s.handleFirst(v, p, fresh, now)
	}
	action := s.handleEstablished(v, p, fresh, t.hedging.enabled.Load(), now)
	t.stalls.responded(s, p, &action, now)
	return action
}

func refuse(code resultcode.Code) Action {
	return Action{Kind: Refuse, Code: code, Event: Refused}
}

func drop(code resultcode.Code) Action {
	return Action{Kind: Drop, Code: code, Event: Dropped}
}
