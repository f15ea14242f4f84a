// Package packet decodes and encodes the packets that instances handle: IPv4 with
// TCP or UDP, encapsulated in Geneve (RFC 8926). Decoding works on the caller's
// buffer and does not allocate for well-formed packets.
package packet

import (
	"encoding/binary"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	ipv4HeaderLength = 20
	tcpHeaderLength  = 20
	udpHeaderLength  = 8
)

// Packet is a decoded packet of a flow.
type Packet struct {
	Tuple common.FiveTuple
	// Relay is the relay option, zero for packets from the fabric.
	Relay Relay
	// Inner is the IPv4 packet without padding after its total length. It is a
	// slice of the decoded buffer.
	Inner []byte
	// InnerOffset is the offset of Inner in the decoded buffer.
	InnerOffset int
	// PayloadLength is the length of the TCP or UDP payload in bytes.
	PayloadLength int
	// Sequence is the TCP sequence number. It and the flags are zero for UDP.
	Sequence                 uint32
	Syn, Ack, Fin, ResetFlag bool
}

// First reports whether the packet may be the first of a flow: a TCP SYN without
// ACK, or any UDP packet.
func (p *Packet) First() bool {
	return p.Tuple.Protocol == common.ProtocolUDP || p.Syn && !p.Ack
}

// truncation records whether a layer needs more bytes than the packet has.
type truncation struct {
	seen bool
}

// SetTruncated implements gopacket.DecodeFeedback.
func (t *truncation) SetTruncated() {
	t.seen = true
}

// Decoder decodes packets and reuses its layers for every packet. The zero value
// is ready to use. It is not safe for concurrent use.
type Decoder struct {
	geneve    Geneve
	ip        layers.IPv4
	tcp       layers.TCP
	udp       layers.UDP
	feedback  truncation
	tcpHeader [tcpHeaderLength]byte
}

// Decode decodes a Geneve packet into out. It returns resultcode.OK, or the code
// to drop the packet with.
func (d *Decoder) Decode(data []byte, out *Packet) resultcode.Code {
	*out = Packet{}
	d.feedback.seen = false
	if err := d.geneve.DecodeFromBytes(data, &d.feedback); err != nil {
		return d.errorCode()
	}
	if !d.geneve.supported() {
		return resultcode.PacketUnsupported
	}
	out.Relay = d.geneve.Relay
	out.InnerOffset = len(d.geneve.Contents)
	if code := d.decodeIPv4(d.geneve.Payload, out); code != resultcode.OK {
		return code
	}
	switch out.Tuple.Protocol {
	case common.ProtocolTCP:
		return d.decodeTCP(d.ip.Payload, out)
	case common.ProtocolUDP:
		return d.decodeUDP(d.ip.Payload, out)
	default:
		return resultcode.PacketUnsupported
	}
}

// errorCode returns the result code of a layer's decoding error: PacketTruncated
// for a short packet, PacketMalformed for invalid contents.
func (d *Decoder) errorCode() resultcode.Code {
	if d.feedback.seen {
		return resultcode.PacketTruncated
	}
	return resultcode.PacketMalformed
}

func (d *Decoder) decodeIPv4(data []byte, out *Packet) resultcode.Code {
	if len(data) < ipv4HeaderLength {
		return resultcode.PacketTruncated
	}
	// The gopacket layer accepts a total length of 0, which captures show on
	// hosts with segmentation offload but which is invalid on the wire.
	total := int(binary.BigEndian.Uint16(data[2:4]))
	if data[0]>>4 != 4 || total < ipv4HeaderLength {
		return resultcode.PacketMalformed
	}
	if total > len(data) {
		return resultcode.PacketTruncated
	}
	if err := d.ip.DecodeFromBytes(data, &d.feedback); err != nil {
		return d.errorCode()
	}
	// A corrupted header could contain the address of another service.
	if _, result := d.ip.VerifyChecksum(); !result.Valid {
		return resultcode.PacketMalformed
	}
	if d.ip.Flags&layers.IPv4MoreFragments != 0 || d.ip.FragOffset != 0 {
		return resultcode.PacketFragmented
	}
	out.Inner = data[:total]
	out.Tuple.Protocol = common.Protocol(d.ip.Protocol)
	copy(out.Tuple.Source[:], d.ip.SrcIP)
	copy(out.Tuple.Destination[:], d.ip.DstIP)
	if !isUnicast(out.Tuple.Source) || !isUnicast(out.Tuple.Destination) {
		return resultcode.PacketMisaddressed
	}
	return resultcode.OK
}

// isUnicast excludes 0.0.0.0/8, multicast, the reserved range and broadcast.
func isUnicast(address [4]byte) bool {
	return address[0] != 0 && address[0] < 224
}

func (d *Decoder) decodeTCP(data []byte, out *Packet) resultcode.Code {
	if len(data) < tcpHeaderLength {
		return resultcode.PacketTruncated
	}
	headerLength := int(data[12]>>4) * 4
	if headerLength < tcpHeaderLength {
		return resultcode.PacketMalformed
	}
	if headerLength > len(data) {
		return resultcode.PacketTruncated
	}
	// Decode a copy without options: they are not used, and decoding multipath
	// options allocates.
	copy(d.tcpHeader[:], data)
	d.tcpHeader[12] = tcpHeaderLength / 4 << 4
	if err := d.tcp.DecodeFromBytes(d.tcpHeader[:], &d.feedback); err != nil {
		return d.errorCode()
	}
	out.Tuple.SourcePort = uint16(d.tcp.SrcPort)
	out.Tuple.DestinationPort = uint16(d.tcp.DstPort)
	out.Sequence = d.tcp.Seq
	out.Syn = d.tcp.SYN
	out.Ack = d.tcp.ACK
	out.Fin = d.tcp.FIN
	out.ResetFlag = d.tcp.RST
	out.PayloadLength = len(data) - headerLength
	// No TCP sender combines SYN with FIN or RST.
	if out.Syn && (out.Fin || out.ResetFlag) {
		return resultcode.PacketMalformed
	}
	return checkPorts(out)
}

func (d *Decoder) decodeUDP(data []byte, out *Packet) resultcode.Code {
	if len(data) < udpHeaderLength {
		return resultcode.PacketTruncated
	}
	// The gopacket layer takes length 0 for a jumbogram, which IPv4 does not have.
	length := int(binary.BigEndian.Uint16(data[4:6]))
	if length < udpHeaderLength {
		return resultcode.PacketMalformed
	}
	if length > len(data) {
		return resultcode.PacketTruncated
	}
	if err := d.udp.DecodeFromBytes(data, &d.feedback); err != nil {
		return d.errorCode()
	}
	out.Tuple.SourcePort = uint16(d.udp.SrcPort)
	out.Tuple.DestinationPort = uint16(d.udp.DstPort)
	out.PayloadLength = len(d.udp.Payload)
	return checkPorts(out)
}

// checkPorts rejects port 0 and packets with the same source and destination.
func checkPorts(p *Packet) resultcode.Code {
	if p.Tuple.SourcePort == 0 || p.Tuple.DestinationPort == 0 {
		return resultcode.PacketMisaddressed
	}
	if p.Tuple.Source == p.Tuple.Destination && p.Tuple.SourcePort == p.Tuple.DestinationPort {
		return resultcode.PacketMisaddressed
	}
	return resultcode.OK
}

var _ gopacket.DecodeFeedback = (*truncation)(nil)
