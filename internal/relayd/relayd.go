// Package relayd assembles an entry instance that steers labelled flows: the packet
// path, the synchronisation of its configuration and endpoints, and its start and stop.
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

	"burdockrelay.example/burdockrelay/internal/decision/hedge"
	"burdockrelay.example/burdockrelay/internal/discovery"
	"burdockrelay.example/burdockrelay/internal/flowtrace"
	"burdockrelay.example/burdockrelay/internal/ingress"
	"burdockrelay.example/burdockrelay/internal/lifecycle"
	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/prober"
	"burdockrelay.example/burdockrelay/internal/settings"
)

// Adapter holds the components that communicate with the platform.
type Adapter struct {
	Codec   ingress.Codec
	Store   objectstore.Store
	Source  discovery.Source
	Checker prober.Checker
}

const (
	// maxStartDelay is the maximum time after the start for which packets are held in
	// the socket while there is no configuration.
	maxStartDelay = 400 * time.Millisecond
	// failedProbesBeforeStop is the number of failed readiness probes after which the
	// routers no longer send packets to an instance.
	failedProbesBeforeStop = 2
	// idleBeforeStop is the time without packets after which a graceful stop ends, once
	// the routers have stopped sending packets.
	idleBeforeStop = 100 * time.Millisecond
	// stopPollInterval is the time between two checks of the stop conditions.
	stopPollInterval = 20 * time.Millisecond
	// stopMargin is the part of the stop deadline that is reserved for ending the
	// process after the last packet.
	stopMargin = time.Second
	// memoryLimitFraction is the fraction of the memory limit that is set as the soft
	// limit of the Go runtime.
	memoryLimitFraction = 0.6
	// httpTimeout limits the time to read a request for readiness or metrics.
	httpTimeout = 2 * time.Second
)

// Instance is a running entry instance.
type Instance struct {
	settings     *settings.Relay
	logger       *zap.Logger
	cache        *discovery.Cache
	syncer       *discovery.Syncer
	packetServer *ingress.Server
	stopping     atomic.Bool
	// failedProbes counts the readiness probes that failed because the instance is
	// stopping.
	failedProbes atomic.Int32
	tomb         tomb.Tomb
}

// bootTime returns the time since the machine booted. Unlike the monotonic clock, it
// includes time during which the machine is suspended, so that the cached state ages
// then too.
func bootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("read the boot-time clock: %v", err))
	}
	return time.Duration(now.Nano())
}

// applyDeadline returns the shortest of the deadlines for applying changes.
func applyDeadline(s *settings.Relay) time.Duration {
	shortest := min(s.ApplyDeadline, s.DrainApplyDeadline)
	if s.EvacuationDeadline > 0 {
		shortest = min(shortest, s.EvacuationDeadline)
	}
	return shortest
}

// applyHedging applies the limits of hedges. There are none while the instance is stopping:
// the routers send acknowledgements of flows that it has opened to other instances, and a
// second answer would then replace the label of an open flow.
func (i *Instance) applyHedging(s *settings.Relay) {
	i.packetServer.SetHedging(hedge.Limits{
		Share: s.Hedge.Share, FloorPerSecond: s.Hedge.FloorPerSecond, CeilingPerSecond: s.Hedge.CeilingPerSecond,
	})
	i.packetServer.DetectStalled(s.Hedge.Stalled)
	// Checked last, so that a reload during the stop does not switch hedges on again.
	if i.stopping.Load() {
		i.packetServer.SetHedging(hedge.Limits{})
		i.packetServer.DetectStalled(false)
	}
}

// Start opens the sockets and starts an instance. Its metrics are registered in
// registry.
func Start(loaded *settings.Relay, adapter Adapter, logger *zap.Logger, registry *prometheus.Registry, tracer trace.Tracer) (*Instance, error) {
	if loaded.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(loaded.MemoryMB) * (1 << 20)))
	}
	listeners, err := listen(loaded, logger)
	if err != nil {
		return nil, err
	}
	i := &Instance{settings: loaded, logger: logger}
	ctx := i.tomb.Context(context.Background())
	i.cache = discovery.NewCache(loaded.Instance, loaded.DataCentre, loaded.FlowLifetime, applyDeadline(loaded), bootTime)
	i.cache.SetWarmUpLimit(loaded.WarmUp.Excess, loaded.WarmUp.Burst)
	self := discovery.Peer{Name: loaded.Instance, Address: loaded.PeerAddress}
	peers := discovery.NewPeers(self, seedAddresses(loaded))
	metrics := discovery.NewMetrics(registry, i.cache, peers)
	i.syncer = discovery.NewSyncer(loaded.Instance, applyDeadline(loaded), i.cache, peers, adapter.Source, metrics, logger)
	if loaded.EvacuationDeadline > 0 {
		i.cache.ApplyEvacuations()
		registry.MustRegister(discovery.EvacuationCollector{Cache: i.cache, Syncer: i.syncer})
	}
	checks := prober.New(ctx, adapter.Checker, i.cache, logger, registry)
	observer := ingress.NewObserver(logger, registry, flowtrace.New(tracer, loaded.Trace.SampleRatio), checks.Probe)
	i.packetServer, err = ingress.Listen(loaded.PacketListen, adapter.Codec, i.cache, observer, int(loaded.MaxFlows))
	if err != nil {
		listeners.close()
		i.tomb.Kill(nil)
		return nil, err
	}
	i.configurePackets(loaded, checks)
	peerServer := &discovery.Server{
		Cache: i.cache, Peers: peers, ReadsStore: i.syncer.ReadsStore, AddPeers: i.syncer.AddPeers, Metrics: metrics,
	}
	instanceRegistry := i.newRegistry(loaded, adapter.Store, self, peers)
	jobs := []func() error{
		func() error { return peerServer.Serve(ctx, listeners.peer) },
		func() error { return i.syncer.Run(ctx) },
		func() error { return instanceRegistry.Run(ctx) },
		i.startPackets,
	}
	if loaded.CloseSilent {
		jobs = append(jobs, i.silenceReports(ctx, peers, registry)...)
	}
	jobs = append(jobs, i.serve(listeners.ready, http.HandlerFunc(i.ready))...)
	if listeners.metrics != nil {
		jobs = append(jobs, i.serve(listeners.metrics, i.operatorsHandler(registry))...)
	}
	lifecycle.Go(&i.tomb, jobs...)
	return i, nil
}

