package objectstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

func passing() error   { return resultcode.Errorf(resultcode.PlatformUnreachable, "no answer") }
func permanent() error { return resultcode.Errorf(resultcode.PlatformBadAnswer, "status 400") }
func expired() error   { return resultcode.Errorf(resultcode.PlatformExpired, "the history is gone") }

func codeOf(err error) resultcode.Code {
	code, _ := resultcode.Of(err)
	return code
}

// hangUp closes a connection without an answer.
func hangUp(w http.ResponseWriter, _ *http.Request) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func get(target string) *Call {
	return &Call{Method: http.MethodGet, Verb: "get", Kind: "servers", URL: target}
}

func put(target string) *Call {
	return &Call{Method: http.MethodPut, Verb: "put", Kind: "servers", URL: target, Body: []byte("{}")}
}

// Guards against a write without an answer that is taken for one that was not done,
// and against a read or an unsent write that is taken for uncertain.
func TestLostAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(hangUp))
	defer server.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	caller := NewHTTPClient(1, Budget{PerSecond: 100, Burst: 10}, nil)
	for _, test := range []struct {
		name string
		call *Call
		want resultcode.Code
	}{
		{"read whose connection is closed", get(server.URL), resultcode.PlatformUnreachable},
		{"write whose connection is closed", put(server.URL), resultcode.PlatformUncertain},
		{"read without a connection", get(gone.URL), resultcode.PlatformUnreachable},
		{"write without a connection", put(gone.URL), resultcode.PlatformUnreachable},
	} {
		if _, _, err := caller.Do(t.Context(), test.call); codeOf(err) != test.want {
			t.Errorf("%s: code %d (%v), want %d", test.name, codeOf(err), err, test.want)
		}
	}
}

// Guards against an answer that ends early and is taken for a whole one.
func TestAnswerThatEndsEarly(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"items":`))
	}))
	defer server.Close()
	caller := NewHTTPClient(1, Budget{PerSecond: 100, Burst: 10}, nil)
	if _, _, err := caller.Do(t.Context(), get(server.URL)); codeOf(err) != resultcode.PlatformUnreachable {
		t.Errorf("read: %v", err)
	}
	if _, _, err := caller.Do(t.Context(), put(server.URL)); codeOf(err) != resultcode.PlatformUncertain {
		t.Errorf("write: %v", err)
	}
}

// Guards against an instance that calls more often than its budget allows.
func TestBudgetBoundsCalls(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer server.Close()
	registry := prometheus.NewRegistry()
	caller := NewHTTPClient(1, Budget{PerSecond: 0.1, Burst: 3}, registry)
	for range 3 {
		if _, _, err := caller.Do(t.Context(), get(server.URL)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, err := caller.Do(ctx, get(server.URL)); codeOf(err) != resultcode.PlatformBudget {
		t.Errorf("call beyond the budget: %v", err)
	}
	if counted := testutil.ToFloat64(caller.calls.WithLabelValues("get", "servers", "200")); calls != 3 || counted != 3 {
		t.Errorf("%d calls arrived, %v counted, want 3", calls, counted)
	}
}

// Guards against reads that are not repeated after a passing failure, or repeated
// without need or without end.
func TestRetry(t *testing.T) {
	for _, test := range []struct {
		name  string
		fails []error
		calls int
		want  resultcode.Code
	}{
		{"success", nil, 1, 0},
		{"passing failure", []error{passing()}, 2, 0},
		{"permanent failure", []error{permanent(), passing()}, 1, resultcode.PlatformBadAnswer},
		{"passing, then permanent failure", []error{passing(), permanent()}, 2, resultcode.PlatformBadAnswer},
		{"passing failures only", []error{passing(), passing(), passing(), passing(), passing()}, readTries, resultcode.PlatformUnreachable},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			calls := 0
			value, err := Retry(t.Context(), func() (int, error) {
				calls++
				if calls <= len(test.fails) {
					return 0, test.fails[calls-1]
				}
				return 7, nil
			})
			if calls != test.calls || codeOf(err) != test.want || (err == nil) != (value == 7) {
				t.Errorf("%d calls, value %d, error %v", calls, value, err)
			}
		})
	}
}

// Guards against an operation that is given up, or a failure that nobody is told of.
func TestPersist(t *testing.T) {
	calls, told := 0, 0
	RetryUntilSuccess(t.Context(), func() error {
		if calls++; calls <= 2 {
			return permanent()
		}
		return nil
	}, func(error) { told++ })
	if calls != 3 || told != 2 {
		t.Errorf("%d calls, %d failures told", calls, told)
	}
	ctx, cancel := context.WithCancel(t.Context())
	RetryUntilSuccess(ctx, func() error {
		cancel()
		return passing()
	}, func(error) { t.Error("told of a failure after the end") })
}

// Guards against changes that are followed from the start after each failure, or from
// a version that the store no longer has.
func TestFollowResumes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	steps := []struct {
		next string
		err  error
	}{{"5", nil}, {"6", passing()}, {"8", nil}, {"8", expired()}, {"20", nil}}
	var from []string
	var told []error
	Follow(ctx, func(version string) (string, error) {
		from = append(from, version)
		step := steps[len(from)-1]
		if len(from) == len(steps) {
			cancel()
		}
		return step.next, step.err
	}, func(err error) { told = append(told, err) })
	want := []string{"", "5", "6", "8", ""}
	for i := range want {
		if i >= len(from) || from[i] != want[i] {
			t.Fatalf("followed from %q, want %q", from, want)
		}
	}
	if len(told) != 2 || !errors.Is(told[0], steps[1].err) {
		t.Errorf("told of %v", told)
	}
}

// Guards against bytes that cannot be decoded and are taken for a sign that a write
// was not done.
func TestUndecodable(t *testing.T) {
	cause := errors.New("unexpected end")
	if err := DecodeError(http.MethodGet, cause); codeOf(err) != resultcode.PlatformBadAnswer || IsTransient(err) {
		t.Errorf("read: %v", err)
	}
	if err := DecodeError(http.MethodPost, cause); codeOf(err) != resultcode.PlatformUncertain || !IsTransient(err) {
		t.Errorf("write: %v", err)
	}
}
