package freshness

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is an entry in the common order of instances.
type peer struct {
	name   string
	weight uint64
	// backoffUntil is when a peer may be queried again, failedAt when the last query
	// failed, and failures the number of consecutive queries without a response.
	backoffUntil time.Duration
	failedAt     time.Duration
	failures     int
}

// SetPeers sets the names of the other instances. Known peers keep their backoff.
func (s *Scheduler) SetPeers(names []string) {
	previous := s.byName
	s.byName = make(map[string]*peer, len(names)+1)
	s.order = make([]*peer, 0, len(names)+1)
	for _, name := range append([]string{s.self}, names...) {
		if s.byName[name] != nil {
			continue
		}
		entry := previous[name]
		if entry == nil {
			entry = &peer{name: name, weight: xxhash.Sum64String(name)}
		}
		s.byName[name] = entry
		s.order = append(s.order, entry)
	}
	slices.SortFunc(s.order, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.name, b.name))
	})
}

// HasPeers reports whether the order contains any other instance.
func (s *Scheduler) HasPeers() bool { return len(s.order) > 1 }

// LongReadDelay returns how long the instance waits, from the start of a read, before it
// continues with a list that takes long to read. A peer may supply the contents meanwhile.
// The delay grows with the position in the order, without the peers that are in backoff.
func (s *Scheduler) LongReadDelay(now time.Duration) time.Duration {
	delay := minLongReadDelay
	for _, candidate := range s.order {
		if candidate.name == s.self {
			break
		}
		if candidate.backoffUntil <= now {
			delay += longReadSpacing
		}
	}
	return min(delay, maxLongReadDelay)
}

// readerCount returns the number of instances that read the store in normal operation.
func (s *Scheduler) readerCount() int {
	return 1 + (len(s.order)-1)/max(s.settings.FollowersPerReader, 1)
}

// reader returns the instance to query, this instance if it reads the store itself.
func (s *Scheduler) reader(now time.Duration) string {
	return ReaderOf(s.self, s.Readers(now))
}

// Readers returns the instances that read the store for the others: the first readerCount
// instances that are not skipped. An instance whose last read failed skips itself, because
// only its own path to the store may be broken.
func (s *Scheduler) Readers(now time.Duration) []string {
	var first []string
	for _, candidate := range s.order {
		if s.skipped(candidate, now) {
			continue
		}
		first = append(first, candidate.name)
		if len(first) == s.readerCount() {
			break
		}
	}
	return first
}

// ReaderOf returns the reader that an instance queries. It is the instance itself if it is
// one of the readers or there are none, else the reader that its hash selects.
func ReaderOf(name string, readers []string) string {
	if len(readers) == 0 || slices.Contains(readers, name) {
		return name
	}
	return readers[xxhash.Sum64String(name)%uint64(len(readers))]
}

func (s *Scheduler) skipped(candidate *peer, now time.Duration) bool {
	if candidate.name == s.self {
		return s.lastReadFailed
	}
	return candidate.backoffUntil > now
}
