package main

import "time"

const (
	window     = 16
	firstRetry = 200 * time.Millisecond
	mostRetry  = 1600 * time.Millisecond
	mostTries  = 8
)

type segment struct {
	seq    uint32
	data   []byte
	fin    bool
	sentAt time.Time
	wait   time.Duration
	tries  int
}

func (s *segment) end() uint32 {
	if s.fin {
		return s.seq + uint32(len(s.data)) + 1
	}
	return s.seq + uint32(len(s.data))
}

// stream is one end of an open flow.
type stream struct {
	local, remote end
	echo          uint32 // of the last packet received
	next, expect  uint32 // next sequence number to send, and to receive
	unsent        []byte
	finWanted     bool
	finSent       bool
	finReceived   bool
	inFlight      []*segment
	received      []byte
	gaveUp        bool
	send          func(*packet)
}

func (s *stream) packet(flags byte) *packet {
	return &packet{flags: flags, from: s.local, to: s.remote, echo: s.echo, seq: s.next, ack: s.expect}
}

func (s *stream) write(data []byte) {
	s.unsent = append(s.unsent, data...)
	s.push()
}

func (s *stream) close() {
	s.finWanted = true
	s.push()
}

func (s *stream) push() {
	for len(s.inFlight) < window && (len(s.unsent) > 0 || s.finWanted && !s.finSent) {
		size := min(len(s.unsent), maxData)
		g := &segment{seq: s.next, data: s.unsent[:size], wait: firstRetry}
		s.unsent = s.unsent[size:]
		if len(s.unsent) == 0 && s.finWanted {
			g.fin, s.finSent = true, true
		}
		s.next = g.end()
		s.inFlight = append(s.inFlight, g)
		s.transmit(g)
	}
}

func (s *stream) transmit(g *segment) {
	g.sentAt = time.Now()
	p := s.packet(flagAck)
	p.seq, p.data = g.seq, g.data
	if g.fin {
		p.flags |= flagFin
	}
	s.send(p)
}

// tick sends again what was not acknowledged.
func (s *stream) tick(now time.Time) {
	for _, g := range s.inFlight {
		if now.Sub(g.sentAt) < g.wait {
			continue
		}
		if g.tries++; g.tries > mostTries {
			s.gaveUp = true
			return
		}
		g.wait = min(2*g.wait, mostRetry)
		s.transmit(g)
	}
}

// receive takes a packet of the other end.
func (s *stream) receive(p *packet) {
	s.echo = p.echo
	for len(s.inFlight) > 0 && int32(p.ack-s.inFlight[0].end()) >= 0 {
		s.inFlight = s.inFlight[1:]
	}
	if len(p.data) > 0 || p.has(flagFin) {
		if p.seq == s.expect && !s.finReceived {
			s.received = append(s.received, p.data...)
			s.expect += uint32(len(p.data))
			if p.has(flagFin) {
				s.expect++
				s.finReceived = true
			}
		}
		s.send(s.packet(flagAck))
	}
	s.push()
}

func (s *stream) done() bool {
	return s.gaveUp || s.finReceived && s.finSent && len(s.inFlight) == 0
}
