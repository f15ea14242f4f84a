package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) (*Client, *httptest.Server) {
	t.Helper()
	return newTestClientWithRegistry(t, handler, prometheus.NewRegistry())
}

func newTestClientWithRegistry(t *testing.T, handler http.HandlerFunc, registry *prometheus.Registry) (*Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(server.URL, registry), server
}

func wantCode(t *testing.T, err error, want resultcode.Code) {
	t.Helper()
	if code, ok := resultcode.Of(err); !ok || code != want {
		t.Errorf("error %v has code %d, want %d", err, code, want)
	}
}

// Guards against reads that fail on the first error of the platform, and against
// calls that are not counted.
func TestReadsAreRetriedAndCounted(t *testing.T) {
	var calls atomic.Int32
	registry := prometheus.NewRegistry()
	client, _ := newTestClientWithRegistry(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, `{"metadata":{"name":"current","resourceVersion":"7"},"spec":{}}`)
	}, registry)
	object, err := client.Get(context.Background(), Pointers, "current")
	if err != nil || object.Metadata.ResourceVersion != "7" {
		t.Fatalf("got %+v, %v", object, err)
	}
	const counted = `
# HELP burdock_platform_calls_total Calls of the object API by verb, collection and HTTP status (0: no answer).
# TYPE burdock_platform_calls_total counter
burdock_platform_calls_total{collection="pointers",status="200",verb="get"} 1
burdock_platform_calls_total{collection="pointers",status="503",verb="get"} 2
`
	if err := testutil.GatherAndCompare(registry, strings.NewReader(counted), "burdock_platform_calls_total"); err != nil {
		t.Error(err)
	}
}

// Guards against a write that is sent again after its response was lost: the first
// one may have taken effect.
func TestLostWriteIsUncertainAndNotRepeated(t *testing.T) {
	var calls atomic.Int32
	client, _ := newTestClient(t, func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		panic(http.ErrAbortHandler)
	})
	object, err := NewObject("Pointer", "current", "3", struct{}{})
	if err != nil {
		t.Fatal(err)
	}
	_, err = client.Update(context.Background(), Pointers, object)
	wantCode(t, err, resultcode.PlatformUncertain)
	_, err = client.Create(context.Background(), Releases, object)
	wantCode(t, err, resultcode.PlatformUncertain)
	if calls.Load() != 2 {
		t.Errorf("%d calls for two writes", calls.Load())
	}
}

// Guards against a write that is reported as uncertain although no connection was
// made, which would make the operator check the outcome needlessly.
func TestWriteWithoutConnectionHadNoEffect(t *testing.T) {
	client, server := newTestClient(t, func(http.ResponseWriter, *http.Request) {})
	server.Close()
	_, err := client.Create(context.Background(), Releases, &Object{})
	wantCode(t, err, resultcode.PlatformUnreachable)
}

// Guards against HTTP errors that are mapped to the wrong result code.
func TestFailuresHaveResultCodes(t *testing.T) {
	cases := []struct {
		status int
		reason string
		want   resultcode.Code
	}{
		{http.StatusNotFound, "NotFound", resultcode.PlatformNotFound},
		{http.StatusConflict, "AlreadyExists", resultcode.PlatformExists},
		{http.StatusConflict, "Conflict", resultcode.PlatformConflict},
		{http.StatusGone, "Expired", resultcode.PlatformExpired},
		{http.StatusBadRequest, "BadRequest", resultcode.PlatformBadAnswer},
		{http.StatusInternalServerError, "InternalError", resultcode.PlatformUncertain},
	}
	for _, c := range cases {
		client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_ = json.NewEncoder(w).Encode(Failure{Kind: "Status", Reason: c.reason, Code: c.status})
		})
		_, err := client.Update(context.Background(), Pointers, &Object{})
		wantCode(t, err, c.want)
	}
}

