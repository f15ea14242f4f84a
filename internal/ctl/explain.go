package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/internal/decision/selection"
	"burdockrelay.example/burdockrelay/internal/explain"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// explainTimeout is the default bound of the request for an explanation.
const explainTimeout = 5 * time.Second

type explainFlags struct {
	relayd string
	count  int
}

var explainExamples = []string{
	"burdockctl explain -relayd 10.1.0.10:9464 100.64.0.7:40001 198.18.0.1:443",
	"burdockctl explain -relayd 10.1.0.10:9464 -n 1000 -o json 100.64.0.7:40001 198.18.0.1:443",
}

func registerExplain(c *command) {
	c.flags.StringVar(&c.explain.relayd, "relayd", "", "metrics_listen of a burdock-relayd, an address and a port")
	c.flags.DurationVar(&c.timeout, "timeout", explainTimeout, "bound of the request")
	c.flags.IntVar(&c.explain.count, "n", explain.DefaultLimit, fmt.Sprintf("endpoints in each list, up to %d", explain.MaxLimit))
}

// runExplain prints where an instance would send a request. A destination without a rule is a
// failure, any other refusal is not.
func (c *command) runExplain(ctx context.Context) error {
	if len(c.arguments) != 2 {
		return newFailure(ExitUsage, resultcode.AdminBadRequest, "explain needs CALLER and DESTINATION; see explain -h")
	}
	if _, err := netip.ParseAddrPort(c.explain.relayd); err != nil {
		return newFailure(ExitUsage, resultcode.AdminBadRequest, "-relayd %q: write the address and port of metrics_listen", c.explain.relayd)
	}
	query, err := explain.ParseQuery(c.arguments[0], c.arguments[1], c.explain.count)
	if err != nil {
		return newFailure(ExitUsage, resultCodeOf(err), "%v", err)
	}
	content, response, err := c.fetchExplanation(ctx, &query)
	if err != nil {
		return err
	}
	if c.output == "json" {
		c.printJSON(json.RawMessage(content))
	} else {
		printExplanation(wrappedWriter{c.Stdout}, response)
	}
	switch {
	case response.Rule != nil:
		return nil
	case c.output == "json":
		return &failure{exit: ExitFailed}
	default:
		return newFailure(ExitFailed, response.Result.ResultCode, "code %d: no rule for %s", response.Result.ResultCode, query.Destination)
	}
}

// fetchExplanation returns the response of the instance and its JSON form.
func (c *command) fetchExplanation(ctx context.Context, query *explain.Query) ([]byte, *explain.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.explain.relayd, Path: explain.Path, RawQuery: query.Values().Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, nil, err
	}
	// The instance is asked directly, without a proxy.
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	received, err := client.Do(request)
	if err != nil {
		return nil, nil, noExplanation(c.explain.relayd, err)
	}
	defer received.Body.Close()
	content, err := io.ReadAll(io.LimitReader(received.Body, maxResponseBytes))
	if err != nil {
		return nil, nil, noExplanation(c.explain.relayd, err)
	}
	response, err := decodeExplanation(received.StatusCode, content)
	return content, response, err
}

func noExplanation(relayd string, err error) error {
	return newFailure(ExitUnreachable, resultcode.AdminUnavailable, "code %d: no response from %s: %v", resultcode.AdminUnavailable, relayd, err)
}

func decodeExplanation(status int, content []byte) (*explain.Response, error) {
	var failed explain.Failure
	if status != http.StatusOK && json.Unmarshal(content, &failed) == nil && failed.Error.Message != "" {
		return nil, newFailure(ExitFailed, failed.Error.ResultCode, "%s", failed.Error.Message)
	}
	var response explain.Response
	if err := json.Unmarshal(content, &response); status != http.StatusOK || err != nil || response.Result.Action == "" {
		return nil, newFailure(ExitFailed, resultcode.AdminUnavailable,
			"code %d: HTTP status %d without an explanation; -relayd must be the metrics_listen of a burdock-relayd that has %s",
			resultcode.AdminUnavailable, status, explain.Path)
	}
	return &response, nil
}

