// Package peer carries messages between the controld processes of a group:
// protobuf datagrams on UDP and the twirp service Peer on TCP.
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
	// MaxDatagram keeps a datagram in one Ethernet frame with tunnel headers.
	MaxDatagram = 1200
	// HeaderBytes are the IPv4 and UDP headers, which count as control traffic.
	HeaderBytes = 28
	// ControlBytesPerSecond bounds the control traffic of one daemon in both
	// directions. A daemon may receive more than it sends: at 3,900 one of five
	// received 4,360 B/s, so the rest up to 4 KB/s is left for that.
	ControlBytesPerSecond = 3500
	// SendBytesPerSecond is what remains for datagrams when nothing else is
	// sent: over a group as many bytes arrive as are sent.
	SendBytesPerSecond = ControlBytesPerSecond / bothDirections
	// bothDirections is the cost of a sent byte: another one arrives.
	bothDirections = 2
	// controlBurst covers the datagrams of a membership change.
	controlBurst = 4096
	// membershipReserve is left for membership by replication.
	membershipReserve = 1000
	// ackDebt and pingDebt are how far acknowledgements and probes may overdraw
	// the budget before they are dropped as well. A missing acknowledgement
	// makes the sender a suspect, a probe that is not sent only delays.
	ackDebt  = -4096
	pingDebt = -2048
)

// Meter counts control bytes by direction and message kind.
type Meter struct {
	bytes    *prometheus.CounterVec
	dropped  *prometheus.CounterVec
	mu       sync.Mutex
	seconds  [meterSeconds]uint64
	lastSlot int64
	start    time.Time
}

// meterSeconds is the window of the rate shown in the status.
const meterSeconds = 10

// NewMeter returns a meter that publishes its counters.
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

// Count adds bytes of one message.
func (m *Meter) Count(direction, kind string, n int) {
	m.bytes.WithLabelValues(direction, kind).Add(float64(n))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	m.seconds[m.lastSlot%meterSeconds] += uint64(n)
}

func (m *Meter) advance() {
	slot := int64(time.Since(m.start) / time.Second)
	for s := max(m.lastSlot+1, slot-meterSeconds+1); s <= slot; s++ {
		m.seconds[s%meterSeconds] = 0
	}
	m.lastSlot = slot
}

// BytesPerSecond returns the mean of the last ten seconds, both directions.
func (m *Meter) BytesPerSecond() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	var sum uint64
	for _, n := range m.seconds {
		sum += n
	}
	return sum / meterSeconds
}

// Transport sends and receives datagrams of one group.
type Transport struct {
	conn    *net.UDPConn
	group   string
	limiter *rate.Limiter
	meter   *Meter
}

// Listen opens the UDP socket of the daemon.
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

// Address returns the local address.
func (t *Transport) Address() netip.AddrPort {
	return t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Close ends pending reads.
func (t *Transport) Close() error { return t.conn.Close() }

// Kind names the message kind of a datagram in metrics.
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

// ReplicationBudget returns how many bytes of exceptions may be sent now.
func (t *Transport) ReplicationBudget() int {
	return (int(t.limiter.TokensAt(time.Now())) - membershipReserve) / bothDirections
}

// HandoverBudget is the budget of a leaving instance, whose exceptions go before
// everything else.
func (t *Transport) HandoverBudget() int {
	return (int(t.limiter.TokensAt(time.Now())) - pingDebt) / bothDirections
}

// CountOther counts other control traffic, such as health probes, and takes it from
// what is left of the budget. It never overdraws it: after the state of the slots
// was pulled, probes must still go out, or the lease of the instance lapses.
func (t *Transport) CountOther(direction, kind string, n int) {
	t.meter.Count(direction, kind, n)
	now := time.Now()
	left := max(0, int(t.limiter.TokensAt(now)))
	t.limiter.ReserveN(now, min(n, left))
}

// datagramReserve is what a probe takes without piggyback.
const datagramReserve = 500

// PiggybackAllowance returns how many bytes of piggyback the next datagram may
// carry: half of the budget that is left, so that the probes to come fit.
func (t *Transport) PiggybackAllowance() int {
	left := int(t.limiter.TokensAt(time.Now())) - datagramReserve
	return max(0, left/piggybackShare)
}

// piggybackShare divides the remaining budget among the datagrams to come.
const piggybackShare = 2 * bothDirections

// Send encodes and sends one datagram. It reports an error when the datagram is
// too long or the budget of bytes is used up.
func (t *Transport) Send(to netip.AddrPort, d *peerpb.Datagram) error {
	d.Group = t.group
	encoded, err := proto.Marshal(d)
	if err != nil {
		return err
	}
	kind := Kind(d)
	if len(encoded) > MaxDatagram {
		t.meter.dropped.WithLabelValues("too_long").Inc()
		return resultcode.Errorf(resultcode.PeerBadDatagram, "%s of %d bytes exceeds %d", kind, len(encoded), MaxDatagram)
	}
	now := time.Now()
	if t.limiter.TokensAt(now) < lowestTokens(d) {
		t.meter.dropped.WithLabelValues("budget").Inc()
		return resultcode.Errorf(resultcode.PeerUnreachable, "%s exceeds the budget of control bytes", kind)
	}
	n := len(encoded) + HeaderBytes
	t.limiter.ReserveN(now, n*bothDirections)
	if _, err := t.conn.WriteToUDPAddrPort(encoded, to); err != nil {
		return resultcode.Errorf(resultcode.PeerUnreachable, "send %s to %s: %w", kind, to, err)
	}
	t.meter.Count("sent", kind, n)
	return nil
}

func lowestTokens(d *peerpb.Datagram) float64 {
	switch d.Kind.(type) {
	case *peerpb.Datagram_Ack, *peerpb.Datagram_ReplicationAck:
		return ackDebt
	case *peerpb.Datagram_Ping, *peerpb.Datagram_Replication:
		return pingDebt
	default:
		return 0
	}
}

// Receive returns the next valid datagram of the group. Others are counted and
// skipped. It returns net.ErrClosed after Close.
func (t *Transport) Receive() (netip.AddrPort, *peerpb.Datagram, error) {
	buffer := make([]byte, MaxDatagram+1)
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

func decode(encoded []byte, group string) (*peerpb.Datagram, string) {
	if len(encoded) > MaxDatagram {
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
