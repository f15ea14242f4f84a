// Package entry implements the packet path of burdock-entryd: UDP sockets, the
// filter chain, the sharded flow state, and the Entry RPC service that
// burdock-controld calls.
package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	tomb "gopkg.in/tomb.v2"

	"burdockrelay.example/burdockrelay/internal/decision/flow"
	"burdockrelay.example/burdockrelay/internal/decision/lease"
	"burdockrelay.example/burdockrelay/internal/lifecycle"
	"burdockrelay.example/burdockrelay/internal/telemetry"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	// maxDefaultWorkers bounds the number of workers if Settings.Workers is 0.
	// One worker forwards more than an instance of the target scale receives.
	maxDefaultWorkers = 4
	// expireInterval is the time between two expiry sweeps. Each sweep visits
	// expireEntriesPerShard entries per shard, which covers 400,000 entries in about
	// 5 s.
	expireInterval        = 100 * time.Millisecond
	expireEntriesPerShard = 128
	// maxRequestBytes bounds the body of an Entry request. At the target scale
	// a snapshot is below 1 MB and pulled exceptions of 16 shards below 8 MB.
	maxRequestBytes = 32 << 20
	// readTimeout bounds reading one HTTP request.
	readTimeout = 10 * time.Second
	// shutdownTimeout bounds the wait for HTTP requests in flight on shutdown.
	shutdownTimeout = time.Second
)

// Settings configures a Server.
type Settings struct {
	// Instance is the name of this instance.
	Instance string
	// Listen is the UDP address that receives Geneve packets. Port 0 chooses a
	// free port.
	Listen netip.AddrPort
	// APIListen is the loopback address of the Entry service.
	APIListen string
	// MetricsListen is the address of the metrics endpoint. If it is empty,
	// metrics are not served.
	MetricsListen string
	// FabricReturn is the fabric address that resets for refused flows are
	// sent to. If it is the zero value, no resets are sent.
	FabricReturn netip.AddrPort
	// MaxFlows is the capacity of the flow table in flows.
	MaxFlows int
	// SampleRatio is the share of flows whose first packet is traced, 0 to 1.
	SampleRatio float64
	// Workers is the number of receive sockets, each with its own goroutine. 0
	// uses one per processor, up to a limit.
	Workers int
}

// Server receives packets and forwards, relays, refuses or drops them. It also
// serves the Entry RPC service and the metrics.
type Server struct {
	settings     Settings
	fabricReturn netip.AddrPort
	logger       *zap.Logger
	registry     *prometheus.Registry
	metrics      *metrics
	tracing      *tracing
	tomb         tomb.Tomb
	started      time.Time

	state  atomic.Pointer[state]
	shards [flow.Shards]shard
	// applyLock serializes the application of snapshots.
	applyLock sync.Mutex

	leaseLock sync.Mutex
	lease     lease.Lease
	orphan    lease.OrphanDetector
	// awaitSnapshot keeps the instance fenced after an expired lease was renewed
	// until a new snapshot is applied.
	awaitSnapshot bool

	receivers       []net.PacketConn
	senders         []net.PacketConn
	workers         []*worker
	apiListener     net.Listener
	metricsListener net.Listener
}

// NewServer opens the sockets and registers the metrics. Call Start to serve.
// It returns an error if MaxFlows is too small, APIListen is not a loopback
// address, or a socket cannot be opened.
func NewServer(settings Settings, logger *zap.Logger, registry *prometheus.Registry, tracer trace.Tracer) (*Server, error) {
	if settings.MaxFlows < flow.Shards {
		return nil, fmt.Errorf("max_flows is %d, at least %d are needed", settings.MaxFlows, flow.Shards)
	}
	s := &Server{
		settings:     settings,
		fabricReturn: settings.FabricReturn,
		logger:       logger,
		registry:     registry,
		metrics:      newMetrics(registry),
		tracing:      newTracing(tracer, settings.SampleRatio, settings.Instance),
		started:      time.Now(),
	}
	for i := range s.shards {
		s.shards[i].flows = flow.NewShard(i, flow.Limits{MaxFlows: settings.MaxFlows / flow.Shards})
	}
	if err := s.open(); err != nil {
		s.closePacketSockets()
		s.closeListeners()
		return nil, err
	}
	registry.MustRegister(&collector{server: s})
	return s, nil
}

func (s *Server) open() error {
	count := s.settings.Workers
	if count == 0 {
		count = min(runtime.GOMAXPROCS(0), maxDefaultWorkers)
	}
	var err error
	if s.receivers, err = listenAll(s.settings.Listen, count); err != nil {
		return err
	}
	if s.senders, err = openSenders(s.settings.Listen.Addr(), count); err != nil {
		return err
	}
	for i := range s.receivers {
		s.workers = append(s.workers, newWorker(s, s.receivers[i], s.senders[i]))
	}
	if s.apiListener, err = listenLoopback(s.settings.APIListen); err != nil {
		return err
	}
	if s.settings.MetricsListen == "" {
		return nil
	}
	if s.metricsListener, err = net.Listen("tcp", s.settings.MetricsListen); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// listenLoopback opens a TCP listener on a loopback address. It rejects other
// addresses, because the Entry service has no authentication.
func listenLoopback(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("parse address of the Entry service: %w", err)
	}
	if !parsed.Addr().IsLoopback() {
		return nil, fmt.Errorf("address of the Entry service: %s is not a loopback address", address)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for the Entry service: %w", err)
	}
	return listener, nil
}

