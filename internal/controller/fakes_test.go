package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/platform"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/entrypb"
)

// fakePlatform is an in-memory object API with fault injection.
type fakePlatform struct {
	mu sync.Mutex
	// era is incremented by each restore.
	era         uint64
	version     uint64
	collections map[string]map[string]*platform.Object
	events      []fakeEvent
	// notify is closed and replaced at each change.
	notify chan struct{}
	// down aborts all requests. dropWriteResponses is the number of writes whose
	// responses are dropped after they have taken effect.
	down               bool
	dropWriteResponses int
	delay              time.Duration
	writes             map[string]int
	server             *httptest.Server
}

type fakeEvent struct {
	version    uint64
	collection string
	eventType  string
	object     platform.Object
}

func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	f := &fakePlatform{
		version:     1,
		collections: map[string]map[string]*platform.Object{},
		notify:      make(chan struct{}),
		writes:      map[string]int{},
	}
	f.server = httptest.NewServer(f)
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	return f
}

func (f *fakePlatform) setDown(down bool) {
	f.mu.Lock()
	f.down = down
	f.mu.Unlock()
	if down {
		f.server.CloseClientConnections()
	}
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	down, delay := f.down, f.delay
	f.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(delay)
	f.mu.Lock()
	w.Header().Set("Storage-Era", strconv.FormatUint(f.era, 10))
	f.mu.Unlock()
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/apis/"+platform.APIVersion+"/"), "/")
	name := ""
	if len(parts) > 1 {
		name = parts[1]
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		f.watch(w, r, parts[0])
	case r.Method == http.MethodGet:
		f.read(w, parts[0], name)
	default:
		f.write(w, r, parts[0], name)
	}
}

