package testbed

import (
	"math/rand"
	"net/netip"
	"sync"
	"time"
)

// Destination is an address and port of a service.
type Destination struct {
	Address netip.Addr
	Port    uint16
	Service string
	Kind    Kind
	// ResponseSize is the number of bytes of a response, Work the time that it takes.
	ResponseSize uint32
	ServiceTime  time.Duration
	// Timeout is how long a user waits for an answer.
	Timeout time.Duration
	// KeepAlive makes users send several requests on a flow, with pauses.
	KeepAlive bool
}

func (d *Destination) socketAddr() socketAddr { return socketAddr{d.Address, d.Port} }

// Tally counts how requests ended.
type Tally struct {
	mu       sync.Mutex
	Requests int
	Answered int
	Refused  int
	Failed   int
	// BrokenFlows counts flows that ended in the middle of a request.
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
func (t *Tally) Counts() (asked, answered, refused, broken int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Requests, t.Answered, t.Refused, t.BrokenFlows
}

// retries is the number of further tries of a request.
const maxRetries = 2

// SendRequests sends requests of one user to a destination until stop is closed, with a pause
// between them.
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
		r := &request{id: lastRequestID.Add(1), kind: d.Kind, size: d.ResponseSize, work: d.ServiceTime}
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

// mayRetry reports whether a request may be sent again after an outcome.
func (h *Host) mayRetry(d *Destination, o outcome) bool {
	return d.Kind != Report || o == notOpened || o == refused
}
