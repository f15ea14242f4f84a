// Package tunnel carries inner IPv4 packets in Geneve (RFC 8926) over UDP and
// joins user-space network stacks to such tunnels. It uses gopacket alone, so
// it checks the encoding of the main module independently.
package tunnel

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxDatagramBytes is the size of receive buffers, the largest UDP payload.
const MaxDatagramBytes = 65535

const (
	minIPv4Header     = 20
	sourceOffset      = 12
	destinationOffset = 16
	// maxOptionsBytes is the longest header that gopacket 1.7.7 decodes rightly: its
	// offset is one byte wide and counts the 8 bytes of the fixed header.
	maxOptionsBytes = 255 - 8
)

// Decode errors.
var (
	ErrProtocol       = errors.New("tunnel: Geneve protocol type is not 0x0800")
	ErrVersion        = errors.New("tunnel: unknown Geneve version")
	ErrOptionsTooLong = errors.New("tunnel: options are too long")
	ErrCriticalOption = errors.New("tunnel: unknown critical option")
	ErrInnerPacket    = errors.New("tunnel: inner packet is not a whole IPv4 header")
)

// Encoder adds Geneve headers. It is not safe for concurrent use.
type Encoder struct {
	buffer gopacket.SerializeBuffer
}

// NewEncoder returns an encoder with an empty buffer.
func NewEncoder() *Encoder {
	return &Encoder{buffer: gopacket.NewSerializeBuffer()}
}

// Encode returns the packet with a Geneve header without options. The result
// is valid until the next call.
func (e *Encoder) Encode(packet []byte) ([]byte, error) {
	header := layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	err := gopacket.SerializeLayers(e.buffer, gopacket.SerializeOptions{FixLengths: true}, &header, gopacket.Payload(packet))
	if err != nil {
		return nil, err
	}
	return e.buffer.Bytes(), nil
}

// Inner is a decapsulated packet. Packet aliases the datagram.
type Inner struct {
	Packet      []byte
	Source      netip.Addr
	Destination netip.Addr
	// Options is the number of Geneve options that the datagram carried.
	Options int
}

// DestinationAddrPort returns the destination address with the TCP or UDP port,
// which is 0 when the packet is too short.
func (i Inner) DestinationAddrPort() netip.AddrPort {
	offset := int(i.Packet[0]&0x0f)*4 + 2
	if len(i.Packet) < offset+2 {
		return netip.AddrPortFrom(i.Destination, 0)
	}
	return netip.AddrPortFrom(i.Destination, binary.BigEndian.Uint16(i.Packet[offset:]))
}

// Decoder removes Geneve headers. It is not safe for concurrent use.
type Decoder struct {
	geneve layers.Geneve
}

// Decode checks the Geneve header and the addresses of the inner packet.
func (d *Decoder) Decode(datagram []byte) (Inner, error) {
	if err := d.geneve.DecodeFromBytes(datagram, gopacket.NilDecodeFeedback); err != nil {
		return Inner{}, err
	}
	if d.geneve.OptionsLength > maxOptionsBytes {
		return Inner{}, ErrOptionsTooLong
	}
	if d.geneve.Version != 0 {
		return Inner{}, ErrVersion
	}
	if d.geneve.Protocol != layers.EthernetTypeIPv4 {
		return Inner{}, ErrProtocol
	}
	if d.geneve.CriticalOption {
		return Inner{}, ErrCriticalOption
	}
	return parseInner(d.geneve.Payload, len(d.geneve.Options))
}

func parseInner(packet []byte, options int) (Inner, error) {
	if len(packet) < minIPv4Header || packet[0]>>4 != 4 {
		return Inner{}, ErrInnerPacket
	}
	return Inner{
		Packet:      packet,
		Source:      netip.AddrFrom4([4]byte(packet[sourceOffset:destinationOffset])),
		Destination: netip.AddrFrom4([4]byte(packet[destinationOffset:minIPv4Header])),
		Options:     options,
	}, nil
}
