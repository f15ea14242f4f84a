package testbed

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// missesUntilOut is the number of probes without a good answer after which an
	// instance is out of rotation.
	missesUntilOut = 2
)

// Target is an instance as the routers know it.
type Target struct {
	Name          string
	PacketAddress netip.AddrPort
	ReadyAddress  netip.AddrPort

	misses   int
	rotation bool
}

// Router sends the packets of callers to the instances in rotation, chosen by a hash
// that moves only the flows of an instance that joins or leaves.
type Router struct {
	client http.Client

	mu      sync.Mutex
	entries []*Target
	// lossPercent drops packets, delay holds them back.
	lossPercent int
	delay       time.Duration
	done        chan struct{}
}

// NewRouter starts to probe.
func NewRouter() *Router {
	r := &Router{
		client: http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		done:   make(chan struct{}),
	}
	go r.run()
	return r
}

// Close ends the probes.
func (r *Router) Close() { close(r.done) }

// Add makes the router send to an instance once it is ready.
func (r *Router) Add(e *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.misses = missesUntilOut
	r.entries = append(r.entries, e)
}

// Remove makes the router forget an instance.
func (r *Router) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(e *Target) bool { return e.Name == name })
}

// Impair sets the share of packets that are lost and their delay.
func (r *Router) Impair(lossPercent int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossPercent, r.delay = lossPercent, delay
}

// InRotation returns the number of instances in rotation.
func (r *Router) InRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, e := range r.entries {
		if e.rotation {
			count++
		}
	}
	return count
}

func (r *Router) run() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		r.probeAll()
		select {
		case <-r.done:
			return
		case <-ticker.C:
		}
	}
}

func (r *Router) probeAll() {
	r.mu.Lock()
	entries := slices.Clone(r.entries)
	r.mu.Unlock()
	for _, e := range entries {
		go func() {
			ready := r.probe(e)
			r.mu.Lock()
			defer r.mu.Unlock()
			if ready {
				e.misses, e.rotation = 0, true
				return
			}
			e.misses++
			e.rotation = e.rotation && e.misses < missesUntilOut
		}()
	}
}

func (r *Router) probe(e *Target) bool {
	response, err := r.client.Get(fmt.Sprintf("http://%s/readiness", e.ReadyAddress))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// choose returns the instance for a flow: among those in rotation, or among all when
// fewer than half are.
func (r *Router) choose(p *packet) *Target {
	var usable []*Target
	for _, e := range r.entries {
		if e.rotation {
			usable = append(usable, e)
		}
	}
	if 2*len(usable) < len(r.entries) {
		usable = r.entries
	}
	var best *Target
	var most uint64
	for _, e := range usable {
		h := fnv.New64a()
		fmt.Fprint(h, e.Name, p.from, p.to)
		if weight := h.Sum64(); best == nil || weight > most {
			best, most = e, weight
		}
	}
	return best
}

// send sends a packet to an instance. chosen is told of the instance before, unless
// the packet is lost.
func (r *Router) send(socket *net.UDPConn, p *packet, chosen func(entry string)) {
	r.mu.Lock()
	e := r.choose(p)
	lost := r.lossPercent > 0 && rand.Intn(100) < r.lossPercent
	delay := r.delay
	r.mu.Unlock()
	if e == nil || lost {
		return
	}
	chosen(e.Name)
	data := p.encode()
	if delay == 0 {
		_, _ = socket.WriteToUDPAddrPort(data, e.PacketAddress)
		return
	}
	time.AfterFunc(delay, func() { _, _ = socket.WriteToUDPAddrPort(data, e.PacketAddress) })
}
