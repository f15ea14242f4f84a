package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagRst     = 2
	flagSyn     = 4
	flagAck     = 16
	flagBounced = 32
	flagFin     = 64
)

const (
	headSize     = 31
	envelopeSize = 8
	maxData      = 1200
)

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func (e end) String() string {
	return netip.AddrPortFrom(netip.AddrFrom4(e.ip), e.port).String()
}

func endOf(a netip.AddrPort) end { return end{a.Addr().As4(), a.Port()} }

// packet is one packet between a client and an endpoint.
type packet struct {
	flags    byte
	src, dst end
	echo     uint32
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// sumKey is the key of the sum, which only clients and endpoints know.
const sumKey = "review-key"

// sum returns the keyed sum over all fields except echo and BOUNCED. It is never 0.
func (p *packet) sum() uint32 {
	head := p.head()
	head[0] &^= flagBounced
	clear(head[13:21])
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(head)
	_, _ = h.Write(p.data)
	return h.Sum32() | 1
}

func (p *packet) head() []byte {
	b := make([]byte, headSize)
	b[0] = p.flags
	copy(b[1:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[5:], p.dst.port)
	binary.BigEndian.PutUint16(b[7:], p.src.port)
	copy(b[9:], p.dst.ip[:])
	binary.BigEndian.PutUint32(b[17:], p.echo)
	binary.BigEndian.PutUint32(b[21:], p.seq)
	binary.BigEndian.PutUint32(b[25:], p.ack)
	binary.BigEndian.PutUint16(b[29:], uint16(len(p.data)))
	return b
}

func (p *packet) encode() []byte {
	b := p.head()
	binary.BigEndian.PutUint32(b[13:], p.sum())
	return append(b, p.data...)
}

var errNotAsSent = errors.New("packet is not as its sender wrote it")

// decode decodes a packet. bySystem is set for a reset of the system's own.
func decode(b []byte) (p packet, bySystem bool, err error) {
	if len(b) < headSize || int(binary.BigEndian.Uint16(b[29:])) != len(b)-headSize {
		return p, false, errNotAsSent
	}
	p = packet{
		flags: b[0],
		src:   end{[4]byte(b[1:5]), binary.BigEndian.Uint16(b[7:])},
		dst:   end{[4]byte(b[9:13]), binary.BigEndian.Uint16(b[5:])},
		echo:  binary.BigEndian.Uint32(b[17:]), seq: binary.BigEndian.Uint32(b[21:]), ack: binary.BigEndian.Uint32(b[25:]),
		data: append([]byte(nil), b[headSize:]...),
	}
	sum := binary.BigEndian.Uint32(b[13:])
	if sum == 0 && p.flags == flagRst && len(p.data) == 0 {
		return p, true, nil
	}
	if sum != p.sum() {
		return p, false, errNotAsSent
	}
	return p, false, nil
}

func (p *packet) String() string {
	return fmt.Sprintf("%s>%s flags=%d echo=%08x seq=%d ack=%d len=%d", p.src, p.dst, p.flags, p.echo, p.seq, p.ack, len(p.data))
}
