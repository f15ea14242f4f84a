package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/standins/tunnel"
)

// flow is one TCP connection of a caller. It counts as broken at its first
// failure.
type flow struct {
	net.Conn
	recorder *recorder
	service  string
	local    string
	opened   time.Time

	mutex  sync.Mutex
	closed bool
	broken bool
	// endpoint is the name of the endpoint that sent the first response.
	endpoint string
}

// dial opens a flow to the service and counts the success, or the reason for the
// failure.
func dial(ctx context.Context, stack *tunnel.Stack, recorder *recorder, service string, address netip.AddrPort) (*flow, error) {
	connection, err := stack.Dial(ctx, address)
	if err != nil {
		reason := dialReason(err)
		recorder.update(func(s *Summary) { s.FlowsNotOpened[reason]++ })
		return nil, err
	}
	recorder.update(func(s *Summary) {
		s.FlowsOpened++
		s.FlowsOpen++
	})
	return &flow{
		Conn:     connection,
		recorder: recorder,
		service:  service,
		local:    connection.LocalAddr().String(),
		opened:   time.Now(),
	}, nil
}

// Error texts of the network stack, which exports no error values to compare
// with.
const (
	textRefused = "connection was refused"
	textReset   = "connection reset by peer"
	textTimeout = "operation timed out"
)

// dialReason returns the reason why a flow could not be opened.
func dialReason(err error) string {
	switch {
	case strings.Contains(err.Error(), textRefused), strings.Contains(err.Error(), textReset):
		return reasonRefused
	case errors.Is(err, context.DeadlineExceeded), strings.Contains(err.Error(), textTimeout):
		return reasonTimeout
	case errors.Is(err, context.Canceled):
		return reasonCancelled
	default:
		return reasonOther
	}
}

// transferReason returns the reason why an established flow failed.
func transferReason(err error) string {
	switch {
	case strings.Contains(err.Error(), textReset):
		return reasonReset
	case strings.Contains(err.Error(), textTimeout):
		return reasonTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return reasonTruncated
	default:
		return reasonOther
	}
}

// Read implements net.Conn.
func (f *flow) Read(b []byte) (int, error) {
	n, err := f.Conn.Read(b)
	f.recordError(err)
	return n, err
}

// Write implements net.Conn.
func (f *flow) Write(b []byte) (int, error) {
	n, err := f.Conn.Write(b)
	f.recordError(err)
	return n, err
}

// Close implements net.Conn.
func (f *flow) Close() error {
	f.mutex.Lock()
	first := !f.closed
	f.closed = true
	f.mutex.Unlock()
	if first {
		f.recorder.update(func(s *Summary) { s.FlowsOpen-- })
	}
	return f.Conn.Close()
}

// recordError marks the flow as broken if its connection failed. The end of the
// stream is handled where the response is read, because only there its expected
// length is known.
func (f *flow) recordError(err error) {
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	f.mutex.Lock()
	closed := f.closed
	f.mutex.Unlock()
	// Closing the connection on this side makes pending reads fail.
	if !closed {
		f.markBroken(transferReason(err))
	}
}

// markBroken counts the flow as broken for the given reason. Further calls have
// no effect.
func (f *flow) markBroken(reason string) {
	f.mutex.Lock()
	first := !f.broken
	f.broken = true
	broken := BrokenFlow{
		OpenedAt: f.opened,
		BrokenAt: time.Now(),
		Local:    f.local,
		Service:  f.service,
		Endpoint: f.endpoint,
		Reason:   reason,
	}
	f.mutex.Unlock()
	if !first {
		return
	}
	f.recorder.update(func(s *Summary) {
		s.BrokenFlows++
		s.BrokenFlowsByReason[reason]++
		s.BrokenFlowsByService[f.service]++
		if len(s.FirstBroken) < maxBrokenFlows {
			s.FirstBroken = append(s.FirstBroken, broken)
		}
	})
}

// matchEndpoint reports whether a response comes from the same endpoint as the
// first response on the flow. For the first response, it records the endpoint.
func (f *flow) matchEndpoint(endpoint string) bool {
	f.mutex.Lock()
	previous := f.endpoint
	if previous == "" {
		f.endpoint = endpoint
	}
	f.mutex.Unlock()
	if previous == "" {
		f.recorder.countFlow(f.service, endpoint)
		return true
	}
	return previous == endpoint
}
