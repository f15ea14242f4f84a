package testbed

import (
	"math/rand"
	"net/netip"
	"sync"
	"time"
)

// Destination is an address and port of a service, with the requests sent to it.
type Destination struct {
	Address netip.Addr
	Port    uint16
	Service string
	Kind    Kind
	// ResponseSize is the size of a response body in bytes, ServiceTime the time that an
	// endpoint takes for a request.
	ResponseSize uint32
	ServiceTime  time.Duration
	// Timeout is the time that a caller waits for a response, retries included.
	Timeout time.Duration
	// KeepAlive makes callers send several requests on a flow, with pauses.
	KeepAlive bool
}

func (d *Destination) socketAddr() socketAddr { return socketAddr{d.Address, d.Port} }

// Tally counts requests by outcome.
type Tally struct {
	mu       sync.Mutex
	Requests int
	Answered int
	Refused  int
	Failed   int
	// BrokenFlows counts flows that ended during a request. Their requests count as
	// failed as well.
	BrokenFlows int
}

func (t *Tally) add(o outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Requests++
	switch o {
	case answered:
		t.Answered++
	case refused:
		t.Refused++
	case broken:
		t.BrokenFlows++
		t.Failed++
	default:
		t.Failed++
	}
}

// Counts returns the counts so far.
func (t *Tally) Counts() (requests, answered, refused, brokenFlows int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Requests, t.Answered, t.Refused, t.BrokenFlows
}

// maxRetries is the number of attempts after the first one of a request.
const maxRetries = 2

// SendRequests sends the requests of one caller to a destination until stop is closed.
// The time between two requests is random, from 0.5 to 1.5 times the pause.
func (h *Host) SendRequests(d *Destination, pause time.Duration, tally *Tally, stop <-chan struct{}) {
	var flow *callerFlow
	closeFlow := func() {
		if flow != nil {
			h.closeFlow(flow)
			flow = nil
		}
	}
	defer closeFlow()
	for {
		select {
		case <-stop:
			return
		case <-h.done:
			return
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		}
		r := &request{id: lastRequestID.Add(1), kind: d.Kind, size: d.ResponseSize, serviceTime: d.ServiceTime}
		deadline := time.Now().Add(d.Timeout)
		var result outcome
		for attempt := 0; ; attempt++ {
			if flow == nil {
				flow = h.dial(d.socketAddr())
			}
			result = h.exchange(flow, r, deadline)
			if result != answered || !d.KeepAlive || rand.Intn(10) == 0 {
				closeFlow()
			}
			if result == answered || attempt == maxRetries || !h.mayRetry(d, result) || time.Now().After(deadline) {
				break
			}
		}
		tally.add(result)
	}
}

// mayRetry reports whether a request may be sent again after an outcome. A report may
// not if it could have run.
func (h *Host) mayRetry(d *Destination, o outcome) bool {
	return d.Kind != Report || o == notOpened || o == refused
}
