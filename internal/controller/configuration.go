package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

const (
	// pointerName is the name of the object that points to the accepted release.
	pointerName = "current"
	// watchCheckInterval is the time between checks whether this instance is a
	// watcher.
	watchCheckInterval = time.Second
	// pollInterval is the mean time between reads of the pointer by instances that
	// are not watchers. It covers watchers that hang.
	pollInterval = 60 * time.Second
	// firstPollInterval is the mean time between these reads while no accepted
	// release is known.
	firstPollInterval = 2 * time.Second
	// fetchRetryInterval is the time between attempts to fetch a release.
	fetchRetryInterval = 500 * time.Millisecond
	// waitingLogInterval is the time between log lines of a daemon without a
	// release.
	waitingLogInterval = 10 * time.Second
	// refusedRetryInterval is the time before a refused release is fetched again,
	// in case it was damaged in transfer.
	refusedRetryInterval = 10 * time.Second
	// ackRepeats is the number of times that a new acknowledgement is sent to each
	// watcher. The regular probes carry it as well.
	ackRepeats = 2
	// ackRepeatInterval is the time between these repeats.
	ackRepeatInterval = time.Second
	// maxLoadedReleases bounds the releases in memory: in force, accepted and
	// prepared.
	maxLoadedReleases = 3
)

// releaseSpec is the spec of an object of the collection releases.
type releaseSpec struct {
	Number  uint64 `json:"number"`
	Hash    string `json:"hash"`
	Attempt uint32 `json:"attempt,omitempty"`
	Author  string `json:"author"`
	Note    string `json:"note,omitempty"`
	// Body is the encoded release, base64 in JSON.
	Body []byte `json:"body"`
	// era is the era of the platform in which the object was read.
	era string
}

// pointerSpec is the spec of pointers/current.
type pointerSpec struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	// Withdrawn counts the written releases that were removed again. It is
	// incremented before the removal, so that the conditional update of a publisher
	// that was paused is refused.
	Withdrawn uint32 `json:"withdrawn,omitempty"`
}

func (s *releaseSpec) ref() release.Ref {
	return release.Ref{Number: s.Number, Hash: s.Hash, Attempt: s.Attempt}
}

// configurationController discovers releases, loads them and puts the accepted one
// in force.
type configurationController struct {
	*core
	drains         *drainController
	lastWaitingLog time.Duration
	refusedAt      time.Duration
	// loadMu serializes the checks of releases, so that a release that arrives
	// twice is decoded once.
	loadMu sync.Mutex
}

// observeAccepted records the accepted release that the platform or a peer reports.
// The caller holds mu.
func (c *core) observeAccepted(ref release.Ref) {
	if c.tracker.ObservePointer(ref) {
		signal(c.fetchSignal)
	}
}

// observePrepared records a release that is written but not accepted yet. The
// caller holds mu.
func (c *core) observePrepared(ref release.Ref) {
	if c.tracker.ObservePrepared(ref) {
		c.preparedSince = c.now()
		signal(c.fetchSignal)
	}
}

// run loads the accepted and the prepared release and puts the accepted one in
// force.
func (c *configurationController) run(ctx context.Context) error {
	ticker := time.NewTicker(fetchRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.fetchSignal:
		}
		c.step(ctx)
	}
}

func (c *configurationController) step(ctx context.Context) {
	c.mu.Lock()
	pending, hasPending := c.tracker.Pending()
	prepared := c.tracker.Prepared()
	noRelease := c.tracker.InForce().Number == 0 && !hasPending
	c.mu.Unlock()
	if hasPending {
		c.ensureLoaded(ctx, pending)
		c.apply(pending)
	}
	if prepared.Number > 0 {
		c.ensureLoaded(ctx, prepared)
	}
	if noRelease {
		c.logWaitingForRelease()
	}
}

// logWaitingForRelease logs that no release is in force, with the state of its
// sources.
func (c *configurationController) logWaitingForRelease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now()-c.lastWaitingLog < waitingLogInterval && c.lastWaitingLog > 0 {
		return
	}
	c.lastWaitingLog = c.now()
	c.logger.Warn("waiting_for_release",
		zap.Uint32("result_code", uint32(resultcode.PeerNoRelease)),
		zap.String("platform", c.inputs[inputPlatform].state),
		zap.Int("peers", len(c.machine.Peers())),
		zap.String("advice", "publish a first release, or restore the platform or a peer"))
}

// ensureLoaded loads a release unless it is loaded already or was refused recently.
// Watchers ask the platform first, then the peers. Other instances ask the peers
// first, starting with the watchers.
func (c *configurationController) ensureLoaded(ctx context.Context, ref release.Ref) {
	c.mu.Lock()
	existing := c.loaded[ref.Number]
	refused := c.ownAck.Ref.Matches(ref) && c.ownAck.Code != resultcode.OK && c.now()-c.refusedAt < refusedRetryInterval
	peers := c.releaseSources()
	watcher := slices.Contains(c.watchers(), c.self)
	c.mu.Unlock()
	if refused || (existing != nil && existing.ref.Matches(ref)) {
		return
	}
	if watcher && c.loadFromPlatform(ctx, ref) {
		return
	}
	for _, address := range peers {
		if c.loadFromPeer(ctx, address, ref) {
			return
		}
	}
	if !watcher {
		c.loadFromPlatform(ctx, ref)
	}
}

// maxReleaseSources bounds the peers that are asked for a release in one attempt.
const maxReleaseSources = 5

