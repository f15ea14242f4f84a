package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagRst = 2
	flagSyn = 4
	flagAck = 16
	flagFin = 64
)

const (
	headSize     = 31
	envelopeSize = 8
	maxData      = 1200
)

// end is one end of a flow.
type end = netip.AddrPort

// packet is one packet of a flow.
type packet struct {
	flags    byte
	from, to end
	echo     uint32
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet in wire format. The sum does not cover the echo.
func (p *packet) encode() []byte {
	out := make([]byte, headSize, headSize+len(p.data))
	source, destination := p.from.Addr().As4(), p.to.Addr().As4()
	out[0] = p.flags
	copy(out[1:], source[:])
	binary.BigEndian.PutUint16(out[5:], p.to.Port())
	binary.BigEndian.PutUint16(out[7:], p.from.Port())
	copy(out[9:], destination[:])
	binary.BigEndian.PutUint32(out[21:], p.seq)
	binary.BigEndian.PutUint32(out[25:], p.ack)
	binary.BigEndian.PutUint16(out[29:], uint16(len(p.data)))
	out = append(out, p.data...)
	binary.BigEndian.PutUint32(out[13:], sum(out))
	binary.BigEndian.PutUint32(out[17:], p.echo)
	return out
}

// sum returns the keyed sum of an encoded packet, without the fields sum and echo.
func sum(encoded []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the rig"))
	_, _ = h.Write(encoded[:13])
	_, _ = h.Write(encoded[21:])
	return h.Sum32() | 1
}

// decode parses a packet. bySystem is set for a reset of the system's own, valid is false if
// nobody wrote the packet so.
func decode(data []byte) (p packet, bySystem, valid bool) {
	if len(data) < headSize || int(binary.BigEndian.Uint16(data[29:])) != len(data)-headSize {
		return p, false, false
	}
	p = packet{
		flags: data[0],
		from:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[1:])), binary.BigEndian.Uint16(data[7:])),
		to:    netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[9:])), binary.BigEndian.Uint16(data[5:])),
		echo:  binary.BigEndian.Uint32(data[17:]),
		seq:   binary.BigEndian.Uint32(data[21:]),
		ack:   binary.BigEndian.Uint32(data[25:]),
		data:  append([]byte(nil), data[headSize:]...),
	}
	got := binary.BigEndian.Uint32(data[13:])
	if got == 0 && p.flags == flagRst && len(p.data) == 0 {
		return p, true, true
	}
	return p, false, got == sum(data)
}
