package selection

import "time"

const (
	// remoteCost is the cost that is added for an endpoint in another data centre: its
	// load is known least accurately, and bandwidth between data centres is scarce. All
	// costs are multiples of the endpoint's response time. For long flows see
	// longRemoteCost.
	remoteCost = 0.35
	// warmUpCost is added for an endpoint that is warming up.
	warmUpCost = 0.6
	// inFlightCost is added for each request in flight. Among endpoints with a free
	// slot it prefers the least loaded one.
	inFlightCost = 0.08
	// failureCost is added for an endpoint with a failure rate of 1, and in proportion
	// for lower rates.
	failureCost = 20.0
	// suspectCost is added for a suspect endpoint, and for one on probation that has a
	// request in flight or stalled. It ranks them behind all others.
	suspectCost = 1000.0
	// silentCost is added to suspectCost for a silent endpoint.
	silentCost = 1000.0
)

// cost estimates the time in ns until the endpoint would have served one more request if its
// condition were the given one. The methods below return what each reason adds to a factor of
// 1. They are separate for explanations, and small, so that they are inlined here.
func (p *Pool) cost(m *Member, condition Condition, request *Request, now time.Duration) float64 {
	factor := 1 + m.inFlightCost()
	factor += m.queuedCost()
	if m.endpoint.DataCentre != p.dataCentre {
		factor += request.remoteCost()
	}
	if request.Long {
		factor += m.longCost()
	}
	if now < m.warmUntil {
		factor += warmUpCost
	}
	factor += failureCost * m.failureRate(now)
	factor += m.conditionCost(condition, now)
	return p.baseCost(m, now) * factor
}

// baseCost returns the endpoint's response time in ns. While requests in flight get no
// response, it is at least the time since the last one.
func (p *Pool) baseCost(m *Member, now time.Duration) float64 {
	return max(m.responseTime(now, p.medianResponse), float64(m.stalledFor(now)))
}

func (m *Member) inFlightCost() float64 { return inFlightCost * float64(m.inFlight) }

// queuedCost is for the requests in flight that wait for a slot.
func (m *Member) queuedCost() float64 {
	slots := m.slots()
	return max(float64(m.inFlight)-slots+1, 0) / slots
}

// slots returns the number of slots of the endpoint, at least 1.
func (m *Member) slots() float64 { return float64(max(m.endpoint.Slots, 1)) }

func (m *Member) conditionCost(condition Condition, now time.Duration) float64 {
	switch {
	case condition == Silent:
		return suspectCost + silentCost
	case m.lastResort(condition, now):
		return suspectCost
	default:
		return 0
	}
}
