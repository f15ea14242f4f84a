package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// configBound is config_apply_ms of the small installations.
const configBound = 3 * time.Second

// movedStore: the store gets a new address. The platform writes it into the settings of all
// daemons and sends them SIGHUP; the old address answers for 12 s more. Then the operator
// publishes a version that drops a route.
func movedStore(s *site, trouble bool) (bool, error) {
	const overlap = 12 * time.Second
	if err := begin(s, 30, 0); err != nil {
		return false, err
	}
	s.traffic(doneReport, 10, 1200*time.Millisecond)
	time.Sleep(time.Second)
	if trouble {
		if err := s.moveStore(overlap); err != nil {
			return false, err
		}
	}
	time.Sleep(settled + time.Second)
	s.dropped = true
	if err := s.putConfig(); err != nil {
		return false, err
	}
	acked := time.Now()
	s.rec.sayf("the store has acknowledged version %d, without the route to %s", s.version, doneReport)
	time.Sleep(10 * time.Second)
	return s.judgeDropped(doneReport, acked), nil
}

// moveStore lets the store answer at a new address too, and after a time only there. All that
// call it are told.
func (s *site) moveStore(overlap time.Duration) error {
	old := s.store.listener
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	from := s.store.address()
	s.store.listener = listener
	next := &http.Server{Handler: s.store}
	go func() { _ = next.Serve(listener) }()
	for _, e := range s.servers {
		e.setStore(s.store.address())
	}
	for _, d := range s.daemons {
		text, err := os.ReadFile(d.settings)
		if err != nil {
			return err
		}
		changed := strings.Replace(string(text), "store: "+from, "store: "+s.store.address(), 1)
		if changed == string(text) {
			return fmt.Errorf("no store %s in %s", from, d.settings)
		}
		if err := os.WriteFile(d.settings, []byte(changed), 0o644); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP)
	}
	s.rec.sayf("the store is at %s now, the settings say so, all daemons got SIGHUP", s.store.address())
	time.Sleep(overlap)
	_ = old.Close()
	_ = s.store.server.Close()
	s.store.server = next
	s.rec.sayf("the old address %s answers no more", from)
	return nil
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
