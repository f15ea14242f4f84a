package main

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// disruption is disruption_ms of the small installations.
	disruption = 2 * time.Second
	grace      = 6 * time.Second
)

// secondAnswer: clients open flows for many requests while their link loses packets for 0.3 s,
// so that the first packet of a flow is answered by two endpoints. Then the daemons of the zone
// are stopped and started in turn.
func secondAnswer(s *site, trouble bool) (bool, error) {
	const flows = 16
	if err := begin(s, 20, 0); err != nil {
		return false, err
	}
	h, err := openHost(s.rec, s.router, "fukuoka", netip.MustParseAddr("127.83.1.1"), s.ports.packets)
	if err != nil {
		return false, err
	}
	s.hosts = append(s.hosts, h)
	if trouble {
		s.rec.sayf("the link to %s loses packets for 0.3 s", h.addr)
		h.lose(300 * time.Millisecond)
	}
	for i := range flows {
		f := h.dial(doneReport)
		s.wait.Go(func() {
			for n := 0; ; n++ {
				res := h.ask(f, 1200*time.Millisecond)
				s.mu.Lock()
				s.results = append(s.results, res)
				s.mu.Unlock()
				if res.why != "" {
					s.rec.sayf("request %d on the flow of %s: %s", n+1, f.local, res.why)
				}
				select {
				case <-s.stop:
					return
				case <-time.After(1800*time.Millisecond + time.Duration(i)*40*time.Millisecond):
				}
				h.mu.Lock()
				gone := f.failed != ""
				h.mu.Unlock()
				if gone {
					return
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	for _, d := range s.daemons[:2] {
		s.rec.sayf("%s is stopped and started", d.name)
		d.term(grace)
		if err := d.start(); err != nil {
			return false, err
		}
		time.Sleep(1300 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	return s.judgeFlows(), nil
}

// judgeFlows reports whether a client got a reset from another endpoint than the one where its
// flow was open, or three or more packets of the flow reached others for the time of a
// disruption and none its own.
func (s *site) judgeFlows() bool {
	isBroken := false
	now := time.Now()
	for _, own := range s.servers {
		own.mu.Lock()
		opened, ended, arrived := own.opened, own.ended, own.packets
		for from, at := range opened {
			until, over := ended[from]
			if !over {
				until = now
			}
			for _, other := range s.servers {
				if other == own {
					continue
				}
				other.mu.Lock()
				for _, r := range other.resets[from] {
					if r.After(at) && r.Before(until) {
						isBroken = true
						s.rec.sayf("FLOW (a) %s gets a reset from endpoint %s, its flow is open at %s", from, other.id, own.id)
					}
				}
				if n := astray(other.packets[from], arrived[from], at, until); n >= 3 {
					isBroken = true
					s.rec.sayf("FLOW (b) %d packets of %s reach endpoint %s and none %s, where its flow is open", n, from, other.id, own.id)
				}
				other.mu.Unlock()
			}
		}
		own.mu.Unlock()
	}
	return isBroken
}

// astray returns the most packets that reached another endpoint in a span of disruption or
// more, from at until, in which none reached the flow's own.
func astray(other, own []time.Time, at, until time.Time) int {
	most := 0
	marks := append(slices.Clone(own), until)
	from := at
	for _, mark := range marks {
		if mark.Sub(from) >= disruption {
			n := 0
			for _, t := range other {
				if t.After(from) && t.Before(mark) {
					n++
				}
			}
			most = max(most, n)
		}
		from = mark
	}
	return most
}
