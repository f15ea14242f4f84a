package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	crewDesk     = "huvo11a"
	drawingStore = "wuno96b"
	// drainBound is drain_ms of the small installations, settled their stability window.
	drainBound = 3 * time.Second
	settled    = 4 * time.Second
)

// zones are the places with their numbers of daemons and of endpoints of the two services.
var zones = []struct {
	name                string
	daemons, crew, draw int
}{
	{"fukuoka", 2, 4, 1}, {"kumamoto", 1, 4, 1}, {"kagoshima", 1, 3, 1}, {"oita", 1, 3, 1},
}

// planFetch and layoutPull are the routes' addresses, and idle ones that see no traffic.
var (
	planFetch  = netip.MustParseAddrPort("127.98.0.1:8443")
	doneReport = netip.MustParseAddrPort("127.98.0.1:8080")
	layoutPull = netip.MustParseAddrPort("127.98.0.2:8443")
)

// site is a small installation on loopback addresses.
type site struct {
	rec     *recorder
	folder  string
	ports   ports
	store   *store
	router  *router
	daemons []*daemon
	servers []*endpoint
	hosts   []*host
	version int
	nextIP  byte
	seeds   string
	program string
	wait    sync.WaitGroup
	stop    chan struct{}
	// outputOfFirst is where the first daemon writes its log, a file if nil.
	outputOfFirst *os.File
	// dropped is set if the next version has no route to doneReport.
	dropped bool

	mu      sync.Mutex
	results []result
}

// freePort returns a port that is free at the address over TCP and UDP.
func freePort(ip string) uint16 {
	for {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			continue
		}
		port := listener.Addr().(*net.TCPAddr).Port
		socket, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, port))
		_ = listener.Close()
		if err == nil {
			_ = socket.Close()
			return uint16(port)
		}
	}
}

// newSite starts the store, with the first configuration, the router and the clients' hosts.
func newSite(rec *recorder, program string) (*site, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, folder: folder, program: program, stop: make(chan struct{}), nextIP: 1}
	s.ports = ports{freePort("127.81.0.1"), freePort("127.81.0.1"), freePort("127.81.0.1"), freePort("127.81.0.1")}
	if s.store, err = startStore(rec, fmt.Sprintf("127.0.0.1:%d", freePort("127.0.0.1"))); err != nil {
		return nil, err
	}
	s.router = startRouter(rec)
	if err := s.putConfig(); err != nil {
		return nil, err
	}
	for i, z := range zones {
		h, err := openHost(rec, s.router, z.name, netip.AddrFrom4([4]byte{127, 83, 0, byte(i + 1)}), s.ports.packets)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

// putConfig writes the next version of the configuration.
func (s *site) putConfig() error {
	s.version += 7
	route := func(name string, at end, kind string, timeout, goal, priority int, service string) map[string]any {
		return map[string]any{
			"name": name, "host": at.Addr().String(), wire["port"]: fmt.Sprintf("/%d/", at.Port()), "kind": kind,
			wire["timeout"]: timeout, wire["target"]: goal, "priority": priority, "service": service, "attempts": 2,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, wire["check"]: "/health", wire["conns"]: 2000, "protocol": "h1", "tls": false}
	}
	routes := []any{
		route("r-1", planFetch, "idempotent", 1000, 150, 2, crewDesk),
		route("r-3", layoutPull, "download", 3000, 500, 2, drawingStore),
	}
	if !s.dropped {
		routes = append(routes, route("r-2", doneReport, "non_idempotent", 1200, 200, 1, crewDesk))
	}
	spec := map[string]any{
		"version":  s.version,
		"routes":   routes,
		"services": []any{service(crewDesk), service(drawingStore)},
		"limits":   map[string]any{wire["idle"]: 15000},
	}
	status, err := s.put("config", "main", spec)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("configuration: status %d", status)
	}
	return err
}

