package loadpolicy

import (
	"math"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

const (
	// reportHalfLife is the age at which the weight of a load report has halved.
	reportHalfLife = 2 * time.Second
	// maxReportWeight is the weight of a new report in the estimate. Reports can
	// be wrong, so the instance's own observation counts at least as much.
	maxReportWeight = 0.5
	// reportTolerance is the number of flows by which a report may exceed twice
	// the instance's own observation, so that reports have an effect on endpoints
	// with few flows.
	reportTolerance = 8
	// DefaultBoundPercent is the load bound, in percent of the mean load, of a
	// policy that sets none.
	DefaultBoundPercent = 125
	// FullShare is the share of an endpoint that is not in slow start; shares are
	// fractions of it.
	FullShare = 1 << 16
	// minShare is the share at the beginning of slow start. Without it, an
	// endpoint would get no flows at first.
	minShare = FullShare / 16
)

// Observation is the input of Estimate for one endpoint.
type Observation struct {
	// Flows is the number of the endpoint's open flows on this instance.
	Flows uint32
	// Members is the number of instances that share the endpoint's flows.
	Members int
	// Reported is the number of requests in flight and open connections that the
	// endpoint reported. Estimate compares it with flows.
	Reported uint32
	// Age is the time since the report.
	Age time.Duration
	// RetransmittedFirstPackets is the number of retransmissions of first packets
	// that were recently received.
	RetransmittedFirstPackets uint32
}

// Estimate returns the estimated load of an endpoint, in flows. The weight of the
// report decays with its age, and its value is limited to between half and twice
// (plus reportTolerance) the load extrapolated from this instance's flows. Each
// retransmitted first packet counts as one more flow.
func Estimate(o Observation) float64 {
	own := float64(o.Flows) * float64(max(o.Members, 1))
	reported := min(max(float64(o.Reported), own/2), own*2+reportTolerance)
	weight := maxReportWeight * math.Exp2(-float64(max(o.Age, 0))/float64(reportHalfLife))
	return own + weight*(reported-own) + float64(o.RetransmittedFirstPackets)
}

// SlowStartShare returns the share of its normal rate of new flows that an endpoint
// gets, in units of 1/FullShare. It grows linearly over slowStart, the duration of slow
// start; coldFor is the time since the endpoint came up.
func SlowStartShare(state common.EndpointState, coldFor, slowStart time.Duration) uint32 {
	if state != common.EndpointCold || slowStart <= 0 || coldFor >= slowStart {
		return FullShare
	}
	share := uint32(float64(FullShare) * float64(max(coldFor, 0)) / float64(slowStart))
	return max(share, minShare)
}

// Admits reports whether an endpoint with this share, in units of 1/FullShare, gets
// the new flow with this hash. It uses only bits of the flow hash that select neither slot nor bucket.
func Admits(share uint32, hash common.FlowHash) bool {
	return uint32(hash>>16)&(FullShare-1) < share
}

// Bounded returns the index of the first candidate whose load, with one more
// flow, does not exceed boundPercent of the mean load, rounded up. If there is none,
// it returns the index of the least loaded candidate. A boundPercent of 0 means
// DefaultBoundPercent.
func Bounded(loads []float64, mean float64, boundPercent uint32) int {
	if boundPercent == 0 {
		boundPercent = DefaultBoundPercent
	}
	bound := math.Ceil(mean * float64(boundPercent) / 100)
	least := 0
	for i, load := range loads {
		if load+1 <= max(bound, 1) {
			return i
		}
		if load < loads[least] {
			least = i
		}
	}
	return least
}

// TwoChoices returns the index of the less loaded of the first two candidates, or
// 0 if their loads are equal.
func TwoChoices(loads []float64) int {
	if len(loads) > 1 && loads[1] < loads[0] {
		return 1
	}
	return 0
}
