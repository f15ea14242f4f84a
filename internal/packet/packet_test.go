package packet

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

var (
	testCaller  = net.IP{198, 51, 100, 7}
	testService = net.IP{203, 0, 113, 10}
)

// build serializes the layers with the gopacket encoders, which are independent
// of the code under test.
func build(t testing.TB, parts ...gopacket.SerializableLayer) []byte {
	t.Helper()
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, parts...); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func testIP(protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{Version: 4, TTL: 60, Protocol: protocol, SrcIP: testCaller, DstIP: testService}
}

func testGeneve(options ...*layers.GeneveOption) *layers.Geneve {
	return &layers.Geneve{Protocol: layers.EthernetTypeIPv4, Options: options}
}

func buildTCP(t testing.TB, geneve *layers.Geneve, tcp *layers.TCP, payload []byte) []byte {
	t.Helper()
	ip := testIP(layers.IPProtocolTCP)
	tcp.SrcPort = 40000
	tcp.DstPort = 443
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	return build(t, geneve, ip, tcp, gopacket.Payload(payload))
}

func buildUDP(t testing.TB, payload []byte) []byte {
	t.Helper()
	ip := testIP(layers.IPProtocolUDP)
	udp := &layers.UDP{SrcPort: 40000, DstPort: 53}
	if err := udp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	return build(t, testGeneve(), ip, udp, gopacket.Payload(payload))
}

func relayOption(hop byte) *layers.GeneveOption {
	data := make([]byte, relayDataLength)
	data[0] = hop
	binary.BigEndian.PutUint32(data[4:8], 0x01020304)
	binary.BigEndian.PutUint32(data[8:12], 0x0a0b0c0d)
	return &layers.GeneveOption{Class: relayOptionClass, Type: relayOptionType, Data: data}
}

func multipathOptions() []layers.TCPOption {
	return []layers.TCPOption{
		{OptionType: layers.TCPOptionKindNop, OptionLength: 1},
		{OptionType: layers.TCPOptionKindNop, OptionLength: 1},
		{OptionType: layers.TCPOptionKindSACK, OptionLength: 10, OptionData: make([]byte, 8)},
	}
}

// Guards against reading fields at wrong offsets of the headers.
func TestDecodeTCP(t *testing.T) {
	data := buildTCP(t, testGeneve(), &layers.TCP{Seq: 77, ACK: true, FIN: true, Options: multipathOptions()}, []byte("plan"))
	data = append(data, 0, 0, 0) // padding after the inner packet
	var decoder Decoder
	var p Packet
	if code := decoder.Decode(data, &p); code != resultcode.OK {
		t.Fatalf("Decode returned code %d", code)
	}
	want := common.FiveTuple{
		Source: [4]byte(testCaller), Destination: [4]byte(testService),
		SourcePort: 40000, DestinationPort: 443, Protocol: common.ProtocolTCP,
	}
	if p.Tuple != want {
		t.Fatalf("tuple %+v", p.Tuple)
	}
	if p.Sequence != 77 || !p.Ack || !p.Fin || p.Syn || p.ResetFlag || p.First() {
		t.Fatalf("packet %+v", p)
	}
	if p.PayloadLength != 4 || len(p.Inner) != len(data)-HeaderLength-3 || p.InnerOffset != HeaderLength {
		t.Fatalf("lengths %d %d %d", p.PayloadLength, len(p.Inner), p.InnerOffset)
	}
}

// Guards against a UDP datagram that is not treated as a possible first packet.
func TestDecodeUDP(t *testing.T) {
	var decoder Decoder
	var p Packet
	if code := decoder.Decode(buildUDP(t, []byte("board")), &p); code != resultcode.OK {
		t.Fatalf("Decode returned code %d", code)
	}
	if p.Tuple.DestinationPort != 53 || p.PayloadLength != 5 || !p.First() {
		t.Fatalf("packet %+v", p)
	}
}

