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
	// pointerName is the object that names the release in force.
	pointerName = "current"
	// watchCheckInterval is how often the choice of watchers is looked at.
	watchCheckInterval = time.Second
	// pollInterval is the mean time between reads of the pointer by instances
	// that are no watchers, in case their watchers are stuck.
	pollInterval = 60 * time.Second
	// firstPollInterval applies while no release is known.
	firstPollInterval = 2 * time.Second
	// fetchRetryInterval is the time between tries to fetch a release.
	fetchRetryInterval = 500 * time.Millisecond
	// waitingLogInterval spaces the log lines of a daemon without release.
	waitingLogInterval = 10 * time.Second
	// refusedRetryInterval is the time before a release that could not be
	// loaded is fetched again, in case the transfer was at fault.
	refusedRetryInterval = 10 * time.Second
	// ackRepeats is how often a new acknowledgement is sent to each watcher;
	// the normal probes carry it as well.
	ackRepeats = 2
	// ackRepeatInterval is the time between the repeats.
	ackRepeatInterval = time.Second
	// keptReleases bounds the bodies in memory: in force, accepted, prepared.
	keptReleases = 3
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
}

// pointerSpec is the spec of pointers/current.
type pointerSpec struct {
	Number uint64 `json:"number"`
	Hash   string `json:"hash"`
	// Withdrawn counts written releases that were removed again. It is raised
	// before the removal, so a publisher that was paused finds its conditional
	// update refused.
	Withdrawn uint32 `json:"withdrawn,omitempty"`
}

func (s *releaseSpec) ref() release.Ref {
	return release.Ref{Number: s.Number, Hash: s.Hash, Attempt: s.Attempt}
}

// configurationController learns of releases, loads them and puts the accepted
// one in force.
type configurationController struct {
	*core
	drains    *drainController
	lastLog   time.Duration
	refusedAt time.Duration
	// loading admits one check of a release at a time, so that a release that
	// arrives twice is decoded once.
	loading sync.Mutex
}

// observeAccepted takes a pointer from the platform or a peer. The caller holds
// mu.
func (c *core) observeAccepted(ref release.Ref) {
	if c.tracker.ObservePointer(ref) {
		signal(c.wanted)
	}
}

// observePrepared takes a written release. The caller holds mu.
func (c *core) observePrepared(ref release.Ref) {
	if c.tracker.ObservePrepared(ref) {
		c.preparedSince = c.now()
		signal(c.wanted)
	}
}

// newest returns the number of the newest accepted release.
func (c *configurationController) newest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Accepted().Number
}

// run loads what is wanted and puts it in force.
func (c *configurationController) run(ctx context.Context) error {
	ticker := time.NewTicker(fetchRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.wanted:
		}
		c.step(ctx)
	}
}

func (c *configurationController) step(ctx context.Context) {
	c.mu.Lock()
	wanted, want := c.tracker.Wanted()
	prepared := c.tracker.Prepared()
	nothing := c.tracker.InForce().Number == 0 && !want
	c.mu.Unlock()
	if want {
		c.obtain(ctx, wanted)
		c.apply(wanted)
	}
	if prepared.Number > 0 {
		c.obtain(ctx, prepared)
	}
	if nothing {
		c.logWaiting()
	}
}

// logWaiting says why there is no release in force.
func (c *configurationController) logWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now()-c.lastLog < waitingLogInterval && c.lastLog > 0 {
		return
	}
	c.lastLog = c.now()
	c.logger.Warn("waiting_for_release",
		zap.Uint32("result_code", uint32(resultcode.PeerNoRelease)),
		zap.String("platform", c.inputs[inputPlatform].state),
		zap.Int("peers", len(c.machine.Peers())),
		zap.String("advice", "publish a first release, or restore the platform or a peer"))
}

// obtain loads a release unless it is loaded already: from the watchers, other
// peers, then the platform; watchers ask the platform first.
func (c *configurationController) obtain(ctx context.Context, ref release.Ref) {
	c.mu.Lock()
	known := c.loaded[ref.Number]
	refused := c.ownAck.Ref.Matches(ref) && c.ownAck.Code != resultcode.OK && c.now()-c.refusedAt < refusedRetryInterval
	peers := c.releaseSources()
	watcher := slices.Contains(c.watchers(), c.self)
	c.mu.Unlock()
	if refused || (known != nil && known.ref.Matches(ref)) {
		return
	}
	if watcher && c.fromPlatform(ctx, ref) {
		return
	}
	for _, address := range peers {
		if c.fromPeer(ctx, address, ref) {
			return
		}
	}
	if !watcher {
		c.fromPlatform(ctx, ref)
	}
}

