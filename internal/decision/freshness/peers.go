package freshness

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is one member of the order.
type peer struct {
	name   string
	weight uint64
	// backoffUntil is when a peer that did not answer is asked again, failedAt when
	// it was last asked in vain, failures how often in a row.
	backoffUntil time.Duration
	failedAt     time.Duration
	failures     int
}

// SetPeers sets the names of the other instances.
func (p *Scheduler) SetPeers(names []string) {
	former := p.byName
	p.byName = make(map[string]*peer, len(names)+1)
	p.order = make([]*peer, 0, len(names)+1)
	for _, name := range append([]string{p.self}, names...) {
		if p.byName[name] != nil {
			continue
		}
		member := former[name]
		if member == nil {
			member = &peer{name: name, weight: xxhash.Sum64String(name)}
		}
		p.byName[name] = member
		p.order = append(p.order, member)
	}
	slices.SortFunc(p.order, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
}

// HasPeers reports whether any other instance is known.
func (p *Scheduler) HasPeers() bool { return len(p.order) > 1 }

// LongReadDelay returns how long the instance waits, from the start of a read, before
// it goes on with a list that takes long. Meanwhile a peer may tell what the list holds. Peers that are passed over do not count.
func (p *Scheduler) LongReadDelay(now time.Duration) time.Duration {
	delay := minLongReadDelay
	for _, candidate := range p.order {
		if candidate.name == p.self {
			break
		}
		if candidate.backoffUntil <= now {
			delay += longReadSpacing
		}
	}
	return min(delay, maxLongReadDelay)
}

// readerCount is the number of instances that read the store when all is well.
func (p *Scheduler) readerCount() int {
	return 1 + (len(p.order)-1)/max(p.settings.FollowersPerReader, 1)
}

// reader returns the instance to ask: this one if it is one of the first that are
// not passed over, else the one of them that its hash picks. An instance whose last
// read failed passes itself over, because the store may turn it away alone.
func (p *Scheduler) reader(now time.Duration) string {
	var first []string
	for _, candidate := range p.order {
		if p.skipped(candidate, now) {
			continue
		}
		first = append(first, candidate.name)
		if len(first) == p.readerCount() {
			break
		}
	}
	if len(first) == 0 || slices.Contains(first, p.self) {
		return p.self
	}
	return first[xxhash.Sum64String(p.self)%uint64(len(first))]
}

func (p *Scheduler) skipped(candidate *peer, now time.Duration) bool {
	if candidate.name == p.self {
		return p.lastReadFailed
	}
	return candidate.backoffUntil > now
}
