// Package ingress receives the packets of callers from the routers, applies the
// steering decision to each packet and forwards it to an endpoint.
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
	"burdockrelay.example/burdockrelay/internal/lifecycle"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Codec decodes and encodes packets in the format of the routers.
type Codec interface {
	// Decode decodes the header of a packet. It returns resultcode.OK, or the reason
	// for dropping the packet.
	Decode(data []byte, p *steering.Packet) resultcode.Code
	// SetLabel writes the label of a flow into a packet.
	SetLabel(data []byte, l label.Label)
	// EnvelopeSize returns the number of bytes that precede a packet to an endpoint.
	EnvelopeSize() int
	// SetEnvelope writes the ID of the destination endpoint into the envelope.
	SetEnvelope(data []byte, id uint64)
	// AppendReset appends the reset that refuses the flow of a packet.
	AppendReset(out []byte, p *steering.Packet) []byte
}

// ViewSource provides the view of the configuration and the endpoints that decisions
// are based on.
type ViewSource interface {
	// Current returns the view and its freshness at the time now.
	Current(now time.Duration) (*steering.View, steering.Freshness)
	// Now returns the current time on the clock used for decisions.
	Now() time.Duration
}

const (
	// maxPacketBytes is larger than any packet of a caller.
	maxPacketBytes = 4096
	// receiveRetryDelay is the delay after a failed receive.
	receiveRetryDelay = 10 * time.Millisecond
	// receiveBufferBytes is the size of the socket buffer that holds packets while the
	// process does not run: about a second of 2,000 packets of 1,200 bytes.
	receiveBufferBytes = 4 << 20
)

// Server receives packets on one socket and forwards them to endpoints.
type Server struct {
	socket        *net.UDPConn
	codec         Codec
	views         ViewSource
	observer      *Observer
	flows         *steering.Table
	tomb          tomb.Tomb
	started       atomic.Bool
	lastPacketAt  atomic.Int64 // time of the last packet, in ns on the clock of views
	lastHeartbeat atomic.Int64 // time of the last heartbeat, in ns on the clock of views
	hedgeTimer    *hedgeTimer
	checkStalled  StallChecker
}

// Listen opens the socket. Packets are buffered in it until Start is called.
func Listen(address netip.AddrPort, codec Codec, views ViewSource, observer *Observer, maxFlows int) (*Server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fmt.Errorf("open UDP socket on %s: %w", address, err)
	}
	if err := socket.SetReadBuffer(receiveBufferBytes); err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("set receive buffer: %w", err)
	}
	return &Server{
		socket: socket, codec: codec, views: views, observer: observer,
		flows: steering.NewTable(maxFlows), hedgeTimer: newHedgeTimer(),
	}, nil
}

// SetOverflowShare sets the share of a rule's new flows that may go to another of its targets.
// It must be called before Start.
func (s *Server) SetOverflowShare(share float64) { s.flows.SetOverflowShare(share) }

// Start starts handling packets.
func (s *Server) Start() {
	s.started.Store(true)
	s.lastHeartbeat.Store(int64(s.views.Now()))
	lifecycle.Go(&s.tomb,
		s.run,
		func() error { return s.runEvery(heartbeatInterval, s.heartbeat) },
		func() error { return s.runEvery(expireInterval, s.expire) },
		s.runHedges,
	)
}

// Dead returns a channel that is closed when the server has stopped.
func (s *Server) Dead() <-chan struct{} { return s.tomb.Dead() }

// FlowCount returns the number of flows in the flow table.
func (s *Server) FlowCount() int { return s.flows.Len() }

// LastPacketAt returns when the last packet was received.
func (s *Server) LastPacketAt() time.Duration { return time.Duration(s.lastPacketAt.Load()) }

// Stop stops the server. It returns the error that stopped the server before, if any.
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
			// The socket is still open, so later packets may be received.
			s.observer.receiveFailed(err)
			time.Sleep(receiveRetryDelay)
			continue
		}
		s.handle(buffer, buffer[envelope:envelope+n])
	}
}

// handle decides on one packet and forwards or refuses it. The packet is stored in
// buffer after the space for the envelope.
func (s *Server) handle(buffer, data []byte) {
	var p steering.Packet
	started := time.Now()
	now := s.views.Now()
	s.lastPacketAt.Store(int64(now))
	s.detectPause(now)
	if code := s.codec.Decode(data, &p); code != resultcode.OK {
		s.observer.dropped(code)
		return
	}
	view, fresh := s.views.Current(now)
	action := s.flows.Handle(view, &p, fresh, now)
	s.observer.handled(&p, &action, view, fresh)
	s.observer.trace(&p, &action, started)
	switch action.Kind {
	case steering.Forward:
		s.forward(buffer[:s.codec.EnvelopeSize()+len(data)], data, action)
	case steering.Refuse:
		s.refuse(&p)
	}
	if action.Questioned {
		s.CloseSilent()
	}
	if action.Event == steering.Opened {
		s.scheduleHedge(view, &p, data, now)
	}
}

const (
	// heartbeatInterval is the time between two heartbeats, which record that the
	// process runs.
	heartbeatInterval = 100 * time.Millisecond
	// pauseThreshold is the time without a heartbeat that counts as a pause of the
	// process. On a core with a CPU quota, pauses are shorter than a heartbeat
	// interval.
	pauseThreshold = 400 * time.Millisecond
)

// runEvery calls a function at an interval until the server stops.
func (s *Server) runEvery(interval time.Duration, call func()) error {
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

// heartbeat records that the process runs, reports endpoints that have not responded in
// time, and closes the flows of silent ones.
func (s *Server) heartbeat() {
	now := s.views.Now()
	s.detectPause(now)
	s.lastHeartbeat.Store(int64(now))
	view, _ := s.views.Current(now)
	s.markSuspects(view, now)
	s.CloseSilent()
	s.closeStalled()
}

// markSuspects reports endpoints that have not responded in time.
func (s *Server) markSuspects(view *steering.View, now time.Duration) {
	for _, m := range view.MarkSuspects(now) {
		s.observer.onSuspect(m)
	}
}

// detectPause checks whether the process was paused. It is also called before each
// packet, because packets may have waited in the socket during the pause.
func (s *Server) detectPause(now time.Duration) {
	last := s.lastHeartbeat.Load()
	if now-time.Duration(last) >= lagThreshold {
		s.discardSilence(now)
	}
	if now-time.Duration(last) < pauseThreshold || !s.lastHeartbeat.CompareAndSwap(last, int64(now)) {
		return
	}
	view, fresh := s.views.Current(now)
	s.flows.ResetAfterPause(view, now)
	s.observer.paused(now-time.Duration(last), fresh)
}

func (s *Server) forward(buffer, data []byte, action steering.Action) {
	endpoint := action.Member.Endpoint()
	s.codec.SetLabel(data, action.Label)
	s.codec.SetEnvelope(buffer, endpoint.ID)
	s.send(buffer, endpoint.Address)
}

// refuse sends a reset to the caller. Callers receive packets on the same port number
// as this server.
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

// expire removes idle flows from the flow table.
func (s *Server) expire() {
	now := s.views.Now()
	view, _ := s.views.Current(now)
	var expired []steering.ExpiredFlow
	for index := range steering.Shards {
		expired = s.flows.Expire(index, view.IdleTimeout(), now, expired)
	}
	for i := range expired {
		s.observer.expired(&expired[i])
	}
}
