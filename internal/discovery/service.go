package discovery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// Server answers the questions of peers.
type Server struct {
	Cache *Cache
	Peers     *Peers
	// ReadsStore reports whether this instance reads the store itself.
	ReadsStore func() bool
	// AddPeers is told of the instances that ask.
	AddPeers func(ctx context.Context, peers ...*syncpb.Peer)
	// Metrics counts the answers put off.
	Metrics *Metrics

	mu sync.Mutex
	// fullUntil is when the next answer may hold all endpoints.
	fullUntil time.Duration
	// encoded is the last configuration sent, of the revision encodedAt.
	encoded   []byte
	encodedAt uint64
}

var _ syncpb.Sync = (*Server)(nil)

// fullPerSecond is how many endpoints an instance tells a second in answers that hold
// all of them, about 900 kB. When many instances start, several answers at a time on a
// narrow link would all come too late.
const fullPerSecond = 15_000

// Fetch implements the Sync service.
func (s *Server) Fetch(ctx context.Context, request *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	if request.Asker != nil {
		s.AddPeers(ctx, request.Asker)
	}
	now := s.Cache.Now()
	if endpoints, full := s.Cache.RequiresFull(request.EndpointsRevision); full && !s.allowFull(now, endpoints) {
		// The asker goes on to another peer.
		s.Metrics.putOff.Inc()
		return &syncpb.FetchResponse{Peers: s.Peers.Sample(now)}, nil
	}
	update, confirmedAt, returnedAt := s.Cache.Difference(request.ConfigurationRevision, request.EndpointsRevision)
	configuration, err := s.encode(update.Configuration)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response := &syncpb.FetchResponse{
		Known:             s.Cache.HasConfiguration(),
		Reads:             s.ReadsStore(),
		AgeUs:             uint64(max(now-confirmedAt, 0).Microseconds()),
		Configuration:     configuration,
		EndpointsRevision: update.CompleteAt,
		SinceRevision:     update.Since,
		Full:              update.Full,
	}
	if returnedAt > 0 {
		response.ReturnedUs = uint64(max(now-returnedAt, 1).Microseconds())
	}
	for i := range update.Endpoints {
		response.Endpoints = append(response.Endpoints, knownToWire(&update.Endpoints[i], now))
	}
	if request.PeersHash != s.Peers.Hash() {
		response.Peers = s.Peers.Sample(now)
	}
	return response, nil
}

// allowFull reports whether an answer may hold all endpoints now: one answer at a time,
// for as long as its transfer may take.
func (s *Server) allowFull(now time.Duration, endpoints int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.fullUntil {
		return false
	}
	s.fullUntil = now + time.Duration(endpoints)*time.Second/fullPerSecond
	return true
}

// encode returns a configuration for an answer, nil for none.
func (s *Server) encode(c *directory.Configuration) ([]byte, error) {
	if c == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.encodedAt == c.Revision {
		return s.encoded, nil
	}
	encoded, err := encodeConfiguration(c)
	if err != nil {
		return nil, err
	}
	s.encoded, s.encodedAt = encoded, c.Revision
	return encoded, nil
}

func updateFromWire(response *syncpb.FetchResponse, now time.Duration) (directory.Update, error) {
	update := directory.Update{
		Since: response.SinceRevision, CompleteAt: response.EndpointsRevision, Full: response.Full,
	}
	if len(response.Configuration) > 0 {
		configuration, err := decodeConfiguration(response.Configuration)
		if err != nil {
			return update, resultcode.Errorf(resultcode.PeerBadDatagram, "configuration of a peer: %w", err)
		}
		update.Configuration = configuration
	}
	for _, wire := range response.Endpoints {
		update.Endpoints = append(update.Endpoints, knownFromWire(wire, now))
	}
	return update, nil
}

// peerClient calls the Sync service of peers.
type peerClient struct {
	http *http.Client
}

// longAnswerTimeout bounds the transfer of an answer, which may hold all endpoints.
const longAnswerTimeout = 2 * time.Second

// newPeerClient returns a client that waits for the start of an answer for a time at
// most.
func newPeerClient(timeout time.Duration) *peerClient {
	return &peerClient{http: &http.Client{
		Timeout: max(longAnswerTimeout, timeout),
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: timeout}).DialContext,
			ResponseHeaderTimeout: timeout,
			MaxIdleConnsPerHost:   1,
			DisableCompression:    true,
		},
	}}
}

func (c *peerClient) fetch(ctx context.Context, address netip.AddrPort, request *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	return syncpb.NewSyncProtobufClient("http://"+address.String(), c.http).Fetch(ctx, request)
}

const (
	// requestTimeout bounds the reading of a peer's request.
	requestTimeout = time.Second
	// idleTimeout closes connections of peers that no longer ask.
	idleTimeout = 30 * time.Second
)

// Serve answers peers on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: syncpb.NewSyncServer(s), ReadTimeout: requestTimeout, IdleTimeout: idleTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
