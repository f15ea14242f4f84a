package platform

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gopkg.in/tomb.v2"
)

const testHistory = 5

// testPlatform is a running server with helpers that send requests to it.
type testPlatform struct {
	*testing.T
	server *Server
}

// startServer starts a server that stops when the test ends.
func startServer(t *testing.T) *testPlatform {
	t.Helper()
	running := new(tomb.Tomb)
	result := make(chan error, 1)
	p := &testPlatform{T: t}
	running.Go(func() error {
		var err error
		p.server, err = Start(running, Settings{
			Listen:           "127.0.0.1:0",
			HistorySize:      testHistory,
			BookmarkInterval: 50 * time.Millisecond,
			MaxWatchDuration: 10 * time.Second,
		})
		result <- err
		return nil
	})
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		running.Kill(nil)
		if err := running.Wait(); err != nil {
			t.Error(err)
		}
	})
	return p
}

func (p *testPlatform) do(method, path, body string) (*http.Response, error) {
	url := fmt.Sprintf("http://%s%s", p.server.Address, path)
	request, err := http.NewRequestWithContext(p.Context(), method, url, bytes.NewBufferString(body))
	if err != nil {
		p.Fatal(err)
	}
	return http.DefaultClient.Do(request)
}

// call sends a request, checks the status and returns the decoded body.
func (p *testPlatform) call(method, path, body string, status int) map[string]any {
	p.Helper()
	response, err := p.do(method, path, body)
	if err != nil {
		p.Fatalf("%s %s: %v", method, path, err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		p.Fatal(err)
	}
	if response.StatusCode != status {
		p.Fatalf("%s %s: status %d, want %d: %.200s", method, path, response.StatusCode, status, data)
	}
	decoded := make(map[string]any)
	if len(data) > 0 {
		if err := json.Unmarshal(data, &decoded); err != nil {
			p.Fatal(err)
		}
	}
	return decoded
}

// requireReason sends a request and checks the status and the reason of the
// error response.
func (p *testPlatform) requireReason(method, path, body string, status int, reason string) {
	p.Helper()
	if got := p.call(method, path, body, status)["reason"]; got != reason {
		p.Errorf("%s %s: reason %v, want %s", method, path, got, reason)
	}
}

// object returns the JSON of an object.
func object(name, version, spec string) string {
	return fmt.Sprintf(`{"kind": "Test", "apiVersion": %q, "metadata": {"name": %q, "resourceVersion": %q}, "spec": %s}`,
		APIVersion, name, version, spec)
}

func versionOf(object map[string]any) string {
	return object["metadata"].(map[string]any)["resourceVersion"].(string)
}

const pointers = basePath + "pointers"

// TestConditionalUpdate guards against a second writer overwriting the update of
// the first. The acceptance of releases depends on conditional updates.
func TestConditionalUpdate(t *testing.T) {
	p := startServer(t)
	first := versionOf(p.call(http.MethodPost, pointers, object("current", "", `{"number": 1}`), http.StatusCreated))
	p.requireReason(http.MethodPost, pointers, object("current", "", `{"number": 9}`), http.StatusConflict, "AlreadyExists")
	second := versionOf(p.call(http.MethodPut, pointers+"/current", object("current", first, `{"number": 2}`), http.StatusOK))
	if first == second {
		t.Error("an update did not change the resourceVersion")
	}
	p.requireReason(http.MethodPut, pointers+"/current", object("current", first, `{"number": 3}`), http.StatusConflict, "Conflict")
	p.requireReason(http.MethodPut, pointers+"/current", object("current", "", `{"number": 3}`), http.StatusUnprocessableEntity, "Invalid")
	p.requireReason(http.MethodPut, pointers+"/other", object("other", first, `{}`), http.StatusNotFound, "NotFound")
	got := p.call(http.MethodGet, pointers+"/current", "", http.StatusOK)
	if number := got["spec"].(map[string]any)["number"]; number != 2.0 {
		t.Errorf("number %v, want 2", number)
	}
	p.call(http.MethodDelete, pointers+"/current", "", http.StatusOK)
	p.requireReason(http.MethodGet, pointers+"/current", "", http.StatusNotFound, "NotFound")
}

// TestLimits guards against accepting bodies, names and methods that the real
// API rejects.
func TestLimits(t *testing.T) {
	p := startServer(t)
	body := func(size int) string {
		empty := object("big", "", `""`)
		return object("big", "", `"`+strings.Repeat("x", size-len(empty))+`"`)
	}
	p.requireReason(http.MethodPost, pointers, body(maxBodyBytes+1), http.StatusRequestEntityTooLarge, "RequestEntityTooLarge")
	p.call(http.MethodPost, pointers, body(maxBodyBytes), http.StatusCreated)
	p.requireReason(http.MethodPost, pointers, object("Upper_Case", "", `{}`), http.StatusUnprocessableEntity, "Invalid")
	p.requireReason(http.MethodPost, basePath+"instances", object("a", "", `{}`), http.StatusMethodNotAllowed, "MethodNotAllowed")
	p.requireReason(http.MethodGet, basePath+"unknown", "", http.StatusNotFound, "NotFound")
}

// watcher reads the events of one watch.
type watcher struct {
	*testing.T
	body  io.Closer
	lines *bufio.Scanner
}

func (p *testPlatform) watch(path, version string) *watcher {
	p.Helper()
	response, err := p.do(http.MethodGet, fmt.Sprintf("%s?watch=1&resourceVersion=%s&timeoutSeconds=5", path, version), "")
	if err != nil {
		p.Fatal(err)
	}
	p.Cleanup(func() { _ = response.Body.Close() })
	if response.StatusCode != http.StatusOK {
		p.Fatalf("watch: status %d", response.StatusCode)
	}
	return &watcher{T: p.T, body: response.Body, lines: bufio.NewScanner(response.Body)}
}

// next returns the type and object of the next event. Bookmarks are skipped
// unless bookmarks is set.
func (w *watcher) next(bookmarks bool) (string, map[string]any) {
	w.Helper()
	for w.lines.Scan() {
		var event struct {
			Type   string
			Object map[string]any
		}
		if err := json.Unmarshal(w.lines.Bytes(), &event); err != nil {
			w.Fatal(err)
		}
		if bookmarks || event.Type != eventBookmark {
			return event.Type, event.Object
		}
	}
	w.Fatalf("the watch ended: %v", w.lines.Err())
	return "", nil
}

func (w *watcher) want(eventType string) map[string]any {
	w.Helper()
	got, object := w.next(eventType == eventBookmark)
	if got != eventType {
		w.Fatalf("event type %s, want %s; object %v", got, eventType, object)
	}
	return object
}

// TestWatch guards against events that are lost, repeated or sent to a watch of
// another collection.
func TestWatch(t *testing.T) {
	p := startServer(t)
	listed := versionOf(p.call(http.MethodGet, pointers, "", http.StatusOK))
	w := p.watch(pointers, listed)
	created := versionOf(p.call(http.MethodPost, pointers, object("a", "", `{}`), http.StatusCreated))
	updated := versionOf(p.call(http.MethodPut, pointers+"/a", object("a", created, `{}`), http.StatusOK))
	p.call(http.MethodPost, basePath+"drains", object("d", "", `{}`), http.StatusCreated)
	p.call(http.MethodDelete, pointers+"/a", "", http.StatusOK)
	if got := versionOf(w.want(eventAdded)); got != created {
		t.Errorf("ADDED event at version %s, want %s", got, created)
	}
	if got := versionOf(w.want(eventModified)); got != updated {
		t.Errorf("MODIFIED event at version %s, want %s", got, updated)
	}
	deleted := versionOf(w.want(eventDeleted))
	bookmark := versionOf(w.want(eventBookmark))
	if bookmark != deleted {
		t.Errorf("bookmark at version %s, want %s", bookmark, deleted)
	}
	resumed := p.watch(pointers, updated)
	if got := versionOf(resumed.want(eventDeleted)); got != deleted {
		t.Errorf("the resumed watch starts at version %s, want %s", got, deleted)
	}
	p.call(http.MethodPost, pointers, object("b", "", `{}`), http.StatusCreated)
	if got := p.watch(pointers, "0").want(eventAdded)["metadata"].(map[string]any)["name"]; got != "b" {
		t.Errorf("a watch from version 0 starts with object %v, want b", got)
	}
}

// TestWatchExpires guards against a watch that silently skips events which are
// no longer in the history, instead of failing with Expired.
func TestWatchExpires(t *testing.T) {
	p := startServer(t)
	version := versionOf(p.call(http.MethodGet, pointers, "", http.StatusOK))
	initial := version
	p.call(http.MethodPatch, "/control/faults", `{"freeze_watches": true}`, http.StatusOK)
	frozen := p.watch(pointers, version)
	version = versionOf(p.call(http.MethodPost, pointers, object("a", "", `{}`), http.StatusCreated))
	for range testHistory {
		version = versionOf(p.call(http.MethodPut, pointers+"/a", object("a", version, `{}`), http.StatusOK))
	}
	p.requireReason(http.MethodGet, pointers+"?watch=1&resourceVersion="+initial, "", http.StatusGone, "Expired")
	p.requireReason(http.MethodGet, pointers+"?watch=1&resourceVersion=99999", "", http.StatusGone, "Expired")
	p.call(http.MethodPatch, "/control/faults", `{"freeze_watches": false}`, http.StatusOK)
	if got := frozen.want(eventError)["reason"]; got != "Expired" {
		t.Errorf("reason %v, want Expired", got)
	}
}

// TestLostResponse guards against a lost response that also discards the change,
// or that affects more calls than requested.
func TestLostResponse(t *testing.T) {
	p := startServer(t)
	p.call(http.MethodPatch, "/control/faults", `{"lose_answers": 1}`, http.StatusOK)
	response, err := p.do(http.MethodPost, pointers, object("a", "", `{}`))
	if err == nil {
		_ = response.Body.Close()
		t.Fatal("the response was not dropped")
	}
	if !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want EOF", err)
	}
	p.call(http.MethodGet, pointers+"/a", "", http.StatusOK)
	p.call(http.MethodPost, pointers, object("b", "", `{}`), http.StatusCreated)
}

