package soak

import (
	"net"
	"sync"
	"time"
)

// pathFault is a fault that a proxy applies to its connections.
type pathFault int

const (
	pathHealthy pathFault = iota
	// pathReset closes connections with a reset.
	pathReset
	// pathBlackhole drops the bytes of both directions.
	pathBlackhole
	// pathNoResponses forwards requests and drops responses.
	pathNoResponses
	// pathSlow delays each read by slowPathDelay.
	pathSlow
	// pathFaultCount is the number of values above.
	pathFaultCount
)

const slowPathDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target and injects faults.
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

// setFault changes the fault. Connections that have lost bytes stay blocked, so that no
// stream continues with a gap.
func (p *proxy) setFault(fault pathFault) {
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

// copy forwards bytes in one direction. Once a fault has dropped bytes, it drops all
// further bytes of this direction.
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
