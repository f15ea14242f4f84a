package main

import "time"

// lateReport: the way of one endpoint to the store is cut for some seconds. A status report
// ("ready") that it had just sent is held up. After the cut the endpoint reports that it is
// draining, which the store acknowledges; then the held report arrives.
func lateReport(s *site, trouble bool) (bool, error) {
	const (
		cut        = 3200 * time.Millisecond
		drainAfter = 3300 * time.Millisecond // from the beginning of the cut
		serves     = 4700 * time.Millisecond // after the ack: the bound and a little longer
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
	s.traffic(planFetch, 70, time.Second)
	s.traffic(doneReport, 15, 1200*time.Millisecond)
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
	s.rec.sayf("endpoint %s has left", leaving.id)
	leaving.close()
	time.Sleep(5 * time.Second)
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
	s.rec.sayf("%d requests were sent in vain in the 6 s after the ack, %d of them had begun to run", s.lostBetween(acked, acked.Add(6*time.Second)), s.cut(e))
	return late > 0
}

// lostBetween returns how many requests that were sent in a span got no answer with success.
func (s *site) lostBetween(from, until time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := 0
	for _, r := range s.results {
		if r.status != 200 && r.sentAt.After(from) && r.sentAt.Before(until) {
			lost++
		}
	}
	return lost
}

// cut returns how many requests that an endpoint ran were not answered with success. The caller
// holds the endpoint's lock.
func (s *site) cut(e *endpoint) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	answered := map[int]bool{}
	for _, r := range s.results {
		answered[r.attempt] = r.status == 200
	}
	lost := 0
	for _, r := range e.runs {
		if good, known := answered[r.attempt]; known && !good {
			lost++
		}
	}
	return lost
}
