package ctl

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/config"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/adminpb"
)

// fakeControl accepts releases in memory.
type fakeControl struct {
	mu       sync.Mutex
	accepted []*config.Release
	hashes   []string
	// calls counts the calls of Publish since the last publishAs.
	calls atomic.Int32
	// result and failure, if set, replace the outcome of publications.
	result  *admin.PublishResult
	failure error
	// unconfirmed makes the next publication report PublishUnconfirmed.
	unconfirmed bool
	status      *adminpb.StatusResponse
	drains      map[string]bool
}

func (f *fakeControl) Accepted() *config.Release {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.accepted) == 0 {
		return nil
	}
	return f.accepted[len(f.accepted)-1]
}

func (f *fakeControl) Publish(_ context.Context, c *config.Configuration, base uint64, info config.ReleaseInfo) (admin.PublishResult, error) {
	f.calls.Add(1)
	if f.result != nil || f.failure != nil {
		return *cmp.Or(f.result, &admin.PublishResult{}), f.failure
	}
	newest := f.Accepted()
	if base != 0 && newest.Number != base {
		return admin.PublishResult{
			Code:     resultcode.PublishConflict,
			Conflict: &admin.Conflict{Release: newest.Number, Author: newest.Author, Changes: config.Diff(f.accepted[base-1], newest)},
		}, nil
	}
	release, faults := config.BuildRelease(c, newest, info)
	if len(faults) > 0 {
		return admin.PublishResult{Code: faults[0].Code, Faults: faults}, nil
	}
	_, hash, err := release.Encode()
	if err != nil {
		return admin.PublishResult{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.accepted = append(f.accepted, release)
	f.hashes = append(f.hashes, hash)
	if f.unconfirmed {
		return admin.PublishResult{Code: resultcode.PublishUnconfirmed, Release: release.Number, Hash: hash, Message: "no response"}, nil
	}
	return admin.PublishResult{Release: release.Number, Hash: hash, Acknowledged: 4}, nil
}

// publishAs publishes a configuration as another operator and resets the count of
// publications.
func (f *fakeControl) publishAs(t *testing.T, author string, endpoints int) {
	t.Helper()
	configuration, faults := config.Parse([]config.File{{Name: "other.yaml", Content: []byte(sampleConfiguration(endpoints))}})
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	if _, err := f.Publish(t.Context(), configuration, 0, config.ReleaseInfo{Author: author, CreatedAt: time.Now()}); err != nil {
		t.Fatal(err)
	}
	f.calls.Store(0)
}

func (f *fakeControl) Status(context.Context) (*adminpb.StatusResponse, error) { return f.status, nil }

func (f *fakeControl) History(_ context.Context, limit int) ([]*adminpb.ReleaseSummary, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var summaries []*adminpb.ReleaseSummary
	for i := len(f.accepted) - 1; i >= 0 && len(summaries) < limit; i-- {
		summaries = append(summaries, &adminpb.ReleaseSummary{
			Number: f.accepted[i].Number, Author: f.accepted[i].Author, Note: f.accepted[i].Note, Hash: f.hashes[i],
			AcceptedAt: "2026-04-01T06:00:00Z", InForce: i == len(f.accepted)-1,
		})
	}
	return summaries, nil
}

func (f *fakeControl) Drain(_ context.Context, endpoint string, draining bool) (bool, error) {
	f.drains[endpoint] = draining
	return false, nil
}

func sampleConfiguration(endpoints int) string {
	var b strings.Builder
	b.WriteString("kind: Place\nname: fukuoka\n---\nkind: Service\nname: desk\naddress: 198.51.100.10\nport: 443\nprotocol: tcp\n---\n")
	b.WriteString("kind: Rule\nname: desk\nservice: desk\nbackend_set: desk\n---\nkind: BackendSet\nname: desk\nendpoints:\n")
	for i := 1; i <= endpoints; i++ {
		fmt.Fprintf(&b, "  - {name: desk-%d, place: fukuoka, address: \"10.0.0.%d:6081\", health: \"10.0.0.%d:8080\"}\n", i, i, i)
	}
	return b.String()
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "desk.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// testServer serves the administration API for control and can lose requests and
// responses of Publish.
type testServer struct {
	control *fakeControl
	url     string
	// beforePublish runs before a publication reaches the server. If it returns
	// false, the request is lost.
	beforePublish func() bool
	// loseResponse closes the connection after the publication.
	loseResponse bool
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{control: &fakeControl{drains: map[string]bool{}, status: &adminpb.StatusResponse{}}}
	handler := admin.NewHandler(admin.NewServer(s.control, zap.NewNop()), "")
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		if !strings.HasSuffix(request.URL.Path, "/Publish") {
			handler.ServeHTTP(response, request)
			return
		}
		if s.beforePublish != nil && !s.beforePublish() {
			panic(http.ErrAbortHandler)
		}
		if !s.loseResponse {
			handler.ServeHTTP(response, request)
			return
		}
		handler.ServeHTTP(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func run(t *testing.T, args ...string) (exit ExitCode, stdout, stderr string) {
	t.Helper()
	var output, errors bytes.Buffer
	exit = Run(t.Context(), args, Environment{
		Stdout: &output, Stderr: &errors, Version: "1.2.3", RetryInterval: 10 * time.Millisecond,
		Getenv: func(name string) string { return map[string]string{"USER": "aiko"}[name] },
	})
	return exit, output.String(), errors.String()
}

func (s *testServer) run(t *testing.T, args ...string) (exit ExitCode, stdout, stderr string) {
	t.Helper()
	return run(t, append(args, "-server", s.url)...)
}

func wantExit(t *testing.T, want, got ExitCode, outputs ...string) {
	t.Helper()
	if got != want {
		t.Fatalf("exit code %d, want %d: %s", got, want, strings.Join(outputs, "\n"))
	}
}

func wantText(t *testing.T, output string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(output, part) {
			t.Errorf("%q is missing in:\n%s", part, output)
		}
	}
}

// Guards against a check that needs a daemon, and against wrong exit codes.
func TestCheckWorksWithoutDaemon(t *testing.T) {
	exit, stdout, stderr := run(t, "check", "../../examples/office")
	wantExit(t, ExitDone, exit, stdout, stderr)
	wantText(t, stdout, "2 services, 19 endpoints")
	faulty := writeFile(t, strings.Replace(sampleConfiguration(1), "port: 443", "port: 443s", 1))
	exit, stdout, stderr = run(t, "check", faulty)
	wantExit(t, ExitFaults, exit, stdout, stderr)
	wantText(t, stdout, faulty+":7: code 2003", "write a whole number")
	exit, stdout, _ = run(t, "check", faulty, "-o", "json")
	wantExit(t, ExitFaults, exit, stdout)
	var decoded struct{ Faults []config.Fault }
	if err := json.Unmarshal([]byte(stdout), &decoded); err != nil || len(decoded.Faults) != 1 || decoded.Faults[0].Line != 7 {
		t.Fatal(stdout, err)
	}
}

// Guards against invalid command lines that are accepted, and against commands
// whose help has no example.
func TestInvalidUsageAndHelp(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"frobnicate"},
		{"check"},
		{"status", "x"},
		{"check", "-x", "f"},
		{"status", "-o", "xml"},
		{"check", "no-such-file"},
		{"check", t.TempDir()},
		{"drain"},
		{"status", "-settings", "no-such-file"},
		{"status", "-server", "http://192.0.2.1:1", "-token-file", "../../go.mod"},
	} {
		exit, stdout, stderr := run(t, args...)
		if exit != ExitUsage || stderr == "" {
			t.Errorf("%q: exit code %d: %s%s", args, exit, stdout, stderr)
		}
	}
	for _, args := range [][]string{{"help"}, {"-h"}, {"publish", "-h"}, {"version"}} {
		exit, stdout, stderr := run(t, args...)
		if exit != ExitDone || stdout+stderr == "" {
			t.Errorf("%q: exit code %d", args, exit)
		}
	}
	for name, sub := range subcommands {
		_, _, stderr := run(t, name, "-h")
		if len(sub.examples) == 0 || !strings.Contains(stderr, sub.examples[0]) {
			t.Errorf("%s: the help has no example: %s", name, stderr)
		}
	}
}

// Guards against an unreachable server that is reported with the exit code of
// another failure.
func TestUnreachableServerHasOwnExitCode(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	file := writeFile(t, sampleConfiguration(1))
	for _, args := range [][]string{{"status"}, {"history"}, {"diff", file}, {"publish", file}, {"drain", "desk-1"}} {
		exit, stdout, stderr := run(t, append(args, "-server", server.URL)...)
		if exit != ExitUnreachable {
			t.Errorf("%q: exit code %d: %s%s", args, exit, stdout, stderr)
		}
	}
	exit, stdout, _ := run(t, "status", "-server", server.URL, "-o", "json")
	wantExit(t, ExitUnreachable, exit, stdout)
	wantText(t, stdout, `"result_code": 6002`, `"exit_code": 5`)
}

// Guards against a publication that does not print its release, and against a
// second release of an unchanged configuration.
func TestPublishAndDiff(t *testing.T) {
	s := newTestServer(t)
	file := writeFile(t, sampleConfiguration(2))
	exit, stdout, stderr := s.run(t, "diff", file)
	wantExit(t, ExitDone, exit, stderr)
	wantText(t, stdout, "6 changes from release 0", "+ Endpoint desk-2")
	exit, stdout, stderr = s.run(t, "publish", "-note", "start", file)
	wantExit(t, ExitDone, exit, stderr)
	wantText(t, stdout, "release 1 is accepted", "loaded by 4 instances")
	exit, stdout, stderr = s.run(t, "publish", file)
	wantExit(t, ExitDone, exit, stderr)
	wantText(t, stdout, "nothing to publish: release 1")
	if calls := s.control.calls.Load(); calls != 1 {
		t.Fatalf("%d publications", calls)
	}
	exit, stdout, stderr = s.run(t, "history")
	wantExit(t, ExitDone, exit, stderr)
	wantText(t, stdout, "1 aiko IN FORCE", "2026-04-01T06:00:00Z", "start")
}

// Guards against a conflict that is reported without the author and the changes of
// the other release.
func TestPublishReportsConflict(t *testing.T) {
	s := newTestServer(t)
	s.control.publishAs(t, "aiko", 1)
	s.beforePublish = func() bool {
		s.control.publishAs(t, "baraka", 3)
		return true
	}
	exit, stdout, stderr := s.run(t, "publish", writeFile(t, sampleConfiguration(2)))
	wantExit(t, ExitConflict, exit, stdout, stderr)
	wantText(t, stdout, "release 2 by baraka came between", "+ Endpoint desk-2", "+ Endpoint desk-3")
	wantText(t, stderr, "code 2200", "nothing was published")
}

// Guards against a publication that is reported as failed or sent again because its
// response was lost.
func TestPublishWithLostResponseIsConfirmedByHistory(t *testing.T) {
	s := newTestServer(t)
	s.control.publishAs(t, "aiko", 1)
	s.loseResponse = true
	exit, stdout, stderr := s.run(t, "publish", writeFile(t, sampleConfiguration(2)))
	wantExit(t, ExitDone, exit, stdout, stderr)
	wantText(t, stdout, "release 2 is accepted", "confirmed by the history")
	if calls := s.control.calls.Load(); calls != 1 {
		t.Fatalf("%d publications", calls)
	}
}

// Guards against a successful publication that is reported as a conflict because a
// later release followed it.
func TestPublishConfirmedThoughLaterReleaseExists(t *testing.T) {
	for name, unconfirmed := range map[string]bool{"response lost": false, "hash known": true} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.control.publishAs(t, "aiko", 1)
			s.control.unconfirmed = unconfirmed
			file := writeFile(t, sampleConfiguration(2))
			s.beforePublish = func() bool {
				configuration, _ := config.Parse([]config.File{{Name: file, Content: []byte(sampleConfiguration(2))}})
				if _, err := s.control.Publish(t.Context(), configuration, 1, config.ReleaseInfo{Author: "aiko", CreatedAt: time.Now()}); err != nil {
					t.Error(err)
				}
				s.control.publishAs(t, "baraka", 3)
				return false
			}
			if unconfirmed {
				// The server responds with PublishUnconfirmed, so that only the history
				// shows the outcome.
				s.beforePublish = nil
			}
			exit, stdout, stderr := s.run(t, "publish", file)
			wantExit(t, ExitDone, exit, stdout, stderr)
			wantText(t, stdout, "release 2 is accepted")
			if !unconfirmed {
				wantText(t, stdout, "release 3 by baraka has followed")
			}
		})
	}
}

