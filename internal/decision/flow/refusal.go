package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// refusalClasses is the number of refused flows that a shard remembers: 16,384
// per instance in 256 KB. A flood of refusals overwrites older ones; a repeated
// first packet may then be admitted, which runs nothing because first packets
// carry no data and the caller has given up the connection.
const refusalCacheSize = 256

// refusal is a first packet that was refused.
type refusal struct {
	hash     common.FlowHash
	sequence uint32
	code     uint16
	// second is when the refusal was made, in whole seconds plus 1; 0 is empty.
	second uint16
}

func secondOf(now time.Duration) uint16 {
	return uint16(now/time.Second%(1<<16-1)) + 1
}

// refusedBefore returns the code with which the same first packet was refused,
// or OK.
func (s *Shard) refusedBefore(p *Packet, now time.Duration) resultcode.Code {
	r := &s.refusals[p.Hash>>8%refusalCacheSize]
	if r.second == 0 || r.hash != p.Hash || r.sequence != p.Sequence || s.limits.ablation.noRefusalCache {
		return resultcode.OK
	}
	if age := secondOf(now) - r.second; time.Duration(age)*time.Second > maxSegmentLifetime {
		return resultcode.OK
	}
	return resultcode.Code(r.code)
}

func (s *Shard) rememberRefusal(p *Packet, code resultcode.Code, now time.Duration) {
	s.refusals[p.Hash>>8%refusalCacheSize] = refusal{
		hash: p.Hash, sequence: p.Sequence, code: uint16(code), second: secondOf(now),
	}
}
