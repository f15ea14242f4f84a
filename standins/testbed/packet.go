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

// Sizes in bytes.
const (
	headerSize = 31
	// envelopeSize is the size of the endpoint ID before a packet.
	envelopeSize = 8
	// maxData is the maximum payload of one packet.
	maxData = 1200
)

// socketAddr is the address and port of one side of a flow.
type socketAddr struct {
	address netip.Addr
	port    uint16
}

// packet is one packet of a flow in the platform's format.
type packet struct {
	flags    byte
	from, to socketAddr
	echo     uint32 // label set by the system under test, which receivers return
	seq, ack uint32
	data     []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// checksumKey is part of each checksum, so that only the testbed can create valid
// packets.
const checksumKey = "estate"

// checksum covers the packet except the echo, which the system under test may change.
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

// encode returns the packet with its checksum in wire format.
func (p *packet) encode() []byte {
	header := p.header(p.checksum(), p.echo)
	return append(header[:], p.data...)
}

var (
	errLength   = errors.New("packet length does not match its header")
	errChecksum = errors.New("packet checksum does not match")
)

// decode parses a packet. bySystem is set for a reset with checksum 0, which the system
// under test sends. Errors are errLength and errChecksum.
func decode(data []byte) (p packet, bySystem bool, err error) {
	if len(data) < headerSize || int(binary.BigEndian.Uint16(data[29:])) != len(data)-headerSize {
		return p, false, errLength
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
