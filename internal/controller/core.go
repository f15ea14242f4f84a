// Package controller implements the controllers of burdock-controld: configuration,
// publication, membership, endpoint health, drains, replication, status, and the
// snapshots and leases for entryd. They share the state in core.
package controller

import (
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/drain"
	"burdockrelay.example/burdockrelay/internal/decision/health"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/peer"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// instanceInfo is one item of the instance list.
type instanceInfo struct {
	id         common.InstanceID
	name       string
	dataCentre string
	group      string
	leaving    bool
}

// loadedRelease is a release that this instance has fetched and verified.
type loadedRelease struct {
	ref     release.Ref
	release *config.Release
	// base is the release as the base of deltas to later ones.
	base *config.DeltaBase
	// encodedMu guards the encoded forms below it, which take longer to make than
	// mu may be held.
	encodedMu sync.Mutex
	// body is nil for a release that was loaded as a delta until a peer requests
	// the body.
	body []byte
	// deltas holds the deltas to this release by the hash of their base.
	deltas map[string][]byte
}

// input is the state of one source of information ("ok" or the last error, empty
// before the first update) and the time of its last successful update.
type input struct {
	updatedAt time.Duration
	received  bool
	state     string
}

// core is the state that the controllers share. mu guards the fields below it.
type core struct {
	settings *settings.Control
	logger   *zap.Logger
	start    time.Time
	self     common.InstanceID

	// tomb tracks all goroutines of the daemon.
	tomb *tomb.Tomb

	platform  *platform.Client
	transport *peer.Transport
	peers     *peer.Client
	meter     *peer.Meter
	entry     entrypb.Entry
	metrics   *controlMetrics

	// snapshotSignal requests a new snapshot for entryd, fetchSignal the fetch of a
	// release, and restoreSignal a check whether the platform has lost the accepted
	// release.
	snapshotSignal chan struct{}
	fetchSignal    chan struct{}
	restoreSignal  chan struct{}

	mu       sync.Mutex
	machine  *membership.Machine
	tracker  release.Tracker
	drains   *drain.Table
	health   *health.Table
	loaded   map[uint64]*loadedRelease
	inForce  *loadedRelease
	services []common.Service
	// inForceSince is the time at which a release first came into force on this
	// instance.
	inForceSince    time.Duration
	ownAck          release.Ack
	acks            map[common.InstanceID]release.Ack
	instances       []instanceInfo
	instancesLoaded bool
	inputs          map[string]input
	gossipQueue     *gossipQueue
	stats           *entrypb.StatsResponse
	// snapshotRelease is the release of the last snapshot that entryd applied.
	snapshotRelease uint64
	// preparedSince is the time at which the current prepared release was first
	// observed.
	preparedSince time.Duration

	// verify is an additional check of each decoded release. It is set before
	// Start.
	verify func(*config.Release) error
}

type controlMetrics struct {
	release        prometheus.Gauge
	members        *prometheus.GaugeVec
	settled        prometheus.Gauge
	rejoins        prometheus.Gauge
	leaseFailures  prometheus.Counter
	resends        prometheus.Counter
	releasesLoaded *prometheus.CounterVec
}

func newControlMetrics(registry prometheus.Registerer) *controlMetrics {
	m := &controlMetrics{
		release:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_control_release", Help: "Release in force."}),
		members:        prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "burdock_control_members", Help: "Members of the view by state."}, []string{"state"}),
		settled:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_control_settled", Help: "1 when the view is settled."}),
		rejoins:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_control_rejoins", Help: "Times this instance went back to joining."}),
		leaseFailures:  prometheus.NewCounter(prometheus.CounterOpts{Name: "burdock_control_lease_failures_total", Help: "Lease renewals that entryd did not answer or refused."}),
		resends:        prometheus.NewCounter(prometheus.CounterOpts{Name: "burdock_control_replication_resends_total", Help: "Replication batches sent again."}),
		releasesLoaded: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "burdock_control_releases_loaded_total", Help: "Releases loaded, by form (body or delta)."}, []string{"form"}),
	}
	if registry != nil {
		registry.MustRegister(m.release, m.members, m.settled, m.rejoins, m.leaseFailures, m.resends, m.releasesLoaded)
	}
	return m
}

// now returns the monotonic time since the start of the process.
func (c *core) now() time.Duration { return time.Since(c.start) }

// snapshotChanged requests a new snapshot for entryd.
func (c *core) snapshotChanged() { signal(c.snapshotSignal) }

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// inputOK records a successful update from an input.
func (c *core) inputOK(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inputs[name] = input{updatedAt: c.now(), received: true, state: "ok"}
}

// inputFailed records the error of an input and keeps the time of its last update.
func (c *core) inputFailed(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.inputs[name]
	current.state = err.Error()
	c.inputs[name] = current
}

// Names of the inputs in the status.
const (
	inputPlatform  = "platform"
	inputInstances = "instances"
	inputEntry     = "entryd"
	inputPeers     = "peers"
)

// peerAddress returns the address of a peer's datagram socket and Peer service, or
// false if the peer is unknown or dead. The caller holds mu.
func (c *core) peerAddress(id common.InstanceID) (netip.AddrPort, bool) {
	for _, update := range c.machine.Peers() {
		if update.ID == id {
			return update.Peer, update.Peer.IsValid()
		}
	}
	return netip.AddrPort{}, false
}
