package explain

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// Path is the path of explanations at an instance's metrics_listen.
	Path = "/explain"
	// DefaultLimit is the number of endpoints in each list if the request sets none.
	DefaultLimit = 32
	// MaxLimit is the largest number of endpoints in each list that a request may set.
	MaxLimit = 1000
)

// Decision explains the decisions of an instance.
type Decision interface {
	// Explain returns the explanation of a new flow and the state that it is based on.
	Explain(tuple common.FiveTuple) (steering.Explanation, *steering.View, steering.Freshness)
}

// Handler answers requests for explanations.
type Handler struct {
	Instance, DataCentre string
	Decision             Decision
	// Revision returns the revision of the store up to which the instance has all changes.
	Revision func() common.Revision
}

// Query is a request for an explanation. Both addresses are IPv4.
type Query struct {
	Caller, Destination netip.AddrPort
	// Limit is the number of endpoints in each list of the response.
	Limit int
}

// ParseQuery returns the query of a caller and a destination, "address:port" each.
func ParseQuery(caller, destination string, limit int) (Query, error) {
	q := Query{Limit: limit}
	var err error
	if q.Caller, err = parseAddress("caller", caller); err != nil {
		return q, err
	}
	if q.Destination, err = parseAddress("destination", destination); err != nil {
		return q, err
	}
	if limit < 1 || limit > MaxLimit {
		return q, badRequest("count %d: write 1 to %d", limit, MaxLimit)
	}
	return q, nil
}

func badRequest(format string, args ...any) error {
	return resultcode.Errorf(resultcode.AdminBadRequest, format, args...)
}

func parseAddress(what, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return address, badRequest("%s %q: write an IPv4 address and a port, for example 198.18.0.1:443", what, text)
	case !address.Addr().Is4():
		return address, badRequest("%s %q: flows are IPv4 only", what, text)
	case address.Port() == 0:
		return address, badRequest("%s %q: the port must not be 0", what, text)
	}
	return address, nil
}

// Values returns the query as the parameters of a URL.
func (q *Query) Values() url.Values {
	return url.Values{"caller": {q.Caller.String()}, "destination": {q.Destination.String()}, "n": {strconv.Itoa(q.Limit)}}
}

func (q *Query) tuple() common.FiveTuple {
	return common.FiveTuple{
		Source: q.Caller.Addr().As4(), SourcePort: q.Caller.Port(),
		Destination: q.Destination.Addr().As4(), DestinationPort: q.Destination.Port(), Protocol: common.ProtocolTCP,
	}
}

// ServeHTTP answers with a Response or a Failure.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		fail(w, http.StatusMethodNotAllowed, badRequest("method %s: use GET", request.Method))
		return
	}
	q, err := queryOf(request.URL.Query())
	if err != nil {
		fail(w, http.StatusBadRequest, err)
		return
	}
	e, view, fresh := h.Decision.Explain(q.tuple())
	response := Response{
		Instance: h.Instance, DataCentre: h.DataCentre, Caller: q.Caller, Destination: q.Destination,
		State: State{
			Configuration: view.Version(), Revision: h.Revision().String(),
			AgeMS: milliseconds(fresh.Age), SettledForMS: milliseconds(fresh.SettledFor),
		},
	}
	response.fill(&e, q.Limit)
	write(w, http.StatusOK, response)
}

func queryOf(values url.Values) (Query, error) {
	limit := DefaultLimit
	if text := values.Get("n"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil {
			return Query{}, badRequest("count %q: write 1 to %d", text, MaxLimit)
		}
	}
	return ParseQuery(values.Get("caller"), values.Get("destination"), limit)
}

func fail(w http.ResponseWriter, status int, err error) {
	var f Failure
	f.Error.ResultCode, _ = resultcode.Of(err)
	f.Error.Message = err.Error()
	write(w, status, f)
}

func write(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: only the write can fail, when the client has gone.
	_ = json.NewEncoder(w).Encode(value)
}
