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
	headerSize   = 31
	envelopeSize = 8
	// maxData is the longest data of one packet.
	maxData = 1200
)

// end is an address and a port of a flow.
type socketAddr struct {
	address netip.Addr
	port    uint16
}

// packet is one packet of a flow.
type packet struct {
	flags    byte
	from, to socketAddr
	echo     uint32
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// sumKey keeps others from writing packets.
const checksumKey = "estate"

func (p *packet) checksum() uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(checksumKey))
	header := p.header(0, 0)
	_, _ = h.Write(header[:])
	_, _ = h.Write(p.data)
	return h.Sum32()
}

func (p *packet) header(checksum, echo uint32) [headerSize]byte {
	var header [headerSize]byte
	source, destination := p.from.address.As4(), p.to.address.As4()
	header[0] = p.flags
	copy(header[1:], source[:])
	binary.BigEndian.PutUint16(header[5:], p.to.port)
	binary.BigEndian.PutUint16(header[7:], p.from.port)
	copy(header[9:], destination[:])
	binary.BigEndian.PutUint32(header[13:], checksum)
	binary.BigEndian.PutUint32(header[17:], echo)
	binary.BigEndian.PutUint32(header[21:], p.seq)
	binary.BigEndian.PutUint32(header[25:], p.ack)
	binary.BigEndian.PutUint16(header[29:], uint16(len(p.data)))
	return header
}

// encode returns the packet as its sender writes it.
func (p *packet) encode() []byte {
	header := p.header(p.checksum(), p.echo)
	return append(header[:], p.data...)
}

var (
	errShort    = errors.New("the packet is too short")
	errChecksum = errors.New("the packet is not as its sender wrote it")
)

// decode reads a packet. A reset with sum 0 comes from the system under test;
// system is then set.
func decode(data []byte) (p packet, bySystem bool, err error) {
	if len(data) < headerSize || int(binary.BigEndian.Uint16(data[29:])) != len(data)-headerSize {
		return p, false, errShort
	}
	p = packet{
		flags: data[0],
		from:  socketAddr{netip.AddrFrom4([4]byte(data[1:])), binary.BigEndian.Uint16(data[7:])},
		to:    socketAddr{netip.AddrFrom4([4]byte(data[9:])), binary.BigEndian.Uint16(data[5:])},
		echo:  binary.BigEndian.Uint32(data[17:]),
		seq:   binary.BigEndian.Uint32(data[21:]),
		ack:   binary.BigEndian.Uint32(data[25:]),
		data:  append([]byte{}, data[headerSize:]...),
	}
	checksum := binary.BigEndian.Uint32(data[13:])
	if checksum == 0 && p.has(flagReset) && len(p.data) == 0 {
		return p, true, nil
	}
	if checksum != p.checksum() {
		return p, false, errChecksum
	}
	return p, false, nil
}
