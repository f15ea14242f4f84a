package discovery

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

const (
	// peerExpiry is how long a peer is kept after it was last seen.
	peerExpiry = 10 * time.Minute
	// maxSampledPeers limits the peers in a response, so that it stays below 1 kB even
	// if each of 2,300 instances knows a different set of peers.
	maxSampledPeers = 16
)

// Peer is another instance.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Peers is the set of other instances that this one has learned of: from the store,
// from seeds, from incoming queries and from the responses of peers. Its methods are
// safe for concurrent use.
type Peers struct {
	self Peer

	mu      sync.Mutex
	entries map[string]*peerEntry
	// seeds are addresses of instances whose names are not known yet.
	seeds []netip.AddrPort
}

type peerEntry struct {
	address netip.AddrPort
	seenAt  time.Duration
	// queriedAt is when the peer last queried this instance, 0 if it has not. cached is the
	// revision of the peer's cache at that time.
	queriedAt time.Duration
	cached    common.Revision
}

// NewPeers returns the peers of the instance self, initially only the addresses of the
// seeds.
func NewPeers(self Peer, seeds []netip.AddrPort) *Peers {
	return &Peers{self: self, entries: make(map[string]*peerEntry), seeds: seeds}
}

// PeerSeen records that a peer existed at a time, and reports whether the peer is new.
func (p *Peers) PeerSeen(peer Peer, at time.Duration) bool {
	if peer.Name == p.self.Name || peer.Name == "" || !peer.Address.IsValid() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[peer.Name]
	if entry == nil {
		p.entries[peer.Name] = &peerEntry{address: peer.Address, seenAt: at}
		return true
	}
	if at >= entry.seenAt {
		entry.address, entry.seenAt = peer.Address, at
	}
	return false
}

// Queried records that a known peer queried this instance, with the revision of its cache.
func (p *Peers) Queried(name string, cached common.Revision, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entry := p.entries[name]; entry != nil && now >= entry.queriedAt {
		entry.queriedAt, entry.cached = now, cached
	}
}

// countBehind returns the number of the peers selected by follows that have not queried
// this instance since a time, or whose cache was below a revision when they last did.
func (p *Peers) countBehind(revision common.Revision, since time.Duration, follows func(name string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	behind := 0
	for name, entry := range p.entries {
		current := entry.queriedAt > 0 && entry.queriedAt >= since && !revision.After(entry.cached)
		if !current && follows(name) {
			behind++
		}
	}
	return behind
}

// Names returns the names of the known peers.
func (p *Peers) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.entries))
}

// Prune removes the peers that were last seen peerExpiry ago or earlier, and returns
// their number.
func (p *Peers) Prune(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.entries)
	maps.DeleteFunc(p.entries, func(_ string, entry *peerEntry) bool { return now-entry.seenAt >= peerExpiry })
	return before - len(p.entries)
}

// Count returns the number of known peers.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.entries)
}

// Address returns the address of a peer, false if the peer is not known.
func (p *Peers) Address(name string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.entries[name]
	if entry == nil {
		return netip.AddrPort{}, false
	}
	return entry.address, true
}

// Seeds returns the addresses of seeds that are neither the address of a known peer nor
// of this instance.
func (p *Peers) Seeds() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unknown []netip.AddrPort
	for _, seed := range p.seeds {
		if seed != p.self.Address && !p.hasAddress(seed) {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

func (p *Peers) hasAddress(address netip.AddrPort) bool {
	for _, entry := range p.entries {
		if entry.address == address {
			return true
		}
	}
	return false
}

// Hash returns a hash of the set of names of all known instances, including this one.
func (p *Peers) Hash() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := xxhash.Sum64String(p.self.Name)
	for name := range p.entries {
		sum ^= xxhash.Sum64String(name)
	}
	return sum
}

// Self returns this instance in the form sent to peers.
func (p *Peers) Self() *syncpb.Peer {
	return &syncpb.Peer{Name: p.self.Name, Address: p.self.Address.String()}
}

// Sample returns this instance and some known peers for a response, at most
// maxSampledPeers in total.
func (p *Peers) Sample(now time.Duration) []*syncpb.Peer {
	sample := []*syncpb.Peer{p.Self()}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.entries {
		if len(sample) == maxSampledPeers {
			break
		}
		sample = append(sample, &syncpb.Peer{
			Name: name, Address: entry.address.String(), HeardMs: uint64((now - entry.seenAt).Milliseconds()),
		})
	}
	return sample
}

// peerFromWire decodes a peer and when it was last seen. The error has code
// PeerBadDatagram.
func peerFromWire(wire *syncpb.Peer, now time.Duration) (Peer, time.Duration, error) {
	address, err := netip.ParseAddrPort(wire.GetAddress())
	if err != nil {
		return Peer{}, 0, resultcode.Errorf(resultcode.PeerBadDatagram, "address of peer %s: %w", wire.GetName(), err)
	}
	seenAt := now - time.Duration(min(wire.HeardMs, uint64(peerExpiry.Milliseconds())))*time.Millisecond
	return Peer{Name: wire.Name, Address: address}, seenAt, nil
}
