package entry

import (
	"encoding/binary"
	"net/netip"
	"sync"

	"github.com/cespare/xxhash/v2"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/flow"
)

// state is everything that the workers read without a lock. It is immutable.
type state struct {
	tables   *flow.Tables
	snapshot *common.Snapshot
	// endpoints maps the release's endpoints to their tunnels, apart from the
	// tables that the decisions use.
	endpoints map[endpointKey]netip.AddrPort
	// viewHash identifies the membership viewHash in relayed packets.
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

// ownsSlots reports whether the view lets this instance own slots.
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

// hashMembers is the same for equal sets of members in any order.
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

// shard is one part of the flow state under its own lock.
type shard struct {
	mu    sync.Mutex
	flows *flow.Shard
	// state is the one whose tables were installed last.
	state     *state
	forwarded forwardedCache
}
