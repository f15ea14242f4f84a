package testbed

import "time"

const (
	// window is the number of packets in flight.
	window = 16
	// firstRetransmit and maxRetransmit bound the time before a packet is sent
	// again; it doubles each time.
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	// maxRetransmits is how often an endpoint sends a packet again.
	maxRetransmits = 8
)

// segment is a part of a stream that is in flight.
type segment struct {
	seq    uint32
	data   []byte
	fin    bool
	sentAt time.Time
	wait   time.Duration
	tries  int
}

func (s *segment) end() uint32 {
	end := s.seq + uint32(len(s.data))
	if s.fin {
		end++
	}
	return end
}

// stream is one end of an open flow: it sends bytes in order, again while they are
// not acknowledged, and receives bytes in order.
type stream struct {
	local, remote end
	// echo is the last label received, which every packet returns.
	echo uint32
	send func(p *packet)

	next     uint32 // sequence of the next byte to send
	expected uint32 // sequence of the next byte to receive
	unsent   []byte
	finish   bool // send the end after the bytes
	finished bool // the end is sent
	flight   []segment

	received []byte
	ended    bool // the other end has sent its end
	unacked  int  // packets received and not acknowledged
	gaveUp   bool
}

func (s *stream) packet(flags byte) *packet {
	return &packet{flags: flags, from: s.local, to: s.remote, echo: s.echo, seq: s.next, ack: s.expected}
}

// write queues bytes and sends what the window allows.
func (s *stream) write(data []byte, now time.Time) {
	s.unsent = append(s.unsent, data...)
	s.pump(now)
}

// close sends the end after all bytes.
func (s *stream) close(now time.Time) {
	s.finish = true
	s.pump(now)
}

func (s *stream) pump(now time.Time) {
	for len(s.flight) < window && (len(s.unsent) > 0 || s.finish && !s.finished) {
		size := min(len(s.unsent), maxData)
		part := segment{seq: s.next, data: s.unsent[:size], sentAt: now, wait: firstRetransmit}
		s.unsent = s.unsent[size:]
		if len(s.unsent) == 0 && s.finish {
			part.fin, s.finished = true, true
		}
		s.next = part.end()
		s.flight = append(s.flight, part)
		s.transmit(&part)
	}
}

func (s *stream) transmit(part *segment) {
	p := s.packet(flagAck)
	p.seq, p.data = part.seq, part.data
	if part.fin {
		p.flags |= flagFin
	}
	s.unacked = 0
	s.send(p)
}

// tick sends again what was not acknowledged in time.
func (s *stream) tick(now time.Time) {
	for i := range s.flight {
		part := &s.flight[i]
		if now.Sub(part.sentAt) < part.wait {
			continue
		}
		part.tries++
		if part.tries > maxRetransmits {
			s.gaveUp = true
			return
		}
		part.sentAt, part.wait = now, min(2*part.wait, maxRetransmit)
		s.transmit(part)
	}
	if s.unacked > 0 {
		s.acknowledge()
	}
}

func (s *stream) acknowledge() {
	s.unacked = 0
	s.send(s.packet(flagAck))
}

// receive takes a packet of the other end.
func (s *stream) receive(p *packet, now time.Time) {
	s.echo = p.echo
	for len(s.flight) > 0 && int32(p.ack-s.flight[0].end()) >= 0 {
		s.flight = s.flight[1:]
	}
	s.pump(now)
	if len(p.data) == 0 && !p.has(flagFin) {
		return
	}
	if p.seq != s.expected {
		// A repeated packet, or one behind a lost one.
		s.acknowledge()
		return
	}
	s.expected += uint32(len(p.data))
	s.received = append(s.received, p.data...)
	if p.has(flagFin) {
		s.expected++
		s.ended = true
	}
	s.unacked++
	if s.unacked >= 2 || p.has(flagFin) || len(p.data) < maxData {
		s.acknowledge()
	}
}

// over reports whether both ends have sent their end and have it acknowledged.
func (s *stream) over() bool {
	return s.gaveUp || s.ended && s.finished && len(s.flight) == 0
}
