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

func transientError() error { return resultcode.Errorf(resultcode.PlatformUnreachable, "no response") }
func permanentError() error { return resultcode.Errorf(resultcode.PlatformBadAnswer, "status 400") }
func expiredError() error {
	return resultcode.Errorf(resultcode.PlatformExpired, "the store no longer has the history of changes")
}

func codeOf(err error) resultcode.Code {
	code, _ := resultcode.Of(err)
	return code
}

// closeConnection closes a connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
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

// Guards against a write without a response that is reported as not done, and against a
// read or an unsent write that is reported as uncertain.
func TestErrorCodesWithoutResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(closeConnection))
	defer server.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	client := NewHTTPClient(1, Budget{PerSecond: 100, Burst: 10}, nil)
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
		if _, err := client.Do(t.Context(), test.call); codeOf(err) != test.want {
			t.Errorf("%s: code %d (%v), want %d", test.name, codeOf(err), err, test.want)
		}
	}
}

// Guards against a truncated response that is accepted as complete.
func TestTruncatedResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"items":`))
	}))
	defer server.Close()
	client := NewHTTPClient(1, Budget{PerSecond: 100, Burst: 10}, nil)
	if _, err := client.Do(t.Context(), get(server.URL)); codeOf(err) != resultcode.PlatformUnreachable {
		t.Errorf("read with a truncated response: %v", err)
	}
	if _, err := client.Do(t.Context(), put(server.URL)); codeOf(err) != resultcode.PlatformUncertain {
		t.Errorf("write with a truncated response: %v", err)
	}
}

// Guards against a client that makes more calls than its budget allows.
func TestBudgetLimitsCalls(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
	defer server.Close()
	registry := prometheus.NewRegistry()
	client := NewHTTPClient(1, Budget{PerSecond: 0.1, Burst: 3}, registry)
	for range 3 {
		if _, err := client.Do(t.Context(), get(server.URL)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := client.Do(ctx, get(server.URL)); codeOf(err) != resultcode.PlatformBudget {
		t.Errorf("call beyond the budget: %v", err)
	}
	if counted := testutil.ToFloat64(client.calls.WithLabelValues("get", "servers", "200")); calls != 3 || counted != 3 {
		t.Errorf("%d calls arrived, %v counted, want 3", calls, counted)
	}
}

// Guards against reads that are not retried after a transient error, that are retried
// after a permanent one, and against retries without limit.
func TestRetry(t *testing.T) {
	for _, test := range []struct {
		name  string
		fails []error
		calls int
		want  resultcode.Code
	}{
		{"success", nil, 1, 0},
		{"transient error", []error{transientError()}, 2, 0},
		{"permanent error", []error{permanentError(), transientError()}, 1, resultcode.PlatformBadAnswer},
		{"transient, then permanent error", []error{transientError(), permanentError()}, 2, resultcode.PlatformBadAnswer},
		{"transient errors only", []error{transientError(), transientError(), transientError(), transientError(), transientError()}, maxReadAttempts, resultcode.PlatformUnreachable},
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

// Guards against an operation that is not retried after an error, and against an error
// that is not reported.
func TestRetryUntilSuccess(t *testing.T) {
	calls, reported := 0, 0
	RetryUntilSuccess(t.Context(), func() error {
		if calls++; calls <= 2 {
			return permanentError()
		}
		return nil
	}, func(error) { reported++ })
	if calls != 3 || reported != 2 {
		t.Errorf("%d calls, %d errors reported, want 3 and 2", calls, reported)
	}
	ctx, cancel := context.WithCancel(t.Context())
	RetryUntilSuccess(ctx, func() error {
		cancel()
		return transientError()
	}, func(error) { t.Error("error reported after the context ended") })
}

// Guards against a watch that restarts from the beginning after each error, or that
// resumes from a version that the store no longer has.
func TestFollowResumes(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	steps := []struct {
		next string
		err  error
	}{{"5", nil}, {"6", transientError()}, {"8", nil}, {"8", expiredError()}, {"20", nil}}
	var from []string
	var reported []error
	Follow(ctx, func(version string) (string, error) {
		from = append(from, version)
		step := steps[len(from)-1]
		if len(from) == len(steps) {
			cancel()
		}
		return step.next, step.err
	}, func(err error) { reported = append(reported, err) })
	want := []string{"", "5", "6", "8", ""}
	for i := range want {
		if i >= len(from) || from[i] != want[i] {
			t.Fatalf("followed from %q, want %q", from, want)
		}
	}
	if len(reported) != 2 || !errors.Is(reported[0], steps[1].err) {
		t.Errorf("reported errors: %v", reported)
	}
}

// Guards against a write that is reported as not done because its response cannot be
// decoded.
func TestDecodeError(t *testing.T) {
	cause := errors.New("unexpected end")
	if err := DecodeError(http.MethodGet, cause); codeOf(err) != resultcode.PlatformBadAnswer || IsTransient(err) {
		t.Errorf("error of a read: %v", err)
	}
	if err := DecodeError(http.MethodPost, cause); codeOf(err) != resultcode.PlatformUncertain || !IsTransient(err) {
		t.Errorf("error of a write: %v", err)
	}
}
