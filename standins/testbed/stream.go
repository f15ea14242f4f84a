package testbed

import "time"

const (
	// window is the maximum number of packets in flight.
	window = 16
	// initialRetransmitTimeout is the time before a packet is retransmitted. It doubles
	// with each retransmission up to maxRetransmitTimeout.
	initialRetransmitTimeout = 200 * time.Millisecond
	maxRetransmitTimeout     = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions of a packet before the stream
	// fails.
	maxRetransmits = 8
)

// segment is a part of a stream that has been sent but not acknowledged.
type segment struct {
	seq         uint32
	data        []byte
	fin         bool
	sentAt      time.Time
	timeout     time.Duration
	retransmits int
}

// end returns the sequence number after the segment. A FIN occupies one sequence
// number.
func (s *segment) end() uint32 {
	end := s.seq + uint32(len(s.data))
	if s.fin {
		end++
	}
	return end
}

// stream is one side of an open flow. It sends bytes in order, retransmits those that
// are not acknowledged, and receives bytes in order.
type stream struct {
	local, remote socketAddr
	// echo is the label in the last packet received, which every packet sent returns.
	echo uint32
	send func(p *packet)

	nextSeq     uint32 // sequence number of the next byte to send
	expectedSeq uint32 // sequence number of the next byte to receive
	unsent      []byte
	closing     bool // send a FIN after the unsent bytes
	finSent     bool
	inFlight    []segment

	received    []byte
	finReceived bool
	unacked     int // number of packets received but not acknowledged
	failed      bool
}

func (s *stream) packet(flags byte) *packet {
	return &packet{flags: flags, from: s.local, to: s.remote, echo: s.echo, seq: s.nextSeq, ack: s.expectedSeq}
}

// write queues bytes and sends as many as the window allows.
func (s *stream) write(data []byte, now time.Time) {
	s.unsent = append(s.unsent, data...)
	s.sendPending(now)
}

// close sends a FIN after all queued bytes.
func (s *stream) close(now time.Time) {
	s.closing = true
	s.sendPending(now)
}

func (s *stream) sendPending(now time.Time) {
	for len(s.inFlight) < window && (len(s.unsent) > 0 || s.closing && !s.finSent) {
		size := min(len(s.unsent), maxData)
		seg := segment{seq: s.nextSeq, data: s.unsent[:size], sentAt: now, timeout: initialRetransmitTimeout}
		s.unsent = s.unsent[size:]
		if len(s.unsent) == 0 && s.closing {
			seg.fin, s.finSent = true, true
		}
		s.nextSeq = seg.end()
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

// tick retransmits segments whose timeout has expired and sends a delayed
// acknowledgement.
func (s *stream) tick(now time.Time) {
	for i := range s.inFlight {
		seg := &s.inFlight[i]
		if now.Sub(seg.sentAt) < seg.timeout {
			continue
		}
		seg.retransmits++
		if seg.retransmits > maxRetransmits {
			s.failed = true
			return
		}
		seg.sentAt, seg.timeout = now, min(2*seg.timeout, maxRetransmitTimeout)
		s.transmit(seg)
	}
	if s.unacked > 0 {
		s.acknowledge()
	}
}

func (s *stream) acknowledge() {
	s.unacked = 0
	s.send(s.packet(flagAck))
}

// receive processes a packet from the other side.
func (s *stream) receive(p *packet, now time.Time) {
	s.echo = p.echo
	for len(s.inFlight) > 0 && int32(p.ack-s.inFlight[0].end()) >= 0 {
		s.inFlight = s.inFlight[1:]
	}
	s.sendPending(now)
	if len(p.data) == 0 && !p.has(flagFin) {
		return
	}
	if p.seq != s.expectedSeq {
		// The packet is a duplicate or follows a lost one.
		s.acknowledge()
		return
	}
	s.expectedSeq += uint32(len(p.data))
	s.received = append(s.received, p.data...)
	if p.has(flagFin) {
		s.expectedSeq++
		s.finReceived = true
	}
	s.unacked++
	if s.unacked >= 2 || p.has(flagFin) || len(p.data) < maxData {
		s.acknowledge()
	}
}

// finished reports whether the stream has failed, or both sides have sent a FIN and all
// segments are acknowledged.
func (s *stream) finished() bool {
	return s.failed || s.finReceived && s.finSent && len(s.inFlight) == 0
}