// TestOutage guards against calls or watches that succeed during an outage, and
// against an added delay without effect.
func TestOutage(t *testing.T) {
	p := startServer(t)
	w := p.watch(pointers, "0")
	p.call(http.MethodPatch, "/control/faults", `{"outage": "unavailable"}`, http.StatusOK)
	for w.lines.Scan() {
		continue
	}
	p.requireReason(http.MethodGet, pointers, "", http.StatusServiceUnavailable, "ServiceUnavailable")
	p.call(http.MethodPatch, "/control/faults", `{"outage": "drop"}`, http.StatusOK)
	if response, err := p.do(http.MethodGet, pointers, ""); err == nil {
		_ = response.Body.Close()
		t.Error("a call got a response during an outage that drops connections")
	}
	p.call(http.MethodPatch, "/control/faults", `{"outage": "hang"}`, http.StatusOK)
	done := make(chan int, 1)
	go func() {
		response, err := p.do(http.MethodGet, pointers, "")
		if err != nil {
			done <- 0
			return
		}
		_ = response.Body.Close()
		done <- response.StatusCode
	}()
	select {
	case status := <-done:
		t.Errorf("a call got status %d during an outage in which calls hang", status)
	case <-time.After(100 * time.Millisecond):
	}
	p.call(http.MethodPatch, "/control/faults", `{"outage": "none", "delay_ms": 100}`, http.StatusOK)
	if status := <-done; status != http.StatusOK {
		t.Errorf("the hanging call got status %d after the outage", status)
	}
	begin := time.Now()
	p.call(http.MethodGet, pointers, "", http.StatusOK)
	if elapsed := time.Since(begin); elapsed < 100*time.Millisecond {
		t.Errorf("a call delayed by 100 ms took %v", elapsed)
	}
}

