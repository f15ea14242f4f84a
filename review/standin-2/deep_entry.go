package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// configBound is the bound of the small installations for a configuration to be in force.
	configBound = 3 * time.Second
	// recoveryBound is recovery_s of the small installations.
	recoveryBound = 12 * time.Second
	// depth is the number of lists within each other in the other writer's entry, 24 kB.
	depth = 12_000
)

// deepEntry: another writer keeps one entry that cannot be read. Then the operator publishes a
// version that drops a route, an endpoint leaves, and in the end all
// daemons are killed.
func deepEntry(s *site, trouble bool) (bool, error) {
	if err := begin(s, 30, 0); err != nil {
		return false, err
	}
	s.traffic(doneReport, 15, 1200*time.Millisecond)
	time.Sleep(2 * time.Second)
	if trouble {
		s.rec.sayf("another writer puts the entry i-0badf00d, %d lists within each other, every %v", depth, beat)
		s.wait.Go(s.writeDeepEntry)
	}
	time.Sleep(settled)
	s.dropped = true
	if err := s.putConfig(); err != nil {
		return false, err
	}
	acked := time.Now()
	s.rec.sayf("the store has acknowledged version %d, without the route to %s", s.version, doneReport)
	leaving := s.of(crewDesk)[0]
	if !leaving.drain() {
		return false, errNotAcknowledged
	}
	time.Sleep(8 * time.Second)
	broken := s.judgeDropped(doneReport, acked)
	s.judgeDrain(leaving, leaving.acknowledged())
	return s.judgeRecovery() || broken, nil
}

// writeDeepEntry puts the entry as often as an endpoint does, so that the store keeps it.
func (s *site) writeDeepEntry() {
	for {
		s.store.putRaw("servers", "i-0badf00d", []byte(strings.Repeat("[", depth)+strings.Repeat("]", depth)))
		select {
		case <-s.stop:
			return
		case <-time.After(beat):
		}
	}
}

// judgeDropped reports whether requests of a dropped route were run whose flow began later than
// the bound after the ack.
func (s *site) judgeDropped(route end, acked time.Time) bool {
	late, all := 0, 0
	for _, e := range s.servers {
		e.mu.Lock()
		for _, o := range e.openings {
			if o.to != route || o.at.Before(acked) {
				continue
			}
			all++
			// A client sends the last copy of its first packet within this time.
			if after := o.at.Sub(acked); after > configBound+openLimit && e.ranFrom(o.from) {
				late++
				s.rec.logf("CONFIG endpoint %s runs a request of the dropped route, %.3f s after the ack", e.id, after.Seconds())
			}
		}
		e.mu.Unlock()
	}
	s.rec.sayf("%d flows of the dropped route opened after the ack, %d ran later than %v after it", all, late, configBound+openLimit)
	return late > 0
}

// ranFrom reports whether the endpoint ran a request of a client's end. The caller holds mu.
func (e *endpoint) ranFrom(from end) bool {
	for _, r := range e.runs {
		if r.from == from {
			return true
		}
	}
	return false
}

// judgeRecovery kills all daemons at once and starts them again. It reports whether less than a
// quarter of the requests is served that are sent later than the bound of recovery.
func (s *site) judgeRecovery() bool {
	s.rec.sayf("all daemons are killed, and started again after a second")
	for _, d := range s.daemons {
		d.kill()
	}
	time.Sleep(time.Second)
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			s.rec.sayf("start: %v", err)
		}
	}
	time.Sleep(recoveryBound)
	from := time.Now()
	time.Sleep(4 * time.Second)
	good, all := 0, 0
	s.mu.Lock()
	for _, r := range s.results {
		if r.sentAt.After(from) && r.to == planFetch {
			all++
			if r.status == http.StatusOK {
				good++
			}
		}
	}
	s.mu.Unlock()
	s.rec.sayf("RECOVER: %v after the start %d of %d daemons are in rotation, %d of %d requests are served",
		recoveryBound, s.router.rotation(), len(s.daemons), good, all)
	return 4*good < all
}
