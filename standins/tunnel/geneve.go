// Package tunnel encapsulates IPv4 packets in Geneve (RFC 8926) over UDP and
// provides user-space network stacks for the ends of such tunnels. It uses
// gopacket instead of the code of the main module, so that tests with the
// stand-ins verify that code against an independent implementation.
package tunnel

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// MaxDatagramBytes is the size of receive buffers. No UDP payload is larger.
const MaxDatagramBytes = 65535

const (
	minIPv4Header     = 20
	sourceOffset      = 12
	destinationOffset = 16
	// maxOptionsBytes is the maximum length of Geneve options that gopacket 1.7.7
	// decodes correctly: its offset is a uint8 that includes the fixed header of
	// 8 bytes.
	maxOptionsBytes = 255 - 8
)

// Decode errors.
var (
	ErrProtocol       = errors.New("tunnel: Geneve protocol type is not 0x0800")
	ErrVersion        = errors.New("tunnel: unsupported Geneve version")
	ErrOptionsTooLong = errors.New("tunnel: Geneve options are too long")
	ErrCriticalOption = errors.New("tunnel: unknown critical Geneve option")
	ErrInnerPacket    = errors.New("tunnel: inner packet has no complete IPv4 header")
)

// Encoder encapsulates packets. It is not safe for concurrent use.
type Encoder struct {
	buffer gopacket.SerializeBuffer
}

// NewEncoder returns an encoder with an empty buffer.
func NewEncoder() *Encoder {
	return &Encoder{buffer: gopacket.NewSerializeBuffer()}
}

// Encode prepends a Geneve header without options to an IPv4 packet. The result is
// valid until the next call.
func (e *Encoder) Encode(packet []byte) ([]byte, error) {
	header := layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	err := gopacket.SerializeLayers(e.buffer, gopacket.SerializeOptions{FixLengths: true}, &header, gopacket.Payload(packet))
	if err != nil {
		return nil, err
	}
	return e.buffer.Bytes(), nil
}

// Inner is a decapsulated IPv4 packet. Packet aliases the datagram.
type Inner struct {
	Packet      []byte
	Source      netip.Addr
	Destination netip.Addr
	// Options is the number of Geneve options that the datagram carried.
	Options int
}

// DestinationAddrPort returns the destination address and the TCP or UDP
// destination port, which is 0 if the packet is too short.
func (i Inner) DestinationAddrPort() netip.AddrPort {
	offset := int(i.Packet[0]&0x0f)*4 + 2
	if len(i.Packet) < offset+2 {
		return netip.AddrPortFrom(i.Destination, 0)
	}
	return netip.AddrPortFrom(i.Destination, binary.BigEndian.Uint16(i.Packet[offset:]))
}

// Decoder decapsulates datagrams. It is not safe for concurrent use.
type Decoder struct {
	geneve layers.Geneve
}

// Decode parses a Geneve datagram and the addresses of its inner packet. It returns
// one of the errors above, or that of gopacket if the header is truncated.
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
