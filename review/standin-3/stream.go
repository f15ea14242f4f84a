package main

import (
	"net/netip"
	"time"
)

const (
	window = 16
	// A missing packet is sent again after firstRetransmit; the interval doubles up to
	// lastRetransmit. An end gives up after maxRetransmits.
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
)

type segment struct {
	seq     uint32
	data    []byte
	fin     bool
	sentAt  time.Time
	wait    time.Duration
	repeats int
}

func (s *segment) end() uint32 {
	end := s.seq + uint32(len(s.data))
	if s.fin {
		end++
	}
	return end
}

// stream is one end of an open flow.
type stream struct {
	local, remote netip.AddrPort
	// echo is the last one received on the flow.
	echo     uint32
	next     uint32
	expected uint32
	unsent   []byte
	closing  bool
	finSent  bool
	inFlight []*segment
	received []byte
	finIn    bool
	failed   bool
	send     func(*packet)
}

func (s *stream) packet(flags byte) *packet {
	return &packet{flags: flags, from: s.local, to: s.remote, echo: s.echo, seq: s.next, ack: s.expected}
}

func (s *stream) write(data []byte) {
	s.unsent = append(s.unsent, data...)
	s.pump()
}

func (s *stream) close() {
	s.closing = true
	s.pump()
}

func (s *stream) pump() {
	for len(s.inFlight) < window && (len(s.unsent) > 0 || s.closing && !s.finSent) {
		n := min(len(s.unsent), maxData)
		seg := &segment{seq: s.next, data: s.unsent[:n:n], sentAt: time.Now(), wait: firstRetransmit}
		s.unsent = s.unsent[n:]
		if len(s.unsent) == 0 && s.closing {
			seg.fin, s.finSent = true, true
		}
		s.next = seg.end()
		s.inFlight = append(s.inFlight, seg)
		s.transmit(seg)
	}
}

func (s *stream) transmit(seg *segment) {
	p := s.packet(flagAck)
	p.seq, p.data = seg.seq, seg.data
	if seg.fin {
		p.flags |= flagFin
	}
	s.send(p)
}

// tick sends missing packets again.
func (s *stream) tick(now time.Time) {
	for _, seg := range s.inFlight {
		if now.Sub(seg.sentAt) < seg.wait {
			continue
		}
		if seg.repeats++; seg.repeats > maxRetransmits {
			s.failed = true
			return
		}
		seg.sentAt, seg.wait = now, min(2*seg.wait, lastRetransmit)
		s.transmit(seg)
	}
}

func (s *stream) receive(p *packet) {
	s.echo = p.echo
	for len(s.inFlight) > 0 && int32(p.ack-s.inFlight[0].end()) >= 0 {
		s.inFlight = s.inFlight[1:]
	}
	s.pump()
	if len(p.data) == 0 && !p.has(flagFin) {
		return
	}
	if p.seq == s.expected {
		s.expected += uint32(len(p.data))
		s.received = append(s.received, p.data...)
		if p.has(flagFin) {
			s.expected++
			s.finIn = true
		}
	}
	s.send(s.packet(flagAck))
}

func (s *stream) finished() bool { return s.failed || s.finIn && s.finSent && len(s.inFlight) == 0 }