// PacketAddress returns the UDP address that receives packets.
func (s *Server) PacketAddress() netip.AddrPort {
	return s.receivers[0].LocalAddr().(*net.UDPAddr).AddrPort()
}

// APIAddress returns the TCP address of the Entry service.
func (s *Server) APIAddress() string {
	return s.apiListener.Addr().String()
}

// Start starts the goroutines that handle packets and requests.
func (s *Server) Start() {
	jobs := []func() error{s.closeSocketsOnExit, s.expire, s.runOrphanDetector}
	for _, w := range s.workers {
		jobs = append(jobs, w.run)
	}
	api := http.MaxBytesHandler(entrypb.NewEntryServer(&service{server: s}), maxRequestBytes)
	jobs = append(jobs, s.serve(s.apiListener, api)...)
	if s.metricsListener != nil {
		jobs = append(jobs, s.serve(s.metricsListener, telemetry.MetricsHandler(s.registry))...)
	}
	lifecycle.Go(&s.tomb, jobs...)
}

// serve returns the jobs that serve HTTP on a listener until the server ends.
func (s *Server) serve(listener net.Listener, handler http.Handler) []func() error {
	server := &http.Server{Handler: handler, ReadTimeout: readTimeout}
	serve := func() error {
		if err := server.Serve(listener); s.tomb.Alive() {
			return fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
		return nil
	}
	shutDownOnExit := func() error {
		<-s.tomb.Dying()
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		return server.Shutdown(ctx)
	}
	return []func() error{serve, shutDownOnExit}
}

func (s *Server) closeSocketsOnExit() error {
	<-s.tomb.Dying()
	s.closePacketSockets()
	return nil
}

func (s *Server) closePacketSockets() {
	closeAll(s.receivers)
	closeAll(s.senders)
}

// closeListeners closes the TCP listeners when NewServer fails. After Start,
// the HTTP servers close them.
func (s *Server) closeListeners() {
	for _, listener := range []net.Listener{s.apiListener, s.metricsListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// expire removes idle flows periodically.
func (s *Server) expire() error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-ticker.C:
			s.expireOnce()
		}
	}
}

func (s *Server) expireOnce() {
	now := s.now()
	for i := range s.shards {
		s.shards[i].mu.Lock()
		s.shards[i].flows.Expire(now, expireEntriesPerShard)
		s.shards[i].mu.Unlock()
	}
}

// Dead returns a channel that is closed when all goroutines of the server have
// ended.
func (s *Server) Dead() <-chan struct{} {
	return s.tomb.Dead()
}

// Stop stops the server without waiting for further packets. It returns the
// error that stopped the server earlier, if any.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	return s.tomb.Wait()
}

// StopWhenIdle stops the server once no packet has arrived for the duration idle,
// which shows that peers and the fabric no longer send to this instance, or after
// the duration deadline. It reports whether the server was idle that long, and
// returns the error that stopped it earlier, if any.
func (s *Server) StopWhenIdle(idle, deadline time.Duration) (bool, error) {
	begin := s.now()
	ticker := time.NewTicker(min(idle, deadline) / 10)
	defer ticker.Stop()
	for {
		now := s.now()
		if now-max(begin, s.lastReceived()) >= idle {
			return true, s.Stop()
		}
		if now-begin >= deadline {
			return false, s.Stop()
		}
		select {
		case <-s.tomb.Dying():
			return false, s.Stop()
		case <-ticker.C:
		}
	}
}

// lastReceived returns when the last packet arrived, on the clock of now.
func (s *Server) lastReceived() time.Duration {
	var last time.Duration
	for _, w := range s.workers {
		last = max(last, time.Duration(w.counters.lastReceived.Load()))
	}
	return last
}

// now returns the monotonic time since the server was created.
func (s *Server) now() time.Duration {
	return s.since(time.Now())
}

func (s *Server) since(t time.Time) time.Duration {
	return t.Sub(s.started)
}

// release returns the number of the release in force, 0 before the first.
func (s *Server) release() uint64 {
	if current := s.state.Load(); current != nil {
		return current.snapshot.Release
	}
	return 0
}

// flowStats returns the sums of the flow statistics of all shards.
func (s *Server) flowStats() flow.Stats {
	var sum flow.Stats
	for i := range s.shards {
		s.shards[i].mu.Lock()
		stats := s.shards[i].flows.Stats()
		s.shards[i].mu.Unlock()
		sum.OpenFlows += stats.OpenFlows
		sum.MaxFlows += stats.MaxFlows
		sum.ExceptionsOwned += stats.ExceptionsOwned
		sum.ExceptionsHeld += stats.ExceptionsHeld
		sum.FlowsOpened += stats.FlowsOpened
		sum.FlowsRefused += stats.FlowsRefused
		sum.FlowsAdopted += stats.FlowsAdopted
		sum.ExceptionsLost += stats.ExceptionsLost
		sum.Pending += stats.Pending
	}
	return sum
}

// totals returns the sums of the counters of all workers.
func (s *Server) totals() *totals {
	sum := newTotals()
	for _, w := range s.workers {
		sum.add(&w.counters)
	}
	return sum
}
