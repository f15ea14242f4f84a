package packet

import (
	"fmt"
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"burdockrelay.example/burdockrelay/common"
)

// resetTTL is the initial IPv4 time to live that RFC 1700 recommends.
const resetTTL = 64

// ResetBuilder builds TCP resets that refuse new connections. It reuses its
// buffer and is not safe for concurrent use.
type ResetBuilder struct {
	buffer gopacket.SerializeBuffer
}

// NewResetBuilder returns a builder with a buffer for one reset.
func NewResetBuilder() *ResetBuilder {
	return &ResetBuilder{buffer: gopacket.NewSerializeBufferExpectedSize(
		HeaderLength+ipv4HeaderLength+tcpHeaderLength, 0)}
}

// Build returns the Geneve packet with the reset that refuses the SYN. The slice
// is valid until the next call. The reset has sequence number 0 and acknowledges
// the SYN: a caller in state SYN-SENT accepts it, and an established connection
// ignores it because 0 is not the next sequence number it expects (RFC 5961,
// section 3.2). Build returns an error if the packet is not a SYN.
func (b *ResetBuilder) Build(syn *Packet) ([]byte, error) {
	if syn.Tuple.Protocol != common.ProtocolTCP || !syn.First() {
		return nil, fmt.Errorf("build reset: the packet to refuse is not a SYN")
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
