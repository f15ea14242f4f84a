package entry

import (
	"encoding/binary"
	"net"
	"net/netip"
	"time"
	"unsafe"

	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

const (
	// maxSegmentBytes is the longest packet that is coalesced. Segmentation
	// offload fails for segments above the path MTU instead of fragmenting them.
	maxSegmentBytes = 1400
	// maxCoalescedBytes bounds a coalesced message. It is below the longest UDP
	// payload, 65,507 bytes.
	maxCoalescedBytes = 60_000
	// coalesceRetryDelay is how long packets are sent one by one after the kernel
	// rejected a coalesced message.
	coalesceRetryDelay = 10 * time.Second
	// maxDestinations bounds the destinations that a sender keeps. At the target
	// scale, one data centre has about 1,360 endpoints and members.
	maxDestinations = 8192
	// segmentSizeBytes is the size of the UDP_SEGMENT value.
	segmentSizeBytes = 2
)

// destinationCacheSize is the number of entries of the direct-mapped cache in
// front of the destination map. A batch has at most 64 destinations.
const destinationCacheSize = 256

// destination is an address that packets are sent to.
type destination struct {
	to      netip.AddrPort
	address *net.UDPAddr
	// batch is the number of the batch that last used the destination, and
	// messageIndex the message of that batch that holds its latest packets.
	batch        uint64
	messageIndex int
}

// segmentGroup describes one message of a batch: packets of equal length to one
// destination that the kernel sends in one pass through its network stack
// (UDP_SEGMENT). The last packet may be shorter.
type segmentGroup struct {
	// segmentLength is the length of the first packet, bytes the sum of all.
	segmentLength int
	bytes         int
	// closed is set when no further packet may be added.
	closed bool
	// control is the control message that sets the segment size.
	control []byte
}

// sender queues the packets of a batch and sends them, coalesced where possible.
// Packets to one destination keep their order. It is not safe for concurrent use.
type sender struct {
	conn         *ipv4.PacketConn
	destinations map[netip.AddrPort]*destination
	cached       [destinationCacheSize]*destination
	batch        uint64
	messages     [maxBatch]ipv4.Message
	groups       [maxBatch]segmentGroup
	count        int
	// coalesceRetryAt is the earliest time to try coalescing again.
	coalesceRetryAt time.Duration
	coalesce        bool
	// single holds one packet of a rejected message while it is sent again.
	single [1]ipv4.Message
}

func newSender(socket net.PacketConn) *sender {
	s := &sender{
		conn:         ipv4.NewPacketConn(socket),
		destinations: make(map[netip.AddrPort]*destination),
	}
	for i := range s.groups {
		s.groups[i].control = segmentControl()
	}
	s.single[0].Buffers = make([][]byte, 1)
	return s
}

// segmentControl returns a control message for UDP_SEGMENT with segment size 0.
func segmentControl() []byte {
	control := make([]byte, unix.CmsgSpace(segmentSizeBytes))
	header := (*unix.Cmsghdr)(unsafe.Pointer(&control[0]))
	header.Level = unix.SOL_UDP
	header.Type = unix.UDP_SEGMENT
	header.SetLen(unix.CmsgLen(segmentSizeBytes))
	return control
}

// begin starts a batch.
func (s *sender) begin(now time.Duration) {
	s.batch++
	s.count = 0
	s.coalesce = now >= s.coalesceRetryAt
}

// add queues a packet. The caller must not change data until flush returns.
func (s *sender) add(to netip.AddrPort, data []byte) {
	d := s.destination(to)
	if d.batch == s.batch && s.coalesceInto(d.messageIndex, data) {
		return
	}
	d.batch = s.batch
	d.messageIndex = s.count
	s.groups[s.count].segmentLength = len(data)
	s.groups[s.count].bytes = len(data)
	s.groups[s.count].closed = !s.coalesce || len(data) > maxSegmentBytes
	message := &s.messages[s.count]
	message.Addr = d.address
	message.Buffers = append(message.Buffers[:0], data)
	message.OOB = nil
	s.count++
}

// coalesceInto appends the packet to a queued message if the kernel can split
// them again. It reports whether it did.
func (s *sender) coalesceInto(index int, data []byte) bool {
	g := &s.groups[index]
	if g.closed || len(data) > g.segmentLength || g.bytes+len(data) > maxCoalescedBytes {
		return false
	}
	message := &s.messages[index]
	message.Buffers = append(message.Buffers, data)
	if message.OOB == nil {
		binary.NativeEndian.PutUint16(g.control[unix.CmsgLen(0):], uint16(g.segmentLength))
		message.OOB = g.control
	}
	g.bytes += len(data)
	g.closed = len(data) < g.segmentLength
	return true
}

// destination returns the destination with an address. It allocates only for an
// address that is not in the map yet.
func (s *sender) destination(to netip.AddrPort) *destination {
	address := to.Addr().As4()
	cached := &s.cached[(uint16(address[2])*31+uint16(address[3])+to.Port())%destinationCacheSize]
	if *cached == nil || (*cached).to != to {
		*cached = s.lookUp(to)
	}
	return *cached
}

func (s *sender) lookUp(to netip.AddrPort) *destination {
	if d := s.destinations[to]; d != nil {
		return d
	}
	if len(s.destinations) >= maxDestinations {
		clear(s.destinations)
	}
	d := &destination{to: to, address: net.UDPAddrFromAddrPort(to)}
	s.destinations[to] = d
	return d
}

// flush sends the batch. It returns the number of bytes sent and the number of
// packets that could not be sent.
func (s *sender) flush(now time.Duration) (bytes, failed int) {
	pending := s.messages[:s.count]
	for len(pending) > 0 {
		sent, err := s.conn.WriteBatch(pending, 0)
		sent = max(sent, 0)
		for i := range sent {
			bytes += pending[i].N
		}
		pending = pending[sent:]
		if err == nil || len(pending) == 0 {
			continue
		}
		more, lost := s.retry(&pending[0], now)
		bytes += more
		failed += lost
		pending = pending[1:]
	}
	return bytes, failed
}

// retry sends the packets of a rejected message one by one and disables
// coalescing for coalesceRetryDelay. A message of one packet is not sent again.
func (s *sender) retry(message *ipv4.Message, now time.Duration) (bytes, failed int) {
	if len(message.Buffers) == 1 {
		return 0, 1
	}
	s.coalesceRetryAt = now + coalesceRetryDelay
	for _, data := range message.Buffers {
		s.single[0].Addr = message.Addr
		s.single[0].Buffers[0] = data
		if sent, err := s.conn.WriteBatch(s.single[:], 0); err != nil || sent != 1 {
			failed++
			continue
		}
		bytes += len(data)
	}
	return bytes, failed
}
