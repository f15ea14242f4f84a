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
	// failureThreshold is the number of consecutive failed probes after which an instance
	// is taken out of rotation.
	failureThreshold = 2
)

// Target is an instance to which the router sends packets.
type Target struct {
	Name          string
	PacketAddress netip.AddrPort
	ReadyAddress  netip.AddrPort

	failures   int
	inRotation bool
}

// Router sends the packets of callers to the instances in rotation. It chooses the
// instance of a flow by rendezvous hashing, so a change of the instances moves as few
// flows as possible.
type Router struct {
	client http.Client

	mu      sync.Mutex
	targets []*Target
	// lossPercent is the percentage of packets that are dropped, delay the delay of the
	// others.
	lossPercent int
	delay       time.Duration
	done        chan struct{}
}

// NewRouter returns a router without targets and starts its readiness probes.
func NewRouter() *Router {
	r := &Router{
		client: http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		done:   make(chan struct{}),
	}
	go r.run()
	return r
}

// Close stops the probes.
func (r *Router) Close() { close(r.done) }

// Add adds an instance, which comes into rotation with its first successful probe.
func (r *Router) Add(t *Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.failures = failureThreshold
	r.targets = append(r.targets, t)
}

// Remove removes an instance.
func (r *Router) Remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = slices.DeleteFunc(r.targets, func(t *Target) bool { return t.Name == name })
}

// Impair sets the percentage of packets that are dropped and the delay of the others.
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
	for _, t := range r.targets {
		if t.inRotation {
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
	targets := slices.Clone(r.targets)
	r.mu.Unlock()
	for _, t := range targets {
		go func() {
			ready := r.probe(t)
			r.mu.Lock()
			defer r.mu.Unlock()
			if ready {
				t.failures, t.inRotation = 0, true
				return
			}
			t.failures++
			t.inRotation = t.inRotation && t.failures < failureThreshold
		}()
	}
}

func (r *Router) probe(t *Target) bool {
	response, err := r.client.Get(fmt.Sprintf("http://%s/readiness", t.ReadyAddress))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// choose returns the instance for a flow, nil without instances. It chooses among the
// instances in rotation, or among all if fewer than half are in rotation.
func (r *Router) choose(p *packet) *Target {
	var usable []*Target
	for _, t := range r.targets {
		if t.inRotation {
			usable = append(usable, t)
		}
	}
	if 2*len(usable) < len(r.targets) {
		usable = r.targets
	}
	var best *Target
	var maxWeight uint64
	for _, t := range usable {
		h := fnv.New64a()
		fmt.Fprint(h, t.Name, p.from, p.to)
		if weight := h.Sum64(); best == nil || weight > maxWeight {
			best, maxWeight = t, weight
		}
	}
	return best
}

// send sends a packet to the instance of its flow. Unless the packet is dropped, it
// calls chosen with the instance's name first, so that the instance is recorded before
// an endpoint can receive the packet.
func (r *Router) send(socket *net.UDPConn, p *packet, chosen func(instance string)) {
	r.mu.Lock()
	t := r.choose(p)
	lost := r.lossPercent > 0 && rand.Intn(100) < r.lossPercent
	delay := r.delay
	r.mu.Unlock()
	if t == nil || lost {
		return
	}
	chosen(t.Name)
	data := p.encode()
	if delay == 0 {
		_, _ = socket.WriteToUDPAddrPort(data, t.PacketAddress)
		return
	}
	time.AfterFunc(delay, func() { _, _ = socket.WriteToUDPAddrPort(data, t.PacketAddress) })
}
