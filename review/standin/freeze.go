package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName  = "crew-desk"
	otherService = "drawing-store"
	endpoints    = 14
	endpointWork = 30 * time.Millisecond
	requestLimit = time.Second
	// requestPause is the mean time between two requests of a zone.
	requestPause = 200 * time.Millisecond
)

// routeTable is the operator's configuration.
type routeTable struct {
	mu      sync.Mutex
	version int
	main    end
	// further holds the ports of routes that see no traffic, serviceOf the service of those
	// that are not of serviceName.
	further   []uint16
	serviceOf map[uint16]string
	next      uint16
	// removedAt is when the store acknowledged the removal of a route.
	removedAt map[uint16]time.Time
}

// publish writes the configuration and returns when the store has acknowledged it.
func (t *routeTable) publish(w *world) time.Time {
	t.version += 1 + rand.Intn(3)
	route := func(port uint16) map[string]any {
		service := cmp.Or(t.serviceOf[port], serviceName)
		return fields("host", netip.AddrFrom4(t.main.ip).String(), "port", fmt.Sprintf("/%d/", port), "service", service,
			"kind", "idempotent", "timeout", 1000, "latency_target", 150, "priority", 2)
	}
	routes := []any{named("main", route(t.main.port))}
	for _, port := range t.further {
		routes = append(routes, named(fmt.Sprintf("further-%d", port), route(port)))
	}
	services := []any{
		named(serviceName, fields("check_path", "/health", "max_flows", 2000)),
		named(otherService, fields("check_path", "/health", "max_flows", 2000)),
	}
	return w.store.put(name("configuration_kind"), "main", fields("version", t.version, "routes", routes, "services", services,
		"limits", fields("idle_timeout", idleTimeout.Milliseconds())))
}

func named(n string, object map[string]any) map[string]any {
	object["name"] = n
	return object
}

// replaceOldest removes the oldest further route and adds a new one.
func (t *routeTable) replaceOldest(w *world) (removed uint16) {
	t.mu.Lock()
	removed = t.further[0]
	t.further = append(t.further[1:], t.next)
	t.next++
	t.removedAt[removed] = t.publish(w)
	version := t.version
	t.mu.Unlock()
	w.log("operator: version %d is acknowledged; it drops the route to port %d", version, removed)
	return removed
}

func newRouteTable(w *world, further int) *routeTable {
	t := &routeTable{main: end{w.ip(3, 1).As4(), 443}, next: 9000, serviceOf: map[uint16]string{}, removedAt: map[uint16]time.Time{}}
	for range further {
		t.further = append(t.further, t.next)
		t.next++
	}
	t.publish(w)
	return t
}

// startDeployment starts the endpoints, the instances and the clients' addresses.
func startDeployment(w *world, program string, work time.Duration) ([]*endpoint, error) {
	var started []*endpoint
	for i := range endpoints {
		zone := zones[i%len(zones)]
		e, err := w.startEndpoint(0x1000+uint64(rand.Intn(1<<20)), serviceName, zone, netip.AddrPortFrom(w.ip(2, byte(10+i)), w.servicePort), work)
		if err != nil {
			return nil, err
		}
		started = append(started, e)
	}
	if err := w.startInstances(program); err != nil {
		return nil, err
	}
	for i, zone := range zones {
		c, err := w.startClient(zone, w.ip(5, byte(10+i)))
		if err != nil {
			return nil, err
		}
		w.clients = append(w.clients, c)
	}
	return started, nil
}

// sendRequests sends idempotent requests of a client, a flow each, until stop is closed.
func (c *client) sendRequests(to end, pause time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		}
		go func() {
			f := c.dial(to, nil)
			f.request(requestLimit)
			f.hangUp()
		}()
	}
}

const (
	// freezeTime is the length of node_freeze on the site.
	freezeTime = 4 * time.Second
	// stormTime and stormGap are the length and the gap of config_storm on the site.
	stormTime = 4 * time.Second
	stormGap  = 330 * time.Millisecond
	storms    = 3
	// settle is the time after a storm in which its changes must come into force.
	settle = 4 * time.Second
)

// runFreeze freezes the instance that reads the store, once, at the moment at which an answer
// of the store is on its way. Once it has been calm for the stability window, the operator
// changes the configuration, and a few clients open flows to each instance with routes that
// were just removed. It ends early once the rule is broken in any deployment.
func runFreeze(w *world, program string, trouble bool) error {
	table := newRouteTable(w, 110)
	w.judge = func(e *endpoint, from, to end, s sending) {
		table.mu.Lock()
		removedAt, removed := table.removedAt[to.port]
		table.mu.Unlock()
		if late := s.at.Sub(removedAt); removed && late > applyBound && s.by.inTouch(s.at) {
			w.violationLocked("CONFIG", "%s ran a request to port %d sent through %s, %v after the removal of the route was acknowledged", e.name, to.port, s.by.name, late)
		}
	}
	if _, err := startDeployment(w, program, endpointWork); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, c := range w.clients {
		go c.sendRequests(table.main, requestPause, stop)
	}
	time.Sleep(6 * time.Second)
	if err := w.freezeOrWait(table, trouble); err != nil {
		return err
	}
	time.Sleep(stabilityWindow + time.Second/2)
	for i := 0; i < storms && w.record.breaks("CONFIG") == 0; i++ {
		table.storm(w)
		time.Sleep(settle)
	}
	return nil
}

func (w *world) freezeOrWait(table *routeTable, trouble bool) error {
	if trouble {
		return w.freezeReader(table)
	}
	table.replaceOldest(w)
	time.Sleep(freezeTime)
	return nil
}

// storm publishes configurations in quick succession. Each drops a route.
func (t *routeTable) storm(w *world) {
	for ends := time.Now().Add(stormTime); time.Now().Before(ends); time.Sleep(stormGap) {
		t.probeRemoved(w, t.replaceOldest(w))
	}
}

// probeRemoved opens flows with a removed route to each instance, all after the time at
// which the removal must be in force.
func (t *routeTable) probeRemoved(w *world, port uint16) {
	for _, late := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
		time.AfterFunc(applyBound+late, func() {
			for k, in := range w.instances {
				if in.isInRotation() {
					go w.clients[k%len(w.clients)].tryDirect(end{t.main.ip, port}, in)
				}
			}
		})
	}
}

// tryDirect sends a request on a flow to one instance.
func (c *client) tryDirect(to end, in *instance) {
	f := c.dial(to, in)
	f.request(requestLimit)
	f.hangUp()
}

// freezeReader changes the configuration and freezes the instance that reads the change, while
// the store's answer is on its way.
func (w *world) freezeReader(table *routeTable) error {
	found := make(chan *instance, 1)
	var once sync.Once
	for _, in := range w.instances {
		in.store.setOnCall(func(r *http.Request) bool {
			if r.URL.Query().Has(name("watch")) {
				once.Do(func() {
					in.impair(true)
					in.signal(syscall.SIGSTOP)
					found <- in
				})
			}
			return true
		})
	}
	table.replaceOldest(w)
	select {
	case in := <-found:
		for _, other := range w.instances {
			other.store.setOnCall(nil)
		}
		in.freeze(freezeTime)
		return nil
	case <-time.After(5 * time.Second):
		return errors.New("no instance reads the store")
	}
}