// Guards against a definite outcome that is reported although it is unknown: the
// request was lost and no release was accepted.
func TestLostPublishRequestIsUnconfirmed(t *testing.T) {
	s := newTestServer(t)
	s.control.publishAs(t, "aiko", 1)
	s.beforePublish = func() bool { return false }
	exit, stdout, stderr := s.run(t, "publish", "-timeout", "500ms", writeFile(t, sampleConfiguration(2)))
	wantExit(t, ExitUnconfirmed, exit, stdout, stderr)
	wantText(t, stderr, "code 2203", "history")
	if calls := s.control.calls.Load(); calls != 0 {
		t.Fatalf("%d publications", calls)
	}
}

// Guards against a lost request that is reported as unconfirmed although another
// release was accepted on its base.
func TestLostPublishRequestConflictsWithLaterRelease(t *testing.T) {
	s := newTestServer(t)
	s.control.publishAs(t, "aiko", 1)
	s.beforePublish = func() bool {
		s.control.publishAs(t, "baraka", 3)
		return false
	}
	exit, stdout, stderr := s.run(t, "publish", writeFile(t, sampleConfiguration(2)))
	wantExit(t, ExitConflict, exit, stdout, stderr)
	wantText(t, stdout, "release 2 by baraka came between", "- Endpoint desk-3")
}

