package controller

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/netip"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

// Forms in which a release is transferred.
const (
	formBody  = "body"
	formDelta = "delta"
)

// loadFromPeer fetches a release from a peer, as a delta to the newest older
// release that is loaded. A delta that cannot be applied does not mean that the
// release is invalid, so the whole body is fetched then.
func (c *configurationController) loadFromPeer(ctx context.Context, address netip.AddrPort, ref release.Ref) bool {
	base := c.deltaBase(ref)
	request := &peerpb.FetchReleaseRequest{Number: ref.Number, Prepared: true}
	if base != nil {
		request.BaseNumber = base.ref.Number
		request.BaseHash = base.ref.Short().Hash
	}
	response, offered, ok := c.fetchFromPeer(ctx, address, request, ref)
	if !ok {
		return false
	}
	if len(response.GetDelta()) > 0 {
		if c.loadDelta(offered, base, response.GetDelta()) {
			return true
		}
		request.BaseNumber, request.BaseHash = 0, ""
		if response, offered, ok = c.fetchFromPeer(ctx, address, request, ref); !ok {
			return false
		}
	}
	c.loadBody(offered, response.GetBody())
	return true
}

// fetchFromPeer requests a release from a peer. It returns false if the peer does
// not have it.
func (c *configurationController) fetchFromPeer(ctx context.Context, address netip.AddrPort, request *peerpb.FetchReleaseRequest, ref release.Ref) (*peerpb.FetchReleaseResponse, release.Ref, bool) {
	response, err := c.peers.FetchRelease(ctx, address, request)
	if err != nil {
		c.logger.Debug("release_fetch_failed", zap.Uint64("release", ref.Number), zap.Error(err))
		return nil, release.Ref{}, false
	}
	offered := release.Ref{Number: response.GetNumber(), Hash: response.GetHash(), Attempt: ref.Attempt}
	return response, offered, offered.Matches(ref)
}

// deltaBase returns the newest loaded release that is older than ref, nil if there
// is none.
func (c *configurationController) deltaBase(ref release.Ref) *loadedRelease {
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest *loadedRelease
	for number, candidate := range c.loaded {
		if number < ref.Number && (newest == nil || number > newest.ref.Number) {
			newest = candidate
		}
	}
	return newest
}

// loadDelta applies a delta and records the acknowledgement. It returns false if
// the delta cannot be applied.
func (c *configurationController) loadDelta(ref release.Ref, base *loadedRelease, delta []byte) bool {
	if base == nil {
		return false
	}
	c.loadMu.Lock()
	defer c.loadMu.Unlock()
	if c.isLoaded(ref) {
		return true
	}
	applied, err := base.base.Apply(delta)
	if err != nil || applied.Hash() != ref.Hash || applied.Release().Number != ref.Number {
		c.logger.Info("release_delta_not_applied", zap.Uint64("release", ref.Number), zap.Uint64("base", base.ref.Number), zap.Error(err))
		return false
	}
	loaded := &loadedRelease{ref: ref, release: applied.Release(), base: applied}
	c.recordLoadResult(loaded, formDelta, c.verify(loaded.release))
	return true
}

// FetchRelease returns a loaded release, as a delta if the requested base is loaded
// as well.
func (p *peerService) FetchRelease(_ context.Context, request *peerpb.FetchReleaseRequest) (*peerpb.FetchReleaseResponse, error) {
	p.mu.Lock()
	accepted := p.tracker.Accepted().Number
	number := request.GetNumber()
	if number == 0 {
		number = accepted
	}
	requested := p.loaded[number]
	base := p.loaded[request.GetBaseNumber()]
	p.mu.Unlock()
	if requested == nil || (number > accepted && !request.GetPrepared()) {
		return &peerpb.FetchReleaseResponse{}, nil
	}
	response := &peerpb.FetchReleaseResponse{Number: requested.ref.Number, Hash: requested.ref.Hash, Accepted: number <= accepted}
	requestedBase := release.Ref{Number: request.GetBaseNumber(), Hash: request.GetBaseHash()}
	if base != nil && base != requested && base.ref.Matches(requestedBase) {
		response.Delta = requested.encodedDelta(base)
	}
	if len(response.GetDelta()) > 0 {
		return response, nil
	}
	body, err := requested.encodedBody()
	response.Body = body
	return response, err
}

// encodedDelta returns the delta from a base, nil if the whole body is shorter.
func (l *loadedRelease) encodedDelta(base *loadedRelease) []byte {
	l.encodedMu.Lock()
	defer l.encodedMu.Unlock()
	if delta, found := l.deltas[base.ref.Hash]; found {
		return delta
	}
	delta, err := config.EncodeDelta(base.release, base.ref.Hash, l.release, l.ref.Hash)
	if err != nil || (l.body != nil && compressedLength(delta) >= len(l.body)) {
		delta = nil
	}
	if l.deltas == nil {
		l.deltas = map[string][]byte{}
	}
	l.deltas[base.ref.Hash] = delta
	return delta
}

// compressedLength returns the length of a delta in a response of the Peer service,
// which is compressed with gzip. The body of a release is compressed already.
func compressedLength(delta []byte) int {
	var buffer bytes.Buffer
	writer := gzip.NewWriter(&buffer)
	// Writes to a bytes.Buffer do not fail.
	_, _ = writer.Write(delta)
	_ = writer.Close()
	return buffer.Len()
}

// encodedBody returns the encoded release. After a delta it is encoded on the first
// request, because most instances are never asked for it.
func (l *loadedRelease) encodedBody() ([]byte, error) {
	l.encodedMu.Lock()
	defer l.encodedMu.Unlock()
	if l.body == nil {
		body, _, err := l.release.Encode()
		if err != nil {
			return nil, err
		}
		l.body = body
	}
	return l.body, nil
}
