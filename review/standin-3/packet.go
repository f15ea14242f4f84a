package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagReset = 2
	flagSyn   = 4
	flagAck   = 16
	flagFin   = 64
)

const (
	headerSize = 31
	// envelopeSize is the size of the endpoint ID before a packet to an endpoint.
	envelopeSize = 8
	// maxData is the maximum of data in one packet.
	maxData = 1200
)

// packet is one packet of a flow. from and to are the two ends of the flow.
type packet struct {
	flags          byte
	from, to       netip.AddrPort
	echo, seq, ack uint32
	data           []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// header returns the header with a checksum and an echo.
func (p *packet) header(sum, echo uint32) []byte {
	head := make([]byte, headerSize)
	source, destination := p.from.Addr().As4(), p.to.Addr().As4()
	head[0] = p.flags
	copy(head[1:], source[:])
	binary.BigEndian.PutUint16(head[5:], p.to.Port())
	binary.BigEndian.PutUint16(head[7:], p.from.Port())
	copy(head[9:], destination[:])
	binary.BigEndian.PutUint32(head[13:], sum)
	binary.BigEndian.PutUint32(head[17:], echo)
	binary.BigEndian.PutUint32(head[21:], p.seq)
	binary.BigEndian.PutUint32(head[25:], p.ack)
	binary.BigEndian.PutUint16(head[29:], uint16(len(p.data)))
	return head
}

// sum is the keyed sum over everything but the echo.
func (p *packet) sum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("review-3"))
	_, _ = h.Write(p.header(0, 0))
	_, _ = h.Write(p.data)
	return h.Sum32() | 1
}

func (p *packet) encode() []byte { return append(p.header(p.sum(), p.echo), p.data...) }

var errPacket = errors.New("a packet that its sender did not write so")

// decode returns a packet. bySystem is set for a reset of the system's own, whose sum is 0.
func decode(text []byte) (p packet, bySystem bool, err error) {
	if len(text) < headerSize || int(binary.BigEndian.Uint16(text[29:])) != len(text)-headerSize {
		return p, false, errPacket
	}
	p = packet{
		flags: text[0],
		from:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(text[1:5])), binary.BigEndian.Uint16(text[7:])),
		to:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(text[9:13])), binary.BigEndian.Uint16(text[5:])),
		echo:  binary.BigEndian.Uint32(text[17:]),
		seq:   binary.BigEndian.Uint32(text[21:]),
		ack:   binary.BigEndian.Uint32(text[25:]),
		data:  append([]byte{}, text[headerSize:]...),
	}
	sum := binary.BigEndian.Uint32(text[13:])
	if sum == 0 && p.flags == flagReset && len(p.data) == 0 {
		return p, true, nil
	}
	if sum != p.sum() {
		return p, false, errPacket
	}
	return p, false, nil
}
