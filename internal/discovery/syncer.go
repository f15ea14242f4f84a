package discovery

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// Source reads the object store.
type Source interface {
	// Revision returns the store's present revision by the cheapest linearizable
	// read.
	Revision(ctx context.Context) (uint64, error)
	// Everything returns the configuration and all endpoints. proceed is called before
	// each part of a list but the first, perhaps for two lists at a time; its error
	// ends the read.
	Everything(ctx context.Context, proceed func(context.Context) error) (directory.Update, error)
	// Changes returns what has changed after a revision. It may be incomplete
	// while the store forgets its history: the update then ends below the
	// revision that Revision returned.
	Changes(ctx context.Context, since uint64) (directory.Update, error)
}

const (
	// seedInterval is the time between questions to the seeds while no peer is
	// known, blankSeedInterval while nothing at all is: the seeds may have started
	// at the same time.
	seedInterval      = time.Second
	blankSeedInterval = 100 * time.Millisecond
	// seedHold is how long the first read of the store waits for the seeds, which
	// answer in a few milliseconds when they can.
	seedHold = 30 * time.Millisecond
	// fullReadsAfterMiss is how long after an incomplete read of changes
	// everything is read instead.
	fullReadsAfterMiss = 5 * time.Second
	// forgetInterval is the time between two looks for peers that are gone.
	forgetInterval = 30 * time.Second
	// askPart is the part of the bound between a change and its effect that a peer
	// may take to answer.
	askPart = 10
)

// Syncer keeps the knowledge of an instance fresh.
type Syncer struct {
	plan      *freshness.Scheduler
	knowledge *Knowledge
	peers     *Peers
	source    Source
	client    *peerClient
	metrics   *Metrics
	logger    *zap.Logger

	events chan func()
	// reading counts the reads under way; longRead is set while one of them goes on
	// with a long list.
	reading  int
	longRead atomic.Bool
	// fullUntil is when changes are read again instead of everything.
	fullUntil time.Duration
	storeUp   bool
	// reads tells the peers whether this instance reads the store.
	reads atomic.Bool
	// forgotAt is when peers were last looked through for those that are gone.
	forgotAt time.Duration
	// seedsAsked counts the seeds that have not answered yet, seedsAskedAt is when they
	// were asked last, negative for never.
	seedsAsked   int
	seedsAskedAt time.Duration
}

// NewSyncer returns a syncer that reads the source and asks peers, so that a change
// in the store is known within the bound.
func NewSyncer(self string, bound time.Duration, knowledge *Knowledge, peers *Peers, source Source, metrics *Metrics, logger *zap.Logger) *Syncer {
	return &Syncer{
		plan:      freshness.NewScheduler(self, freshness.SettingsFor(bound)),
		knowledge: knowledge, peers: peers, source: source, client: newPeerClient(bound / askPart),
		metrics: metrics, logger: logger,
		events: make(chan func(), 64), storeUp: true, seedsAskedAt: -seedInterval,
	}
}

// Run keeps the knowledge fresh until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.knowledge.Now()
		askSeeds := s.askSeeds(ctx, now)
		s.forgetPeers(now)
		step := s.plan.Next(now)
		s.reads.Store(s.plan.ReadsStore(now))
		s.start(ctx, step)
		wake := min(step.Wake, askSeeds)
		settle, changes := s.knowledge.Settle()
		if settle != 0 {
			wake = min(wake, settle)
		}
		s.logChanges(changes, "grace_over", 0)
		timer.Reset(max(wake-now, time.Millisecond))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case event := <-s.events:
			event()
		}
	}
}

// post hands the end of an operation to the loop, which alone uses the plan.
func (s *Syncer) post(ctx context.Context, event func()) {
	select {
	case s.events <- event:
	case <-ctx.Done():
	}
}

