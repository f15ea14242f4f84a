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

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// Server responds to the queries of peers. It implements the Sync service.
type Server struct {
	Cache *Cache
	Peers *Peers
	// ReadsStore reports whether this instance reads the store itself.
	ReadsStore func() bool
	// AddPeers is called with the instances that send queries.
	AddPeers func(ctx context.Context, peers ...*syncpb.Peer)
	// Metrics counts the deferred full responses.
	Metrics *Metrics

	mu sync.Mutex
	// nextFullAt is the time from which the next full response may be sent.
	nextFullAt time.Duration
	// encoded is the encoding of lastSent, the last configuration sent.
	encoded  []byte
	lastSent *directory.Configuration
}

var _ syncpb.Sync = (*Server)(nil)

// maxFullEndpointsPerSecond limits the rate of endpoints sent in full responses, to
// about 900 kB/s. When many instances start, concurrent full responses over a narrow
// link would all exceed their timeout.
const maxFullEndpointsPerSecond = 15_000

// Fetch implements the Sync service. It returns the changes since the revisions in the
// request, or only peers if a full response is needed and another one was sent
// recently.
func (s *Server) Fetch(ctx context.Context, request *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	now := s.Cache.Now()
	configurationID, since := cachedByAsker(request)
	if request.Asker != nil {
		s.AddPeers(ctx, request.Asker)
		s.Peers.Queried(request.Asker.Name, since, now)
	}
	if endpoints, full := s.Cache.RequiresFull(since); full && !s.allowFull(now, endpoints) {
		// The peer then queries another instance.
		s.Metrics.deferred.Inc()
		return &syncpb.FetchResponse{Peers: s.Peers.Sample(now)}, nil
	}
	update, confirmedAt, recoveredAt := s.Cache.Difference(configurationID, since)
	configuration, err := s.encode(update.Configuration)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response := &syncpb.FetchResponse{
		Known:             s.Cache.HasConfiguration(),
		Reads:             s.ReadsStore(),
		AgeUs:             uint64(max(now-confirmedAt, 0).Microseconds()),
		Configuration:     configuration,
		EndpointsRevision: update.CompleteAt.Number,
		EndpointsEra:      update.CompleteAt.Era,
		SinceRevision:     update.Since.Number,
		SinceEra:          update.Since.Era,
		Full:              update.Full,
	}
	if recoveredAt > 0 {
		response.ReturnedUs = uint64(max(now-recoveredAt, 1).Microseconds())
	}
	addRecords(response, &update, now)
	if request.PeersHash != s.Peers.Hash() {
		response.Peers = s.Peers.Sample(now)
	}
	return response, nil
}

// addRecords adds the endpoints and the evacuations of an update to a response.
func addRecords(response *syncpb.FetchResponse, update *directory.Update, now time.Duration) {
	for i := range update.Endpoints {
		response.Endpoints = append(response.Endpoints, recordToWire(&update.Endpoints[i], now))
	}
	for i := range update.Evacuations {
		response.Evacuations = append(response.Evacuations, evacuationToWire(&update.Evacuations[i]))
	}
}

// allowFull reports whether a response with all endpoints may be sent now. Such
// responses are spaced by the estimated duration of their transfer.
func (s *Server) allowFull(now time.Duration, endpoints int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.nextFullAt {
		return false
	}
	s.nextFullAt = now + time.Duration(endpoints)*time.Second/maxFullEndpointsPerSecond
	return true
}

// encode returns the encoded configuration for a response, nil if c is nil.
func (s *Server) encode(c *directory.Configuration) ([]byte, error) {
	if c == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastSent == c {
		return s.encoded, nil
	}
	encoded, err := encodeConfiguration(c)
	if err != nil {
		return nil, err
	}
	s.encoded, s.lastSent = encoded, c
	return encoded, nil
}

// updateFromWire decodes the update in a response. The error has code PeerBadDatagram.
func updateFromWire(response *syncpb.FetchResponse, now time.Duration) (directory.Update, error) {
	update := directory.Update{
		Since:      common.Revision{Era: response.SinceEra, Number: response.SinceRevision},
		CompleteAt: common.Revision{Era: response.EndpointsEra, Number: response.EndpointsRevision},
		Full:       response.Full,
	}
	if len(response.Configuration) > 0 {
		configuration, err := decodeConfiguration(response.Configuration)
		if err != nil {
			return update, resultcode.Errorf(resultcode.PeerBadDatagram, "decode configuration of a peer: %w", err)
		}
		update.Configuration = configuration
	}
	for _, wire := range response.Endpoints {
		update.Endpoints = append(update.Endpoints, recordFromWire(wire, now))
	}
	for _, wire := range response.Evacuations {
		update.Evacuations = append(update.Evacuations, evacuationFromWire(wire))
	}
	return update, nil
}

// peerClient calls the Sync service of peers.
type peerClient struct {
	http *http.Client
}

// fullResponseTimeout limits the transfer of a response, which may contain all
// endpoints.
const fullResponseTimeout = 2 * time.Second

// newPeerClient returns a client that waits at most for timeout until a response
// starts.
func newPeerClient(timeout time.Duration) *peerClient {
	return &peerClient{http: &http.Client{
		Timeout: max(fullResponseTimeout, timeout),
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
	// requestTimeout limits the time to read a peer's request.
	requestTimeout = time.Second
	// idleTimeout is the time after which an idle connection of a peer is closed.
	idleTimeout = 30 * time.Second
)

// Serve handles queries of peers on a listener until the context ends.
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
