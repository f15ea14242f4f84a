package controller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/drain"
	"burdockrelay.example/burdockrelay/internal/decision/health"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/lifecycle"
	"burdockrelay.example/burdockrelay/internal/peer"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/proto/adminpb"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// Controller runs all controllers of one burdock-controld and implements
// admin.Control.
type Controller struct {
	core          *core
	listener      net.Listener
	membership    *membershipController
	configuration *configurationController
	publication   *publicationController
	drain         *drainController
	health        *healthController
	replication   *replicationController
	entry         *entryController
	ackReport     *ackReportController
	group         *groupReleaseController
	status        *statusController
}

var (
	_ admin.Control       = (*Controller)(nil)
	_ admin.OldestInForce = (*Controller)(nil)
)

// New opens the sockets of the peer protocol and returns a controller that is not
// started.
func New(s *settings.Control, logger *zap.Logger, registry prometheus.Registerer) (*Controller, error) {
	address := netip.AddrPortFrom(s.Address, s.PeerPort)
	meter := peer.NewMeter(registry)
	transport, err := peer.Listen(address, s.Group, meter)
	if err != nil {
		return nil, fmt.Errorf("open datagram socket %s: %w", address, err)
	}
	listener, err := net.Listen("tcp4", transport.Address().String())
	if err != nil {
		_ = transport.Close()
		return nil, fmt.Errorf("open peer service %s: %w", address, err)
	}
	c := newCore(s, logger, registry, meter, transport)
	return assemble(c, listener), nil
}

func newCore(s *settings.Control, logger *zap.Logger, registry prometheus.Registerer, meter *peer.Meter, transport *peer.Transport) *core {
	started := time.Now()
	// The incarnation only has to differ from that of an earlier process. If a peer
	// or entryd has recorded a higher one, this instance raises its own above it.
	incarnation := uint64(started.Unix())
	self := membership.Update{
		ID:          common.InstanceIDOf(s.Instance),
		Name:        s.Instance,
		Incarnation: incarnation,
		Entry:       netip.AddrPortFrom(s.Address, s.EntryPort),
		Peer:        transport.Address(),
	}
	return &core{
		settings:       s,
		logger:         logger,
		start:          started,
		self:           self.ID,
		tomb:           &tomb.Tomb{},
		platform:       platform.NewClient(s.Platform, registry),
		transport:      transport,
		peers:          peer.NewClient(transport.CountOther),
		meter:          meter,
		entry:          entrypb.NewEntryProtobufClient("http://"+s.EntryAPI.String(), &http.Client{Timeout: entryTimeout}),
		metrics:        newControlMetrics(registry),
		snapshotSignal: make(chan struct{}, 1),
		fetchSignal:    make(chan struct{}, 1),
		restoreSignal:  make(chan struct{}, 1),
		machine:        membership.New(membership.DefaultConfig(), self, uint64(started.UnixNano()), 0),
		drains:         drain.NewTable(),
		health:         health.NewTable(),
		loaded:         map[uint64]*loadedRelease{},
		acks:           map[common.InstanceID]release.Ack{},
		inputs:         map[string]input{inputPlatform: {}, inputInstances: {}, inputEntry: {}, inputPeers: {}},
		gossipQueue:    newGossipQueue(),
		verify:         func(*config.Release) error { return nil },
	}
}

func assemble(c *core, listener net.Listener) *Controller {
	controller := &Controller{core: c, listener: listener}
	controller.drain = &drainController{core: c, stored: map[common.EndpointID]drain.Override{}}
	controller.replication = newReplicationController(c)
	controller.membership = &membershipController{core: c, replication: controller.replication.handle}
	controller.configuration = &configurationController{core: c, drains: controller.drain}
	controller.publication = newPublicationController(c)
	controller.health = newHealthController(c)
	controller.entry = &entryController{core: c, epoch: uint64(time.Now().UnixNano())}
	controller.ackReport = &ackReportController{core: c, mayExist: true}
	controller.group = newGroupReleaseController(c)
	controller.status = &statusController{c}
	return controller
}

