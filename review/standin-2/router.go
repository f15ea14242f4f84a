package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router sends the packets of clients to the daemons in rotation of their zone.
type router struct {
	rec    *recorder
	client http.Client
	stop   chan struct{}

	mu      sync.Mutex
	daemons []*daemon
	misses  map[*daemon]int
	in      map[*daemon]bool
}

func startRouter(rec *recorder) *router {
	r := &router{
		rec: rec, stop: make(chan struct{}), misses: map[*daemon]int{}, in: map[*daemon]bool{},
		client: http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	go r.probe()
	return r
}

func (r *router) add(d *daemon) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = append(r.daemons, d)
}

func (r *router) probe() {
	for {
		r.mu.Lock()
		daemons := append([]*daemon(nil), r.daemons...)
		r.mu.Unlock()
		for _, d := range daemons {
			go r.probeOne(d)
		}
		select {
		case <-r.stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (r *router) probeOne(d *daemon) {
	response, err := r.client.Get("http://" + d.ready.String() + "/readiness")
	good := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if good {
		r.misses[d] = 0
	} else {
		r.misses[d]++
	}
	in := good || r.in[d] && r.misses[d] < 2
	if in != r.in[d] {
		r.rec.logf("router: %s in rotation: %v", d.name, in)
	}
	r.in[d] = in
}

// rotation returns how many daemons are in rotation.
func (r *router) rotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, d := range r.daemons {
		if r.in[d] {
			count++
		}
	}
	return count
}

// pick returns the daemon for a packet: by a hash of the addresses and ports over the daemons
// in rotation of the zone, over all of the zone if fewer than half are in rotation.
func (r *router) pick(zone string, p *packet) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, in []*daemon
	for _, d := range r.daemons {
		if d.zone == zone {
			all = append(all, d)
			if r.in[d] {
				in = append(in, d)
			}
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	if len(in) == 0 {
		in = r.daemons
	}
	var best *daemon
	var most uint64
	for _, d := range in {
		h := fnv.New64a()
		fmt.Fprint(h, p.from, p.to, d.name)
		if weight := h.Sum64() * 0x9e3779b97f4a7c15; best == nil || weight > most {
			best, most = d, weight
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.packets, true
}
