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

// errFlowNotOpened marks a request that failed before its flow was established, so
// that it was not run.
var errFlowNotOpened = errors.New("flow not opened")

// errStalled is the cause of a request that was cancelled for lack of progress.
var errStalled = errors.New("no progress")

// client sends the requests of one worker, one at a time.
type client struct {
	recorder *recorder
	service  string
	address  netip.AddrPort
	stall    time.Duration
	http     *http.Client
}

func newClient(stack *tunnel.Stack, recorder *recorder, service string, address netip.AddrPort, stall time.Duration) *client {
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
		recorder: recorder,
		service:  service,
		address:  address,
		stall:    stall,
		http:     &http.Client{Transport: transport},
	}
}

// closeFlow ends the kept flow, so that the next request opens another.
func (c *client) closeFlow() {
	c.http.CloseIdleConnections()
}

// exchange is one request with its response.
type exchange struct {
	client   *client
	id       string
	flow     atomic.Pointer[flow]
	watchdog *time.Timer
	cause    func() error
	response *http.Response
}

// do sends a request and calls handle when the response header has arrived.
// The flow is kept when handle reads the whole body.
func (c *client) do(ctx context.Context, method, path, id string, body io.Reader, handle func(*exchange)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x := &exchange{client: c, id: id, cause: func() error { return context.Cause(ctx) }}
	// A dial has its own limit.
	x.watchdog = time.AfterFunc(dialTimeout+c.stall, func() { cancel(errStalled) })
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

func (x *exchange) gotConnection(info httptrace.GotConnInfo) {
	if used, ok := info.Conn.(*flow); ok {
		x.flow.Store(used)
		x.watchdog.Reset(x.client.stall)
	}
}

// fail counts the flow as broken and classifies the error. A request that the
// end of the run cuts off is counted apart.
func (x *exchange) fail(err error) error {
	used := x.flow.Load()
	if used == nil {
		return fmt.Errorf("%w: %w", errFlowNotOpened, err)
	}
	switch cause := x.cause(); {
	case errors.Is(cause, errStalled):
		used.markBroken(reasonStalled)
	case cause != nil:
		x.client.recorder.update(func(s *Summary) { s.Unfinished++ })
	default:
		used.markBroken(transferReason(err))
	}
	return err
}

// checkHeader compares the response header with the request and the flow.
func (x *exchange) checkHeader() {
	header := x.response.Header
	used := x.flow.Load()
	crossed := header.Get(endpoint.HeaderRequest) != x.id
	if used != nil && !used.matchEndpoint(header.Get(endpoint.HeaderEndpoint)) {
		crossed = true
	}
	x.client.recorder.update(func(s *Summary) {
		if crossed {
			s.MismatchedResponses++
		}
		if x.refused() {
			s.RequestsRefused++
		}
	})
}

// refused reports whether the endpoint says that it did not run the request.
func (x *exchange) refused() bool {
	return x.response.Header.Get(endpoint.HeaderNotRun) == "true"
}

// Read reads the body of the response and notes progress.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	x.watchdog.Reset(x.client.stall)
	if err != nil && !errors.Is(err, io.EOF) {
		err = x.fail(err)
	}
	return n, err
}
