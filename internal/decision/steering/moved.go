package steering

import (
	"maps"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
)

// movedFlow is what an instance keeps of an open flow that another instance has opened. If
// that instance hedges because it does not see the acknowledgement, the caller returns the
// label of the second endpoint, although the flow is open on the one of the earlier packets.
type movedFlow struct {
	// label is that of the first packet of the flow that reached this instance.
	label label.Label
	// lastAck is the caller's last acknowledgement number.
	lastAck      uint32
	lastPacketAt time.Duration
}

// movedLabel returns the label by which a packet of a flow without a record is forwarded,
// and keeps it for later packets of the flow if keep is set. Only flows of repeatable rules
// are kept, because others are not hedged.
func (s *shard) movedLabel(v *View, p *Packet, keep bool, now time.Duration) label.Label {
	moved, known := s.moved[p.Tuple]
	if !known && !keep {
		return p.Label
	}
	if !known || otherSequence(p, moved.lastAck) || v.resolve(moved.label) == nil {
		if !s.mayKeep(v, p, known) {
			return p.Label
		}
		moved.label = p.Label
	}
	moved.lastAck, moved.lastPacketAt = p.Acknowledgement, now
	s.moved[p.Tuple] = moved
	return moved.label
}

// mayKeep reports whether the label of a packet may be kept. replaces is set if another one
// of the same five-tuple is kept already.
func (s *shard) mayKeep(v *View, p *Packet, replaces bool) bool {
	if p.Reset || !replaces && len(s.moved) >= s.capacity || v.resolve(p.Label) == nil {
		return false
	}
	r := v.routes[destination(&p.Tuple)]
	return r != nil && r.rule.Repeatable
}

// expireMoved removes the moved flows that have been idle for a time.
func (s *shard) expireMoved(idleTimeout, now time.Duration) {
	maps.DeleteFunc(s.moved, func(_ common.FiveTuple, m movedFlow) bool { return now-m.lastPacketAt >= idleTimeout })
}
