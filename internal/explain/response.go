// Package explain serves over HTTP what an instance of burdock-relayd would do with a new
// flow, and why.
package explain

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Response is the JSON form of an explanation. Times are in milliseconds.
type Response struct {
	Instance    string         `json:"instance"`
	DataCentre  string         `json:"data_centre"`
	Caller      netip.AddrPort `json:"caller"`
	Destination netip.AddrPort `json:"destination"`
	State       State          `json:"state"`
	// Rule is nil if no rule has the destination.
	Rule *Rule `json:"rule"`
	// OpenOn is the endpoint of a recorded flow of the caller to the destination, if any.
	OpenOn      string `json:"open_flow_on,omitempty"`
	MayOverflow bool   `json:"may_overflow"`
	// Services holds the drawn service first, then those to which the flow would overflow.
	Services []Service `json:"services"`
	Result   Result    `json:"result"`
}

// State is the state that the instance decides by.
type State struct {
	Configuration uint64  `json:"configuration"`
	Revision      string  `json:"revision"`
	AgeMS         float64 `json:"age_ms"`
	SettledForMS  float64 `json:"settled_for_ms"`
}

// Rule is the rule of the destination.
type Rule struct {
	Name            string   `json:"name"`
	Targets         []Target `json:"targets"`
	Long            bool     `json:"long"`
	Repeatable      bool     `json:"repeatable"`
	PriorityLevel   int      `json:"priority_level"`
	TimeoutMS       float64  `json:"timeout_ms"`
	LatencyTargetMS float64  `json:"latency_target_ms"`
}

// Target is one service of a rule.
type Target struct {
	Service string `json:"service"`
	Weight  uint32 `json:"weight"`
}

// Service is what the pool of one service would do.
type Service struct {
	Service   string    `json:"service"`
	Admission Admission `json:"admission"`
	// CandidateCount and Excluded count all endpoints. The lists hold the first ones.
	CandidateCount int            `json:"candidate_count"`
	Excluded       map[string]int `json:"excluded"`
	Candidates     []Endpoint     `json:"candidates"`
	Others         []Endpoint     `json:"others"`
}

// Admission says whether the service admits the flow. Bound is 0 without a limit.
type Admission struct {
	Admitted   bool            `json:"admitted"`
	InFlight   int             `json:"in_flight"`
	Bound      float64         `json:"bound"`
	NoOverflow bool            `json:"takes_no_overflow"`
	ResultCode resultcode.Code `json:"result_code"`
}

// Endpoint is an endpoint of a service.
type Endpoint struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Exclusion  string `json:"exclusion,omitempty"`
	Condition  string `json:"condition"`
	InFlight   int    `json:"in_flight"`
	LongFlows  int    `json:"long_flows"`
	CostMS     Cost   `json:"cost_ms"`
}

// Cost is the cost of an endpoint and its parts.
type Cost struct {
	Total     float64 `json:"total"`
	Response  float64 `json:"response"`
	InFlight  float64 `json:"in_flight"`
	LongFlows float64 `json:"long_flows"`
	Distance  float64 `json:"distance"`
	Remote    float64 `json:"other_data_centre"`
	WarmUp    float64 `json:"warm_up"`
	Failures  float64 `json:"failures"`
	Suspect   float64 `json:"suspect"`
}

// Actions of a Result.
const (
	Forward = "forward"
	Refuse  = "refuse"
	Drop    = "drop"
)

// Result is what would happen to the flow's first packet.
type Result struct {
	Action     string          `json:"action"`
	ResultCode resultcode.Code `json:"result_code"`
	Endpoint   string          `json:"endpoint,omitempty"`
	DataCentre string          `json:"data_centre,omitempty"`
	Service    string          `json:"service,omitempty"`
	Overflowed bool            `json:"overflowed"`
}

// Failure is the JSON form of an error.
type Failure struct {
	Error struct {
		ResultCode resultcode.Code `json:"result_code"`
		Message    string          `json:"message"`
	} `json:"error"`
}

func milliseconds(d time.Duration) float64 { return float64(d.Round(time.Microsecond)) / 1e6 }

// fill sets the parts of the response that come from the decision, with at most limit
// endpoints in each list.
func (r *Response) fill(e *steering.Explanation, limit int) {
	r.MayOverflow = e.MayOverflow
	if e.OpenOn != nil {
		r.OpenOn = e.OpenOn.Endpoint().Name
	}
	if e.Rule != nil {
		r.Rule = &Rule{
			Name: e.Rule.Name, Long: e.Long, Repeatable: e.Rule.Repeatable, PriorityLevel: e.Level,
			TimeoutMS: milliseconds(e.Rule.Timeout), LatencyTargetMS: milliseconds(e.Rule.LatencyTarget),
		}
		for _, t := range e.Rule.Targets {
			r.Rule.Targets = append(r.Rule.Targets, Target{Service: t.Service, Weight: t.Weight})
		}
	}
	r.Services = []Service{}
	for i := range e.Services {
		r.Services = append(r.Services, newService(&e.Services[i], limit))
	}
	r.Result = newResult(e)
}

func newResult(e *steering.Explanation) Result {
	result := Result{Action: Drop, ResultCode: e.Code, Overflowed: e.Overflowed}
	switch e.Kind {
	case steering.Refuse:
		result.Action = Refuse
	case steering.Forward:
		endpoint := e.Member.Endpoint()
		result.Action, result.Endpoint, result.DataCentre = Forward, endpoint.Name, endpoint.DataCentre
		result.Service = e.Member.Pool().Service()
	}
	return result
}

func newService(e *selection.Explanation, limit int) Service {
	s := Service{
		Service: e.Service, CandidateCount: len(e.Candidates), Excluded: make(map[string]int),
		Candidates: newEndpoints(e.Candidates, limit), Others: newEndpoints(e.Excluded, limit),
		Admission: Admission{
			Admitted: e.Admission.Admitted, InFlight: e.Admission.InFlight, Bound: e.Admission.Bound, NoOverflow: e.Admission.Limited,
		},
	}
	if !s.Admission.Admitted {
		s.Admission.ResultCode = resultcode.RefusedOverload
	}
	for i := range e.Excluded {
		s.Excluded[e.Excluded[i].Exclusion.String()]++
	}
	return s
}

func newEndpoints(candidates []selection.Candidate, limit int) []Endpoint {
	endpoints := []Endpoint{}
	for _, c := range candidates[:min(limit, len(candidates))] {
		endpoint := Endpoint{
			Name: c.Endpoint.Name, DataCentre: c.Endpoint.DataCentre, Condition: c.Condition.String(),
			InFlight: c.InFlight, LongFlows: c.LongFlows, CostMS: newCost(&c.Cost),
		}
		if c.Exclusion != selection.NotExcluded {
			endpoint.Exclusion = c.Exclusion.String()
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

func newCost(c *selection.Cost) Cost {
	return Cost{
		Total: milliseconds(c.Total), Response: milliseconds(c.Response), InFlight: milliseconds(c.InFlight),
		LongFlows: milliseconds(c.LongFlows), Distance: milliseconds(c.Distance), Remote: milliseconds(c.Remote),
		WarmUp: milliseconds(c.WarmUp), Failures: milliseconds(c.Failures), Suspect: milliseconds(c.Suspect),
	}
}