func printExplanation(w wrappedWriter, r *explain.Response) {
	w.printLine(0, "%s", resultText(&r.Result))
	w.printLine(0, "as %s (%s) sees it", r.Instance, r.DataCentre)
	w.printLine(0, "configuration %d, revision %s, confirmed %.0f ms ago, settled for %.0fs",
		r.State.Configuration, r.State.Revision, r.State.AgeMS, r.State.SettledForMS/1000)
	if r.OpenOn != "" {
		w.printLine(0, "! a flow of this caller is open on %s and stays there; below is a new one", r.OpenOn)
	}
	if r.Rule == nil {
		return
	}
	var targets []string
	for _, t := range r.Rule.Targets {
		targets = append(targets, fmt.Sprintf("%s %d", t.Service, t.Weight))
	}
	w.printLine(0, "rule %s: %s", r.Rule.Name, strings.Join(targets, ", "))
	w.printLine(2, "long flows %t, repeatable %t, priority level %d", r.Rule.Long, r.Rule.Repeatable, r.Rule.PriorityLevel)
	for i := range r.Services {
		role := "drawn"
		if i > 0 {
			role = "overflow"
		}
		printExplainedService(w, role, &r.Services[i])
	}
	if r.Result.Action != explain.Forward && len(r.Rule.Targets) > 1 && !r.MayOverflow {
		w.printLine(0, "no overflow: off, or its share of the flows is used up")
	}
}

func resultText(r *explain.Result) string {
	switch r.Action {
	case explain.Forward:
		text := fmt.Sprintf("FORWARD to %s in %s", r.Endpoint, r.DataCentre)
		if r.Overflowed {
			text += " by overflow to " + r.Service
		}
		return text
	case explain.Refuse:
		return fmt.Sprintf("REFUSE with code %d", r.ResultCode)
	default:
		return fmt.Sprintf("DROP with code %d", r.ResultCode)
	}
}

func printExplainedService(w wrappedWriter, role string, s *explain.Service) {
	w.printLine(0, "%s: %s", role, s.Service)
	w.printLine(2, "%s", admissionText(&s.Admission, role == "overflow"))
	for i, e := range s.Candidates {
		w.printLine(2, "%d. %s %s %.1f ms%s", i+1, e.Name, e.DataCentre, e.CostMS.Total, conditionText(e.Condition))
		w.printLine(5, "%s", costText(&e.CostMS))
	}
	if more := s.CandidateCount - len(s.Candidates); more > 0 {
		w.printLine(2, "and %d more; see -n", more)
	}
	if s.CandidateCount == 0 {
		w.printLine(2, "no endpoint takes new flows")
	}
	for _, e := range s.Others {
		w.printLine(2, "- %s %s: %s%s", e.Name, e.DataCentre, strings.ReplaceAll(e.Exclusion, "_", " "), conditionText(e.Condition))
	}
	excluded := 0
	for _, count := range s.Excluded {
		excluded += count
	}
	if more := excluded - len(s.Others); more > 0 {
		w.printLine(2, "and %d more excluded; see -n", more)
	}
}

func admissionText(a *explain.Admission, overflow bool) string {
	limit := "no limit"
	if a.Bound > 0 {
		limit = fmt.Sprintf("refused from %.1f on", a.Bound)
	}
	verdict := "admitted"
	switch {
	case !a.Admitted:
		verdict = fmt.Sprintf("refused with code %d", a.ResultCode)
	case overflow && a.NoOverflow:
		verdict = "takes no overflow while limited"
	}
	return fmt.Sprintf("%s: %d in flight, %s", verdict, a.InFlight, limit)
}

func conditionText(condition string) string {
	switch condition {
	case selection.Healthy.String():
		return ""
	case selection.Probation.String():
		return ", " + condition
	default:
		return ", " + condition + ": last choice"
	}
}

// costText returns the parts of a cost that are not 0.
func costText(c *explain.Cost) string {
	parts := []struct {
		name string
		ms   float64
	}{
		{"response", c.Response},
		{"in flight", c.InFlight},
		{"long flows", c.LongFlows},
		{"distance", c.Distance},
		{"other data centre", c.Remote},
		{"warm-up", c.WarmUp},
		{"failures", c.Failures},
		{"suspect", c.Suspect},
	}
	var texts []string
	for _, p := range parts {
		if p.ms != 0 {
			texts = append(texts, fmt.Sprintf("%s %.1f", p.name, p.ms))
		}
	}
	return strings.Join(texts, ", ")
}
