package entry

import (
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/lease"
)

// orphanTickInterval is the time between ticks of the orphan detector, which detects a
// pause of the process by a gap between them.
const orphanTickInterval = lease.MaxTickGap / 4

// leaseValid reports whether this instance may act as an owner.
func (s *Server) leaseValid(now time.Duration) bool {
	s.leaseLock.Lock()
	defer s.leaseLock.Unlock()
	return s.lease.Valid(now) && !s.awaitSnapshot
}

// orphaned reports whether this instance has run without burdock-controld for so
// long that it handles relayed packets itself.
func (s *Server) orphaned(now time.Duration) bool {
	s.leaseLock.Lock()
	defer s.leaseLock.Unlock()
	return s.orphan.Orphaned(&s.lease, now)
}

// runOrphanDetector ticks the orphan detector until the server stops.
func (s *Server) runOrphanDetector() error {
	ticker := time.NewTicker(orphanTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-ticker.C:
			s.leaseLock.Lock()
			s.orphan.Tick(s.now())
			s.leaseLock.Unlock()
		}
	}
}

// renewLease extends the lease and reports whether the instance was fenced
// before. If the lease had expired, slots that the current tables assign to this
// instance may have another owner. controld then makes the instance rejoin and
// sends a new snapshot; the instance stays fenced until that is applied.
func (s *Server) renewLease(duration time.Duration, incarnation uint64) (wasFenced bool, err error) {
	s.leaseLock.Lock()
	defer s.leaseLock.Unlock()
	wasFenced, err = s.lease.Renew(s.now(), duration, incarnation)
	if err == nil && wasFenced && s.state.Load().ownsSlots() {
		s.awaitSnapshot = true
	}
	return wasFenced, err
}

// snapshotApplied lifts the fence that renewLease sets after the lease had expired.
func (s *Server) snapshotApplied() {
	s.leaseLock.Lock()
	defer s.leaseLock.Unlock()
	s.awaitSnapshot = false
}

func (s *Server) fenced() bool {
	return !s.leaseValid(s.now())
}