// TestInstanceListLags guards against changes that appear in the instance list
// before the configured lag, and against changes applied out of order.
func TestInstanceListLags(t *testing.T) {
	p := startServer(t)
	count := func() int {
		return len(p.call(http.MethodGet, basePath+"instances", "", http.StatusOK)["items"].([]any))
	}
	const body = `{"address": "127.0.10.1", "dataCentre": "fukuoka", "group": "office"}`
	p.call(http.MethodPut, "/control/instances/entry-1", body, http.StatusNoContent)
	if count() != 1 {
		t.Error("without lag, an instance is missing from the list")
	}
	p.call(http.MethodPatch, "/control/faults", `{"instance_lag_ms": 200}`, http.StatusOK)
	p.call(http.MethodPut, "/control/instances/entry-2", body, http.StatusNoContent)
	p.call(http.MethodPatch, "/control/faults", `{"instance_lag_ms": 0}`, http.StatusOK)
	p.call(http.MethodDelete, "/control/instances/entry-2", "", http.StatusNoContent)
	w := p.watch(basePath+"instances", versionOf(p.call(http.MethodGet, basePath+"instances", "", http.StatusOK)))
	if count() != 1 {
		t.Error("a change appears in the list before the lag has passed")
	}
	if state := w.want(eventAdded)["status"].(map[string]any)["state"]; state != stateLive {
		t.Errorf("state %v, want live", state)
	}
	w.want(eventDeleted)
	p.call(http.MethodPut, "/control/instances/entry-1", strings.Replace(body, "{", `{"state": "leaving", `, 1), http.StatusNoContent)
	if state := w.want(eventModified)["status"].(map[string]any)["state"]; state != stateLeaving {
		t.Errorf("state %v, want leaving", state)
	}
}

