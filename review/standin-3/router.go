package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	// missesOut is the number of misses after which a daemon is out of rotation.
	missesOut = 2
)

// router hands packets of clients to the daemons in rotation, by a steady hash of the four
// addresses and ports.
type router struct {
	mu      sync.Mutex
	daemons []*daemon
	client  http.Client
	// took is the daemon that took the last opening packet of a flow, by the client's end.
	took map[netip.AddrPort]*daemon
}

func startRouter(daemons []*daemon) *router {
	r := &router{daemons: daemons, took: map[netip.AddrPort]*daemon{}, client: http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}}
	go func() {
		for ; ; time.Sleep(probeInterval) {
			for _, d := range daemons {
				go r.probe(d)
			}
		}
	}()
	return r
}

func (r *router) probe(d *daemon) {
	response, err := r.client.Get("http://" + d.ready + "/readiness")
	ok := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		d.misses, d.inRotation = 0, true
		return
	}
	if d.misses++; d.misses >= missesOut {
		d.inRotation = false
	}
}

// inRotation returns the number of daemons in rotation.
func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, d := range r.daemons {
		if d.inRotation {
			n++
		}
	}
	return n
}

// choose returns the daemon of a flow.
func (r *router) choose(from, to netip.AddrPort) *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	var usable []*daemon
	for _, d := range r.daemons {
		if d.inRotation {
			usable = append(usable, d)
		}
	}
	if 2*len(usable) < len(r.daemons) {
		usable = r.daemons
	}
	var best *daemon
	var most uint64
	for _, d := range usable {
		h := fnv.New64a()
		_, _ = h.Write([]byte(d.name + " " + from.String() + " " + to.String()))
		// The last bytes of the input reach only the low bits of this hash.
		weight := (h.Sum64() ^ h.Sum64()>>29) * 0xbf58476d1ce4e5b9
		weight = (weight ^ weight>>32) * 0x94d049bb133111eb
		if best == nil || weight > most {
			best, most = d, weight
		}
	}
	return best
}

func (r *router) send(socket *net.UDPConn, p *packet) {
	text := p.encode()
	opening := p.has(flagSyn)
	time.AfterFunc(clientDelay, func() {
		d := r.choose(p.from, p.to)
		if opening {
			r.mu.Lock()
			r.took[p.from] = d
			r.mu.Unlock()
		}
		_, _ = socket.WriteToUDPAddrPort(text, d.packets)
	})
}

// takenBy returns the daemon that took the last opening packet of a flow.
func (r *router) takenBy(client netip.AddrPort) *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.took[client]
}
