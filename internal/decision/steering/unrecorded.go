package steering

import (
	"maps"
	"slices"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

const (
	// maxUnrecorded is the maximum number of flows without a record that a shard tracks.
	maxUnrecorded = 1024
	// unrecordedLifetime is how long such a flow is tracked after its last packet. It is
	// longer than the time between two repetitions of a packet.
	unrecordedLifetime = 5 * time.Second
)

// unrecordedFlow is a flow that another instance opened, or this one before it was
// restarted. It is tracked only to notice packets that its caller repeats.
type unrecordedFlow struct {
	member *selection.Member
	label  label.Label
	// sentEnd is the sequence number after the caller's last byte, sent at sentAt. lastAck
	// is the caller's last acknowledgement number.
	sentEnd, lastAck uint32
	sentAt, seenAt   time.Duration
	// waiting is set while no acknowledgement has advanced since sentAt.
	waiting bool
}

// TrackUnrecorded makes the table track flows without a record. It must be called before
// the table is used.
func (t *Table) TrackUnrecorded() {
	for i := range t.shards {
		t.shards[i].unrecorded = make(map[common.FiveTuple]*unrecordedFlow)
	}
}

// trackUnrecorded records a packet of a flow without a record that is forwarded to an
// endpoint. It reports whether the packet is a repetition that questions the endpoint.
func (s *shard) trackUnrecorded(p *Packet, m *selection.Member, now time.Duration) bool {
	if s.unrecorded == nil {
		return false
	}
	u := s.unrecorded[p.Tuple]
	if u == nil || u.member != m {
		s.addUnrecorded(p, m, now)
		return false
	}
	u.seenAt = now
	if int32(p.Acknowledgement-u.lastAck) > 0 {
		u.lastAck = p.Acknowledgement
		if u.waiting {
			u.waiting = false
			m.Answered(now, u.sentAt)
		}
	}
	if p.Length == 0 {
		return false
	}
	if end := p.Sequence + uint32(p.Length); int32(end-u.sentEnd) > 0 {
		u.sentEnd, u.sentAt, u.waiting = end, now, true
		return false
	}
	// A later flow with the five-tuple has other numbers.
	return u.waiting && p.Acknowledgement == u.lastAck && now-u.sentAt >= silence.MinRepeatDelay && m.PacketRepeated(now, u.sentAt)
}

func (s *shard) addUnrecorded(p *Packet, m *selection.Member, now time.Duration) {
	if p.Length == 0 || p.Fin || p.Reset || len(s.unrecorded) >= maxUnrecorded {
		return
	}
	s.unrecorded[p.Tuple] = &unrecordedFlow{
		member: m, label: p.Label, sentEnd: p.Sequence + uint32(p.Length), lastAck: p.Acknowledgement,
		sentAt: now, seenAt: now, waiting: true,
	}
}

// expireUnrecorded removes the flows without a record that have had no packet for
// unrecordedLifetime.
func (s *shard) expireUnrecorded(now time.Duration) {
	maps.DeleteFunc(s.unrecorded, func(_ common.FiveTuple, u *unrecordedFlow) bool { return now-u.seenAt >= unrecordedLifetime })
}

// closeUnrecorded closes the flows without a record that wait for an answer of a silent
// endpoint, and appends them to into.
func (s *shard) closeUnrecorded(members []*selection.Member, now time.Duration, into []ClosedFlow) []ClosedFlow {
	for tuple, u := range s.unrecorded {
		if !u.waiting || !slices.Contains(members, u.member) || !u.member.Silent() {
			continue
		}
		delete(s.unrecorded, tuple)
		into = append(into, ClosedFlow{
			Packet: Packet{Tuple: tuple, Label: u.label, Sequence: u.sentEnd, Acknowledgement: u.lastAck},
			Member: u.member, OpenFor: now - u.sentAt,
		})
	}
	return into
}
