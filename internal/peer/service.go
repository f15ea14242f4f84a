package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"path"
	"time"

	"burdockrelay.example/burdockrelay/proto/entrypb"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

// callTimeout is the time limit of one call to a peer. The transfer of a 700 KB
// release between data centres takes well under a second.
const callTimeout = 3 * time.Second

// Client calls the Peer service of other instances.
type Client struct {
	http *http.Client
}

// callKinds maps methods of the Peer service to message kinds in metrics.
var callKinds = map[string]string{
	"FetchRelease":    "fetch_release",
	"PullReplication": "pull_replication",
}

// NewClient returns a client. It passes the number of bytes sent and received to
// count, in several parts per call.
func NewClient(count func(direction, kind string, n int)) *Client {
	transport := &countingTransport{
		next: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second},
		count: func(direction, target string, n int) {
			count(direction, callKinds[path.Base(target)], n)
		},
	}
	return &Client{http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

func (c *Client) service(address netip.AddrPort) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address.String(), c.http)
}

// FetchRelease requests a release from a peer.
func (c *Client) FetchRelease(ctx context.Context, address netip.AddrPort, request *peerpb.FetchReleaseRequest) (*peerpb.FetchReleaseResponse, error) {
	return c.service(address).FetchRelease(ctx, request)
}

// PullReplication requests the state of a joining instance's slots from a peer.
func (c *Client) PullReplication(ctx context.Context, address netip.AddrPort, request *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	return c.service(address).PullReplication(ctx, request)
}

// serverReadTimeout is the time limit for receiving a request from a peer.
const serverReadTimeout = 5 * time.Second

// Serve serves the Peer service on the listener until the context is cancelled. It then
// returns nil, otherwise the error that ended it.
func Serve(ctx context.Context, listener net.Listener, implementation peerpb.Peer) error {
	handler := gzipHandler(peerpb.NewPeerServer(implementation))
	server := &http.Server{Handler: handler, ReadTimeout: serverReadTimeout, ReadHeaderTimeout: serverReadTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
