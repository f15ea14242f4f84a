// Package controller holds the controllers of burdock-controld: configuration,
// publication, membership, endpoint health, drain, replication, the feed of
// entryd and the status. Each file has one job; all share one core.
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

// loadedRelease is a release that was fetched and checked here.
type loadedRelease struct {
	ref     release.Ref
	release *config.Release
	// base holds the release for deltas to later ones.
	base *config.DeltaBase
	// transferGuard guards the encoded forms below it, which take longer to make
	// than mu may be held.
	transferGuard sync.Mutex
	// body is nil after a delta until a peer asks for it.
	body []byte
	// deltas holds the deltas to this release by the hash of their base.
	deltas map[string][]byte
}

// input is the freshness of one source of information.
type input struct {
	at    time.Duration
	seen  bool
	state string
}

// core is the state that the controllers share. mu guards everything below it.
type core struct {
	settings *settings.Control
	logger   *zap.Logger
	start    time.Time
	self     common.InstanceID

	// tomb holds every goroutine of the daemon.
	tomb *tomb.Tomb

	platform  *platform.Client
	transport *peer.Transport
	peers     *peer.Client
	meter     *peer.Meter
	entry     entrypb.Entry
	metrics   *controlMetrics

	// wake receives a value when the snapshot for entryd has changed, wanted
	// when a release should be fetched.
	wake   chan struct{}
	wanted chan struct{}

	mu       sync.Mutex
	machine  *membership.Machine
	tracker  release.Tracker
	drains   *drain.Table
	health   *health.Table
	loaded   map[uint64]*loadedRelease
	inForce  *loadedRelease
	services []common.Service
	// inForceSince is when the first release came into force here.
	inForceSince time.Duration
	ownAck       release.Ack
	acks         map[common.InstanceID]release.Ack
	list         []instanceInfo
	listed       bool
	inputs       map[string]input
	gossip       *gossip
	stats        *entrypb.StatsResponse
	// snapshotRelease is the release of the last snapshot that entryd took.
	snapshotRelease uint64
	// preparedSince is when the present prepared release was first seen.
	preparedSince time.Duration

	// verify is a further check of each release that was decoded. It is set
	// before Start.
	verify func(*config.Release) error
}

type controlMetrics struct {
	release  prometheus.Gauge
	members  *prometheus.GaugeVec
	settled  prometheus.Gauge
	rejoins  prometheus.Gauge
	leaseErr prometheus.Counter
	resends  prometheus.Counter
	loads    *prometheus.CounterVec
}

func newControlMetrics(registry prometheus.Registerer) *controlMetrics {
	m := &controlMetrics{
		release:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_control_release", Help: "Release in force."}),
		members:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "burdock_control_members", Help: "Members of the view by state."}, []string{"state"}),
		settled:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_control_settled", Help: "1 when the view is settled."}),
		rejoins:  prometheus.NewGauge(prometheus.GaugeOpts{Name: "burdock_control_rejoins", Help: "Times this instance went back to joining."}),
		leaseErr: prometheus.NewCounter(prometheus.CounterOpts{Name: "burdock_control_lease_failures_total", Help: "Lease renewals that entryd did not answer or refused."}),
		resends:  prometheus.NewCounter(prometheus.CounterOpts{Name: "burdock_control_replication_resends_total", Help: "Replication batches sent again."}),
		loads:    prometheus.NewCounterVec(prometheus.CounterOpts{Name: "burdock_control_releases_loaded_total", Help: "Releases loaded, by form (body or delta)."}, []string{"form"}),
	}
	if registry != nil {
		registry.MustRegister(m.release, m.members, m.settled, m.rejoins, m.leaseErr, m.resends, m.loads)
	}
	return m
}

// now is the monotonic time since the start of the process.
func (c *core) now() time.Duration { return time.Since(c.start) }

// snapshotChanged asks for a new snapshot for entryd.
func (c *core) snapshotChanged() { signal(c.wake) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// fresh records that an input delivered.
func (c *core) fresh(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inputs[name] = input{at: c.now(), seen: true, state: "ok"}
}

// stale records that an input failed; its age keeps growing.
func (c *core) stale(name string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.inputs[name]
	known.state = err.Error()
	c.inputs[name] = known
}

// Names of the inputs in the status.
const (
	inputPlatform  = "platform"
	inputInstances = "instances"
	inputEntry     = "entryd"
	inputPeers     = "peers"
)

// peerAddress returns where a peer's datagrams and Peer service are, or false
// when the peer is unknown or dead.
func (c *core) peerAddress(id common.InstanceID) (netip.AddrPort, bool) {
	for _, update := range c.machine.Peers() {
		if update.ID == id {
			return update.Peer, update.Peer.IsValid()
		}
	}
	return netip.AddrPort{}, false
}