// Guards against a relay option that is encoded or decoded differently from
// gopacket's Geneve implementation.
func TestRelayOptionAgreesWithLibrary(t *testing.T) {
	data := buildTCP(t, testGeneve(relayOption(1)), &layers.TCP{SYN: true}, nil)
	var decoder Decoder
	var p Packet
	if code := decoder.Decode(data, &p); code != resultcode.OK {
		t.Fatalf("Decode returned code %d", code)
	}
	want := Relay{HopCount: 1, Sender: 0x01020304, ViewHash: 0x0a0b0c0d}
	if p.Relay != want {
		t.Fatalf("relay %+v", p.Relay)
	}
	header := make([]byte, RelayHeaderLength)
	PutRelayHeader(header, want)
	if string(header) != string(data[:RelayHeaderLength]) {
		t.Fatalf("header %x, gopacket wrote %x", header, data[:RelayHeaderLength])
	}
}

// Guards against stale bytes of a reused buffer in a header without options.
func TestPutHeaderOverwritesBuffer(t *testing.T) {
	header := []byte{255, 255, 255, 255, 255, 255, 255, 255}
	PutHeader(header)
	var geneve Geneve
	if err := geneve.DecodeFromBytes(header, &truncation{}); err != nil {
		t.Fatal(err)
	}
	if !geneve.supported() || geneve.HasRelay || header[7] != 0 {
		t.Fatalf("header %x", header)
	}
}

// Guards against misreading more than 247 bytes of options, which overflow an
// 8-bit offset.
func TestDecodeSkipsLongUnknownOptions(t *testing.T) {
	unknown := func() *layers.GeneveOption {
		return &layers.GeneveOption{Class: 0x0101, Type: 2, Data: make([]byte, 80)}
	}
	data := buildTCP(t, testGeneve(unknown(), unknown(), unknown()), &layers.TCP{SYN: true, Seq: 9}, nil)
	var decoder Decoder
	var p Packet
	if code := decoder.Decode(data, &p); code != resultcode.OK || p.Sequence != 9 {
		t.Fatalf("Decode returned code %d and packet %+v", code, p)
	}
}

// Guards against accepting an invalid packet, and against a result code that does
// not name the cause.
func TestDecodeRejectsInvalidPackets(t *testing.T) {
	syn := func() []byte { return buildTCP(t, testGeneve(), &layers.TCP{SYN: true}, nil) }
	// edit overwrites bytes of the inner packet and updates the IPv4 checksum.
	edit := func(data []byte, offset int, values ...byte) []byte {
		copy(data[HeaderLength+offset:], values)
		ip := data[HeaderLength : HeaderLength+ipv4HeaderLength]
		binary.BigEndian.PutUint16(ip[10:12], 0)
		binary.BigEndian.PutUint16(ip[10:12], gopacket.FoldChecksum(gopacket.ComputeChecksum(ip, 0)))
		return data
	}
	outer := func(data []byte, offset int, value byte) []byte {
		data[offset] = value
		return data
	}
	tests := []struct {
		name string
		data []byte
		want resultcode.Code
	}{
		{"empty", nil, resultcode.PacketTruncated},
		{"short outer header", syn()[:7], resultcode.PacketTruncated},
		{"short inner header", syn()[:20], resultcode.PacketTruncated},
		{"short TCP header", syn()[:HeaderLength+30], resultcode.PacketTruncated},
		{"options beyond packet", outer(syn(), 0, 0x3f), resultcode.PacketTruncated},
		{"version 1", outer(syn(), 0, 0x40), resultcode.PacketUnsupported},
		{"control packet", outer(syn(), 1, flagOAM), resultcode.PacketUnsupported},
		{"inner Ethernet", outer(outer(syn(), 2, 0x65), 3, 0x58), resultcode.PacketUnsupported},
		{"unknown critical option", buildTCP(t, testGeneve(&layers.GeneveOption{Class: 1, Type: 0x80}), &layers.TCP{SYN: true}, nil), resultcode.PacketUnsupported},
		{"two relay options", buildTCP(t, testGeneve(relayOption(0), relayOption(0)), &layers.TCP{SYN: true}, nil), resultcode.PacketMalformed},
		{"hop count above the maximum", buildTCP(t, testGeneve(relayOption(MaxHopCount+1)), &layers.TCP{SYN: true}, nil), resultcode.PacketMalformed},
		{"short relay option", buildTCP(t, testGeneve(&layers.GeneveOption{Class: relayOptionClass, Type: relayOptionType, Data: make([]byte, 8)}), &layers.TCP{SYN: true}, nil), resultcode.PacketMalformed},
		{"inner version 6", edit(syn(), 0, 0x65), resultcode.PacketMalformed},
		{"inner header length 4", edit(syn(), 0, 0x44), resultcode.PacketMalformed},
		{"inner total length 0", edit(syn(), 2, 0, 0), resultcode.PacketMalformed},
		{"inner total length beyond packet", edit(syn(), 2, 1, 0), resultcode.PacketTruncated},
		{"wrong IPv4 checksum", outer(syn(), HeaderLength+8, 1), resultcode.PacketMalformed},
		{"first fragment", edit(syn(), 6, 0x20, 0), resultcode.PacketFragmented},
		{"last fragment", edit(syn(), 6, 0, 9), resultcode.PacketFragmented},
		{"multicast destination", edit(syn(), 16, 224, 0, 0, 1), resultcode.PacketMisaddressed},
		{"broadcast source", edit(syn(), 12, 255, 255, 255, 255), resultcode.PacketMisaddressed},
		{"unspecified source", edit(syn(), 12, 0, 0, 0, 0), resultcode.PacketMisaddressed},
		{"source port 0", edit(syn(), 20, 0, 0), resultcode.PacketMisaddressed},
		{"destination port 0", edit(syn(), 22, 0, 0), resultcode.PacketMisaddressed},
		{"same source and destination", edit(edit(syn(), 12, testService...), 20, 1, 187), resultcode.PacketMisaddressed},
		{"inner ICMP", edit(syn(), 9, 1), resultcode.PacketUnsupported},
		{"TCP data offset 4", edit(syn(), 32, 0x40), resultcode.PacketMalformed},
		{"TCP data offset beyond packet", edit(syn(), 32, 0xf0), resultcode.PacketTruncated},
		{"SYN with FIN", edit(syn(), 33, 3), resultcode.PacketMalformed},
		{"SYN with RST", edit(syn(), 33, 6), resultcode.PacketMalformed},
		{"UDP length 0", edit(buildUDP(t, nil), 24, 0, 0), resultcode.PacketMalformed},
		{"UDP length beyond packet", edit(buildUDP(t, nil), 24, 0, 9), resultcode.PacketTruncated},
	}
	var decoder Decoder
	var p Packet
	for _, test := range tests {
		if code := decoder.Decode(test.data, &p); code != test.want {
			t.Errorf("%s: code %d, want %d", test.name, code, test.want)
		}
	}
}

