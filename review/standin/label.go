package main

import (
	"math/rand"
	"time"
)

const (
	// slowEndpoints is the share .15 of the endpoints, slowTime the length and answerLate the
	// lateness of srv_slow.
	slowEndpoints = 2
	slowTime      = 5 * time.Second
	answerLate    = 250 * time.Millisecond
	// longFlowGap is the time between two long flows that are opened in a zone.
	longFlowGap = 60 * time.Millisecond
	longPause   = time.Second
	rollGap     = 1300 * time.Millisecond
	calmTime    = 6 * time.Second
)

// runLabel opens long flows while a few endpoints answer late, and later stops and starts the
// instances in turn, when all endpoints have been calm for longer than the stability window.
func runLabel(w *world, program string, trouble bool) error {
	table := newRouteTable(w, 8)
	started, err := startDeployment(w, program, endpointWork)
	if err != nil {
		return err
	}
	w.judgeReset = func(f *clientFlow, at, by *endpoint) {
		now := time.Now()
		switch {
		case !at.inTouch(now) || now.Sub(f.dialedAt) > flowLifetime:
		case by == nil:
			w.violation("FLOW", "flow %s, open at %s, got a reset of the system", f.local, at.name)
		case by.inTouch(now):
			w.violation("FLOW", "flow %s, open at %s, got a reset that %s sent", f.local, at.name, by.name)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, c := range w.clients {
		go c.sendRequests(table.main, requestPause, stop)
	}
	time.Sleep(4 * time.Second)
	slow := started[:slowEndpoints]
	w.slowDown(slow, trouble)
	opened := 0
	for ends := time.Now().Add(slowTime); time.Now().Before(ends); time.Sleep(longFlowGap) {
		for _, c := range w.clients {
			go c.keepFlow(table.main, stop)
			opened++
		}
	}
	w.speedUp(slow)
	w.log("%d long flows were opened", opened)
	time.Sleep(calmTime)
	w.log("the instances are stopped and started in turn")
	for _, in := range w.instances {
		if err := in.restart(program); err != nil {
			return err
		}
		time.Sleep(rollGap)
	}
	time.Sleep(3 * time.Second)
	return nil
}

func (w *world) slowDown(slow []*endpoint, trouble bool) {
	if !trouble {
		return
	}
	for _, e := range slow {
		e.setAnswerLate(answerLate)
		w.log("%s answers %v late", e.name, answerLate)
	}
}

func (w *world) speedUp(slow []*endpoint) {
	for _, e := range slow {
		e.setAnswerLate(0)
		w.log("%s answers at once", e.name)
	}
}

// keepFlow opens a flow and sends requests on it, with pauses, until one fails.
func (c *client) keepFlow(to end, stop <-chan struct{}) {
	f := c.dial(to, nil)
	defer f.hangUp()
	for {
		if f.request(requestLimit) != served {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(longPause) * (0.5 + rand.Float64()))):
		}
	}
}
