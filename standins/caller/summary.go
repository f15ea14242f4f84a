package caller

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Reasons why flows could not be opened or broke.
const (
	reasonRefused    = "refused"
	reasonReset      = "reset"
	reasonTimeout    = "timeout"
	reasonStalled    = "stalled"
	reasonTruncated  = "truncated"
	reasonWrongBytes = "wrong_bytes"
	reasonCancelled  = "cancelled"
	reasonOther      = "other"
)

// Summary is the result of a run, written as JSON.
type Summary struct {
	Seed        uint64 `json:"seed"`
	FlowsOpened int    `json:"flows_opened"`
	FlowsOpen   int    `json:"flows_open"`
	// FlowsNotOpened counts attempts that failed before the flow was
	// established, by reason.
	FlowsNotOpened map[string]int `json:"flows_not_opened"`
	// BrokenFlows counts established flows that were reset, timed out, stalled,
	// ended early or delivered wrong bytes.
	BrokenFlows         int            `json:"broken_flows"`
	BrokenFlowsByReason map[string]int `json:"broken_flows_by_reason"`
	// BrokenFlowsByService counts broken flows by service address.
	BrokenFlowsByService map[string]int `json:"broken_flows_by_service"`

	// FirstBroken lists the first broken flows, at most maxBrokenFlows.
	FirstBroken []BrokenFlow `json:"first_broken"`
	// Unfinished counts requests that were in flight when the run ended.
	Unfinished int `json:"unfinished"`

	DownloadsInFlight int `json:"downloads_in_flight"`
	DownloadsComplete int `json:"downloads_complete"`
	DownloadsFailed   int `json:"downloads_failed"`
	BoardsOK          int `json:"boards_ok"`
	BoardsFailed      int `json:"boards_failed"`
	// RequestsRefused counts responses stating that the request was not run.
	RequestsRefused int `json:"requests_refused"`
	// WrongResponses counts responses with an unexpected status or content.
	WrongResponses int `json:"wrong_answers"`
	// MismatchedResponses counts responses that belong to another request, and
	// responses from a second endpoint on the same flow.
	MismatchedResponses int `json:"crossed_answers"`

	ReportsOK      int `json:"reports_ok"`
	ReportsRefused int `json:"reports_refused"`
	// ReportsUnknown counts reports with unknown outcome: the caller cannot
	// determine whether they were run.
	ReportsUnknown int `json:"reports_unknown"`
	// ReportsDoubleRun counts responses stating that the report had been run
	// before.
	ReportsDoubleRun int `json:"reports_double_run"`

	// FlowsPerEndpoint counts flows by service and endpoint.
	FlowsPerEndpoint map[string]map[string]int `json:"flows_per_endpoint"`
	// Imbalance is, by service, the maximum number of flows of an endpoint
	// divided by the mean over all endpoints that sent a response.
	Imbalance map[string]float64 `json:"imbalance"`

	// Verified is nil if Settings.Endpoints is empty.
	Verified *Verification `json:"verified,omitempty"`
}

// maxBrokenFlows is the maximum number of broken flows listed in a summary.
const maxBrokenFlows = 100

// BrokenFlow describes a broken flow, so that it can be found in the logs and
// traces of the entry instances.
type BrokenFlow struct {
	OpenedAt time.Time `json:"opened_at"`
	BrokenAt time.Time `json:"broken_at"`
	// Local is the caller's address and port.
	Local    string `json:"local"`
	Service  string `json:"service"`
	Endpoint string `json:"endpoint"`
	Reason   string `json:"reason"`
}

// Verification is the result of comparing the outcomes of reports at the callers
// with the endpoints' lists of reports that they ran.
type Verification struct {
	EndpointsRead int `json:"endpoints_read"`
	// EndpointsUnread counts the endpoints whose list could not be read.
	EndpointsUnread      int `json:"endpoints_unread"`
	ReportsRunTwice      int `json:"reports_run_twice"`
	RefusedButRun        int `json:"reports_refused_but_run"`
	AnsweredButNotRun    int `json:"reports_answered_but_not_run"`
	UnknownThatRan       int `json:"reports_unknown_that_ran"`
	UnknownThatDidNotRun int `json:"reports_unknown_that_did_not_run"`
	RunButNeverSent      int `json:"reports_run_but_never_sent"`
}

// outcome states whether a request was run, as far as the caller can determine.
type outcome int

const (
	outcomeUnknown outcome = iota
	outcomeOK
	outcomeRefused
)

// recorder collects the results of all callers.
type recorder struct {
	mutex    sync.Mutex
	summary  Summary
	outcomes map[string]outcome
}

func newRecorder(seed uint64) *recorder {
	return &recorder{
		summary: Summary{
			Seed:                 seed,
			FlowsNotOpened:       make(map[string]int),
			FirstBroken:          []BrokenFlow{},
			BrokenFlowsByReason:  make(map[string]int),
			BrokenFlowsByService: make(map[string]int),
			FlowsPerEndpoint:     make(map[string]map[string]int),
			Imbalance:            make(map[string]float64),
		},
		outcomes: make(map[string]outcome),
	}
}

func (r *recorder) update(change func(*Summary)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	change(&r.summary)
}

// countFlow counts a flow to an endpoint of a service.
func (r *recorder) countFlow(service, endpoint string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	perEndpoint := r.summary.FlowsPerEndpoint[service]
	if perEndpoint == nil {
		perEndpoint = make(map[string]int)
		r.summary.FlowsPerEndpoint[service] = perEndpoint
	}
	perEndpoint[endpoint]++
}

// reportStarted records a report as unknown before it is sent.
func (r *recorder) reportStarted(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes[id] = outcomeUnknown
	r.summary.ReportsUnknown++
}

func (r *recorder) reportEnded(id string, result outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.outcomes[id] = result
	switch result {
	case outcomeOK:
		r.summary.ReportsUnknown--
		r.summary.ReportsOK++
	case outcomeRefused:
		r.summary.ReportsUnknown--
		r.summary.ReportsRefused++
	case outcomeUnknown:
	}
}

// snapshot returns a copy of the summary, with the imbalance computed.
func (r *recorder) snapshot() Summary {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	summary := r.summary
	summary.FirstBroken = slices.Clone(summary.FirstBroken)
	summary.FlowsNotOpened = maps.Clone(summary.FlowsNotOpened)
	summary.BrokenFlowsByReason = maps.Clone(summary.BrokenFlowsByReason)
	summary.BrokenFlowsByService = maps.Clone(summary.BrokenFlowsByService)
	summary.FlowsPerEndpoint = make(map[string]map[string]int)
	summary.Imbalance = make(map[string]float64)
	for service, perEndpoint := range r.summary.FlowsPerEndpoint {
		summary.FlowsPerEndpoint[service] = maps.Clone(perEndpoint)
		summary.Imbalance[service] = imbalance(perEndpoint)
	}
	return summary
}

// imbalance returns the maximum number of flows divided by the mean, or 0 without
// flows.
func imbalance(perEndpoint map[string]int) float64 {
	highest, sum := 0, 0
	for _, count := range perEndpoint {
		highest = max(highest, count)
		sum += count
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(len(perEndpoint)) / float64(sum)
}