// put writes an object to the store.
func (s *site) put(kind, name string, spec any) (int, error) {
	body, err := json.Marshal(map[string]any{"meta": map[string]any{"name": name}, "spec": spec})
	if err != nil {
		return 0, err
	}
	base := "http://" + s.store.address() + wire["objects"] + kind
	status, err := call(http.MethodPut, base+"/"+name, body)
	if status == http.StatusNotFound {
		status, err = call(http.MethodPost, base, body)
	}
	return status, err
}

func call(method, url string, body []byte) (int, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	client := http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode, err
}

// addDaemons starts the daemons of all zones and waits until they are in rotation.
func (s *site) addDaemons() error {
	s.seeds = fmt.Sprintf("127.81.0.1:%d, 127.81.0.3:%d", s.ports.peers, s.ports.peers)
	for _, z := range zones {
		for n := range z.daemons {
			if _, err := s.addDaemon(fmt.Sprintf("frontend-%s-%d", z.name, n+1), z.name); err != nil {
				return err
			}
		}
	}
	for until := time.Now().Add(10 * time.Second); s.router.rotation() < len(s.daemons); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d daemons in rotation", s.router.rotation(), len(s.daemons))
		}
	}
	return nil
}

func (s *site) addDaemon(name, zone string) (*daemon, error) {
	ip := netip.AddrFrom4([4]byte{127, 81, 0, s.nextIP})
	s.nextIP++
	d, err := newDaemon(s.rec, s.folder, s.program, name, zone, ip, s.ports, s.seeds, s.store.address())
	if err != nil {
		return nil, err
	}
	if len(s.daemons) == 0 {
		d.output = s.outputOfFirst
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	s.router.add(d)
	return d, nil
}

// addServers starts the endpoints of all zones.
func (s *site) addServers() error {
	n := 0
	add := func(service, zone string, work time.Duration) error {
		n++
		e, err := startEndpoint(&endpoint{
			rec: s.rec, id: fmt.Sprintf("i-%08x", 0x6a876a1f+uint32(n)*0x01d3f5b7), service: service, zone: zone,
			address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 82, 0, byte(n)}), s.ports.packets),
			clientPort: s.ports.packets, storeAt: s.store.address(), work: work,
		})
		if err == nil {
			s.servers = append(s.servers, e)
		}
		return err
	}
	for _, z := range zones {
		for range z.crew {
			if err := add(crewDesk, z.name, 30*time.Millisecond); err != nil {
				return err
			}
		}
		for range z.draw {
			if err := add(drawingStore, z.name, 5*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return nil
}

// of returns the endpoints of a service.
func (s *site) of(service string) []*endpoint {
	var found []*endpoint
	for _, e := range s.servers {
		if e.service == service {
			found = append(found, e)
		}
	}
	return found
}

// traffic sends requests, a flow each, at a rate from each zone until the end.
func (s *site) traffic(to end, perZone float64, limit time.Duration) {
	for _, h := range s.hosts {
		s.wait.Go(func() {
			ticker := time.NewTicker(time.Duration(float64(time.Second) / perZone))
			defer ticker.Stop()
			for {
				select {
				case <-s.stop:
					return
				case <-ticker.C:
				}
				s.wait.Go(func() {
					f := h.dial(to)
					res := h.ask(f, limit)
					h.end(f)
					s.mu.Lock()
					defer s.mu.Unlock()
					s.results = append(s.results, res)
				})
			}
		})
	}
}

// served returns how many requests were answered with success, and of how many.
func (s *site) served() (good, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.results {
		if r.status == http.StatusOK && r.seal != "" {
			good++
		}
	}
	return good, len(s.results)
}

// close ends all that the site has started.
func (s *site) close() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.wait.Wait()
	for _, d := range s.daemons {
		d.kill()
	}
	for _, h := range s.hosts {
		h.close()
	}
	for _, e := range s.servers {
		e.close()
	}
	close(s.router.stop)
	s.store.close()
	if keep := os.Getenv("KEEP"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
		for _, log := range logs {
			content, _ := os.ReadFile(log)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), content, 0o644)
		}
	}
	_ = os.RemoveAll(s.folder)
}
