// Package peer transports messages between the controld processes of a group:
// protobuf datagrams over UDP, and the twirp service Peer over TCP.
package peer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

const (
	// MaxDatagramBytes is the maximum size of an encoded datagram. With tunnel
	// headers it still fits into one Ethernet frame.
	MaxDatagramBytes = 1200
	// HeaderBytes is the size of the IPv4 and UDP headers, which count as control
	// traffic.
	HeaderBytes = 28
	// ControlBytesPerSecond is the budget for the control traffic of one daemon,
	// both directions together. It is below the limit of 4 KB/s because a daemon
	// may receive more than it sends: with 3,900 B/s, one of five daemons received
	// 4,360 B/s.
	ControlBytesPerSecond = 3500
	// SendBytesPerSecond is the rate at which datagrams can be sent if there is no
	// other control traffic.
	SendBytesPerSecond = ControlBytesPerSecond / directionFactor
	// directionFactor is the number of tokens per byte sent: over a group, as many
	// bytes are received as are sent, and Receive takes no tokens.
	directionFactor = 2
	// controlBurst is the capacity of the token bucket in bytes. It covers the
	// datagrams of a membership change.
	controlBurst = 4096
	// membershipReserve is the number of tokens that replication leaves for
	// membership datagrams.
	membershipReserve = 1000
	// minAckTokens is the level of the token bucket below which acknowledgements
	// are dropped, and minPingTokens that for pings and replication.
	// Acknowledgements may overdraw the bucket further: if one is missing, its
	// sender becomes suspect, whereas a ping that is not sent only delays failure
	// detection.
	minAckTokens  = -4096
	minPingTokens = -2048
)

// Meter counts control bytes by direction and message kind. It is safe for
// concurrent use.
type Meter struct {
	bytes   *prometheus.CounterVec
	dropped *prometheus.CounterVec
	mu      sync.Mutex
	// bytesBySecond is a ring buffer of the bytes per second since start;
	// lastSecond is the newest second in it.
	bytesBySecond [meterWindowSeconds]uint64
	lastSecond    int64
	start         time.Time
}

// meterWindowSeconds is the period over which BytesPerSecond averages.
const meterWindowSeconds = 10

// NewMeter returns a meter and registers its counters unless registry is nil.
func NewMeter(registry prometheus.Registerer) *Meter {
	m := &Meter{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_control_bytes_total",
			Help: "Control traffic by direction and message kind, with IP and UDP headers.",
		}, []string{"direction", "kind"}),
		dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_control_datagrams_dropped_total",
			Help: "Datagrams not sent or not accepted, by reason.",
		}, []string{"reason"}),
		start: time.Now(),
	}
	if registry != nil {
		registry.MustRegister(m.bytes, m.dropped)
	}
	return m
}

// Count adds the n bytes of one message.
func (m *Meter) Count(direction, kind string, n int) {
	m.bytes.WithLabelValues(direction, kind).Add(float64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.bytesBySecond[m.lastSecond%meterWindowSeconds] += uint64(n)
}

// advance clears the entries of the ring buffer between the last and the current
// second. The caller must hold mu.
func (m *Meter) advance() {
	now := int64(time.Since(m.start) / time.Second)
	for s := max(m.lastSecond+1, now-meterWindowSeconds+1); s <= now; s++ {
		m.bytesBySecond[s%meterWindowSeconds] = 0
	}
	m.lastSecond = now
}

// BytesPerSecond returns the mean control traffic of the last ten seconds, both
// directions together.
func (m *Meter) BytesPerSecond() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	var sum uint64
	for _, n := range m.bytesBySecond {
		sum += n
	}
	return sum / meterWindowSeconds
}

// Transport sends and receives the datagrams of one group within a byte budget,
// which a token bucket enforces: one token is one control byte.
type Transport struct {
	conn    *net.UDPConn
	group   string
	limiter *rate.Limiter
	meter   *Meter
}

// Listen opens the daemon's UDP socket on the given address.
func Listen(address netip.AddrPort, group string, meter *Meter) (*Transport, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return &Transport{
		conn:    conn,
		group:   group,
		limiter: rate.NewLimiter(ControlBytesPerSecond, controlBurst),
		meter:   meter,
	}, nil
}

// Address returns the local address of the socket.
func (t *Transport) Address() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close closes the socket, so that a pending Receive returns.
func (t *Transport) Close() error { return t.conn.Close() }

// Kind returns the name of a datagram's message kind, as used in metrics.
func Kind(d *peerpb.Datagram) string {
	switch d.Kind.(type) {
	case *peerpb.Datagram_Ping:
		return "ping"
	case *peerpb.Datagram_PingRequest:
		return "ping_request"
	case *peerpb.Datagram_Ack:
		return "ack"
	case *peerpb.Datagram_Replication:
		return "replication"
	case *peerpb.Datagram_ReplicationAck:
		return "replication_ack"
	default:
		return "unknown"
	}
}

