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
	// Everything returns the configuration and all endpoints.
	Everything(ctx context.Context) (directory.Update, error)
	// Changes returns what has changed after a revision. It may be incomplete
	// while the store forgets its history: the update then ends below the
	// revision that Revision returned.
	Changes(ctx context.Context, since uint64) (directory.Update, error)
}

const (
	// readPatience is the time without an answer after which another read may
	// begin, on another connection: packets of the first one may be lost for good.
	// The first one goes on until readTimeout, because the store may be slow.
	readPatience = 400 * time.Millisecond
	readTimeout  = 2500 * time.Millisecond
	// maxReads bounds the reads under way.
	maxReads = 4
	// changesTimes is how many times as long as the read before it a read of
	// changes may take, at least minChangesTime: it waits without end while the
	// store forgets its history.
	changesTimes   = 4
	minChangesTime = 200 * time.Millisecond
	// seedInterval is the time between questions to the seeds while no peer is
	// known.
	seedInterval = time.Second
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
	plan      *freshness.Plan
	knowledge *Knowledge
	peers     *Peers
	source    Source
	client    *peerClient
	metrics   *Metrics
	logger    *zap.Logger

	events chan func()
	// reading counts the reads under way.
	reading int
	// fullUntil is when changes are read again instead of everything.
	fullUntil time.Duration
	storeUp   bool
	// reads tells the peers whether this instance reads the store.
	reads atomic.Bool
	// forgotAt is when peers were last looked through for those that are gone.
	forgotAt time.Duration
	// seedsAsked counts the seeds that have not answered yet.
	seedsAsked int
}

// NewSyncer returns a syncer that reads the source and asks peers, so that a change
// in the store is known within the bound.
func NewSyncer(self string, bound time.Duration, knowledge *Knowledge, peers *Peers, source Source, metrics *Metrics, logger *zap.Logger) *Syncer {
	return &Syncer{
		plan:      freshness.NewPlan(self, freshness.SettingsFor(bound)),
		knowledge: knowledge, peers: peers, source: source, client: newPeerClient(bound / askPart),
		metrics: metrics, logger: logger,
		events: make(chan func(), 64), storeUp: true,
	}
}

// Run keeps the knowledge fresh until the context ends.
func (s *Syncer) Run(ctx context.Context) error {
	seedsAskedAt := -seedInterval
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := s.knowledge.Now()
		if now-seedsAskedAt >= seedInterval && !s.plan.HasPeers() {
			seedsAskedAt = now
			s.askSeeds(ctx)
		}
		s.forgetPeers(now)
		step := s.plan.Next(now)
		s.reads.Store(s.plan.Reads(now))
		s.start(ctx, step)
		wake := step.Wake
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
	if step.Ask == "" {
		return
	}
	address, found := s.peers.Address(step.Ask)
	if !found {
		s.plan.AskDone(s.knowledge.Now(), step.Ask, freshness.Silent, 0)
		return
	}
	go s.ask(ctx, step.Ask, address)
}

// startRead begins a read of the store. When it does not end in readPatience it
// counts as failed, and as done after all if it succeeds later.
func (s *Syncer) startRead(ctx context.Context) {
	now := s.knowledge.Now()
	if s.reading >= maxReads {
		s.plan.ReadDone(now, false)
		return
	}
	s.reading++
	ended := false
	full := now < s.fullUntil
	go func() {
		update, incomplete, err := s.read(ctx, full)
		s.post(ctx, func() {
			ended = true
			s.readEnded(update, incomplete, err, now)
		})
	}()
	time.AfterFunc(readPatience, func() {
		s.post(ctx, func() {
			if !ended {
				s.plan.ReadDone(s.knowledge.Now(), false)
				s.noteStore(errSlow, readPatience)
			}
		})
	})
}

// errSlow is the state of a read that has not ended in readPatience.
var errSlow = resultcode.Errorf(resultcode.PlatformUnreachable, "no answer yet")

func (s *Syncer) readEnded(update directory.Update, incomplete bool, err error, began time.Duration) {
	now := s.knowledge.Now()
	s.reading--
	s.metrics.read(err == nil, now-began)
	if incomplete {
		s.fullUntil = now + fullReadsAfterMiss
	}
	if err == nil || now-began < readPatience {
		s.plan.ReadDone(now, err == nil)
		s.noteStore(err, now-began)
	}
	if err == nil {
		s.apply(update, Word{ConfirmedAt: began, FromStore: true}, "store")
	}
}

// read reads the store once.
func (s *Syncer) read(ctx context.Context, full bool) (update directory.Update, incomplete bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return s.fetch(ctx, full)
}

// fetch returns what has changed in the store, nothing when its revision has not.
func (s *Syncer) fetch(ctx context.Context, full bool) (update directory.Update, incomplete bool, err error) {
	at, _ := s.knowledge.At()
	if at == 0 {
		update, err = s.source.Everything(ctx)
		return update, false, err
	}
	began := s.knowledge.Now()
	revision, err := s.source.Revision(ctx)
	if err != nil {
		return update, false, err
	}
	if revision <= at {
		return directory.Update{Since: at, At: at}, false, nil
	}
	if !full {
		took := s.knowledge.Now() - began
		update, err = s.changes(ctx, max(changesTimes*took, minChangesTime), at)
		if err == nil && update.At >= revision {
			return update, false, nil
		}
		s.logger.Info("changes_incomplete", zap.Uint64("since", at), zap.Uint64("revision", revision),
			zap.Uint64("at", update.At), zap.Error(err))
	}
	update, err = s.source.Everything(ctx)
	return update, !full, err
}

func (s *Syncer) changes(ctx context.Context, timeout time.Duration, since uint64) (directory.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.source.Changes(ctx, since)
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
		s.plan.AskDone(now, name, freshness.Silent, 0)
		return
	}
	s.hear(answer.Peers, now)
	age := time.Duration(answer.AgeUs) * time.Microsecond
	s.plan.AskDone(now, name, s.plan.Judge(answer.Reads, age), age)
	if !answer.Known {
		return
	}
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
		s.plan.Confirmed(word.ConfirmedAt)
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

// hear takes peers that were told of.
func (s *Syncer) hear(told []*syncpb.Peer, now time.Duration) {
	changed := false
	for _, wire := range told {
		peer, heardAt, err := peerFromWire(wire, now)
		if err != nil {
			s.logger.Warn("peer_unreadable", zap.Error(err))
			continue
		}
		if s.peers.Heard(peer, heardAt) {
			changed = true
			s.logger.Info("peer_found", zap.String("peer", peer.Name), zap.Stringer("address", peer.Address))
		}
		s.plan.Heard(peer.Name, heardAt)
	}
	if changed {
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

// askSeeds asks the instances that are known by address only.
func (s *Syncer) askSeeds(ctx context.Context) {
	seeds := s.peers.Seeds()
	if len(seeds) > 0 && s.seedsAsked == 0 {
		s.plan.HoldFirstRead(s.knowledge.Now() + seedHold)
	}
	s.seedsAsked += len(seeds)
	for _, seed := range seeds {
		go func() {
			s.ask(ctx, seed.String(), seed)
			s.post(ctx, s.seedAnswered)
		}()
	}
}

// seedAnswered lets the first read go on when no seed is left that could answer.
func (s *Syncer) seedAnswered() {
	s.seedsAsked--
	if s.seedsAsked == 0 {
		s.plan.HoldFirstRead(0)
	}
}
