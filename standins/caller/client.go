package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"burdockrelay.example/burdockrelay/standins/endpoint"
	"burdockrelay.example/burdockrelay/standins/tunnel"
)

const (
	dialTimeout    = 10 * time.Second
	readBufferSize = 32 << 10
)

// errFlowNotOpened means that a request failed before its flow was established
// and therefore was not run.
var errFlowNotOpened = errors.New("flow not opened")

// errStalled is the cancellation cause of a request that made no progress for the
// stall timeout.
var errStalled = errors.New("no progress")

// client sends the requests of one worker, one at a time.
type client struct {
	recorder     *recorder
	service      string
	address      netip.AddrPort
	stallTimeout time.Duration
	http         *http.Client
}

func newClient(stack *tunnel.Stack, recorder *recorder, service string, address netip.AddrPort, stallTimeout time.Duration) *client {
	transport := &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			opened, err := dial(ctx, stack, recorder, service, address)
			if err != nil {
				return nil, err
			}
			return opened, nil
		},
	}
	return &client{
		recorder:     recorder,
		service:      service,
		address:      address,
		stallTimeout: stallTimeout,
		http:         &http.Client{Transport: transport},
	}
}

// closeFlow closes the idle flow, so that the next request opens a new one.
func (c *client) closeFlow() {
	c.http.CloseIdleConnections()
}

// exchange is one request and its response. Reading from it reads the response
// body.
type exchange struct {
	client *client
	id     string
	// flow is nil until the request has a connection.
	flow atomic.Pointer[flow]
	// watchdog cancels the request when it makes no progress.
	watchdog *time.Timer
	// cause returns why the request was cancelled, or nil.
	cause    func() error
	response *http.Response
}

// do sends a request and calls handle when the response header has arrived.
// The flow is reused for the next request if handle reads the whole body. The
// error wraps errFlowNotOpened if no flow could be established; errors while the
// body is read are returned by exchange.Read.
func (c *client) do(ctx context.Context, method, path, id string, body io.Reader, handle func(*exchange)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{client: c, id: id, cause: func() error { return context.Cause(ctx) }}
	// The flow may take up to dialTimeout to open, so that time is added.
	x.watchdog = time.AfterFunc(dialTimeout+c.stallTimeout, func() { cancel(errStalled) })
	defer x.watchdog.Stop()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConnection})
	request, err := http.NewRequestWithContext(traced, method, fmt.Sprintf("http://%s%s", c.address, path), body)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return x.fail(err)
	}
	defer response.Body.Close()
	x.response = response
	x.checkHeader()
	handle(x)
	return nil
}

// gotConnection records the flow of the request and restarts the watchdog
// without the time for establishing the flow.
func (x *exchange) gotConnection(info httptrace.GotConnInfo) {
	if f, ok := info.Conn.(*flow); ok {
		x.flow.Store(f)
		x.watchdog.Reset(x.client.stallTimeout)
	}
}

// fail counts the flow as broken, with a reason that depends on the error. A
// request that was in flight at the end of the run is counted as unfinished
// instead. fail returns the error, which wraps errFlowNotOpened if the request had
// no flow yet.
func (x *exchange) fail(err error) error {
	f := x.flow.Load()
	if f == nil {
		return fmt.Errorf("%w: %w", errFlowNotOpened, err)
	}
	switch cause := x.cause(); {
	case errors.Is(cause, errStalled):
		f.markBroken(reasonStalled)
	case cause != nil:
		x.client.recorder.update(func(s *Summary) { s.Unfinished++ })
	default:
		f.markBroken(transferReason(err))
	}
	return err
}

// checkHeader counts refused requests, and responses that belong to another
// request or come from another endpoint than the first response on the flow.
func (x *exchange) checkHeader() {
	header := x.response.Header
	f := x.flow.Load()
	mismatched := header.Get(endpoint.HeaderRequest) != x.id
	if f != nil && !f.matchEndpoint(header.Get(endpoint.HeaderEndpoint)) {
		mismatched = true
	}
	x.client.recorder.update(func(s *Summary) {
		if mismatched {
			s.MismatchedResponses++
		}
		if x.refused() {
			s.RequestsRefused++
		}
	})
}

// refused reports whether the response states that the request was not run.
func (x *exchange) refused() bool {
	return x.response.Header.Get(endpoint.HeaderNotRun) == "true"
}

// Read reads from the response body and restarts the watchdog.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	x.watchdog.Reset(x.client.stallTimeout)
	if err != nil && !errors.Is(err, io.EOF) {
		err = x.fail(err)
	}
	return n, err
}
