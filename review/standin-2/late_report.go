package main

import "time"

// lateReport: the way of one endpoint to the store is cut for some seconds. A status report
// ("ready") that it had just sent is held up. After the cut the endpoint reports that it is
// draining, which the store acknowledges; then the held report arrives.
func lateReport(s *site, trouble bool) (bool, error) {
	const (
		cut        = 3600 * time.Millisecond
		drainAfter = 3720 * time.Millisecond // from the beginning of the cut
		serves     = 9 * time.Second         // after the report that it drains
	)
	way, err := startLink(s.rec, s.store.address())
	if err != nil {
		return false, err
	}
	defer way.close()
	if err := s.addServers(); err != nil {
		return false, err
	}
	leaving := s.of(crewDesk)[0]
	leaving.setStore(way.address())
	time.Sleep(300 * time.Millisecond)
	if err := s.addDaemons(); err != nil {
		return false, err
	}
	s.traffic(planFetch, 40, time.Second)
	time.Sleep(settled + 2*time.Second)
	s.rec.sayf("endpoint %s is to leave", leaving.id)
	before := leaving.beatSoon(10 * time.Millisecond)
	if trouble {
		s.rec.sayf("the way of endpoint %s to the store is cut for %v", leaving.id, cut)
		way.cut(cut)
	}
	time.Sleep(time.Until(before.Add(drainAfter)))
	if !leaving.drain() {
		return false, errNotAcknowledged
	}
	acked := leaving.acknowledged()
	time.Sleep(time.Until(acked.Add(serves)))
	return s.judgeDrain(leaving, acked), nil
}

// judgeDrain reports whether requests reached an endpoint later than the bound after the store
// acknowledged that it is draining. All daemons are in touch all the while.
func (s *site) judgeDrain(e *endpoint, acked time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	late := 0
	for _, r := range e.runs {
		if after := r.openedAt.Sub(acked); after > drainBound {
			late++
			s.rec.sayf("DRAIN endpoint %s runs attempt %d, whose flow reached it %.3f s after the ack", e.id, r.attempt, after.Seconds())
		}
	}
	s.rec.sayf("%d requests ran on %s later than %v after the ack, of %d in all", late, e.id, drainBound, len(e.runs))
	return late > 0
}