// Guards against a conflict that is reported for a lost first publication: without
// a base, the server may still publish it.
func TestLostFirstPublishRequestStaysUnconfirmed(t *testing.T) {
	s := newTestServer(t)
	s.beforePublish = func() bool {
		s.control.publishAs(t, "baraka", 3)
		return false
	}
	exit, stdout, stderr := s.run(t, "publish", "-timeout", "500ms", writeFile(t, sampleConfiguration(2)))
	wantExit(t, ExitUnconfirmed, exit, stdout, stderr)
}

// Guards against publications that certainly failed but exit with 0, hide the
// reason or are reported as not confirmed.
func TestPublishNotAccepted(t *testing.T) {
	cases := map[string]struct {
		result  *admin.PublishResult
		failure error
		exit    ExitCode
		parts   []string
	}{
		"refused": {
			&admin.PublishResult{Code: resultcode.PublishRefused, Message: "refused by oita-2", RefusedBy: []string{"oita-2"}},
			nil, ExitFailed,
			[]string{"code 2201", "refused by oita-2", "nothing was published"},
		},
		"timeout": {
			&admin.PublishResult{Code: resultcode.PublishTimeout, Message: "no acknowledgement in time from oita-3"},
			nil, ExitFailed,
			[]string{"code 2202", "oita-3", "nothing was published"},
		},
		"faults": {
			&admin.PublishResult{Code: resultcode.CheckLimit, Faults: []config.Fault{{Code: resultcode.CheckLimit, Message: "too many", Advice: "remove some"}}},
			nil, ExitFaults,
			[]string{"code 2104: too many; remove some", "nothing was published"},
		},
		"platform": {
			nil, resultcode.Errorf(resultcode.PlatformUnreachable, "no response"),
			ExitFailed,
			[]string{"code 4000", "nothing was published"},
		},
		"deadline before the first write": {
			nil, fmt.Errorf("read the pointer: %w", context.DeadlineExceeded),
			ExitUnreachable,
			[]string{"code 6002", "nothing was published"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t)
			s.control.publishAs(t, "aiko", 1)
			s.control.result, s.control.failure = c.result, c.failure
			file := writeFile(t, sampleConfiguration(2))
			exit, stdout, stderr := s.run(t, "publish", file)
			wantExit(t, c.exit, exit, stdout, stderr)
			wantText(t, stdout+stderr, c.parts...)
			if strings.Contains(stderr, "not confirmed") {
				t.Error(stderr)
			}
			exit, stdout, _ = s.run(t, "publish", file, "-o", "json")
			wantExit(t, c.exit, exit, stdout)
			if !json.Valid([]byte(stdout)) {
				t.Errorf("not one JSON value: %s", stdout)
			}
		})
	}
}

