// Package endpoint is a test double of a backend server. It runs an unmodified
// net/http server on a user-space network stack that has the service addresses,
// receives packets in Geneve and sends responses directly to callers through the
// fabric (direct server return).
package endpoint

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"

	"burdockrelay.example/burdockrelay/standins/process"
	"burdockrelay.example/burdockrelay/standins/tunnel"
	"gopkg.in/tomb.v2"
)

// Settings of an endpoint.
type Settings struct {
	// Name is the value of HeaderEndpoint in each response.
	Name string
	// Services are the addresses and ports on which requests are served.
	Services []netip.AddrPort
	// Tunnel is the UDP address on which the endpoint receives Geneve datagrams.
	Tunnel netip.AddrPort
	// Return is the UDP address of the fabric for packets to callers.
	Return netip.AddrPort
	// Health is the TCP address of /healthz and the control interface.
	Health string
	// Slots is the maximum number of requests served concurrently.
	Slots int
	// Queue is the maximum number of requests waiting for a slot; further ones
	// are refused without being run.
	Queue int
	// Status is the initial status, one of the Status constants.
	Status string
	// ReportsFile is the file that records the runs of reports, so that they
	// survive a restart. If it is empty, they are kept in memory only.
	ReportsFile string
}

// Endpoint is a running stand-in for a backend server.
type Endpoint struct {
	settings      Settings
	socket        *net.UDPConn
	stack         *tunnel.Stack
	requestServer *requestServer
	healthState   *healthState
	packets       packetCounters

	// HealthAddress is the bound address of /healthz and the control interface.
	HealthAddress net.Addr
}

type packetCounters struct {
	received, sent, sendErrors, malformed, withOptions, misdelivered atomic.Uint64
}

// Start opens the tunnel and starts servers that run until the tomb is dying. It
// fails if a setting is not valid, an address cannot be bound or ReportsFile
// cannot be read.
func Start(t *tomb.Tomb, settings Settings) (*Endpoint, error) {
	if !validStatus(settings.Status) || settings.Slots < 1 || settings.Queue < 0 {
		return nil, fmt.Errorf("invalid endpoint settings: status %q, slots %d (at least 1), queue %d (at least 0)", settings.Status, settings.Slots, settings.Queue)
	}
	e := &Endpoint{
		settings:      settings,
		requestServer: newRequestServer(settings.Name, settings.Slots, settings.Queue),
	}
	if settings.ReportsFile != "" {
		if err := e.requestServer.persistRuns(settings.ReportsFile); err != nil {
			return nil, err
		}
	}
	e.healthState = newHealthState(settings.Status, e.requestServer)
	if err := e.openTunnel(t); err != nil {
		return nil, err
	}
	if err := e.serve(t); err != nil {
		return nil, err
	}
	var err error
	e.HealthAddress, err = process.Listen(t, settings.Health, e.controlHandler())
	return e, err
}

// TunnelAddress returns the bound address for Geneve datagrams.
func (e *Endpoint) TunnelAddress() netip.AddrPort {
	return tunnel.LocalAddress(e.socket)
}

func (e *Endpoint) openTunnel(t *tomb.Tomb) error {
	var err error
	if e.stack, err = tunnel.NewStack(e.addresses()...); err != nil {
		return err
	}
	if e.socket, err = tunnel.Listen(t, e.settings.Tunnel); err != nil {
		return err
	}
	t.Go(func() error { return tunnel.Receive(e.socket, e.deliverFunc()) })
	// The goroutine runs until the process ends, see tunnel.Stack.
	go func() { _ = e.stack.ForwardOutbound(e.sendFunc()) }()
	return nil
}

// addresses returns the distinct service addresses.
func (e *Endpoint) addresses() []netip.Addr {
	seen := make(map[netip.Addr]bool)
	var addresses []netip.Addr
	for _, service := range e.settings.Services {
		if !seen[service.Addr()] {
			seen[service.Addr()] = true
			addresses = append(addresses, service.Addr())
		}
	}
	return addresses
}

func (e *Endpoint) serve(t *tomb.Tomb) error {
	for _, service := range e.settings.Services {
		listener, err := e.stack.Listen(service)
		if err != nil {
			return err
		}
		process.Serve(t, listener, e.requestServer.handler())
	}
	return nil
}

// deliverFunc returns a function that delivers the packet in a datagram to the
// stack, if it is addressed to one of the services.
func (e *Endpoint) deliverFunc() func([]byte, netip.AddrPort) {
	decoder := new(tunnel.Decoder)
	served := make(map[netip.AddrPort]bool)
	for _, service := range e.settings.Services {
		served[service] = true
	}
	return func(datagram []byte, _ netip.AddrPort) {
		e.packets.received.Add(1)
		inner, err := decoder.Decode(datagram)
		if err != nil {
			e.packets.malformed.Add(1)
			return
		}
		if inner.Options > 0 {
			e.packets.withOptions.Add(1)
		}
		if !served[inner.DestinationAddrPort()] {
			e.packets.misdelivered.Add(1)
			return
		}
		if err := e.stack.Deliver(inner.Packet); err != nil {
			e.packets.malformed.Add(1)
		}
	}
}

// sendFunc returns a function that sends the stack's packets to the return address
// of the fabric.
func (e *Endpoint) sendFunc() func([]byte) {
	encoder := tunnel.NewEncoder()
	return func(packet []byte) {
		datagram, err := encoder.Encode(packet)
		if err == nil {
			_, err = e.socket.WriteToUDPAddrPort(datagram, e.settings.Return)
		}
		if err != nil {
			e.packets.sendErrors.Add(1)
			return
		}
		e.packets.sent.Add(1)
	}
}