func (s *Syncer) start(ctx context.Context, step freshness.Step) {
	if step.Read {
		s.startRead(ctx)
	}
	if step.Query == "" {
		return
	}
	address, found := s.peers.Address(step.Query)
	if !found {
		s.plan.QueryDone(s.knowledge.Now(), step.Query, freshness.NoResponse, 0)
		return
	}
	go s.ask(ctx, step.Query, address)
}

// noteStore tells of a lost or regained store.
func (s *Syncer) noteStore(err error, took time.Duration) {
	up := err == nil
	if up == s.storeUp {
		return
	}
	s.storeUp = up
	age := zap.Skip()
	if confirmed, known := s.plan.Age(s.knowledge.Now()); known {
		age = zap.Duration("age", confirmed)
	}
	if up {
		s.logger.Info("store_regained", zap.Duration("took", took), age)
		return
	}
	code, _ := resultcode.Of(err)
	s.logger.Warn("store_lost", zap.Uint32("result_code", uint32(code)), zap.Duration("took", took), age, zap.Error(err))
}

// ask asks a peer once.
func (s *Syncer) ask(ctx context.Context, name string, address netip.AddrPort) {
	at, configurationRevision := s.knowledge.At()
	request := &syncpb.FetchRequest{
		Asker: s.peers.Self(), ConfigurationRevision: configurationRevision,
		EndpointsRevision: at, PeersHash: s.peers.Hash(),
	}
	asked := s.knowledge.Now()
	answer, err := s.client.fetch(ctx, address, request)
	s.post(ctx, func() { s.answered(name, answer, err, asked) })
}

// answered takes a peer's answer to a question asked at a time. The age of the
// peer's knowledge counts from then, because the answer may have waited anywhere
// on its way.
func (s *Syncer) answered(name string, answer *syncpb.FetchResponse, err error, asked time.Duration) {
	now := s.knowledge.Now()
	s.metrics.asked(err == nil, now-asked)
	if err != nil {
		s.logger.Warn("peer_silent", zap.String("peer", name), zap.Duration("took", now-asked), zap.Error(err))
		s.plan.QueryDone(now, name, freshness.NoResponse, 0)
		return
	}
	s.hear(answer.Peers, now)
	age := time.Duration(answer.AgeUs) * time.Microsecond
	if !answer.Known {
		s.plan.QueryDone(now, name, freshness.Empty, 0)
		return
	}
	s.plan.QueryDone(now, name, s.plan.Classify(answer.Reads, age), age)
	word := Word{ConfirmedAt: asked - age}
	if answer.ReturnedUs > 0 {
		word.ReturnedAt = asked - time.Duration(answer.ReturnedUs)*time.Microsecond
	}
	update, err := updateFromWire(answer, now)
	if err != nil {
		s.logger.Error("peer_unreadable", zap.String("peer", name), zap.Error(err))
		return
	}
	s.apply(update, word, name)
}

func (s *Syncer) apply(update directory.Update, word Word, from string) {
	applied := s.knowledge.Apply(&update, word)
	if !applied.Usable {
		s.logger.Info("update_unusable", zap.String("from", from), zap.Uint64("since", update.Since), zap.Uint64("at", update.At))
		return
	}
	if s.knowledge.Known() {
		s.plan.Confirm(word.ConfirmedAt)
	}
	if applied.Returned {
		s.logger.Info("knowledge_regained", zap.String("from", from), zap.Uint64("revision", applied.At))
	}
	age := s.knowledge.Now() - word.ConfirmedAt
	if applied.NewVersion {
		s.logger.Info("configuration_in_force", zap.String("from", from), zap.Uint64("version", applied.Version),
			zap.Uint64("revision", applied.At), zap.Int("rules", applied.Rules), zap.Int64("age_ms", age.Milliseconds()))
	}
	s.logChanges(applied.Changes, from, age)
}

// maxChangesLogged bounds the lines for one update.
const maxChangesLogged = 64