// ReplicationBudget returns how many bytes of exceptions may be sent now. It is
// negative if the budget is overdrawn.
func (t *Transport) ReplicationBudget() int {
	return (int(t.limiter.TokensAt(time.Now())) - membershipReserve) / directionFactor
}

// HandoverBudget returns the ReplicationBudget of a leaving instance, whose exceptions
// have priority over all other traffic.
func (t *Transport) HandoverBudget() int {
	return (int(t.limiter.TokensAt(time.Now())) - minPingTokens) / directionFactor
}

// CountOther counts control traffic outside the transport, such as health probes,
// and deducts it from the budget without overdrawing it. An overdraft would prevent
// probes after a joining instance has pulled the state of its slots, and its lease
// would expire.
func (t *Transport) CountOther(direction, kind string, n int) {
	t.meter.Count(direction, kind, n)
	now := time.Now()
	left := max(0, int(t.limiter.TokensAt(now)))
	t.limiter.ReserveN(now, min(n, left))
}

// probeTokens is the number of tokens reserved for a probe without piggyback.
const probeTokens = 500

// PiggybackAllowance returns how many bytes of piggyback the next datagram may
// carry: half of the remaining budget, so that the following probes still fit.
func (t *Transport) PiggybackAllowance() int {
	left := int(t.limiter.TokensAt(time.Now())) - probeTokens
	return max(0, left/piggybackDivisor)
}

// piggybackDivisor makes the piggyback of a datagram use at most half of the
// remaining tokens.
const piggybackDivisor = 2 * directionFactor

// Send encodes and sends one datagram of the group. It fails with PeerBadDatagram if
// the datagram exceeds MaxDatagramBytes, and with PeerUnreachable if the byte budget is
// exhausted or the socket fails.
func (t *Transport) Send(to netip.AddrPort, d *peerpb.Datagram) error {
	d.Group = t.group
	encoded, err := proto.Marshal(d)
	if err != nil {
		return err
	}
	kind := Kind(d)
	if len(encoded) > MaxDatagramBytes {
		t.meter.dropped.WithLabelValues("too_long").Inc()
		return resultcode.Errorf(resultcode.PeerBadDatagram, "%s datagram of %d bytes exceeds the maximum of %d bytes", kind, len(encoded), MaxDatagramBytes)
	}
	now := time.Now()
	if t.limiter.TokensAt(now) < minTokens(d) {
		t.meter.dropped.WithLabelValues("budget").Inc()
		return resultcode.Errorf(resultcode.PeerUnreachable, "%s datagram not sent: the control byte budget is exhausted", kind)
	}
	n := len(encoded) + HeaderBytes
	t.limiter.ReserveN(now, n*directionFactor)
	if _, err := t.conn.WriteToUDPAddrPort(encoded, to); err != nil {
		return resultcode.Errorf(resultcode.PeerUnreachable, "send %s to %s: %w", kind, to, err)
	}
	t.meter.Count("sent", kind, n)
	return nil
}

// minTokens returns the level of the token bucket below which the datagram is
// dropped.
func minTokens(d *peerpb.Datagram) float64 {
	switch d.Kind.(type) {
	case *peerpb.Datagram_Ack, *peerpb.Datagram_ReplicationAck:
		return minAckTokens
	case *peerpb.Datagram_Ping, *peerpb.Datagram_Replication:
		return minPingTokens
	default:
		return 0
	}
}

// Receive returns the next valid datagram of the group and its source address. It
// counts and skips invalid datagrams and those of other groups. After Close it
// returns net.ErrClosed.
func (t *Transport) Receive() (netip.AddrPort, *peerpb.Datagram, error) {
	buffer := make([]byte, MaxDatagramBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return from, nil, err
		}
		if err != nil {
			t.meter.dropped.WithLabelValues("read").Inc()
			continue
		}
		d, reason := decode(buffer[:n], t.group)
		if d == nil {
			t.meter.dropped.WithLabelValues(reason).Inc()
			continue
		}
		t.meter.Count("received", Kind(d), n+HeaderBytes)
		return netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), d, nil
	}
}

// decode returns a valid datagram of the group, or nil and the reason for the
// metric of dropped datagrams.
func decode(encoded []byte, group string) (*peerpb.Datagram, string) {
	if len(encoded) > MaxDatagramBytes {
		return nil, "too_long"
	}
	d := &peerpb.Datagram{}
	if err := proto.Unmarshal(encoded, d); err != nil {
		return nil, "undecodable"
	}
	if d.Group != group {
		return nil, "group"
	}
	if d.Kind == nil || d.Sender == 0 {
		return nil, "incomplete"
	}
	return d, ""
}
