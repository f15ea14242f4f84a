// Package warmup limits the new flows that an endpoint gets while it warms up, counted
// over all instances. One instance owns each endpoint and may use half of the limit; all
// others send nothing to it. The package uses no clock, lock or socket.
package warmup

import "math"

// sharesPerLimit is the number of instances that may own an endpoint at the same time
// without exceeding its limit. There are two while the lists of peers differ.
const sharesPerLimit = 2

// Limit returns the maximum number of new flows in any second to an endpoint of a service
// with the given warm-up rate. excess and burst are settings.
func Limit(rate, excess float64, burst uint32) int {
	return int(math.Floor(min(max(rate*excess, 0), math.MaxInt32))) + int(burst)
}

// Share returns the part of a limit that the owner of an endpoint may use. It is 0 for a
// limit of 1, which two owners could exceed.
func Share(limit int) int { return max(limit, 0) / sharesPerLimit }
