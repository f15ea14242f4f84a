package packet

import (
	"fmt"
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"burdockrelay.example/burdockrelay/common"
)

// resetTTL is the initial time to live that RFC 1700 recommends.
const resetTTL = 64

// ResetBuilder builds refusal resets. One goroutine reuses it.
type ResetBuilder struct {
	buffer gopacket.SerializeBuffer
}

// NewResetBuilder returns an empty builder.
func NewResetBuilder() *ResetBuilder {
	return &ResetBuilder{buffer: gopacket.NewSerializeBufferExpectedSize(
		HeaderLength+ipv4HeaderLength+tcpHeaderLength, 0)}
}

// Build returns the reset that refuses the SYN in Geneve, valid until the next
// call. Its sequence number is 0 and it acknowledges the SYN: a caller in
// SYN-SENT accepts it, and an established connection ignores it because 0 is
// not the next sequence number it expects (RFC 5961, section 3.2).
func (b *ResetBuilder) Build(syn *Packet) ([]byte, error) {
	if syn.Tuple.Protocol != common.ProtocolTCP || !syn.First() {
		return nil, fmt.Errorf("build reset: the packet is not a SYN")
	}
	ip := &layers.IPv4{
		Version:  4,
		TTL:      resetTTL,
		Flags:    layers.IPv4DontFragment,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    net.IP(syn.Tuple.Destination[:]),
		DstIP:    net.IP(syn.Tuple.Source[:]),
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(syn.Tuple.DestinationPort),
		DstPort: layers.TCPPort(syn.Tuple.SourcePort),
		Ack:     syn.Sequence + 1,
		RST:     true,
		ACK:     true,
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		return nil, fmt.Errorf("build reset: %w", err)
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	geneve := &layers.Geneve{Protocol: layers.EthernetTypeIPv4}
	if err := gopacket.SerializeLayers(b.buffer, options, geneve, ip, tcp); err != nil {
		return nil, fmt.Errorf("build reset: %w", err)
	}
	return b.buffer.Bytes(), nil
}
