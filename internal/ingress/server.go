// Package ingress takes the packets of callers from the routers, has each one
// decided and sends it on.
package ingress

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	tomb "gopkg.in/tomb.v2"

	"burdockrelay.example/burdockrelay/internal/decision/label"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Codec reads and writes packets in the form of the routers.
type Codec interface {
	// Decode reads the head of a packet and returns resultcode.OK, or the reason
	// for dropping it.
	Decode(data []byte, p *steering.Packet) resultcode.Code
	// SetLabel writes the label of the flow into a packet.
	SetLabel(data []byte, l label.Label)
	// EnvelopeSize is the number of bytes before a packet to an endpoint.
	EnvelopeSize() int
	// SetEnvelope writes the identity of the endpoint that the packet is for.
	SetEnvelope(data []byte, number uint64)
	// AppendReset appends the packet that refuses a flow.
	AppendReset(out []byte, p *steering.Packet) []byte
}

// Knowledge is what packets are decided by.
type Knowledge interface {
	// Current returns the view at a time and how old it is.
	Current(now time.Duration) (*steering.View, steering.Freshness)
	// Now returns the time of the decisions.
	Now() time.Duration
}

const (
	// maxPacketBytes is above the longest packet of a caller.
	maxPacketBytes = 4096
	// receiveRetry is the pause after a failure to receive.
	receiveRetry = 10 * time.Millisecond
	// receiveBufferBytes holds packets while the process does not run: about a
	// second of 2,000 packets of 1,200 bytes.
	receiveBufferBytes = 4 << 20
)

// Server moves packets from one socket to endpoints.
type Server struct {
	socket    *net.UDPConn
	codec     Codec
	knowledge Knowledge
	observer  *Observer
	flows     *steering.Table
	tomb      tomb.Tomb
	started   atomic.Bool
	received  atomic.Int64 // time of the last packet
	running   atomic.Int64 // time of the last heartbeat
}

// Listen opens the socket. Packets wait in it until Start.
func Listen(address netip.AddrPort, codec Codec, knowledge Knowledge, observer *Observer, maxFlows int) (*Server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("open UDP socket on %s: %w", address, err)
	}
	if err := socket.SetReadBuffer(receiveBufferBytes); err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("set receive buffer: %w", err)
	}
	return &Server{
		socket: socket, codec: codec, knowledge: knowledge, observer: observer,
		flows: steering.NewTable(maxFlows),
	}, nil
}

// Start begins to handle packets.
func (s *Server) Start() {
	s.started.Store(true)
	s.running.Store(int64(s.knowledge.Now()))
	s.tomb.Go(s.run)
	s.tomb.Go(func() error { return s.every(heartbeat, s.beat) })
	s.tomb.Go(func() error { return s.every(expireInterval, s.expire) })
}

// Dead is closed when the server has ended.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// Flows returns the number of flows opened here.
func (s *Server) Flows() int { return s.flows.Len() }

// LastPacket returns when the last packet came.
func (s *Server) LastPacket() time.Duration { return time.Duration(s.received.Load()) }

// Stop ends the server and returns the error that ended it, if any.
func (s *Server) Stop() error {
	s.tomb.Kill(nil)
	_ = s.socket.Close()
	if !s.started.Load() {
		return nil
	}
	return s.tomb.Wait()
}

func (s *Server) run() error {
	envelope := s.codec.EnvelopeSize()
	buffer := make([]byte, envelope+maxPacketBytes)
	for {
		n, _, err := s.socket.ReadFromUDPAddrPort(buffer[envelope:])
		if !s.tomb.Alive() {
			return nil
		}
		if err != nil {
			// The socket is open, so the next packet may well be received.
			s.observer.receiveFailed(err)
			time.Sleep(receiveRetry)
			continue
		}
		s.handle(buffer, buffer[envelope:envelope+n])
	}
}

// handle decides on one packet, which lies in the buffer behind the room for the
// envelope, and sends it on.
func (s *Server) handle(buffer, data []byte) {
	var p steering.Packet
	started := time.Now()
	now := s.knowledge.Now()
	s.received.Store(int64(now))
	s.notePause(now)
	if code := s.codec.Decode(data, &p); code != resultcode.OK {
		s.observer.dropped(code)
		return
	}
	view, fresh := s.knowledge.Current(now)
	action := s.flows.Handle(view, &p, fresh, now)
	s.observer.handled(&p, &action, view, fresh)
	s.observer.trace(&p, &action, started)
	switch action.Kind {
	case steering.Forward:
		s.forward(buffer[:s.codec.EnvelopeSize()+len(data)], data, action)
	case steering.Refuse:
		s.refuse(&p)
	}
}

const (
	// heartbeat is the time between two notes that the process runs.
	heartbeat = 100 * time.Millisecond
	// pauseAfter is the time without a heartbeat that counts as a pause of the
	// process. A core with a usage cap pauses for less than a heartbeat.
	pauseAfter = 400 * time.Millisecond
)

// every calls a function at an interval until the server ends.
func (s *Server) every(interval time.Duration, call func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.tomb.Dying():
			return nil
		case <-ticker.C:
			call()
		}
	}
}

// beat notes that the process runs, and looks for endpoints that have not answered.
func (s *Server) beat() {
	now := s.knowledge.Now()
	s.notePause(now)
	s.running.Store(int64(now))
	view, _ := s.knowledge.Current(now)
	for _, m := range view.MarkSuspects(now) {
		s.observer.suspected(m)
	}
}

// notePause looks for a pause of the process, before each packet too, because packets
// may have waited in the socket meanwhile.
func (s *Server) notePause(now time.Duration) {
	last := s.running.Load()
	if now-time.Duration(last) < pauseAfter || !s.running.CompareAndSwap(last, int64(now)) {
		return
	}
	view, fresh := s.knowledge.Current(now)
	s.flows.ResetAfterPause(view, now)
	s.observer.paused(now-time.Duration(last), fresh)
}

func (s *Server) forward(buffer, data []byte, action steering.Action) {
	endpoint := action.Member.Endpoint()
	s.codec.SetLabel(data, action.Label)
	s.codec.SetEnvelope(buffer, endpoint.Number)
	s.send(buffer, endpoint.Address)
}

// refuse sends a reset to the caller, at the port of its address that takes
// packets as ours does.
func (s *Server) refuse(p *steering.Packet) {
	port := s.socket.LocalAddr().(*net.UDPAddr).AddrPort().Port()
	s.send(s.codec.AppendReset(nil, p), netip.AddrPortFrom(netip.AddrFrom4(p.Tuple.Source), port))
}

func (s *Server) send(data []byte, to netip.AddrPort) {
	if _, err := s.socket.WriteToUDPAddrPort(data, to); err != nil && s.tomb.Alive() {
		s.observer.dropped(resultcode.PacketSendFailed)
	}
}

// expireInterval is the time between two sweeps of the flow table.
const expireInterval = 500 * time.Millisecond

// expire ends idle flows.
func (s *Server) expire() {
	now := s.knowledge.Now()
	view, _ := s.knowledge.Current(now)
	var expired []steering.ExpiredFlow
	for index := range steering.Shards {
		expired = s.flows.Expire(index, view.IdleTimeout(), now, expired)
	}
	for i := range expired {
		s.observer.expired(&expired[i])
	}
}
