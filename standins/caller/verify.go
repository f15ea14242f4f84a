package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"
)

const (
	verifyTimeout      = 5 * time.Second
	maxReportListBytes = 64 << 20
)

// verify reads the endpoints' lists of reports and compares them with the
// outcomes at the callers. Reports of runs with another seed are ignored.
func (r *Runner) verify(ctx context.Context) *Verification {
	result := new(Verification)
	runs := make(map[string]int)
	for _, address := range r.settings.Endpoints {
		reports, err := readReports(ctx, address)
		if err != nil {
			result.EndpointsUnread++
			continue
		}
		result.EndpointsRead++
		for id, count := range reports {
			runs[id] += count
		}
	}
	r.recorder.mutex.Lock()
	defer r.recorder.mutex.Unlock()
	r.compareOutcomes(result, runs)
	return result
}

// compareOutcomes sets the counts of result; runs is the number of runs by report
// identifier. The recorder's mutex must be held.
func (r *Runner) compareOutcomes(result *Verification, runs map[string]int) {
	for id, count := range runs {
		if !strings.HasPrefix(id, fmt.Sprintf("report-s%d-", r.settings.Seed)) {
			continue
		}
		if count > 1 {
			result.ReportsRunTwice++
		}
		if _, started := r.recorder.outcomes[id]; !started {
			result.RunButNeverSent++
		}
	}
	for id, reported := range r.recorder.outcomes {
		ran := runs[id] > 0
		switch {
		case reported == outcomeOK && !ran:
			result.AnsweredButNotRun++
		case reported == outcomeRefused && ran:
			result.RefusedButRun++
		case reported == outcomeUnknown && ran:
			result.UnknownThatRan++
		case reported == outcomeUnknown:
			result.UnknownThatDidNotRun++
		}
	}
}

// readReports returns the number of runs by report identifier at an endpoint.
func readReports(ctx context.Context, address netip.AddrPort) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/control/reports", address), nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read list of reports: status %d", response.StatusCode)
	}
	var reports map[string]int
	err = json.NewDecoder(io.LimitReader(response.Body, maxReportListBytes)).Decode(&reports)
	return reports, err
}
