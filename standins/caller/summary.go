package caller

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Reasons why a flow was not opened or broke.
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

// Summary is the result of a run.
type Summary struct {
	Seed        uint64 `json:"seed"`
	FlowsOpened int    `json:"flows_opened"`
	FlowsOpen   int    `json:"flows_open"`
	// FlowsNotOpened counts attempts that failed before the flow was
	// established, by reason.
	FlowsNotOpened map[string]int `json:"flows_not_opened"`
	// BrokenFlows counts established flows that were reset, lost bytes or
	// stopped.
	BrokenFlows         int            `json:"broken_flows"`
	BrokenFlowsByReason map[string]int `json:"broken_flows_by_reason"`
	// BrokenFlowsByService counts them by service address.
	BrokenFlowsByService map[string]int `json:"broken_flows_by_service"`

	// FirstBroken holds the first broken flows, at most maxBroken.
	FirstBroken []BrokenFlow `json:"first_broken"`
	// Unfinished counts requests that were under way when the run ended.
	Unfinished int `json:"unfinished"`

	DownloadsInFlight int `json:"downloads_in_flight"`
	DownloadsComplete int `json:"downloads_complete"`
	DownloadsFailed   int `json:"downloads_failed"`
	BoardsOK          int `json:"boards_ok"`
	BoardsFailed      int `json:"boards_failed"`
	// RequestsRefused counts responses that say that the request was not run.
	RequestsRefused int `json:"requests_refused"`
	// WrongResponses counts responses whose content is not what was asked for.
	WrongResponses int `json:"wrong_answers"`
	// MismatchedResponses counts responses to another request, and responses of a
	// second endpoint on one flow.
	MismatchedResponses int `json:"crossed_answers"`

	ReportsOK      int `json:"reports_ok"`
	ReportsRefused int `json:"reports_refused"`
	ReportsUnknown int `json:"reports_unknown"`
	// ReportsDoubleRun counts responses that admit an earlier run.
	ReportsDoubleRun int `json:"reports_double_run"`

	// FlowsPerEndpoint counts flows by service and endpoint.
	FlowsPerEndpoint map[string]map[string]int `json:"flows_per_endpoint"`
	// Imbalance is the highest number of flows of an endpoint of the service
	// divided by the mean over the endpoints that answered.
	Imbalance map[string]float64 `json:"imbalance"`

	// Verified is set when the endpoints' lists of reports were read.
	Verified *Verification `json:"verified,omitempty"`
}

// maxBrokenFlows bounds the broken flows that a summary lists.
const maxBrokenFlows = 100

// BrokenFlow describes one broken flow, to find it in the logs and traces of
// the entry instances.
type BrokenFlow struct {
	OpenedAt time.Time `json:"opened_at"`
	BrokenAt time.Time `json:"broken_at"`
	Local    string    `json:"local"`
	Service  string    `json:"service"`
	Endpoint string    `json:"endpoint"`
	Reason   string    `json:"reason"`
}

// Verification compares the callers' outcomes with the endpoints' lists.
type Verification struct {
	EndpointsRead        int `json:"endpoints_read"`
	EndpointsUnread      int `json:"endpoints_unread"`
	ReportsRunTwice      int `json:"reports_run_twice"`
	RefusedButRun        int `json:"reports_refused_but_run"`
	AnsweredButNotRun    int `json:"reports_answered_but_not_run"`
	UnknownThatRan       int `json:"reports_unknown_that_ran"`
	UnknownThatDidNotRun int `json:"reports_unknown_that_did_not_run"`
	RunButNeverSent      int `json:"reports_run_but_never_sent"`
}

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

// reportStarted notes a report before it is sent, as unknown.
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

// snapshot returns a copy of the summary with the imbalance.
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
