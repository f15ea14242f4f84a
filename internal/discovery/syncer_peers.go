package discovery

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/decision/freshness"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

const (
	// seedInterval is the time between queries to the seeds while no peer is known, and
	// initialSeedInterval while there is no configuration either: the seeds may have
	// started at the same time.
	seedInterval        = time.Second
	initialSeedInterval = 100 * time.Millisecond
	// seedWait is how long the first read of the store waits for the seeds, which
	// normally respond within a few milliseconds.
	seedWait = 30 * time.Millisecond
	// pruneInterval is the time between two removals of expired peers.
	pruneInterval = 30 * time.Second
)

// query sends one query to a peer.
func (s *Syncer) query(ctx context.Context, name string, address netip.AddrPort) {
	request := &syncpb.FetchRequest{Asker: s.peers.Self(), PeersHash: s.peers.Hash()}
	setCached(request, s.cache)
	queried := s.cache.Now()
	response, err := s.client.Load().fetch(ctx, address, request)
	s.post(ctx, func() { s.handleResponse(name, response, err, queried) })
}

// handleResponse processes a peer's response to a query that was sent at the time
// queried. The age of the peer's cached state counts from then, because the response may
// have been delayed anywhere on its way.
func (s *Syncer) handleResponse(name string, response *syncpb.FetchResponse, err error, queried time.Duration) {
	now := s.cache.Now()
	s.metrics.queried(err == nil, now-queried)
	if err != nil {
		s.logger.Warn("peer_silent", zap.String("peer", name), zap.Duration("took", now-queried), zap.Error(err))
		s.scheduler.QueryDone(now, name, freshness.NoResponse, 0)
		return
	}
	s.addPeers(response.Peers, now)
	age := fromMicroseconds(response.AgeUs)
	if !response.Known {
		s.scheduler.QueryDone(now, name, freshness.Empty, 0)
		return
	}
	result := s.scheduler.Classify(response.Reads, age)
	if cached, _ := s.cache.CompleteAt(); response.EndpointsEra < cached.Era {
		// The peer has not noticed yet that the store was restored.
		result = freshness.Stale
	}
	s.scheduler.QueryDone(now, name, result, age)
	provenance := Provenance{ConfirmedAt: queried - age}
	if response.ReturnedUs > 0 {
		provenance.RecoveredAt = queried - fromMicroseconds(response.ReturnedUs)
	}
	update, err := updateFromWire(response, now)
	if err != nil {
		s.logger.Error("peer_unreadable", zap.String("peer", name), zap.Error(err))
		return
	}
	s.apply(update, provenance, name)
}

// maxPeersLogged limits the names in one log line.
const maxPeersLogged = 8

// addPeers adds peers that a peer or the store has reported.
func (s *Syncer) addPeers(wirePeers []*syncpb.Peer, now time.Duration) {
	var found []string
	for _, wire := range wirePeers {
		peer, seenAt, err := peerFromWire(wire, now)
		if err != nil {
			s.logger.Warn("peer_unreadable", zap.Error(err))
			continue
		}
		if s.peers.PeerSeen(peer, seenAt) {
			found = append(found, peer.Name)
		}
		s.scheduler.PeerSeen(peer.Name, seenAt)
	}
	if len(found) > 0 {
		s.logger.Info("peers_found", zap.Int("count", len(found)), zap.Strings("peers", found[:min(len(found), maxPeersLogged)]))
		s.updatePeers()
	}
}

func (s *Syncer) updatePeers() {
	names := s.peers.Names()
	s.scheduler.SetPeers(names)
	s.cache.SetPeers(names)
	s.cache.SetPlace(names)
}

// prunePeers removes expired peers at intervals.
func (s *Syncer) prunePeers(now time.Duration) {
	if now-s.lastPrune < pruneInterval {
		return
	}
	s.lastPrune = now
	s.cache.expireRegistered()
	if pruned := s.peers.Prune(now); pruned > 0 {
		s.logger.Info("peers_forgotten", zap.Int("count", pruned), zap.Int("left", s.peers.Count()))
		s.updatePeers()
	}
}

// AddPeers adds peers that queried this instance or that are registered in the store.
func (s *Syncer) AddPeers(ctx context.Context, peers ...*syncpb.Peer) {
	s.post(ctx, func() { s.addPeers(peers, s.cache.Now()) })
}

// querySeeds queries the seeds at intervals while no peer is known, and returns the
// time of the next call.
func (s *Syncer) querySeeds(ctx context.Context, now time.Duration) (next time.Duration) {
	if s.pendingSeeds > 0 || s.scheduler.HasPeers() {
		return now + seedInterval
	}
	interval := seedInterval
	if !s.cache.HasConfiguration() {
		interval = initialSeedInterval
	}
	if next := s.seedsQueriedAt + interval; now < next {
		return next
	}
	seeds := s.peers.Seeds()
	if len(seeds) == 0 {
		return now + seedInterval
	}
	if s.seedsQueriedAt < 0 {
		s.scheduler.DelayFirstRead(now + seedWait)
	}
	s.seedsQueriedAt, s.pendingSeeds = now, len(seeds)
	for _, seed := range seeds {
		go func() {
			s.query(ctx, seed.String(), seed)
			s.post(ctx, s.seedQueryDone)
		}()
	}
	return now + interval
}

// seedQueryDone allows the first read of the store once all queried seeds have
// responded or failed.
func (s *Syncer) seedQueryDone() {
	s.pendingSeeds--
	if s.pendingSeeds == 0 {
		s.scheduler.DelayFirstRead(0)
	}
}
