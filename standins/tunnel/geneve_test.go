package tunnel

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"
)

// innerPacket returns an IPv4 header and TCP ports, from 10.200.0.1:40000 to
// 10.90.0.1:80.
func innerPacket() []byte {
	packet := []byte{0x45, 0, 0, 24, 0, 0, 0, 0, 64, 6, 0, 0, 10, 200, 0, 1, 10, 90, 0, 1}
	return append(packet, 0x9c, 0x40, 0, 80)
}

// TestEncode guards against a header that differs from RFC 8926: version 0, no
// options, protocol type 0x0800, network identifier 0.
func TestEncode(t *testing.T) {
	datagram, err := NewEncoder().Encode(innerPacket())
	if err != nil {
		t.Fatal(err)
	}
	want := append([]byte{0, 0, 0x08, 0x00, 0, 0, 0, 0}, innerPacket()...)
	if !bytes.Equal(datagram, want) {
		t.Errorf("datagram % x, want % x", datagram, want)
	}
}

// TestDecode guards against malformed datagrams that are accepted and delivered to
// a network stack.
func TestDecode(t *testing.T) {
	header := []byte{0, 0, 0x08, 0x00, 0, 0, 0, 0}
	// Class 0xFF42, type 1, 4 bytes of data.
	option := []byte{0xff, 0x42, 1, 1, 0, 0, 0, 0}
	headerWith := func(index int, value byte) []byte {
		changed := bytes.Clone(header)
		changed[index] = value
		return changed
	}
	join := func(parts ...[]byte) []byte { return bytes.Join(parts, nil) }
	tests := []struct {
		name     string
		datagram []byte
		options  int
		err      error
		fails    bool
	}{
		{name: "plain", datagram: join(header, innerPacket())},
		{name: "option", datagram: join(headerWith(0, 2), option, innerPacket()), options: 1},
		{name: "version", datagram: join(headerWith(0, 0x40), innerPacket()), err: ErrVersion, fails: true},
		{name: "critical", datagram: join(headerWith(1, 0x40), innerPacket()), err: ErrCriticalOption, fails: true},
		{name: "protocol", datagram: join(headerWith(2, 0x65), innerPacket()), err: ErrProtocol, fails: true},
		{name: "long options", datagram: join(headerWith(0, 62), bytes.Repeat(option, 31), innerPacket()), err: ErrOptionsTooLong, fails: true},
		{name: "short header", datagram: header[:7], fails: true},
		{name: "short options", datagram: join(headerWith(0, 2), option[:4]), fails: true},
		{name: "short inner", datagram: join(header, innerPacket()[:19]), err: ErrInnerPacket, fails: true},
		{name: "inner version", datagram: join(header, []byte{0x60}, innerPacket()[1:]), err: ErrInnerPacket, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inner, err := new(Decoder).Decode(test.datagram)
			if (err != nil) != test.fails || (test.err != nil && !errors.Is(err, test.err)) {
				t.Fatalf("error %v, want %v", err, test.err)
			}
			if err != nil {
				return
			}
			if !bytes.Equal(inner.Packet, innerPacket()) || inner.Options != test.options {
				t.Errorf("packet % x with %d options, want the encapsulated packet and its options", inner.Packet, inner.Options)
			}
			if want := netip.MustParseAddrPort("10.90.0.1:80"); inner.DestinationAddrPort() != want {
				t.Errorf("destination %v, want %v", inner.DestinationAddrPort(), want)
			}
			if want := netip.MustParseAddr("10.200.0.1"); inner.Source != want {
				t.Errorf("source %v, want %v", inner.Source, want)
			}
		})
	}
}
