package discovery

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"burdockrelay.example/burdockrelay/internal/decision/silence"
)

const (
	// reportInterval is the time for which verdicts are collected for one datagram to each
	// peer, and the minimum time between two rounds of datagrams.
	reportInterval = 50 * time.Millisecond
	// receivedPerSecond limits the rate of reports that are read. When 27 of 120 endpoints
	// fail at once, an instance receives less than 100.
	receivedPerSecond = 200
	// reportLinesPerSecond and reportLinesBurst limit the log lines about reports.
	reportLinesPerSecond, reportLinesBurst = 2, 20
)

// SilenceReports exchanges with the peers, in datagrams, which endpoints have fallen silent.
// A report is neither forwarded nor acknowledged, and a lost one is not repeated: an instance
// without it finds out with its own requests.
type SilenceReports struct {
	socket *net.UDPConn
	peers  *Peers
	now    func() time.Duration
	logger *zap.Logger
	// logLimiter limits the log lines, receiveLimiter the reports that are read.
	logLimiter, receiveLimiter *rate.Limiter

	outbox reportOutbox
	// wake receives when there are endpoints to report.
	wake chan struct{}
	// onReport is called with the endpoints of a report and returns how many are checked.
	onReport  func(map[silence.EndpointID]bool) (checked int)
	datagrams *prometheus.CounterVec
}

// ListenSilenceReports opens the socket for reports and registers the metrics. onReport is
// called with the endpoints of each report of a peer and returns how many of them are checked.
func ListenSilenceReports(
	address netip.AddrPort, peers *Peers, now func() time.Duration, onReport func(map[silence.EndpointID]bool) (checked int),
	logger *zap.Logger, registry prometheus.Registerer,
) (*SilenceReports, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	r := &SilenceReports{
		socket: socket, peers: peers, now: now, onReport: onReport, logger: logger,
		logLimiter:     rate.NewLimiter(reportLinesPerSecond, reportLinesBurst),
		receiveLimiter: rate.NewLimiter(receivedPerSecond, receivedPerSecond),
		outbox:         reportOutbox{known: make(map[silence.EndpointID]time.Duration)},
		wake:           make(chan struct{}, 1),
		datagrams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_silence_reports_total", Help: "Datagrams to and from peers about silent endpoints, by direction and result.",
		}, []string{"direction", "result"}),
	}
	registry.MustRegister(r.datagrams)
	return r, nil
}

// Report tells the peers that this instance has found an endpoint silent, unless a peer has
// reported it. It does not block.
func (r *SilenceReports) Report(id silence.EndpointID) {
	if !r.outbox.add(id, r.now()) {
		r.count("sent", "dropped")
		return
	}
	r.wakeUp()
}

func (r *SilenceReports) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Send sends reports until the context ends.
func (r *SilenceReports) Send(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(reportInterval):
		}
		if r.sendRound() {
			r.wakeUp()
		}
	}
}

// sendRound sends one datagram to each known peer. It reports whether endpoints remain.
func (r *SilenceReports) sendRound() (more bool) {
	datagram, endpoints, more, err := r.outbox.next(r.peers.self.Name, r.now())
	if err != nil {
		r.logger.Error("silence_report_not_encoded", zap.Error(err))
	}
	if err != nil || endpoints == 0 {
		return more
	}
	addresses := r.peers.addresses()
	for _, address := range addresses {
		if _, err := r.socket.WriteToUDPAddrPort(datagram, address); err != nil {
			r.count("sent", "failed")
			continue
		}
		r.count("sent", "ok")
	}
	if r.logLimiter.Allow() {
		r.logger.Info("silence_reported", zap.String("direction", "sent"), zap.Int("endpoints", endpoints), zap.Int("peers", len(addresses)))
	}
	return more
}

// Receive handles the reports of peers until the context ends.
func (r *SilenceReports) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	defer stop()
	// One byte more than a valid report shows that a datagram is too long.
	buffer := make([]byte, maxReportBytes+1)
	for {
		n, _, err := r.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			r.count("received", "failed")
			time.Sleep(reportInterval)
		default:
			r.count("received", r.handle(buffer[:n]))
		}
	}
}

// handle handles a datagram and returns its result in the metrics.
func (r *SilenceReports) handle(datagram []byte) (result string) {
	if !r.receiveLimiter.Allow() {
		return "over_limit"
	}
	reporter, endpoints, err := decodeReport(datagram)
	if err != nil {
		return "malformed"
	}
	if _, known := r.peers.Address(reporter); !known {
		return "unknown_peer"
	}
	r.outbox.peerReported(endpoints, r.now())
	checked := r.onReport(endpoints)
	if r.logLimiter.Allow() {
		r.logger.Info("silence_reported", zap.String("direction", "received"), zap.String("reporter", reporter),
			zap.Int("endpoints", len(endpoints)), zap.Int("checked", checked))
	}
	if checked == 0 {
		return "unused"
	}
	return "checked"
}

func (r *SilenceReports) count(direction, result string) {
	r.datagrams.WithLabelValues(direction, result).Inc()
}

// addresses returns the addresses of the known peers.
func (p *Peers) addresses() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(p.entries))
	for _, entry := range p.entries {
		addresses = append(addresses, entry.address)
	}
	return addresses
}