// TestCounters guards against kinds of calls that are not counted, because the
// counters serve to verify the call budget.
func TestCounters(t *testing.T) {
	p := startServer(t)
	w := p.watch(pointers, "0")
	version := versionOf(p.call(http.MethodPost, pointers, object("a", "", `{}`), http.StatusCreated))
	w.want(eventAdded)
	p.call(http.MethodPut, pointers+"/a", object("a", version, `{}`), http.StatusOK)
	p.call(http.MethodGet, pointers, "", http.StatusOK)
	p.call(http.MethodGet, pointers+"/a", "", http.StatusOK)
	p.call(http.MethodDelete, pointers+"/a", "", http.StatusOK)
	p.requireReason(http.MethodGet, pointers+"/a", "", http.StatusNotFound, "NotFound")
	counters := p.server.counters.get()
	for kind, want := range map[string]uint64{"watch": 1, "create": 1, "update": 1, "list": 1, "get": 2, "delete": 1} {
		if got := counters.Calls[kind]; got != want {
			t.Errorf("%s: counted %d calls, want %d", kind, got, want)
		}
	}
	if counters.WaitingWatches["pointers"] != 1 || counters.PeakWaitingWatches != 1 || counters.Failures["NotFound"] != 1 {
		t.Errorf("counters %+v, want 1 waiting watch, a peak of 1 and 1 NotFound failure", counters)
	}
	if err := w.body.Close(); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(2 * time.Second)
	for p.server.counters.get().WaitingWatches["pointers"] != 0 {
		if time.Now().After(deadline) {
			t.Fatal("a watch whose client has disconnected is still counted as waiting")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a restore that keeps changes made after the copy, does not count versions
// from it again, or does not end watches.
func TestRestore(t *testing.T) {
	p := startServer(t)
	const drains = "/apis/burdockrelay.example/v1/drains"
	create := func(name string) string {
		body := fmt.Sprintf(`{"kind":"Drain","apiVersion":"burdockrelay.example/v1","metadata":{"name":%q},"spec":{}}`, name)
		created := p.call(http.MethodPost, drains, body, http.StatusCreated)
		return created["metadata"].(map[string]any)["resourceVersion"].(string)
	}
	p.call(http.MethodPost, "/control/restore", "", http.StatusConflict)
	create("kept")
	p.call(http.MethodPost, "/control/copy", "", http.StatusNoContent)
	lostVersion := create("lost")
	watch, err := p.do(http.MethodGet, drains+"?watch=1&resourceVersion="+lostVersion, "")
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Body.Close()
	p.call(http.MethodPost, "/control/restore", "", http.StatusNoContent)
	if _, err := io.ReadAll(watch.Body); err != nil {
		t.Errorf("watch across a restore: %v", err)
	}
	list, err := p.do(http.MethodGet, drains, "")
	if err != nil {
		t.Fatal(err)
	}
	defer list.Body.Close()
	content, _ := io.ReadAll(list.Body)
	if strings.Contains(string(content), "lost") || !strings.Contains(string(content), "kept") {
		t.Errorf("content after the restore: %s", content)
	}
	if before, after := watch.Header.Get(eraHeader), list.Header.Get(eraHeader); before != "0" || after != "1" {
		t.Errorf("era %s before the restore and %s after it, want 0 and 1", before, after)
	}
	p.call(http.MethodGet, drains+"?watch=1&resourceVersion="+lostVersion, "", http.StatusGone)
	if again := create("again"); again != lostVersion {
		t.Errorf("version %s after the restore, want %s again", again, lostVersion)
	}
}
