package peer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/proto/entrypb"
	"burdockrelay.example/burdockrelay/proto/peerpb"
)

// callTimeout bounds one call of a peer. A release of 700 KB takes well under
// a second between data centres.
const callTimeout = 3 * time.Second

// Client calls the Peer service of other instances.
type Client struct {
	http  *http.Client
	meter *Meter
}

// NewClient returns a client.
func NewClient(meter *Meter) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second}
	return &Client{http: &http.Client{Transport: transport, Timeout: callTimeout}, meter: meter}
}

func (c *Client) service(address netip.AddrPort) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address.String(), c.http)
}

// FetchRelease asks a peer for a release.
func (c *Client) FetchRelease(ctx context.Context, address netip.AddrPort, request *peerpb.FetchReleaseRequest) (*peerpb.FetchReleaseResponse, error) {
	response, err := c.service(address).FetchRelease(ctx, request)
	c.count("fetch_release", request, response)
	return response, err
}

// PullReplication asks a peer for the state of the slots of a joining instance.
func (c *Client) PullReplication(ctx context.Context, address netip.AddrPort, request *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	response, err := c.service(address).PullReplication(ctx, request)
	c.count("pull_replication", request, response)
	return response, err
}

func (c *Client) count(kind string, request, response proto.Message) {
	c.meter.Count("sent", kind, proto.Size(request))
	c.meter.Count("received", kind, proto.Size(response))
}

// serverReadTimeout bounds how long a peer may take to send a request.
const serverReadTimeout = 5 * time.Second

// Serve answers the Peer service on a TCP address until the context ends.
func Serve(ctx context.Context, listener net.Listener, implementation peerpb.Peer) error {
	handler := peerpb.NewPeerServer(implementation, twirp.WithServerPathPrefix("/twirp"))
	server := &http.Server{Handler: handler, ReadTimeout: serverReadTimeout, ReadHeaderTimeout: serverReadTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