// Guards against a drain or undrain that is not passed on for each endpoint, and
// against a drain of an unknown endpoint that exits with 0.
func TestDrainAndUndrain(t *testing.T) {
	s := newTestServer(t)
	s.control.publishAs(t, "aiko", 2)
	exit, stdout, stderr := s.run(t, "drain", "desk-1", "desk-2")
	wantExit(t, ExitDone, exit, stderr)
	wantText(t, stdout, "desk-1: draining true, in force; the platform has not stored it yet", "desk-2")
	if !s.control.drains["desk-1"] || !s.control.drains["desk-2"] {
		t.Fatal(s.control.drains)
	}
	exit, _, stderr = s.run(t, "undrain", "desk-1")
	wantExit(t, ExitDone, exit, stderr)
	if s.control.drains["desk-1"] {
		t.Fatal("still draining")
	}
	exit, stdout, stderr = s.run(t, "drain", "desk-9")
	wantExit(t, ExitFailed, exit, stdout, stderr)
	wantText(t, stderr, "code 6003", "desk-9")
	exit, stdout, _ = s.run(t, "drain", "desk-9", "-o", "json")
	wantExit(t, ExitFailed, exit, stdout)
	wantText(t, stdout, `"result_code": 6003`)
}

func wantLineWidth(t *testing.T, output string) {
	t.Helper()
	for line := range strings.SplitSeq(output, "\n") {
		if utf8.RuneCountInString(line) > lineWidth {
			t.Errorf("%d columns: %q", utf8.RuneCountInString(line), line)
		}
	}
}

