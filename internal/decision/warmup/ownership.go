package warmup

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// OwnerSettleTime is how long an instance owns nothing after it has read the list of
	// registrations. It is longer than the second of the limit, in which the instance may
	// have sent flows before a restart.
	OwnerSettleTime = 3 * time.Second
	// settleTimePerInstance prolongs that time with the number of instances: the others
	// learn of an instance from samples of up to 16 names, with which the last of them
	// waits for as many queries as there are instances.
	settleTimePerInstance = 150 * time.Millisecond
	// registrationExpiry is how long an instance that was registered counts although it
	// is not a peer. It may no longer run.
	registrationExpiry = 10 * time.Minute
)

// Ownership tells which endpoints an instance owns: those for which it ranks first among
// itself and the instances that it knows. It is immutable.
type Ownership struct {
	self uint64
	// peers holds the hashes of the names of the present peers, registered those of the
	// instances that were registered in the store at listedAt.
	peers, registered []uint64
	listed            bool
	listedAt          time.Duration
}

// NewOwnership returns the ownership of an instance that does not know its peers yet.
func NewOwnership(self string) *Ownership { return &Ownership{self: xxhash.Sum64String(self)} }

// WithPeers returns the ownership with the given peers.
func (o *Ownership) WithPeers(names []string) *Ownership {
	next := *o
	next.peers = o.hashes(names)
	return &next
}

// WithRegistered returns the ownership of an instance that has read the list of
// registrations after its own registration. Of two instances, the one that registers later
// thus knows the other one.
func (o *Ownership) WithRegistered(names []string, now time.Duration) *Ownership {
	next := *o
	next.registered = o.hashes(names)
	next.listed, next.listedAt = true, now
	return &next
}

// Expired returns the ownership without the registrations if these are too old.
func (o *Ownership) Expired(now time.Duration) *Ownership {
	if len(o.registered) == 0 || now-o.listedAt < registrationExpiry {
		return o
	}
	next := *o
	next.registered = nil
	return &next
}

// Instances returns the number of instances, this one and its peers.
func (o *Ownership) Instances() int { return 1 + len(o.peers) }

// Settled reports whether the instance may own endpoints: the others have had the time to
// learn of it.
func (o *Ownership) Settled(now time.Duration) bool {
	settleTime := OwnerSettleTime + time.Duration(len(o.peers))*settleTimePerInstance
	return o.listed && now-o.listedAt >= settleTime
}

// RanksFirst reports whether the instance ranks first for an endpoint. An instance that does
// may cease to when it learns of further instances, but one that does not cannot begin to.
func (o *Ownership) RanksFirst(endpoint string) bool {
	hash := xxhash.Sum64String(endpoint)
	own := score(o.self, hash)
	ranksBefore := func(other uint64) bool { return score(other, hash) >= own }
	return !slices.ContainsFunc(o.peers, ranksBefore) && !slices.ContainsFunc(o.registered, ranksBefore)
}

// Owns reports whether the instance owns an endpoint.
func (o *Ownership) Owns(endpoint string, now time.Duration) bool {
	return o.Settled(now) && o.RanksFirst(endpoint)
}

// hashes returns the hashes of names without that of the instance itself.
func (o *Ownership) hashes(names []string) []uint64 {
	hashes := make([]uint64, 0, len(names))
	for _, name := range names {
		if hash := xxhash.Sum64String(name); hash != o.self {
			hashes = append(hashes, hash)
		}
	}
	return hashes
}

// score returns the rank of an instance for an endpoint. It mixes the bits of both hashes
// with the finalizer of SplitMix64.
func score(instance, endpoint uint64) uint64 {
	x := instance ^ endpoint
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
