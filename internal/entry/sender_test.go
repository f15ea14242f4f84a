package entry

import (
	"net"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// openSender returns a sender on a new socket, and the socket.
func openSender(t *testing.T) (*sender, *net.UDPConn) {
	t.Helper()
	sockets, err := openSenders(netip.MustParseAddr("127.0.0.1"), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeAll(sockets) })
	return newSender(sockets[0]), sockets[0].(*net.UDPConn)
}

func (e *endpoint) addrPort() netip.AddrPort {
	return e.LocalAddr().(*net.UDPAddr).AddrPort()
}

// receiveTexts returns the payloads of the next count datagrams.
func (e *endpoint) receiveTexts(t *testing.T, count int) []string {
	t.Helper()
	buffer := make([]byte, 64<<10)
	var received []string
	for range count {
		if err := e.SetReadDeadline(time.Now().Add(receiveTimeout)); err != nil {
			t.Fatal(err)
		}
		n, err := e.Read(buffer)
		if err != nil {
			t.Fatalf("%d datagrams arrived, then %v", len(received), err)
		}
		received = append(received, string(buffer[:n]))
	}
	return received
}

// mixedPackets returns packets of equal, decreasing and increasing lengths, some
// too long to be coalesced.
func mixedPackets() []string {
	return []string{
		"aaaa", "bbbb", "cc", "dddd", "eeeeeeee", "ffff", "g",
		strings.Repeat("h", maxSegmentBytes+1), strings.Repeat("i", maxSegmentBytes+1), "jj", "kk",
	}
}

// Guards against coalesced packets that arrive merged, truncated or out of
// order.
func TestSenderKeepsPacketsApartAndInOrder(t *testing.T) {
	s, _ := openSender(t)
	e, f := openEndpoint(t), openEndpoint(t)
	const batches = 3
	for range batches {
		s.begin(0)
		total := 0
		for _, data := range mixedPackets() {
			s.add(e.addrPort(), []byte(data))
			s.add(f.addrPort(), []byte("x"+data))
			total += 2*len(data) + 1
		}
		if s.count >= 2*len(mixedPackets()) {
			t.Fatalf("%d messages for %d packets: nothing was coalesced", s.count, 2*len(mixedPackets()))
		}
		if bytes, failed := s.flush(0); bytes != total || failed != 0 {
			t.Fatalf("sent %d of %d bytes, %d packets failed", bytes, total, failed)
		}
		if got := e.receiveTexts(t, len(mixedPackets())); !slices.Equal(got, mixedPackets()) {
			t.Fatalf("received %q", got)
		}
		for i, got := range f.receiveTexts(t, len(mixedPackets())) {
			if got != "x"+mixedPackets()[i] {
				t.Fatalf("packet %d: %q", i, got)
			}
		}
	}
}

// Guards against lost packets on a path that rejects coalesced messages, and
// against trying to coalesce again in every batch.
func TestSenderFallsBackToSinglePackets(t *testing.T) {
	s, socket := openSender(t)
	e := openEndpoint(t)
	// The kernel rejects segmentation for sockets that send no checksums.
	raw, err := socket.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_NO_CHECK, 1)
	})
	if err != nil || optionErr != nil {
		t.Fatal(err, optionErr)
	}
	send := func(now time.Duration) int {
		s.begin(now)
		for _, data := range mixedPackets() {
			s.add(e.addrPort(), []byte(data))
		}
		if _, failed := s.flush(now); failed != 0 {
			t.Fatalf("%d packets failed", failed)
		}
		if got := e.receiveTexts(t, len(mixedPackets())); !slices.Equal(got, mixedPackets()) {
			t.Fatalf("received %q", got)
		}
		return s.count
	}
	if first := send(0); first == len(mixedPackets()) {
		t.Fatal("the first batch was not coalesced")
	}
	if second := send(coalesceRetryDelay / 2); second != len(mixedPackets()) {
		t.Fatalf("coalesced again before the retry: %d messages", second)
	}
	if third := send(coalesceRetryDelay); third == len(mixedPackets()) {
		t.Fatal("coalescing was not tried again")
	}
}

// Guards against losing the rest of a batch when one packet cannot be sent.
func TestSenderSkipsFailedPacket(t *testing.T) {
	s, _ := openSender(t)
	e := openEndpoint(t)
	s.begin(0)
	s.add(e.addrPort(), []byte("first"))
	// A UDP payload has at most 65,507 bytes.
	s.add(e.addrPort(), make([]byte, 65_508))
	s.add(e.addrPort(), []byte("last!"))
	s.add(e.addrPort(), []byte("longer than the first"))
	if _, failed := s.flush(0); failed != 1 {
		t.Fatalf("%d packets failed", failed)
	}
	if got := e.receiveTexts(t, 3); !slices.Equal(got, []string{"first", "last!", "longer than the first"}) {
		t.Fatalf("received %q", got)
	}
}

// Guards against unbounded memory when destinations change over time.
func TestSenderBoundsDestinations(t *testing.T) {
	s, _ := openSender(t)
	for i := range 2 * maxDestinations {
		s.destination(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6081))
	}
	if len(s.destinations) > maxDestinations {
		t.Fatalf("the sender keeps %d destinations", len(s.destinations))
	}
}

// Guards against heap allocations per sent packet.
func TestSenderDoesNotAllocate(t *testing.T) {
	s, _ := openSender(t)
	e := openEndpoint(t)
	to := e.addrPort()
	data := []byte("packet")
	allocations := testing.AllocsPerRun(100, func() {
		s.begin(0)
		for range maxBatch {
			s.add(to, data)
		}
	})
	if allocations != 0 {
		t.Fatalf("%v allocations for %d packets", allocations, maxBatch)
	}
}
