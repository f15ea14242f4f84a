package discovery

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/directory"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// testUpdate returns a snapshot with a number of endpoints, 7 of each service.
func testUpdate(endpoints int) *directory.Update {
	u := &directory.Update{CompleteAt: common.Revision{Number: uint64(endpoints)}, Full: true, Configuration: &directory.Configuration{Version: 1, Revision: common.Revision{Number: 1}}}
	for i := range endpoints {
		service := fmt.Sprintf("service-%d", i/7)
		if i%7 == 0 {
			u.Configuration.Rules = append(u.Configuration.Rules, directory.Rule{
				Address: common.ServiceAddress{Address: netip.AddrFrom4([4]byte{198, 18, byte(i >> 16), byte(i >> 8)}), Port: uint16(i%256 + 1), Protocol: common.ProtocolTCP},
				Targets: []directory.Target{{Service: service, Weight: 1}},
			})
			u.Configuration.Services = append(u.Configuration.Services, directory.Service{Name: service, HealthPath: "/health"})
		}
		u.Endpoints = append(u.Endpoints, directory.EndpointRecord{Endpoint: directory.Endpoint{
			Name: fmt.Sprintf("i-%x", 1_000_000+i*7919), ID: uint64(1_000_000 + i*7919), Service: service,
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8080),
			DataCentre: fmt.Sprintf("dc-%d", i%12), Slots: 2, StartedAt: int64(1 + i), Revision: common.Revision{Number: uint64(1 + i)},
		}})
	}
	return u
}

func newTestCache() *Cache {
	return NewCache("entry-1", "dc-1", time.Minute, 3*time.Second, func() time.Duration { return time.Second })
}

// BenchmarkApplyDelta applies a change of one endpoint to caches of three sizes, and
// reports the memory of the cache per endpoint.
func BenchmarkApplyDelta(b *testing.B) {
	for _, endpoints := range []int{3500, 7000, 14_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			cache := newTestCache()
			all := testUpdate(endpoints)
			cache.Apply(all, Provenance{})
			changed := all.Endpoints[0]
			all = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			at := common.Revision{Number: uint64(endpoints)}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				since := at
				at.Number++
				changed.Endpoint.Revision = at
				changed.Endpoint.Draining = !changed.Endpoint.Draining
				cache.Apply(&directory.Update{Since: since, CompleteAt: at, Endpoints: []directory.EndpointRecord{changed}}, Provenance{})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(endpoints), "heap-B/endpoint")
		})
	}
}

// newTestServer returns the server of an instance that reads the store.
func newTestServer(cache *Cache, peers *Peers) *Server {
	reads := func() bool { return true }
	addPeers := func(context.Context, ...*syncpb.Peer) {}
	metrics := NewMetrics(prometheus.NewRegistry(), cache, peers)
	return &Server{Cache: cache, Peers: peers, ReadsStore: reads, AddPeers: addPeers, Metrics: metrics}
}

// BenchmarkFullResponse encodes a full response at three sizes.
func BenchmarkFullResponse(b *testing.B) {
	for _, endpoints := range []int{3500, 7000, 14_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			cache := newTestCache()
			cache.Apply(testUpdate(endpoints), Provenance{})
			s := newTestServer(cache, NewPeers(Peer{Name: "entry-1"}, nil))
			size := 0
			b.ReportAllocs()
			for range b.N {
				s.nextFullAt = 0
				response, err := s.Fetch(b.Context(), &syncpb.FetchRequest{})
				if err != nil {
					b.Fatal(err)
				}
				encoded, err := proto.Marshal(response)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size)/float64(endpoints), "B/endpoint")
		})
	}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: &l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkEmptyQuery queries a peer that has no changes over TCP, and reports the
// bytes of the request and the response without the headers of TCP and IP.
func BenchmarkEmptyQuery(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	cache := newTestCache()
	cache.Apply(testUpdate(14_000), Provenance{})
	querier := NewPeers(Peer{Name: "entry-2", Address: netip.MustParseAddrPort("10.0.0.2:17720")}, nil)
	s := newTestServer(cache, NewPeers(Peer{Name: "entry-2"}, nil))
	go func() { _ = s.Serve(b.Context(), counting) }()
	client := newPeerClient(time.Second)
	request := &syncpb.FetchRequest{
		Asker: querier.Self(), ConfigurationVersion: 1, ConfigurationRevision: 1, EndpointsRevision: 14_000, PeersHash: s.Peers.Hash(),
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := client.fetch(b.Context(), netip.MustParseAddrPort(listener.Addr().String()), request); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(counting.bytes.Load())/float64(b.N), "B/query")
}