// Guards against a client that exceeds its share of the platform's call rate.
func TestCallsKeepTheBudget(t *testing.T) {
	var calls atomic.Int32
	client, _ := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{}`)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := client.List(ctx, Releases); err != nil {
			break
		}
	}
	if n := calls.Load(); n > callBurst+3*callsPerSecond {
		t.Errorf("%d calls in 2 s, the budget is a burst of %d and %d a second", n, callBurst, callsPerSecond)
	}
}

// recorder is a Handler that records the calls and closes done after the expected
// number of events.
type recorder struct {
	mu       sync.Mutex
	events   []string
	done     chan struct{}
	expected int
}

func (r *recorder) add(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, event)
	if len(r.events) == r.expected {
		close(r.done)
	}
}

func (r *recorder) Replace(list *List) { r.add("list " + list.Metadata.ResourceVersion) }

func (r *recorder) Change(eventType string, object *Object) {
	r.add(eventType + " " + object.Metadata.Name)
}

func (r *recorder) Failed(err error) {
	code, _ := resultcode.Of(err)
	r.add(fmt.Sprintf("failed %d", code))
}

// Guards against a watch that misses changes between two connections, and against
// one that resumes at a resource version that the platform no longer has.
func TestWatchResumesAndListsAgainWhenExpired(t *testing.T) {
	var lists, watches atomic.Int32
	var resumedAt []string
	var mu sync.Mutex
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") == "" {
			fmt.Fprintf(w, `{"metadata":{"resourceVersion":"%d0"},"items":[]}`, lists.Add(1))
			return
		}
		mu.Lock()
		resumedAt = append(resumedAt, r.URL.Query().Get("resourceVersion"))
		mu.Unlock()
		switch watches.Add(1) {
		case 1:
			fmt.Fprintln(w, `{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"11"}}}`)
		case 2:
			fmt.Fprintln(w, `{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"15"}}}`)
		case 3:
			w.WriteHeader(http.StatusGone)
		case 4:
			fmt.Fprintln(w, `{"type":"ERROR","object":{"kind":"Status","code":410,"reason":"Expired"}}`)
		case 5:
			fmt.Fprintln(w, `{"type":"DELETED","object":{"metadata":{"name":"a","resourceVersion":"31"}}}`)
		default:
			<-r.Context().Done()
		}
	})
	r := &recorder{done: make(chan struct{}), expected: 7}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Watch(ctx, Releases, r)
	select {
	case <-r.done:
	case <-time.After(10 * time.Second):
	}
	r.mu.Lock()
	got := fmt.Sprint(r.events)
	r.mu.Unlock()
	if want := "[list 10 ADDED a failed 4007 list 20 failed 4007 list 30 DELETED a]"; got != want {
		t.Errorf("events %s, want %s", got, want)
	}
	mu.Lock()
	defer mu.Unlock()
	if got, want := fmt.Sprint(resumedAt[:5]), "[10 11 15 20 30]"; got != want {
		t.Errorf("watches began at %s, want %s", got, want)
	}
}

// Guards against a watch that resumes at a version of an earlier era, and so misses the
// changes up to that version after a restore of the platform.
func TestWatchListsAgainAfterRestore(t *testing.T) {
	var era, watches atomic.Int32
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(eraHeader, fmt.Sprint(era.Load()))
		switch {
		case r.URL.Query().Get("watch") == "":
			fmt.Fprintf(w, `{"metadata":{"resourceVersion":"%d"},"items":[]}`, 10-era.Load())
		case watches.Add(1) == 1:
			era.Add(1)
			fmt.Fprintln(w, `{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"11"}}}`)
		case watches.Load() == 3:
			fmt.Fprintln(w, `{"type":"ADDED","object":{"metadata":{"name":"b","resourceVersion":"10"}}}`)
		case watches.Load() > 3:
			<-r.Context().Done()
		}
	})
	r := &recorder{done: make(chan struct{}), expected: 5}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go client.Watch(ctx, Releases, r)
	select {
	case <-r.done:
	case <-time.After(10 * time.Second):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if got, want := fmt.Sprint(r.events), "[list 10 ADDED a failed 4007 list 9 ADDED b]"; got != want {
		t.Errorf("events %s, want %s", got, want)
	}
}