// logChanges tells what is believed anew of endpoints.
func (s *Syncer) logChanges(changes []EndpointChange, from string, age time.Duration) {
	for i := range changes {
		if i == maxChangesLogged {
			s.logger.Info("endpoint_changes_not_logged", zap.Int("count", len(changes)-i))
			return
		}
		c := &changes[i]
		s.logger.Info("endpoint_changed", zap.String("endpoint", c.Endpoint.Name), zap.String("service", c.Endpoint.Service),
			zap.String("data_centre", c.Endpoint.DataCentre), zap.Stringer("was", c.From), zap.Stringer("is", c.To),
			zap.Uint64("revision", c.Endpoint.Revision), zap.String("from", from), zap.Int64("age_ms", age.Milliseconds()))
	}
}

// maxPeersLogged bounds the names in one line.
const maxPeersLogged = 8

// hear takes peers that were told of.
func (s *Syncer) hear(told []*syncpb.Peer, now time.Duration) {
	var found []string
	for _, wire := range told {
		peer, heardAt, err := peerFromWire(wire, now)
		if err != nil {
			s.logger.Warn("peer_unreadable", zap.Error(err))
			continue
		}
		if s.peers.Heard(peer, heardAt) {
			found = append(found, peer.Name)
		}
		s.plan.PeerSeen(peer.Name, heardAt)
	}
	if len(found) > 0 {
		s.logger.Info("peers_found", zap.Int("count", len(found)), zap.Strings("peers", found[:min(len(found), maxPeersLogged)]))
		s.peersChanged()
	}
}

func (s *Syncer) peersChanged() {
	names := s.peers.Names()
	s.plan.SetPeers(names)
	s.knowledge.SetInstances(1 + len(names))
}

// forgetPeers drops the peers that are gone, at intervals.
func (s *Syncer) forgetPeers(now time.Duration) {
	if now-s.forgotAt < forgetInterval {
		return
	}
	s.forgotAt = now
	if forgotten := s.peers.Forget(now); forgotten > 0 {
		s.logger.Info("peers_forgotten", zap.Int("count", forgotten), zap.Int("left", s.peers.Count()))
		s.peersChanged()
	}
}

// Hear takes a peer that asked this instance or that the store lists.
func (s *Syncer) Hear(ctx context.Context, peers ...*syncpb.Peer) {
	s.post(ctx, func() { s.hear(peers, s.knowledge.Now()) })
}

// Reads reports whether the instance reads the store itself and with success.
func (s *Syncer) Reads() bool { return s.reads.Load() }

// SetBound changes the bound between a change in the store and its effect.
func (s *Syncer) SetBound(ctx context.Context, bound time.Duration) {
	s.post(ctx, func() { s.plan.SetSettings(freshness.SettingsFor(bound)) })
}

// askSeeds asks the instances that are known by address only, at intervals while no
// peer is known, and returns when to call it next.
func (s *Syncer) askSeeds(ctx context.Context, now time.Duration) (next time.Duration) {
	if s.seedsAsked > 0 || s.plan.HasPeers() {
		return now + seedInterval
	}
	interval := seedInterval
	if !s.knowledge.Known() {
		interval = blankSeedInterval
	}
	if next := s.seedsAskedAt + interval; now < next {
		return next
	}
	seeds := s.peers.Seeds()
	if len(seeds) == 0 {
		return now + seedInterval
	}
	if s.seedsAskedAt < 0 {
		s.plan.DelayFirstRead(now + seedHold)
	}
	s.seedsAskedAt, s.seedsAsked = now, len(seeds)
	for _, seed := range seeds {
		go func() {
			s.ask(ctx, seed.String(), seed)
			s.post(ctx, s.seedAnswered)
		}()
	}
	return now + interval
}

// seedAnswered lets the first read go on when no seed is left that could answer.
func (s *Syncer) seedAnswered() {
	s.seedsAsked--
	if s.seedsAsked == 0 {
		s.plan.DelayFirstRead(0)
	}
}
