package testbed

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
	headSize     = 31
	envelopeSize = 8
	// maxData is the longest data of one packet.
	maxData = 1200
)

// end is an address and a port of a flow.
type end struct {
	address netip.Addr
	port    uint16
}

// packet is one packet of a flow.
type packet struct {
	flags    byte
	from, to end
	echo     uint32
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// sumKey keeps others from writing packets.
const sumKey = "estate"

func (p *packet) sum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	head := p.head(0, 0)
	_, _ = h.Write(head[:])
	_, _ = h.Write(p.data)
	return h.Sum32()
}

func (p *packet) head(sum, echo uint32) [headSize]byte {
	var head [headSize]byte
	source, destination := p.from.address.As4(), p.to.address.As4()
	head[0] = p.flags
	copy(head[1:], source[:])
	binary.BigEndian.PutUint16(head[5:], p.to.port)
	binary.BigEndian.PutUint16(head[7:], p.from.port)
	copy(head[9:], destination[:])
	binary.BigEndian.PutUint32(head[13:], sum)
	binary.BigEndian.PutUint32(head[17:], echo)
	binary.BigEndian.PutUint32(head[21:], p.seq)
	binary.BigEndian.PutUint32(head[25:], p.ack)
	binary.BigEndian.PutUint16(head[29:], uint16(len(p.data)))
	return head
}

// encode returns the packet as its sender writes it.
func (p *packet) encode() []byte {
	head := p.head(p.sum(), p.echo)
	return append(head[:], p.data...)
}

var (
	errShort  = errors.New("the packet is too short")
	errForged = errors.New("the packet is not as its sender wrote it")
)

// decode reads a packet. A reset with sum 0 comes from the system under test;
// system is then set.
func decode(data []byte) (p packet, system bool, err error) {
	if len(data) < headSize || int(binary.BigEndian.Uint16(data[29:])) != len(data)-headSize {
		return p, false, errShort
	}
	p = packet{
		flags: data[0],
		from:  end{netip.AddrFrom4([4]byte(data[1:])), binary.BigEndian.Uint16(data[7:])},
		to:    end{netip.AddrFrom4([4]byte(data[9:])), binary.BigEndian.Uint16(data[5:])},
		echo:  binary.BigEndian.Uint32(data[17:]),
		seq:   binary.BigEndian.Uint32(data[21:]),
		ack:   binary.BigEndian.Uint32(data[25:]),
		data:  append([]byte{}, data[headSize:]...),
	}
	sum := binary.BigEndian.Uint32(data[13:])
	if sum == 0 && p.has(flagReset) && len(p.data) == 0 {
		return p, true, nil
	}
	if sum != p.sum() {
		return p, false, errForged
	}
	return p, false, nil
}