// Guards against a status with lines longer than 40 columns, with missing findings
// or with texts that differ from docs/OPERATIONS.md.
func TestStatusFitsFortyColumns(t *testing.T) {
	s := newTestServer(t)
	s.control.status = sampleStatus()
	exit, stdout, stderr := s.run(t, "status")
	wantExit(t, ExitDone, exit, stderr)
	wantLineWidth(t, stdout)
	want := `ATTENTION: 6 findings
! oita-2 is suspect
! oita-3 is fenced
! oita-4 has release 11
! crew-desk: 1 of 3 endpoints are down
! input platform is 95s old: stale
! view not settled: new flows follow the
  hash only
release 12 0123456789ab
seen from oita, view not settled
INSTANCES 3 of 4 serving
oita-1* serving r12
  9600 flows, exceptions 12 own 8 held,
    3100B/s
oita-2 suspect r12
oita-3 serving r12
oita-4 serving r11
SERVICES 2
crew-desk 1 up, 1 draining, 1 down
  crew-2 draining
    load 4 (0.5s old), 120 flows
  crew-3 down
    load 0 (0.0s old), 0 flows
drawing-store 1 up
INPUTS
endpoints ok 0.4s
platform stale 95s
`
	if stdout != want {
		t.Errorf("got:\n%s\nwant:\n%s", stdout, want)
	}
	_, stdout, _ = s.run(t, "status", "-all")
	wantText(t, stdout, "crew-1 up")
	exit, stdout, _ = s.run(t, "status", "-o", "json")
	wantExit(t, ExitDone, exit)
	var decoded map[string]any
	if err := json.Unmarshal([]byte(stdout), &decoded); err != nil || decoded["release_hash"] != "0123456789abcdef" {
		t.Fatal(decoded, err)
	}
}

func sampleStatus() *adminpb.StatusResponse {
	return &adminpb.StatusResponse{
		Release: 12, ReleaseHash: "0123456789abcdef", DataCentre: "oita",
		Instances: []*adminpb.InstanceStatus{
			{Name: "oita-1", State: "serving", Release: 12, Self: true, OpenFlows: 9600, ExceptionsOwned: 12, ExceptionsHeld: 8, ControlBytesPerSecond: 3100},
			{Name: "oita-2", State: "suspect", Release: 12},
			{Name: "oita-3", State: "serving", Release: 12, Fenced: true},
			{Name: "oita-4", State: "serving", Release: 11},
		},
		Endpoints: []*adminpb.EndpointStatus{
			{Name: "crew-1", Service: "crew-desk", State: "up"},
			{Name: "crew-2", Service: "crew-desk", State: "draining", Load: 4, LoadAgeMs: 500, OpenFlows: 120},
			{Name: "crew-3", Service: "crew-desk", State: "down"},
			{Name: "store-1", Service: "drawing-store", State: "up"},
		},
		Inputs: []*adminpb.InputStatus{{Name: "endpoints", AgeMs: 400, State: "ok"}, {Name: "platform", AgeMs: 95_000, State: "stale"}},
	}
}