func (f *fakePlatform) read(w http.ResponseWriter, collection, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != "" {
		object, found := f.collections[collection][name]
		if !found {
			writeJSON(w, http.StatusNotFound, platform.Failure{Reason: "NotFound"})
			return
		}
		writeJSON(w, http.StatusOK, object)
		return
	}
	list := platform.List{Metadata: platform.Metadata{ResourceVersion: strconv.FormatUint(f.version, 10)}}
	for _, key := range slices.Sorted(maps.Keys(f.collections[collection])) {
		list.Items = append(list.Items, *f.collections[collection][key])
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (f *fakePlatform) write(w http.ResponseWriter, r *http.Request, collection, name string) {
	var object platform.Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
			writeJSON(w, http.StatusBadRequest, platform.Failure{Reason: "BadRequest"})
			return
		}
		name = object.Metadata.Name
	}
	f.mu.Lock()
	status, body := f.change(r.Method, collection, name, &object)
	dropResponse := status < http.StatusMultipleChoices && f.dropWriteResponses > 0
	if dropResponse {
		f.dropWriteResponses--
	}
	f.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

func (f *fakePlatform) change(method, collection, name string, object *platform.Object) (int, any) {
	stored, found := f.collections[collection][name]
	switch {
	case method == http.MethodPost && found:
		return http.StatusConflict, platform.Failure{Reason: "AlreadyExists"}
	case method != http.MethodPost && !found:
		return http.StatusNotFound, platform.Failure{Reason: "NotFound"}
	case method == http.MethodPut && stored.Metadata.ResourceVersion != object.Metadata.ResourceVersion:
		return http.StatusConflict, platform.Failure{Reason: "Conflict"}
	case method == http.MethodDelete:
		delete(f.collections[collection], name)
		f.record(collection, platform.Deleted, stored)
		return http.StatusOK, platform.Failure{}
	}
	eventType, status := platform.Modified, http.StatusOK
	if method == http.MethodPost {
		eventType, status = platform.Added, http.StatusCreated
	}
	f.put(collection, eventType, object)
	return status, object
}

func (f *fakePlatform) put(collection, eventType string, object *platform.Object) {
	if f.collections[collection] == nil {
		f.collections[collection] = map[string]*platform.Object{}
	}
	f.collections[collection][object.Metadata.Name] = object
	f.writes[collection]++
	f.record(collection, eventType, object)
}

func (f *fakePlatform) record(collection, eventType string, object *platform.Object) {
	f.version++
	if eventType != platform.Deleted {
		object.Metadata.ResourceVersion = strconv.FormatUint(f.version, 10)
	}
	f.events = append(f.events, fakeEvent{f.version, collection, eventType, *object})
	close(f.notify)
	f.notify = make(chan struct{})
}

func (f *fakePlatform) watch(w http.ResponseWriter, r *http.Request, collection string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	f.mu.Lock()
	era, expired := f.era, after > f.version
	f.mu.Unlock()
	if expired {
		writeJSON(w, http.StatusGone, platform.Failure{Reason: "Expired"})
		return
	}
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	for {
		f.mu.Lock()
		if f.down || f.era != era {
			f.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		notify := f.notify
		var pending []fakeEvent
		for _, event := range f.events {
			if event.version > after && event.collection == collection {
				pending = append(pending, event)
			}
		}
		f.mu.Unlock()
		for _, event := range pending {
			after = event.version
			event.object.Metadata.ResourceVersion = strconv.FormatUint(event.version, 10)
			encoded, _ := json.Marshal(event.object)
			_ = json.NewEncoder(w).Encode(platform.Event{Type: event.eventType, Object: encoded})
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-notify:
		}
	}
}

// setInstances replaces the instance list.
func (f *fakePlatform) setInstances(group string, addresses map[string]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.collections[platform.Instances] = map[string]*platform.Object{}
	f.addInstances(group, addresses)
}

// addInstances adds the instances of a group to the list. The caller holds mu.
func (f *fakePlatform) addInstances(group string, addresses map[string]string) {
	for name, address := range addresses {
		spec, _ := json.Marshal(instanceSpec{Address: address, DataCentre: group, Group: group})
		f.put(platform.Instances, platform.Added, &platform.Object{
			Kind:     "Instance",
			Metadata: platform.Metadata{Name: name},
			Spec:     spec,
			Status:   json.RawMessage(`{"state":"live"}`),
		})
	}
}

// platformCopy is a copy of the content of a fake platform.
type platformCopy struct {
	version     uint64
	collections map[string]map[string]platform.Object
	events      []fakeEvent
}

func (f *fakePlatform) copyContent() *platformCopy {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := &platformCopy{version: f.version, collections: map[string]map[string]platform.Object{}, events: slices.Clone(f.events)}
	for collection, objects := range f.collections {
		c.collections[collection] = map[string]platform.Object{}
		for name, object := range objects {
			c.collections[collection][name] = *object
		}
	}
	return c
}

// restore replaces the content by an earlier copy and ends all watches. Versions are
// counted from the copy again.
func (f *fakePlatform) restore(c *platformCopy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.version, f.events = c.version, slices.Clone(c.events)
	f.collections = map[string]map[string]*platform.Object{}
	for collection, objects := range c.collections {
		f.collections[collection] = map[string]*platform.Object{}
		for name, object := range objects {
			f.collections[collection][name] = &object
		}
	}
	close(f.notify)
	f.notify = make(chan struct{})
}

// pointer returns the number of the release that the pointer names.
func (f *fakePlatform) pointer() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var spec pointerSpec
	if object := f.collections[platform.Pointers][pointerName]; object != nil {
		_ = json.Unmarshal(object.Spec, &spec)
	}
	return spec.Number
}

// fakeEntry is an entryd that records the requests it receives.
type fakeEntry struct {
	entrypb.Entry
	mu        sync.Mutex
	snapshot  *entrypb.ApplySnapshotRequest
	releases  []uint64
	leases    int
	due       []*entrypb.ReplicationBatch
	added     []*entrypb.ReplicationBatch
	acked     map[uint32]uint64
	pulled    []uint32
	restarts  int
	wasFenced bool
	server    *httptest.Server
}

func newFakeEntry(t *testing.T) *fakeEntry {
	t.Helper()
	f := &fakeEntry{acked: map[uint32]uint64{}}
	f.server = httptest.NewServer(entrypb.NewEntryServer(f))
	t.Cleanup(func() {
		f.server.CloseClientConnections()
		f.server.Close()
	})
	return f
}

func (f *fakeEntry) ApplySnapshot(_ context.Context, r *entrypb.ApplySnapshotRequest) (*entrypb.ApplySnapshotResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot != nil && r.GetRelease() < f.snapshot.GetRelease() {
		return &entrypb.ApplySnapshotResponse{ResultCode: uint32(resultcode.SnapshotOldRelease), Release: f.snapshot.GetRelease()}, nil
	}
	f.snapshot = r
	if n := len(f.releases); n == 0 || f.releases[n-1] != r.GetRelease() {
		f.releases = append(f.releases, r.GetRelease())
	}
	return &entrypb.ApplySnapshotResponse{Release: r.GetRelease()}, nil
}

func (f *fakeEntry) RenewLease(context.Context, *entrypb.RenewLeaseRequest) (*entrypb.RenewLeaseResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leases++
	fenced := f.wasFenced
	f.wasFenced = false
	return &entrypb.RenewLeaseResponse{WasFenced: fenced}, nil
}

func (f *fakeEntry) TakeReplication(context.Context, *entrypb.TakeReplicationRequest) (*entrypb.TakeReplicationResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	due := f.due
	f.due = nil
	return &entrypb.TakeReplicationResponse{Batches: due}, nil
}

func (f *fakeEntry) AckReplication(_ context.Context, r *entrypb.AckReplicationRequest) (*entrypb.AckReplicationResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acked[r.GetTarget()] = r.GetSequence()
	return &entrypb.AckReplicationResponse{}, nil
}

func (f *fakeEntry) AddReplication(_ context.Context, r *entrypb.AddReplicationRequest) (*entrypb.AddReplicationResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.added = append(f.added, r.GetBatches()...)
	return &entrypb.AddReplicationResponse{}, nil
}

func (f *fakeEntry) PullReplication(_ context.Context, r *entrypb.PullReplicationRequest) (*entrypb.PullReplicationResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pulled = append(f.pulled, r.GetJoiner())
	return &entrypb.PullReplicationResponse{Batch: &entrypb.ReplicationBatch{Target: r.GetJoiner()}}, nil
}

func (f *fakeEntry) Stats(context.Context, *entrypb.StatsRequest) (*entrypb.StatsResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &entrypb.StatsResponse{Release: f.snapshot.GetRelease()}, nil
}

// restart discards the snapshot and lets the next renewal report an expired lease,
// like a new entryd process.
func (f *fakeEntry) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = nil
	f.wasFenced = true
	f.restarts++
}

func (f *fakeEntry) release() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot.GetRelease()
}

func (f *fakeEntry) view() *entrypb.ApplySnapshotRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snapshot
}

// eventually waits for a condition and fails the test after the timeout.
func eventually(t *testing.T, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("after %v still not: %s", timeout, description)
}

// loopbackAddress returns the address of instance i, counted over all clusters of a
// run. There are more than 255 when tests are repeated.
func loopbackAddress(i int) string { return fmt.Sprintf("127.0.%d.%d", i/200, 11+i%200) }
