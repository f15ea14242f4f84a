// Package relayd assembles an entry instance that steers labelled flows: the packet
// path, the controllers that keep its knowledge fresh, and its lifetime.
package relayd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
	tomb "gopkg.in/tomb.v2"

	"burdockrelay.example/burdockrelay/internal/discovery"
	"burdockrelay.example/burdockrelay/internal/flowtrace"
	"burdockrelay.example/burdockrelay/internal/ingress"
	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/prober"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/internal/telemetry"
)

// Adapter is what speaks to the installation.
type Adapter struct {
	Codec   ingress.Codec
	Store   objectstore.Store
	Source  discovery.Source
	Checker prober.Checker
}

const (
	// holdPackets is how long packets wait in the socket for the first
	// configuration after a start.
	holdPackets = 400 * time.Millisecond
	// missesBeforeStop is the number of probes after which the routers leave an
	// instance out that is not ready.
	missesBeforeStop = 2
	// quietBeforeStop is how long no packet may come after that before a graceful
	// stop ends.
	quietBeforeStop = 100 * time.Millisecond
	// stopTick is the time between two looks during a stop.
	stopTick = 20 * time.Millisecond
	// stopMargin is left of the stop deadline to end by itself.
	stopMargin = time.Second
	// memoryShare is the part of the allowed memory that the heap may take.
	memoryShare = 0.6
	// httpTimeout bounds the reading of requests for readiness and metrics.
	httpTimeout = 2 * time.Second
)

// Instance is one running instance.
type Instance struct {
	settings  *settings.Relay
	logger    *zap.Logger
	knowledge *discovery.Knowledge
	syncer    *discovery.Syncer
	packets   *ingress.Server
	stopping  atomic.Bool
	// misses counts the probes that found the instance stopping.
	misses atomic.Int32
	tomb   tomb.Tomb
}

// bootTime returns the time since the machine started. Unlike the monotonic clock
// it goes on while the machine is suspended, so knowledge ages then too.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("read the boot-time clock: %v", err))
	}
	return time.Duration(now.Nano())
}

// bound returns the tighter of the two bounds between a change and its effect.
func bound(s *settings.Relay) time.Duration {
	return min(s.ApplyDeadline, s.DrainApplyDeadline)
}

// Start opens the sockets and begins to serve. The registry holds the metrics.
func Start(loaded *settings.Relay, adapter Adapter, logger *zap.Logger, registry *prometheus.Registry, tracer trace.Tracer) (*Instance, error) {
	if loaded.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(loaded.MemoryMB) * (1 << 20)))
	}
	i := &Instance{settings: loaded, logger: logger}
	ctx := i.tomb.Context(context.Background())
	i.knowledge = discovery.NewKnowledge(loaded.Instance, loaded.DataCentre, loaded.FlowLifetime, bound(loaded), bootTime)
	self := discovery.Peer{Name: loaded.Instance, Address: loaded.PeerAddress}
	peers := discovery.NewPeers(self, seedAddresses(loaded))
	metrics := discovery.NewMetrics(registry, i.knowledge, peers)
	i.syncer = discovery.NewSyncer(loaded.Instance, bound(loaded), i.knowledge, peers, adapter.Source, metrics, logger)
	checks := prober.New(ctx, adapter.Checker, i.knowledge, logger, registry)
	observer := ingress.NewObserver(logger, registry, flowtrace.New(tracer, loaded.Trace.SampleRatio), checks.Suspect)
	var err error
	i.packets, err = ingress.Listen(loaded.PacketListen, adapter.Codec, i.knowledge, observer, int(loaded.MaxFlows))
	if err != nil {
		return nil, err
	}
	service := &discovery.Service{
		Knowledge: i.knowledge, Peers: peers, Reads: i.syncer.Reads, Hear: i.syncer.Hear, Metrics: metrics,
	}
	if err := i.listen(ctx, registry, service); err != nil {
		_ = i.Kill()
		return nil, err
	}
	i.run(func() error { return i.syncer.Run(ctx) })
	instances := &discovery.Registry{
		Store: adapter.Store, Self: self, Logger: logger, Now: i.knowledge.Now,
		Reads: i.syncer.Reads, Peers: peers, Found: i.syncer.Hear,
	}
	i.run(func() error { return instances.Run(ctx) })
	i.run(i.startPackets)
	return i, nil
}

func (i *Instance) run(f func() error) { i.tomb.Go(f) }

// seedAddresses returns where the seeds serve peers: the ports are the same on all
// instances.
func seedAddresses(loaded *settings.Relay) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range loaded.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), loaded.PeerListen.Port()))
	}
	return seeds
}

// listen opens the listeners and serves them.
func (i *Instance) listen(ctx context.Context, registry *prometheus.Registry, service *discovery.Service) error {
	ready, err := net.Listen("tcp", i.settings.ReadyListen.String())
	if err != nil {
		return fmt.Errorf("listen for readiness: %w", err)
	}
	i.serve(ready, http.HandlerFunc(i.ready))
	peerListener, err := net.Listen("tcp", i.settings.PeerListen.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	i.run(func() error { return service.Serve(ctx, peerListener) })
	if !i.settings.MetricsListen.IsValid() {
		return nil
	}
	metrics, err := net.Listen("tcp", i.settings.MetricsListen.String())
	if err != nil {
		// Callers are served without metrics too.
		i.logger.Error("metrics_unavailable", zap.Stringer("address", i.settings.MetricsListen), zap.Error(err))
		return nil
	}
	i.serve(metrics, telemetry.MetricsHandler(registry))
	return nil
}

func (i *Instance) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadTimeout: httpTimeout}
	i.run(func() error {
		if err := server.Serve(listener); i.tomb.Alive() {
			return fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
		return nil
	})
	i.run(func() error {
		<-i.tomb.Dying()
		return server.Close()
	})
}

// ready answers the routers' probes. An instance with old knowledge is ready: it
// serves better than none.
func (i *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if i.stopping.Load() {
		i.misses.Add(1)
	}
	if i.stopping.Load() || !i.knowledge.Known() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// startPackets begins to handle packets with the first configuration, or after a
// time without one.
func (i *Instance) startPackets() error {
	select {
	case <-i.knowledge.Ready():
	case <-time.After(holdPackets):
	case <-i.tomb.Dying():
		return nil
	}
	i.packets.Start()
	select {
	case <-i.packets.Dead():
		return i.packets.Stop()
	case <-i.tomb.Dying():
		return nil
	}
}

// Dying is closed when the instance ends, by a fault or by Kill.
func (i *Instance) Dying() <-chan struct{} { return i.tomb.Dying() }

// Stop takes the instance out of rotation, handles packets until none has come for
// a while or the deadline is near, and ends.
func (i *Instance) Stop() error {
	i.stopping.Store(true)
	began := i.knowledge.Now()
	deadline := max(i.settings.StopDeadline-stopMargin, i.settings.StopDeadline/2)
	for {
		now := i.knowledge.Now()
		quiet := now-max(began, i.packets.LastPacket()) >= quietBeforeStop
		if now-began >= deadline || quiet && i.misses.Load() >= missesBeforeStop {
			i.logger.Info("stopped", zap.Bool("quiet", quiet), zap.Duration("took", now-began))
			return i.Kill()
		}
		time.Sleep(stopTick)
	}
}

// Kill ends the instance at once.
func (i *Instance) Kill() error {
	i.tomb.Kill(nil)
	err := i.packets.Stop()
	if waitErr := i.tomb.Wait(); err == nil {
		err = waitErr
	}
	return err
}