// configurePackets applies the settings of the packet server before it starts, and connects it
// with the health checks.
func (i *Instance) configurePackets(loaded *settings.Relay, checks *prober.Prober) {
	if loaded.CloseSilent {
		i.cache.DetectSilence()
		i.packetServer.DetectSilence()
		checks.OnEvidence(i.packetServer.CloseSilent)
	}
	i.packetServer.SetStallChecker(checks.ConfirmStalled)
	i.applyHedging(loaded)
	i.packetServer.SetOverflowShare(loaded.Overflow.Share)
}

// newRegistry returns the registry that keeps the instance registered in the store.
func (i *Instance) newRegistry(loaded *settings.Relay, store objectstore.Store, self discovery.Peer, peers *discovery.Peers) *discovery.Registry {
	r := &discovery.Registry{
		Store: store, Self: self, Logger: i.logger, Now: i.cache.Now,
		ReadsStore: i.syncer.ReadsStore, Peers: peers, OnPeers: i.syncer.AddPeers,
		Restores: i.syncer.Restores(),
	}
	if loaded.WarmUp.Enabled() {
		r.OnRegistered = i.cache.SetRegistered
	}
	return r
}

// seedAddresses returns the addresses at which the seeds serve peers. The peer port is
// the same on all instances.
func seedAddresses(loaded *settings.Relay) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, seed := range loaded.Seeds {
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), loaded.PeerListen.Port()))
	}
	return seeds
}

// serve returns the jobs that serve HTTP on a listener until the instance ends.
func (i *Instance) serve(listener net.Listener, handler http.Handler) []func() error {
	server := &http.Server{Handler: handler, ReadTimeout: httpTimeout}
	serve := func() error {
		if err := server.Serve(listener); i.tomb.Alive() {
			return fmt.Errorf("serve %s: %w", listener.Addr(), err)
		}
		return nil
	}
	closeOnExit := func() error {
		<-i.tomb.Dying()
		return server.Close()
	}
	return []func() error{serve, closeOnExit}
}

// ready handles the routers' readiness probes. An instance with outdated configuration
// is ready, because it serves callers better than no instance.
func (i *Instance) ready(w http.ResponseWriter, _ *http.Request) {
	if i.stopping.Load() {
		i.failedProbes.Add(1)
	}
	if i.stopping.Load() || !i.cache.HasConfiguration() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// startPackets starts handling packets as soon as there is a configuration, or after
// maxStartDelay, and waits until the instance ends.
func (i *Instance) startPackets() error {
	select {
	case <-i.cache.Ready():
	case <-time.After(maxStartDelay):
	case <-i.tomb.Dying():
		return nil
	}
	i.packetServer.Start()
	select {
	case <-i.packetServer.Dead():
		return i.packetServer.Stop()
	case <-i.tomb.Dying():
		return nil
	}
}

// Dying returns a channel that is closed when the instance ends, because of an error or
// Kill.
func (i *Instance) Dying() <-chan struct{} { return i.tomb.Dying() }

// Stop makes the readiness probes fail, handles packets until none has arrived for
// idleBeforeStop or the stop deadline is near, and ends the instance.
func (i *Instance) Stop() error {
	i.stopping.Store(true)
	i.applyHedging(i.settings)
	startedAt := i.cache.Now()
	deadline := max(i.settings.StopDeadline-stopMargin, i.settings.StopDeadline/2)
	for {
		now := i.cache.Now()
		idle := now-max(startedAt, i.packetServer.LastPacketAt()) >= idleBeforeStop
		if now-startedAt >= deadline || idle && i.failedProbes.Load() >= failedProbesBeforeStop {
			i.logger.Info("stopped", zap.Bool("quiet", idle), zap.Duration("took", now-startedAt))
			return i.Kill()
		}
		time.Sleep(stopPollInterval)
	}
}

// Kill ends the instance immediately and returns the error that ended it, if any.
func (i *Instance) Kill() error {
	i.tomb.Kill(nil)
	err := i.packetServer.Stop()
	if waitErr := i.tomb.Wait(); err == nil {
		err = waitErr
	}
	return err
}
