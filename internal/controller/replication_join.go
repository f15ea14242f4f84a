package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/membership"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// join takes this instance from joining to serving: it waits for the view and for
// entryd's tables, pulls the state of its slots and then serves.
func (r *replicationController) join(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, joinCheckInterval)
		incarnation, ready := r.readyToPull()
		if !ready {
			continue
		}
		r.pullAll(ctx, incarnation)
		r.mu.Lock()
		self := r.machine.Self()
		if self.Incarnation == incarnation && self.State == common.MemberJoining {
			r.machine.Serve(r.now())
			r.logger.Info("serving", zap.Uint64("incarnation", incarnation), zap.Int("peers", len(r.machine.Peers())))
		}
		r.mu.Unlock()
		r.snapshotChanged()
	}
	return nil
}

// readyToPull returns this instance's incarnation and whether it can pull the state
// of its slots.
func (r *replicationController) readyToPull() (uint64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.machine.Self()
	if self.State != common.MemberJoining || r.snapshotRelease == 0 {
		return 0, false
	}
	if _, leased := r.machine.Lease(r.now()); !leased {
		return 0, false
	}
	if !r.instancesLoaded && len(r.machine.Peers()) == 0 {
		return 0, false
	}
	if !r.endpointsKnown() && r.now()-r.inForceSince < endpointStateTimeout {
		return 0, false
	}
	return self.Incarnation, r.machine.Discovered(r.now(), discoveryQuietPeriod, discoveryTimeout)
}

// endpointsKnown reports whether each endpoint was reported by a prober. Until then
// the default tables differ from those of the peers. The caller holds mu.
func (r *replicationController) endpointsKnown() bool {
	for i := range r.services {
		for j := range r.services[i].Endpoints {
			if !r.health.Status(r.services[i].Endpoints[j].ID, r.now()).Reported {
				return false
			}
		}
	}
	return true
}

// pullAll requests from every live peer the state of the slots that this instance
// will own. A peer that does not respond is skipped: its exceptions of these slots
// are lost, as if it had been killed.
func (r *replicationController) pullAll(ctx context.Context, incarnation uint64) {
	r.mu.Lock()
	peers := r.machine.Peers()
	members := r.machine.Members()
	r.mu.Unlock()
	for i := range members {
		if members[i].ID == r.self {
			members[i].State = common.MemberServing
		}
	}
	request := &entrypb.PullReplicationRequest{Joiner: uint32(r.self), Members: encodeMembers(members)}
	for i := range peers {
		r.pull(ctx, &peers[i], request)
		r.mu.Lock()
		outdated := r.machine.Self().Incarnation != incarnation
		r.mu.Unlock()
		if outdated || ctx.Err() != nil {
			return
		}
	}
}

func (r *replicationController) pull(ctx context.Context, from *membership.Update, request *entrypb.PullReplicationRequest) {
	for range pullAttempts {
		response, err := r.peers.PullReplication(ctx, from.Peer, request)
		if err != nil {
			r.logger.Warn("pull_failed", zap.String("peer", from.Name), zap.Error(err))
			continue
		}
		batch := response.GetBatch()
		if batch == nil || r.storeBatch(ctx, batch) {
			return
		}
	}
}

// waitReplicated waits until at most maxPending updates are left for the other
// instances in the given number of consecutive polls of entryd. It waits at least
// minWait and at most timeout; without peers it returns at once.
func (r *replicationController) waitReplicated(minWait, timeout time.Duration, polls, maxPending int) {
	earliest := r.now() + minWait
	deadline := r.now() + timeout
	idle := 0
	lastPoll := uint64(0)
	for r.now() < deadline {
		time.Sleep(replicationInterval)
		r.mu.Lock()
		poll, pending := r.polls, r.pending
		peers := len(r.machine.Peers())
		r.mu.Unlock()
		switch {
		case poll == lastPoll:
		case pending > maxPending:
			idle = 0
		default:
			idle++
		}
		lastPoll = poll
		if peers == 0 || (idle >= polls && r.now() >= earliest) {
			return
		}
	}
}

// idlePollsBeforeLeave is the number of polls with few pending updates before an
// instance announces that it leaves: 1 s, in which entryd receives a snapshot that
// forbids new exceptions.
const idlePollsBeforeLeave = 5

// idlePollsBeforeExit is the number of polls without pending updates before a
// leaving instance exits: 2 s.
const idlePollsBeforeExit = 10
