package packet

import (
	"encoding/binary"
	"errors"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"burdockrelay.example/burdockrelay/common"
)

const (
	// GenevePort is the UDP port that IANA assigns to Geneve.
	GenevePort = 6081
	// HeaderLength is the length in bytes of a Geneve header without options.
	HeaderLength = 8
	// RelayHeaderLength is the length in bytes of a Geneve header with the
	// relay option, the longest header that this package writes. With this much
	// headroom in front of a packet, a header is added without a copy.
	RelayHeaderLength = HeaderLength + optionHeaderLength + relayDataLength

	optionHeaderLength = 4
	relayDataLength    = 12

	// relayOptionClass is in the range for experimental use (RFC 8926,
	// section 6.2).
	relayOptionClass = 0xFF42
	relayOptionType  = 1

	// criticalOptionType is the bit of an option type that forbids receivers to
	// skip an option they do not support.
	criticalOptionType = 0x80

	flagOAM      = 0x80
	flagCritical = 0x40
)

// MaxHopCount is the maximum hop count in the relay option. In a stable
// membership view a packet is relayed once. For 6 s after a slot changes its
// owner, the new owner may relay a packet of an unknown flow to the former owner,
// which may relay it back.
const MaxHopCount = 4

var (
	errGeneveTruncated   = errors.New("geneve header is longer than the packet")
	errGeneveOptions     = errors.New("geneve option is longer than the option area")
	errGeneveRelayOption = errors.New("geneve relay option is repeated or invalid")
)

// Relay is the content of the relay option.
type Relay struct {
	// HopCount is the number of times the packet was relayed, at most
	// MaxHopCount.
	HopCount uint8
	// Flags is reserved; no flags are defined.
	Flags uint8
	// Sender is the instance that relayed the packet.
	Sender common.InstanceID
	// ViewHash is the hash of the sender's membership view.
	ViewHash uint32
}

// Geneve is a gopacket decoding layer for the Geneve header and the relay
// option. layers.Geneve is not used because it allocates memory for each option
// and has an 8-bit option offset, which overflows with more than 247 bytes of
// options.
type Geneve struct {
	layers.BaseLayer
	Version  uint8
	OAM      bool
	Critical bool
	Protocol layers.EthernetType
	Relay    Relay
	HasRelay bool
	// unknownCritical is set if there is a critical option other than the relay
	// option.
	unknownCritical bool
}

var _ gopacket.DecodingLayer = (*Geneve)(nil)

// LayerType implements gopacket.DecodingLayer.
func (g *Geneve) LayerType() gopacket.LayerType {
	return layers.LayerTypeGeneve
}

// CanDecode implements gopacket.DecodingLayer.
func (g *Geneve) CanDecode() gopacket.LayerClass {
	return layers.LayerTypeGeneve
}

// NextLayerType implements gopacket.DecodingLayer.
func (g *Geneve) NextLayerType() gopacket.LayerType {
	return g.Protocol.LayerType()
}

// DecodeFromBytes implements gopacket.DecodingLayer. It returns an error if the
// header is truncated or has malformed options.
func (g *Geneve) DecodeFromBytes(data []byte, feedback gopacket.DecodeFeedback) error {
	*g = Geneve{}
	if len(data) < HeaderLength {
		feedback.SetTruncated()
		return errGeneveTruncated
	}
	end := HeaderLength + int(data[0]&0x3f)*4
	if len(data) < end {
		feedback.SetTruncated()
		return errGeneveTruncated
	}
	g.Version = data[0] >> 6
	g.OAM = data[1]&flagOAM != 0
	g.Critical = data[1]&flagCritical != 0
	g.Protocol = layers.EthernetType(binary.BigEndian.Uint16(data[2:4]))
	g.Contents = data[:end]
	g.Payload = data[end:]
	return g.decodeOptions(data[HeaderLength:end])
}

func (g *Geneve) decodeOptions(options []byte) error {
	for len(options) > 0 {
		if len(options) < optionHeaderLength {
			return errGeneveOptions
		}
		length := optionHeaderLength + int(options[3]&0x1f)*4
		if length > len(options) {
			return errGeneveOptions
		}
		if err := g.decodeOption(options[:length]); err != nil {
			return err
		}
		options = options[length:]
	}
	return nil
}

func (g *Geneve) decodeOption(option []byte) error {
	class := binary.BigEndian.Uint16(option[0:2])
	if class != relayOptionClass || option[2] != relayOptionType {
		g.unknownCritical = g.unknownCritical || option[2]&criticalOptionType != 0
		return nil
	}
	if g.HasRelay || len(option) != optionHeaderLength+relayDataLength {
		return errGeneveRelayOption
	}
	g.HasRelay = true
	g.Relay.HopCount = option[4]
	g.Relay.Flags = option[5]
	g.Relay.Sender = common.InstanceID(binary.BigEndian.Uint32(option[8:12]))
	g.Relay.ViewHash = binary.BigEndian.Uint32(option[12:16])
	if g.Relay.HopCount > MaxHopCount {
		return errGeneveRelayOption
	}
	return nil
}

// supported reports whether the packet is a data packet that may be forwarded.
// RFC 8926 requires dropping packets of other versions or with unknown critical
// options, and forbids forwarding control (OAM) packets.
func (g *Geneve) supported() bool {
	return g.Version == 0 && !g.OAM && !g.unknownCritical && g.Protocol == layers.EthernetTypeIPv4
}

// PutHeader writes a Geneve header without options into the first HeaderLength
// bytes of b.
func PutHeader(b []byte) {
	_ = b[HeaderLength-1]
	b[0] = 0
	b[1] = 0
	binary.BigEndian.PutUint16(b[2:4], uint16(layers.EthernetTypeIPv4))
	binary.BigEndian.PutUint32(b[4:8], 0)
}

// PutRelayHeader writes a Geneve header with the relay option into the first
// RelayHeaderLength bytes of b.
func PutRelayHeader(b []byte, relay Relay) {
	_ = b[RelayHeaderLength-1]
	PutHeader(b)
	b[0] = (optionHeaderLength + relayDataLength) / 4
	binary.BigEndian.PutUint16(b[8:10], relayOptionClass)
	b[10] = relayOptionType
	b[11] = relayDataLength / 4
	b[12] = relay.HopCount
	b[13] = relay.Flags
	b[14] = 0
	b[15] = 0
	binary.BigEndian.PutUint32(b[16:20], uint32(relay.Sender))
	binary.BigEndian.PutUint32(b[20:24], relay.ViewHash)
}
