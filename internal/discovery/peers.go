package discovery

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

const (
	// peerLife is how long a peer is kept that nobody has heard of.
	peerLife = 10 * time.Minute
	// maxTold bounds the peers in an answer: at 2,300 instances that know of
	// different ones, an answer stays below a kilobyte.
	maxTold = 16
)

// Peer is another instance.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Peers is the set of other instances that this one has heard of: by reading the
// store, from seeds, from those that ask and from what they tell.
type Peers struct {
	self Peer

	mu    sync.Mutex
	known map[string]*peerEntry
	// seeds are addresses of peers whose names are not known yet.
	seeds []netip.AddrPort
}

type peerEntry struct {
	address netip.AddrPort
	heardAt time.Duration
}

// NewPeers returns the peers of an instance, of which seeds are known by address.
func NewPeers(self Peer, seeds []netip.AddrPort) *Peers {
	return &Peers{self: self, known: make(map[string]*peerEntry), seeds: seeds}
}

// PeerSeen notes a peer that is known to exist at a time, and reports whether its
// name is new.
func (p *Peers) PeerSeen(peer Peer, at time.Duration) bool {
	if peer.Name == p.self.Name || peer.Name == "" || !peer.Address.IsValid() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.known[peer.Name]
	if entry == nil {
		p.known[peer.Name] = &peerEntry{address: peer.Address, heardAt: at}
		return true
	}
	if at >= entry.heardAt {
		entry.address, entry.heardAt = peer.Address, at
	}
	return false
}

// Names returns the names of the known peers.
func (p *Peers) Names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.known))
}

// Prune drops the peers that nobody has heard of for a time and returns their number.
func (p *Peers) Prune(now time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.known)
	maps.DeleteFunc(p.known, func(_ string, entry *peerEntry) bool { return now-entry.heardAt >= peerLife })
	return before - len(p.known)
}

// Count returns the number of peers heard of.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// Address returns the address of a peer.
func (p *Peers) Address(name string) (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.known[name]
	if entry == nil {
		return netip.AddrPort{}, false
	}
	return entry.address, true
}

// Seeds returns the addresses given in the settings that no known peer has.
func (p *Peers) Seeds() []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unknown []netip.AddrPort
	for _, seed := range p.seeds {
		if seed != p.self.Address && !p.has(seed) {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

func (p *Peers) has(address netip.AddrPort) bool {
	for _, entry := range p.known {
		if entry.address == address {
			return true
		}
	}
	return false
}

// Hash returns a hash of the names of all known instances, this one included.
func (p *Peers) Hash() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := xxhash.Sum64String(p.self.Name)
	for name := range p.known {
		sum ^= xxhash.Sum64String(name)
	}
	return sum
}

// Self returns this instance as peers see it.
func (p *Peers) Self() *syncpb.Peer {
	return &syncpb.Peer{Name: p.self.Name, Address: p.self.Address.String()}
}

// Sample returns some of the known instances for an answer.
func (p *Peers) Sample(now time.Duration) []*syncpb.Peer {
	told := []*syncpb.Peer{p.Self()}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, entry := range p.known {
		if len(told) == maxTold {
			break
		}
		told = append(told, &syncpb.Peer{
			Name: name, Address: entry.address.String(), HeardMs: uint64((now - entry.heardAt).Milliseconds()),
		})
	}
	return told
}

// peerFromWire returns a peer as it was told, and when it was heard of.
func peerFromWire(wire *syncpb.Peer, now time.Duration) (Peer, time.Duration, error) {
	address, err := netip.ParseAddrPort(wire.GetAddress())
	if err != nil {
		return Peer{}, 0, resultcode.Errorf(resultcode.PeerBadDatagram, "address of peer %s: %w", wire.GetName(), err)
	}
	heardAt := now - time.Duration(min(wire.HeardMs, uint64(peerLife.Milliseconds())))*time.Millisecond
	return Peer{Name: wire.Name, Address: address}, heardAt, nil
}
