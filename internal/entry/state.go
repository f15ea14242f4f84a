package entry

import (
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// state is a snapshot with the tables derived from it. It is immutable, so
// workers read it without a lock.
type state struct {
	tables   *flow.Tables
	snapshot *common.Snapshot
	// endpoints maps the endpoints of the release to their tunnels. The
	// invariant checks use it instead of the tables that decisions are based on.
	endpoints map[endpointKey]netip.AddrPort
	// viewHash is the hash of the membership view, sent with relayed packets.
	viewHash uint32
}

func newState(snapshot *common.Snapshot, tables *flow.Tables) *state {
	s := &state{
		tables:    tables,
		snapshot:  snapshot,
		endpoints: make(map[endpointKey]netip.AddrPort),
		viewHash:  hashMembers(snapshot.Members),
	}
	for i := range snapshot.Services {
		service := &snapshot.Services[i]
		for j := range service.Endpoints {
			endpoint := &service.Endpoints[j]
			s.endpoints[endpointKey{service.ID, endpoint.ID}] = endpoint.Tunnel
		}
	}
	return s
}

// ownsSlots reports whether this instance may own slots in the membership view.
func (s *state) ownsSlots() bool {
	if s == nil {
		return false
	}
	for i := range s.snapshot.Members {
		member := &s.snapshot.Members[i]
		if member.ID == s.snapshot.Self {
			return member.CanOwnSlots()
		}
	}
	return false
}

// hashMembers hashes a set of members, independently of their order.
func hashMembers(members []common.Member) uint32 {
	var sum uint64
	for i := range members {
		var b [13]byte
		binary.BigEndian.PutUint32(b[0:4], uint32(members[i].ID))
		binary.BigEndian.PutUint64(b[4:12], members[i].Incarnation)
		b[12] = byte(members[i].State)
		sum += xxhash.Sum64(b[:])
	}
	return uint32(sum>>32) ^ uint32(sum)
}

// shard is one part of the flow table with its own lock.
type shard struct {
	mu    sync.Mutex
	flows *flow.Shard
	// state holds the tables that were installed last, nil before the first
	// snapshot.
	state     *state
	forwarded forwardedCache
}