// Guards against a panic or a successful decode on a prefix of a packet.
func TestDecodeEveryPrefixIsTruncated(t *testing.T) {
	data := buildTCP(t, testGeneve(relayOption(1)), &layers.TCP{ACK: true, Options: multipathOptions()}, []byte("layout"))
	var decoder Decoder
	var p Packet
	for length := range data {
		if code := decoder.Decode(data[:length], &p); code != resultcode.PacketTruncated {
			t.Fatalf("length %d: code %d", length, code)
		}
	}
}

// Guards against heap allocations per packet, which cause garbage collection
// pauses.
func TestDecodeDoesNotAllocate(t *testing.T) {
	multipath := []layers.TCPOption{{
		OptionType: layers.TCPOptionKindMultipathTCP, OptionLength: 20,
		OptionData: append([]byte{0x20, 0x05}, make([]byte, 16)...),
	}}
	packets := [][]byte{
		buildTCP(t, testGeneve(), &layers.TCP{ACK: true, Options: multipath}, []byte("order")),
		buildTCP(t, testGeneve(relayOption(1)), &layers.TCP{ACK: true}, []byte("order")),
		buildUDP(t, []byte("order")),
	}
	var decoder Decoder
	var p Packet
	for i, data := range packets {
		allocations := testing.AllocsPerRun(100, func() { decoder.Decode(data, &p) })
		if allocations != 0 {
			t.Errorf("packet %d: %v allocations", i, allocations)
		}
	}
}

