package flow

import (
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// refusalCacheSize is the number of refused first packets that a shard stores: 16,384
// per instance in 256 KB. Many refusals in a short time overwrite older ones, so that
// a retransmission of a refused packet may be admitted. No request runs then, because
// first packets carry no data and the caller has abandoned the connection.
const refusalCacheSize = 256

// refusal identifies a TCP first packet that was refused, with the code and the time.
type refusal struct {
	hash     common.FlowHash
	sequence uint32
	code     uint16
	// second is the time of the refusal as returned by secondOf; 0 marks an unused
	// cache entry.
	second uint16
}

// secondsPeriod is the period in seconds after which secondOf repeats, 18.2 hours.
const secondsPeriod = 1<<16 - 1

// secondOf returns the time in whole seconds, modulo secondsPeriod, plus 1.
func secondOf(now time.Duration) uint16 {
	return uint16(now/time.Second%secondsPeriod) + 1
}

// expired reports whether the refusal is older than the maximum segment lifetime. It is
// correct only for refusals that are less than secondsPeriod old.
func (r *refusal) expired(now time.Duration) bool {
	age := (int(secondOf(now)) - int(r.second) + secondsPeriod) % secondsPeriod
	return time.Duration(age)*time.Second > maxSegmentLifetime
}

// expireRefusals removes expired refusals, which would apply again after secondsPeriod.
func (s *Shard) expireRefusals(now time.Duration) {
	for i := range s.refusals {
		if r := &s.refusals[i]; r.second != 0 && r.expired(now) {
			*r = refusal{}
		}
	}
}

// refusedBefore returns the code with which the same first packet was refused
// within the maximum segment lifetime, or OK.
func (s *Shard) refusedBefore(p *Packet, now time.Duration) resultcode.Code {
	r := &s.refusals[p.Hash>>8%refusalCacheSize]
	if r.second == 0 || r.hash != p.Hash || r.sequence != p.Sequence || s.limits.ablation.noRefusalCache {
		return resultcode.OK
	}
	if r.expired(now) {
		return resultcode.OK
	}
	return resultcode.Code(r.code)
}

func (s *Shard) rememberRefusal(p *Packet, code resultcode.Code, now time.Duration) {
	s.refusals[p.Hash>>8%refusalCacheSize] = refusal{
		hash: p.Hash, sequence: p.Sequence, code: uint16(code), second: secondOf(now),
	}
}
