package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

func init() { cases["late-label"] = lateLabel }

const configuration = `{"version": 7, "routes": [{"name": "report", "host": "198.18.0.1", "path_prefix": "/443/", "service": "desk",
 "kind": "non_idempotent", "timeout_ms": 2500, "latency_goal_ms": 600, "priority": 1, "attempts": 1}],
 "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 2000}], "limits": {"idle_timeout_ms": 15000}}`

// lateLabel: clients keep flows open, with pauses. The network loses the endpoint's first
// answer to the opening packet of one of them. Then the machines are stopped and started in
// turn, and the clients send their next requests.
func lateLabel(w *world) error {
	w.store.put("config", "main", []byte(configuration))
	var lost sync.Map
	marked := make(map[string]bool)
	var mu sync.Mutex
	for n := 1; n <= 4; n++ {
		e, err := w.endpoint(n, "desk")
		if err != nil {
			return err
		}
		e.lose = func(p *packet) bool {
			mu.Lock()
			defer mu.Unlock()
			if !marked[p.to.String()] || !p.has(flagSyn) {
				return false
			}
			_, loaded := lost.LoadOrStore(p.to, true)
			return !loaded
		}
	}
	if err := w.start(); err != nil {
		return err
	}
	h, err := w.host(1)
	if err != nil {
		return err
	}
	// Entries are complete and settled.
	time.Sleep(6 * time.Second)
	route := netip.MustParseAddrPort("198.18.0.1:443")
	var flows []*clientFlow
	for n := range 4 {
		h.mu.Lock()
		next := netip.AddrPortFrom(h.address, h.port+1)
		h.mu.Unlock()
		mu.Lock()
		// One flow loses a packet.
		marked[next.String()] = w.trouble && n == 2
		mu.Unlock()
		f := h.dial(route)
		flows = append(flows, f)
		f.request(fmt.Sprintf("first-%d", n), 2500*time.Millisecond)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	for _, d := range w.daemons {
		d.stop()
		time.Sleep(500 * time.Millisecond)
		if err := d.start(); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
	}
	for n, f := range flows {
		f.request(fmt.Sprintf("second-%d", n), 2500*time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	return nil
}