// maxSources bounds the peers asked for one release in one try.
const maxSources = 5

// releaseSources returns the peers to ask, watchers first. The caller holds mu.
func (c *configurationController) releaseSources() []netip.AddrPort {
	var first, rest []netip.AddrPort
	watchers := c.watchers()
	for _, update := range c.machine.Peers() {
		if slices.Contains(watchers, update.ID) {
			first = append(first, update.Peer)
		} else {
			rest = append(rest, update.Peer)
		}
	}
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	sources := append(first, rest...)
	return sources[:min(maxSources, len(sources))]
}

func (c *configurationController) fromPlatform(ctx context.Context, ref release.Ref) bool {
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
	c.load(spec.ref(), spec.Body)
	return true
}

// load checks a body and records the acknowledgement.
func (c *configurationController) load(ref release.Ref, body []byte) {
	c.loading.Lock()
	defer c.loading.Unlock()
	if c.hasLoaded(ref) {
		return
	}
	decoded, err := decodeBody(ref, body)
	loaded := &loadedRelease{ref: ref, body: body, release: decoded}
	if err == nil {
		loaded.base = config.NewDeltaBase(decoded, ref.Hash)
		err = c.verify(decoded)
	}
	c.loadedOrRefused(loaded, formBody, err)
}

func (c *configurationController) hasLoaded(ref release.Ref) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.loaded[ref.Number]
	return known != nil && known.ref.Matches(ref)
}

// loadedOrRefused records the result of a check and acknowledges it.
func (c *configurationController) loadedOrRefused(loaded *loadedRelease, form string, err error) {
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
		c.metrics.loads.WithLabelValues(form).Inc()
	}
	if err != nil {
		c.refusedAt = c.now()
	}
	c.ownAck = release.Ack{Instance: c.self, Ref: ref, Code: code}
	c.mu.Unlock()
	c.tomb.Go(c.sendAck)
	signal(c.wanted)
}

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
		return nil, resultcode.Errorf(resultcode.ReleaseHashMismatch, "the body of release %d states number %d", ref.Number, decoded.Number)
	}
	return decoded, nil
}

// dropOldReleases keeps the newest bodies. The caller holds mu.
func (c *configurationController) dropOldReleases() {
	for len(c.loaded) > keptReleases {
		oldest := uint64(0)
		for number := range c.loaded {
			if oldest == 0 || number < oldest {
				oldest = number
			}
		}
		delete(c.loaded, oldest)
	}
}

// sendAck tells the watchers directly, because the normal round of probes takes
// a minute in a group of 200.
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
		datagrams := c.encode(outputs)
		c.mu.Unlock()
		c.sendAll(outputs, datagrams)
		sleep(ctx, ackRepeatInterval)
	}
	return nil
}

// apply puts a loaded release in force.
func (c *configurationController) apply(ref release.Ref) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.loaded[ref.Number]
	if known == nil || !known.ref.Matches(ref) {
		return
	}
	if err := c.tracker.Apply(known.ref); err != nil {
		c.logger.Warn("release_not_applied", zap.Error(err))
		return
	}
	if c.inForce == nil {
		c.inForceSince = c.now()
	}
	c.inForce = known
	c.services = known.release.ServicesFor(c.settings.Places)
	c.metrics.release.Set(float64(ref.Number))
	c.logger.Info("release_applied", zap.Uint64("release", ref.Number), zap.String("hash", known.ref.Hash), zap.Int("services", len(c.services)))
	c.snapshotChanged()
}

// peerService answers the Peer service.
type peerService struct{ *core }

// PullReplication passes the request of a joining instance to entryd.
func (p *peerService) PullReplication(ctx context.Context, request *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	return p.entry.PullReplication(ctx, request)
}

// ackOf returns the newest acknowledgement of an instance with what it has in
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
