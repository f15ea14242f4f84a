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

// callTimeout bounds one call of a peer. A release of 700 KB takes well under
// a second between data centres.
const callTimeout = 3 * time.Second

// Client calls the Peer service of other instances.
type Client struct {
	http *http.Client
}

// callKinds names the calls in the metrics.
var callKinds = map[string]string{
	"FetchRelease":    "fetch_release",
	"PullReplication": "pull_replication",
}

// NewClient returns a client that counts its bytes. count is called for each part
// of a call.
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

// FetchRelease asks a peer for a release.
func (c *Client) FetchRelease(ctx context.Context, address netip.AddrPort, request *peerpb.FetchReleaseRequest) (*peerpb.FetchReleaseResponse, error) {
	return c.service(address).FetchRelease(ctx, request)
}

// PullReplication asks a peer for the state of the slots of a joining instance.
func (c *Client) PullReplication(ctx context.Context, address netip.AddrPort, request *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	return c.service(address).PullReplication(ctx, request)
}

// serverReadTimeout bounds how long a peer may take to send a request.
const serverReadTimeout = 5 * time.Second

// Serve answers the Peer service on a TCP address until the context ends.
func Serve(ctx context.Context, listener net.Listener, implementation peerpb.Peer) error {
	handler := compressed(peerpb.NewPeerServer(implementation))
	server := &http.Server{Handler: handler, ReadTimeout: serverReadTimeout, ReadHeaderTimeout: serverReadTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
