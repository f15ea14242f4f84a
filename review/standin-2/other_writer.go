package main

import (
	"errors"
	"time"
)

var errNotAcknowledged = errors.New("the store has not acknowledged that the endpoint is draining")

// otherWriter: another writer puts an entry under the key of an endpoint of the drawing store.
// It has no field born, which every endpoint states, and names the crew desk as the service.
// It stands until the endpoint's next status report.
func otherWriter(s *site, trouble bool) (bool, error) {
	if err := begin(s, 40, 4); err != nil {
		return false, err
	}
	target := s.of(drawingStore)[0]
	for range 3 {
		if trouble {
			target.beatSoon(0)
			time.Sleep(60 * time.Millisecond)
			status, err := s.put("servers", target.id, map[string]any{
				"service": crewDesk, "address": target.address.String(), "zone": target.zone, "version": "v1", wire["slots"]: slots,
				"state": "ready", wire["warm"]: 0, "sequence": 1,
			})
			s.rec.sayf("another writer puts an entry under %s: status %d, %v", target.id, status, err)
		}
		time.Sleep(3 * time.Second)
	}
	return s.judgeRoute(), nil
}

// judgeRoute reports whether an endpoint ran a request of a route that never led to its service.
func (s *site) judgeRoute() bool {
	service := map[uint16]map[string]string{
		planFetch.Port(): {planFetch.Addr().String(): crewDesk, layoutPull.Addr().String(): drawingStore},
	}
	foreign := 0
	for _, e := range s.servers {
		e.mu.Lock()
		took := map[end]end{}
		for _, o := range e.openings {
			took[o.from] = o.to
		}
		for _, r := range e.runs {
			to := took[r.from]
			if want := service[to.Port()][to.Addr().String()]; want != e.service {
				foreign++
				s.rec.sayf("ROUTE endpoint %s of %s runs attempt %d to %s, which leads to %s", e.id, e.service, r.attempt, to, want)
			}
		}
		e.mu.Unlock()
	}
	s.rec.sayf("%d requests were run by a service to which no configuration leads", foreign)
	return foreign > 0
}
