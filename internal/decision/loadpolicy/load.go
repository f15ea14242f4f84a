package loadpolicy

import (
	"math"
	"time"

	"burdockrelay.example/burdockrelay/common"
)

const (
	// reportHalfLife is the age at which a load report counts half as much.
	reportHalfLife = 2 * time.Second
	// maxReportShare is the share of a fresh report in the estimate. Reports
	// can be wrong, so the instance's own observation counts at least as much.
	maxReportShare = 0.5
	// reportSlack lets a report exceed the own observation on an endpoint with
	// few flows, in flows.
	reportSlack = 8
	// DefaultBoundPercent applies when a policy sets no bound.
	DefaultBoundPercent = 125
	// FullShare is the share of an endpoint that is not in slow start.
	FullShare = 1 << 16
	// minShare gives an endpoint in slow start some flows from the beginning.
	minShare = FullShare / 16
)

// Observation is what an instance knows about the load of an endpoint.
type Observation struct {
	// Flows is the number of open flows on this instance.
	Flows uint32
	// Members is the number of instances that share the flows.
	Members int
	// Reported is the load that the endpoint reported, Age the age of the
	// report.
	Reported uint32
	Age      time.Duration
	// RepeatedFirstPackets is the number of recent first packets that came again.
	RepeatedFirstPackets uint32
}

// Estimate returns the load of an endpoint in flows. The report is aged and
// kept within half and twice the own observation.
func Estimate(o Observation) float64 {
	own := float64(o.Flows) * float64(max(o.Members, 1))
	reported := min(max(float64(o.Reported), own/2), own*2+reportSlack)
	share := maxReportShare * math.Exp2(-float64(max(o.Age, 0))/float64(reportHalfLife))
	return own + share*(reported-own) + float64(o.RepeatedFirstPackets)
}

// SlowStartShare returns the part of its new flows that an endpoint gets, out of
// FullShare, when it has been up for the given time.
func SlowStartShare(state common.EndpointState, coldFor, slowStart time.Duration) uint32 {
	if state != common.EndpointCold || slowStart <= 0 || coldFor >= slowStart {
		return FullShare
	}
	share := uint32(float64(FullShare) * float64(max(coldFor, 0)) / float64(slowStart))
	return max(share, minShare)
}

// Admits reports whether an endpoint with this share gets the flow. It depends
// on the flow's hash only, on bits that select neither slot nor bucket.
func Admits(share uint32, hash common.FlowHash) bool {
	return uint32(hash>>16)&(FullShare-1) < share
}

// Bounded returns the position of the first candidate whose load, with one more
// flow, is within the bound in percent of the mean. When none is, it returns
// the least loaded one.
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

// TwoChoices returns the position of the less loaded of the first two
// candidates, the first one when they are equal.
func TwoChoices(loads []float64) int {
	if len(loads) > 1 && loads[1] < loads[0] {
		return 1
	}
	return 0
}
