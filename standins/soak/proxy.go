package soak

import (
	"net"
	"sync"
	"time"
)

// pathFault is what a proxy does to the bytes that pass.
type pathFault int

const (
	pathHealthy pathFault = iota
	// pathReset closes connections with a reset.
	pathReset
	// pathSilent passes nothing on, in either direction.
	pathBlackhole
	// pathOneWay passes on requests and no answers.
	pathNoResponses
	// pathSlow holds bytes back for slowPath.
	pathSlow
	pathFaultCount
)

// slowPath is the delay of a slow path.
const slowPathDelay = 150 * time.Millisecond

// proxy passes TCP connections on to a target, with faults.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	fault       pathFault
	connections map[net.Conn]bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, connections: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the fault. Connections that a silent path has swallowed stay silent.
func (p *proxy) set(fault pathFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if fault != pathReset {
		return
	}
	for c := range p.connections {
		resetConnection(c)
	}
}

func (p *proxy) currentFault() pathFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		_ = c.Close()
	}
}

func resetConnection(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == pathReset {
			resetConnection(client)
			continue
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConnection(client)
		return
	}
	p.mu.Lock()
	p.connections[client], p.connections[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); p.copy(server, client, false) }()
	go func() { defer both.Done(); p.copy(client, server, true) }()
	both.Wait()
	p.mu.Lock()
	delete(p.connections, client)
	delete(p.connections, server)
	p.mu.Unlock()
}

// copy passes bytes on. A connection that the fault has taken bytes from passes
// nothing any more.
func (p *proxy) copy(to, from net.Conn, responses bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch fault := p.currentFault(); {
		case fault == pathBlackhole, fault == pathNoResponses && responses:
			dropped = true
		case fault == pathSlow:
			time.Sleep(slowPathDelay)
		}
		if dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
