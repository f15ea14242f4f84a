package main

import (
	"math/rand"
	"net/netip"
	"time"
)

const (
	rollbackSlack = 250 * time.Millisecond
	copyRounds    = 10
	// otherEndpoints is the number of endpoints of the service of the added routes.
	otherEndpoints = 4
	// fullTime is how long the endpoints are full.
	fullTime = 560 * time.Millisecond
	// effectProbeGap is the time between two flows with the added route to each instance.
	effectProbeGap = 50 * time.Millisecond
)

// effects holds, for each instance, when an endpoint first saw the effect of a version
// through it.
type effects map[*instance]time.Time

// runCopy drops a route and adds another one in the same version, while the endpoints of the
// dropped route are full because many users come at once.
func runCopy(w *world, program string, trouble bool) error {
	table := newRouteTable(w, 8)
	started, err := startDeployment(w, program, endpointWork)
	if err != nil {
		return err
	}
	for i := range otherEndpoints {
		address := netip.AddrPortFrom(w.ip(2, byte(100+i)), w.servicePort)
		if _, err := w.startEndpoint(0x200000+uint64(i), otherService, zones[i%len(zones)], address, endpointWork); err != nil {
			return err
		}
	}
	time.Sleep(stabilityWindow + time.Second)
	for round := range copyRounds {
		w.playCopyRound(table, started, round, trouble)
		time.Sleep(4 * time.Second)
		if w.record.breaks("CONFIG") > 0 {
			break
		}
	}
	return nil
}

func (w *world) playCopyRound(table *routeTable, started []*endpoint, round int, trouble bool) {
	seen := effects{}
	table.mu.Lock()
	old, added := table.further[0], table.next
	table.serviceOf[added] = otherService
	table.mu.Unlock()
	w.mu.Lock()
	w.judge = func(e *endpoint, from, to end, s sending) {
		switch at, known := seen[s.by]; {
		case to.port == added && !known:
			seen[s.by] = time.Now()
			w.logLocked("%s shows the effect of the new version", s.by.name)
		case to.port == old && known && s.at.Sub(at) > rollbackSlack && s.by.inTouch(s.at):
			w.violationLocked("CONFIG", "%s ran a request on the dropped route, sent through %s %v after that instance had shown the effect of the new version",
				e.name, s.by.name, s.at.Sub(at))
		}
	}
	w.mu.Unlock()
	if trouble {
		for _, e := range started {
			e.fill(fullTime)
		}
	}
	time.Sleep(time.Duration(rand.Intn(200)) * time.Millisecond)
	w.log("round %d", round)
	table.replaceOldest(w)
	go w.showEffects(end{table.main.ip, added})
	ends := time.Now().Add(350 * time.Millisecond)
	for time.Now().Before(ends) {
		for i, in := range w.instances {
			go w.clients[i%len(w.clients)].tryDirect(end{table.main.ip, old}, in)
		}
		time.Sleep(25 * time.Millisecond)
	}
}

// showEffects opens flows with an added route to each instance for a second.
func (w *world) showEffects(to end) {
	for range time.Second / effectProbeGap {
		for i, in := range w.instances {
			go w.clients[i%len(w.clients)].tryDirect(to, in)
		}
		time.Sleep(effectProbeGap)
	}
}