// releaseSources returns the peers to ask, watchers first. The caller holds mu.
func (c *configurationController) releaseSources() []netip.AddrPort {
	var preferred, others []netip.AddrPort
	watchers := c.watchers()
	for _, update := range c.machine.Peers() {
		if slices.Contains(watchers, update.ID) {
			preferred = append(preferred, update.Peer)
		} else {
			others = append(others, update.Peer)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sources := append(preferred, others...)
	return sources[:min(maxReleaseSources, len(sources))]
}

func (c *configurationController) loadFromPlatform(ctx context.Context, ref release.Ref) bool {
	object, err := c.platform.Get(ctx, platform.Releases, strconv.FormatUint(ref.Number, 10))
	if err != nil {
		c.logger.Debug("release_fetch_failed", zap.Uint64("release", ref.Number), zap.Error(err))
		return false
	}
	var spec releaseSpec
	if err := json.Unmarshal(object.Spec, &spec); err != nil {
		c.logger.Warn("release_object", zap.Uint64("release", ref.Number), zap.Error(err))
		return false
	}
	if !spec.ref().Matches(ref) {
		return false
	}
	c.loadBody(spec.ref(), spec.Body)
	return true
}

// loadBody verifies the encoded release and records the acknowledgement.
func (c *configurationController) loadBody(ref release.Ref, body []byte) {
	c.loadMu.Lock()
	defer c.loadMu.Unlock()
	if c.isLoaded(ref) {
		return
	}
	decoded, err := decodeBody(ref, body)
	loaded := &loadedRelease{ref: ref, body: body, release: decoded}
	if err == nil {
		loaded.base = config.NewDeltaBase(decoded, ref.Hash)
		err = c.verify(decoded)
	}
	c.recordLoadResult(loaded, formBody, err)
}

func (c *configurationController) isLoaded(ref release.Ref) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	existing := c.loaded[ref.Number]
	return existing != nil && existing.ref.Matches(ref)
}

// recordLoadResult records a release that was loaded, or refused if err is not nil,
// and sends the acknowledgement.
func (c *configurationController) recordLoadResult(loaded *loadedRelease, form string, err error) {
	ref := loaded.ref
	code := resultcode.OK
	if err != nil {
		code, _ = resultcode.Of(err)
		if code == resultcode.OK {
			code = resultcode.ConfigSyntax
		}
		c.logger.Warn("release_refused", zap.Uint64("release", ref.Number), zap.Uint32("result_code", uint32(code)), zap.Error(err))
	}
	c.mu.Lock()
	if err == nil {
		c.loaded[ref.Number] = loaded
		c.dropOldReleases()
		c.metrics.releasesLoaded.WithLabelValues(form).Inc()
	}
	if err != nil {
		c.refusedAt = c.now()
	}
	c.ownAck = release.Ack{Instance: c.self, Ref: ref, Code: code}
	c.mu.Unlock()
	c.tomb.Go(c.sendAck)
	signal(c.fetchSignal)
}

// decodeBody decodes a release and verifies its hash and number.
func decodeBody(ref release.Ref, body []byte) (*config.Release, error) {
	hash, err := config.BodyHash(body)
	if err != nil {
		return nil, err
	}
	if hash != ref.Hash {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "release %d has hash %s, expected %s", ref.Number, hash, ref.Hash)
	}
	decoded, err := config.DecodeRelease(body)
	if err != nil {
		return nil, err
	}
	if decoded.Number != ref.Number {
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "body of release %d has number %d", ref.Number, decoded.Number)
	}
	return decoded, nil
}

// dropOldReleases keeps the newest loaded releases. The caller holds mu.
func (c *configurationController) dropOldReleases() {
	for len(c.loaded) > maxLoadedReleases {
		oldest := uint64(0)
		for number := range c.loaded {
			if oldest == 0 || number < oldest {
				oldest = number
			}
		}
		delete(c.loaded, oldest)
	}
}

// sendAck sends the acknowledgement directly to the watchers, because the regular
// round of probes takes a minute in a group of 200.
func (c *configurationController) sendAck() error {
	ctx := c.tomb.Context(context.Background())
	for range ackRepeats {
		c.mu.Lock()
		var outputs []membership.Output
		for _, id := range c.watchers() {
			if id != c.self {
				outputs = append(outputs, c.machine.PingNow(id, c.now())...)
			}
		}
		datagrams := c.encodeDatagrams(outputs)
		c.mu.Unlock()
		c.sendDatagrams(outputs, datagrams)
		sleep(ctx, ackRepeatInterval)
	}
	return nil
}

// apply puts a loaded release in force.
func (c *configurationController) apply(ref release.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	existing := c.loaded[ref.Number]
	if existing == nil || !existing.ref.Matches(ref) {
		return
	}
	if err := c.tracker.Apply(existing.ref); err != nil {
		c.logger.Warn("release_not_applied", zap.Error(err))
		return
	}
	if c.inForce == nil {
		c.inForceSince = c.now()
	}
	c.inForce = existing
	c.services = existing.release.ServicesFor(c.settings.Places)
	c.metrics.release.Set(float64(ref.Number))
	c.logger.Info("release_applied", zap.Uint64("release", ref.Number), zap.String("hash", existing.ref.Hash), zap.Int("services", len(c.services)))
	c.snapshotChanged()
}

// peerService implements the Peer service.
type peerService struct{ *core }

// PullReplication forwards the request of a joining instance to entryd.
func (p *peerService) PullReplication(ctx context.Context, request *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	return p.entry.PullReplication(ctx, request)
}

// ackOf returns the newest acknowledgement of an instance with its release in
// force. The caller holds mu.
func (c *core) ackOf(id common.InstanceID) (release.Ack, bool) {
	if id == c.self {
		ack := c.ownAck
		ack.InForce = c.tracker.InForce().Number
		return ack, true
	}
	ack, found := c.acks[id]
	return ack, found
}