// Guards against a reset that a caller in state SYN-SENT ignores or that ends an
// established connection.
func TestResetRefusesOnlySYN(t *testing.T) {
	data := buildTCP(t, testGeneve(), &layers.TCP{SYN: true, Seq: 0xffffffff}, []byte("early"))
	var decoder Decoder
	var syn Packet
	if code := decoder.Decode(data, &syn); code != resultcode.OK {
		t.Fatalf("Decode returned code %d", code)
	}
	reset, err := NewResetBuilder().Build(&syn)
	if err != nil {
		t.Fatal(err)
	}
	decoded := gopacket.NewPacket(reset, layers.LayerTypeGeneve, gopacket.Default)
	ip, _ := decoded.Layer(layers.LayerTypeIPv4).(*layers.IPv4)
	tcp, _ := decoded.Layer(layers.LayerTypeTCP).(*layers.TCP)
	if ip == nil || tcp == nil {
		t.Fatalf("layers %v", decoded)
	}
	if !ip.SrcIP.Equal(testService) || !ip.DstIP.Equal(testCaller) || tcp.SrcPort != 443 || tcp.DstPort != 40000 {
		t.Fatalf("addresses %v:%v to %v:%v", ip.SrcIP, tcp.SrcPort, ip.DstIP, tcp.DstPort)
	}
	if !tcp.RST || !tcp.ACK || tcp.SYN || tcp.Seq != 0 || tcp.Ack != 0 {
		t.Fatalf("reset %+v", tcp)
	}
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		t.Fatal(err)
	}
	if err, result := tcp.VerifyChecksum(); err != nil || !result.Valid {
		t.Fatalf("TCP checksum: %v %+v", err, result)
	}
	if code := decoder.Decode(reset, new(Packet)); code != resultcode.OK {
		t.Fatalf("the reset does not decode: code %d", code)
	}
}

// Guards against building a reset for a packet that is not a SYN.
func TestResetRequiresSYN(t *testing.T) {
	var decoder Decoder
	for _, data := range [][]byte{
		buildTCP(t, testGeneve(), &layers.TCP{ACK: true}, nil),
		buildTCP(t, testGeneve(), &layers.TCP{SYN: true, ACK: true}, nil),
		buildUDP(t, nil),
	} {
		var p Packet
		if code := decoder.Decode(data, &p); code != resultcode.OK {
			t.Fatalf("Decode returned code %d", code)
		}
		if _, err := NewResetBuilder().Build(&p); err == nil {
			t.Fatalf("reset built for %+v", p)
		}
	}
}

func addSeeds(f *testing.F) {
	f.Add([]byte{})
	f.Add(buildUDP(f, []byte("seed")))
	f.Add(buildTCP(f, testGeneve(), &layers.TCP{SYN: true}, nil))
	f.Add(buildTCP(f, testGeneve(relayOption(1)), &layers.TCP{ACK: true, Options: multipathOptions()}, []byte("seed")))
	f.Add(buildTCP(f, testGeneve(&layers.GeneveOption{Class: 7, Type: 0x81, Data: make([]byte, 124)}), &layers.TCP{ACK: true}, nil))
}

// FuzzDecode guards against panics, unexpected result codes and slices outside
// the packet on arbitrary input.
func FuzzDecode(f *testing.F) {
	addSeeds(f)
	var decoder Decoder
	f.Fuzz(func(t *testing.T, data []byte) {
		var p Packet
		switch code := decoder.Decode(data, &p); code {
		case resultcode.PacketTruncated, resultcode.PacketMalformed, resultcode.PacketFragmented,
			resultcode.PacketMisaddressed, resultcode.PacketUnsupported:
			return
		case resultcode.OK:
		default:
			t.Fatalf("Decode returned the unexpected code %d", code)
		}
		if p.InnerOffset+len(p.Inner) > len(data) || p.PayloadLength < 0 || p.PayloadLength > len(p.Inner) {
			t.Fatalf("lengths outside the packet: %+v", p)
		}
		if p.Relay.HopCount > MaxHopCount {
			t.Fatalf("hop count %d", p.Relay.HopCount)
		}
		if p.Tuple.Protocol == common.ProtocolTCP && p.First() {
			if _, err := NewResetBuilder().Build(&p); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzGeneve guards against panics in the option decoder and against a relay
// option that changes in a round trip.
func FuzzGeneve(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var geneve Geneve
		if err := geneve.DecodeFromBytes(data, &truncation{}); err != nil {
			return
		}
		if len(geneve.Contents)+len(geneve.Payload) != len(data) {
			t.Fatalf("header %d and payload %d of %d bytes", len(geneve.Contents), len(geneve.Payload), len(data))
		}
		header := make([]byte, RelayHeaderLength)
		PutRelayHeader(header, geneve.Relay)
		var again Geneve
		if err := again.DecodeFromBytes(header, &truncation{}); err != nil || again.Relay != geneve.Relay {
			t.Fatalf("relay %+v became %+v: %v", geneve.Relay, again.Relay, err)
		}
	})
}