// Guards against a status at target scale that hides problems among hundreds of
// normal entries, and against an endpoint that is not counted as down because a
// remark follows its state.
func TestLongStatusShowsOnlyProblems(t *testing.T) {
	status := &adminpb.StatusResponse{Release: 12, Settled: true, DataCentre: "oita"}
	for i := range 192 {
		status.Instances = append(status.Instances, &adminpb.InstanceStatus{Name: fmt.Sprintf("oita-%d", i), State: "serving", Release: 12})
	}
	status.Instances[7].State = "unanswered"
	status.Instances[8].Release = 0
	for i := range 160 {
		status.Endpoints = append(status.Endpoints, &adminpb.EndpointStatus{Name: fmt.Sprintf("e-%d", i), Service: fmt.Sprintf("s-%d", i), State: "up"})
	}
	status.Endpoints[5].State = "down (no recent report)"
	var output bytes.Buffer
	printStatus(&output, status, false)
	want := `ATTENTION: 2 findings
! oita-7 is unanswered
! s-5: all 1 endpoints are down
release 12
seen from oita, view settled
INSTANCES 191 of 192 serving
oita-7 unanswered r12
191 more serving, see -all
SERVICES 160
s-5 1 down
  e-5 down (no recent report)
    load 0 (0.0s old), 0 flows
159 more with all endpoints up, see -all
`
	if output.String() != want {
		t.Errorf("got:\n%s", output.String())
	}
	output.Reset()
	printStatus(&output, status, true)
	wantText(t, output.String(), "oita-8 serving r?", "oita-191", "e-159 up")
}

// Guards against lines longer than 40 columns with the longest names and largest
// numbers, and against escape sequences in names and notes of other operators.
func TestOutputWrapsAndReplacesUnprintable(t *testing.T) {
	s := newTestServer(t)
	long := strings.Repeat("n", config.MaxNameLength)
	s.control.status = &adminpb.StatusResponse{
		Release: 1 << 62, ReleaseHash: strings.Repeat("f", 64), DataCentre: long, InvariantViolations: 1 << 62,
		Instances: []*adminpb.InstanceStatus{{
			Name: long, State: "dead", Release: 1 << 62, OpenFlows: 1 << 62, ExceptionsOwned: 1 << 62, ExceptionsHeld: 1 << 62, ControlBytesPerSecond: 1 << 62,
		}},
		Endpoints: []*adminpb.EndpointStatus{{Name: long, Service: long, State: "down", Load: 1 << 31, LoadAgeMs: 1 << 31, OpenFlows: 1 << 31}},
		Inputs:    []*adminpb.InputStatus{{Name: "\x1b[31mred", AgeMs: 1 << 62, State: "lost\x07"}},
	}
	exit, stdout, stderr := s.run(t, "status", "-all")
	wantExit(t, ExitDone, exit, stderr)
	wantLineWidth(t, stdout)
	s.control.publishAs(t, "m\x1b[2Ja-"+strings.Repeat("é", 60), 1)
	s.control.accepted[0].Note = strings.Repeat("word ", 30)
	exit, history, stderr := s.run(t, "history")
	wantExit(t, ExitDone, exit, stderr)
	wantLineWidth(t, history)
	if strings.ContainsAny(stdout+history, "\x1b\x07") {
		t.Errorf("control characters in %q", stdout+history)
	}
}

// Guards against a token that is sent to a server without TLS, and against one that
// is not sent at all.
func TestTokenIsSentOnlyWhenAllowed(t *testing.T) {
	control := &fakeControl{status: &adminpb.StatusResponse{}}
	server := httptest.NewServer(admin.NewHandler(admin.NewServer(control, zap.NewNop()), "secret-token-0000"))
	defer server.Close()
	exit, _, stderr := run(t, "status", "-server", server.URL)
	wantExit(t, ExitFailed, exit, stderr)
	wantText(t, stderr, "code 6000")
	token := writeFile(t, "secret-token-0000\n")
	exit, _, stderr = run(t, "status", "-server", server.URL, "-token-file", token)
	wantExit(t, ExitDone, exit, stderr)
	exit, _, stderr = run(t, "status", "-server", "http://192.0.2.1:7090", "-token-file", token)
	wantExit(t, ExitUsage, exit, stderr)
	wantText(t, stderr, "without TLS")
}

// Guards against check -online that ignores the release in force: an address in
// quarantine must be a fault.
func TestCheckOnlineUsesReleaseInForce(t *testing.T) {
	s := newTestServer(t)
	s.control.publishAs(t, "aiko", 1)
	moved := writeFile(t, strings.ReplaceAll(strings.ReplaceAll(sampleConfiguration(1), "desk", "shelf"), "198.51.100.10", "198.51.100.11"))
	exit, stdout, stderr := s.run(t, "check", moved)
	wantExit(t, ExitDone, exit, stdout, stderr)
	exit, stdout, stderr = s.run(t, "check", "-online", moved)
	wantExit(t, ExitFaults, exit, stdout, stderr)
	wantText(t, stdout, "code 2107")
}
