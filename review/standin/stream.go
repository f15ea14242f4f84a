package main

import "time"

const (
	window          = 16
	firstRetransmit = 200 * time.Millisecond
	mostRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
	// timerTick is the resolution of the timers of flows.
	timerTick = 10 * time.Millisecond
)

type segment struct {
	seq      uint32
	data     []byte
	fin      bool
	sentAt   time.Time
	wait     time.Duration
	attempts int
}

func (s *segment) end() uint32 {
	n := s.seq + uint32(len(s.data))
	if s.fin {
		n++
	}
	return n
}

// stream is one end's side of an open flow.
type stream struct {
	local, remote end
	// echo is the last echo received on the flow.
	echo     uint32
	send     func(p *packet)
	next     uint32
	expected uint32
	unsent   []byte
	closing  bool
	finSent  bool
	inFlight []segment
	received []byte
	finSeen  bool
	unacked  int
	failed   bool
}

func (s *stream) packet(flags byte) *packet {
	return &packet{flags: flags, src: s.local, dst: s.remote, echo: s.echo, seq: s.next, ack: s.expected}
}

func (s *stream) write(data []byte) {
	s.unsent = append(s.unsent, data...)
	s.push()
}

func (s *stream) close() {
	s.closing = true
	s.push()
}

func (s *stream) push() {
	for len(s.inFlight) < window && (len(s.unsent) > 0 || s.closing && !s.finSent) {
		n := min(len(s.unsent), maxData)
		seg := segment{seq: s.next, data: s.unsent[:n], sentAt: time.Now(), wait: firstRetransmit}
		s.unsent = s.unsent[n:]
		if len(s.unsent) == 0 && s.closing {
			seg.fin, s.finSent = true, true
		}
		s.next = seg.end()
		s.inFlight = append(s.inFlight, seg)
		s.transmit(&seg)
	}
}

func (s *stream) transmit(seg *segment) {
	p := s.packet(flagAck)
	p.seq, p.data = seg.seq, seg.data
	if seg.fin {
		p.flags |= flagFin
	}
	s.unacked = 0
	s.send(p)
}

func (s *stream) acknowledge() {
	s.unacked = 0
	s.send(s.packet(flagAck))
}

// tick retransmits what is due.
func (s *stream) tick(now time.Time) {
	for i := range s.inFlight {
		seg := &s.inFlight[i]
		if now.Sub(seg.sentAt) < seg.wait {
			continue
		}
		seg.attempts++
		if seg.attempts > maxRetransmits {
			s.failed = true
			return
		}
		seg.sentAt, seg.wait = now, min(2*seg.wait, mostRetransmit)
		s.transmit(seg)
	}
	if s.unacked > 0 {
		s.acknowledge()
	}
}

// receive takes a packet of the other end.
func (s *stream) receive(p *packet) {
	s.echo = p.echo
	for len(s.inFlight) > 0 && int32(p.ack-s.inFlight[0].end()) >= 0 {
		s.inFlight = s.inFlight[1:]
	}
	s.push()
	if len(p.data) == 0 && !p.has(flagFin) {
		return
	}
	if p.seq != s.expected {
		s.acknowledge()
		return
	}
	s.expected += uint32(len(p.data))
	s.received = append(s.received, p.data...)
	if p.has(flagFin) {
		s.expected++
		s.finSeen = true
	}
	s.unacked++
	if s.unacked >= 2 || p.has(flagFin) || len(p.data) < maxData {
		s.acknowledge()
	}
}

func (s *stream) done() bool {
	return s.failed || s.finSeen && s.finSent && len(s.inFlight) == 0
}