// Start runs the controllers until Stop or until one of them fails.
func (c *Controller) Start() {
	t := c.core.tomb
	ctx := t.Context(context.Background())
	jobs := []func(context.Context) error{
		c.membership.tick,
		c.membership.pollInstanceList,
		c.configuration.watchPlatform,
		c.configuration.pollPointer,
		c.configuration.run,
		c.publication.restoreLostReleases,
		c.drain.run,
		c.health.run,
		c.replication.run,
		c.replication.join,
		c.entry.run,
		c.ackReport.run,
		c.group.run,
		func(ctx context.Context) error { return peer.Serve(ctx, c.listener, &peerService{c.core}) },
	}
	running := []func() error{
		c.membership.receive,
		func() error {
			<-t.Dying()
			return c.core.transport.Close()
		},
	}
	for _, job := range jobs {
		running = append(running, func() error { return job(ctx) })
	}
	lifecycle.Go(t, running...)
}

// Dead is closed when all controllers have ended.
func (c *Controller) Dead() <-chan struct{} { return c.core.tomb.Dead() }

// Err returns the error that ended the controllers.
func (c *Controller) Err() error { return c.core.tomb.Err() }

// Leave hands over the exceptions and then the slots of this instance. The instance
// first stops creating exceptions while it still owns its slots: a successor that
// took over without the newest exceptions would send their flows to another
// endpoint.
func (c *Controller) Leave() {
	c.core.mu.Lock()
	c.core.machine.PrepareLeave()
	c.core.mu.Unlock()
	c.core.logger.Info("preparing_to_leave")
	c.core.snapshotChanged()
	c.replication.waitReplicated(0, prepareLeaveTimeout, idlePollsBeforeLeave, maxPendingAtLeave)
	c.core.mu.Lock()
	c.core.machine.Leave(c.core.now())
	c.core.mu.Unlock()
	c.core.logger.Info("leaving")
	c.core.snapshotChanged()
	c.membership.announce()
	c.replication.waitReplicated(minHandoverTime, handoverTimeout, idlePollsBeforeExit, 0)
}

// Stop ends the controllers and waits for them.
func (c *Controller) Stop() error {
	c.core.tomb.Kill(nil)
	return c.core.tomb.Wait()
}

// Accepted returns the accepted release that is in force on this instance, nil if
// there is none.
func (c *Controller) Accepted() *config.Release {
	c.core.mu.Lock()
	defer c.core.mu.Unlock()
	if c.core.inForce == nil {
		return nil
	}
	return c.core.inForce.release
}

// OldestInForce returns the lowest release that any instance may have in force, or
// 0 if it is unknown.
func (c *Controller) OldestInForce() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), groupReadTimeout)
	defer cancel()
	return c.core.oldestInForce(ctx)
}

// Publish builds a release, writes it and waits for its acceptance.
func (c *Controller) Publish(ctx context.Context, configuration *config.Configuration, base uint64, info config.ReleaseInfo) (admin.PublishResult, error) {
	return c.publication.publish(ctx, configuration, base, info)
}

// Status returns the state of the instances, services and endpoints.
func (c *Controller) Status(ctx context.Context) (*adminpb.StatusResponse, error) {
	return c.status.status(ctx)
}

// History lists accepted releases, newest first.
func (c *Controller) History(ctx context.Context, limit int) ([]*adminpb.ReleaseSummary, error) {
	records, err := c.publication.history(ctx, limit)
	if err != nil {
		return nil, err
	}
	summaries := make([]*adminpb.ReleaseSummary, 0, len(records))
	for _, record := range records {
		summaries = append(summaries, &adminpb.ReleaseSummary{
			Number:     record.spec.Number,
			Hash:       record.spec.Hash,
			Author:     record.spec.Author,
			Note:       record.spec.Note,
			AcceptedAt: record.created,
			InForce:    record.inForce,
		})
	}
	return summaries, nil
}

// Drain starts or ends a drain and reports whether the platform has stored it.
func (c *Controller) Drain(ctx context.Context, endpoint string, draining bool) (bool, error) {
	return c.drain.set(ctx, endpoint, draining)
}
