package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/objectstore"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/proto/syncpb"
)

// memoryStore is an in-memory store with pages of two objects. It has no watches,
// because registries do not use them.
type memoryStore struct {
	objectstore.Store

	mu       sync.Mutex
	revision uint64
	objects  map[string]objectstore.Object
	writes   int
	// failures is the number of calls that fail before calls succeed.
	failures int
}

func newMemoryStore() *memoryStore { return &memoryStore{objects: map[string]objectstore.Object{}} }

// fail returns the error of a call that should fail, else nil. The caller holds mu.
func (s *memoryStore) fail() error {
	if s.failures == 0 {
		return nil
	}
	s.failures--
	return resultcode.Errorf(resultcode.PlatformUnreachable, "no response")
}

func (s *memoryStore) put(o objectstore.Object) objectstore.Object {
	s.revision++
	s.writes++
	o.Revision = common.Revision{Number: s.revision}
	s.objects[o.Name] = o
	return o
}

func (s *memoryStore) Create(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fail(); err != nil {
		return objectstore.Object{}, err
	}
	if existing, found := s.objects[o.Name]; found {
		return existing, resultcode.Errorf(resultcode.PlatformExists, "object already exists")
	}
	return s.put(o), nil
}

func (s *memoryStore) Update(_ context.Context, o objectstore.Object) (objectstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.Revision.IsZero() && o.Revision != s.objects[o.Name].Revision {
		return objectstore.Object{}, resultcode.Errorf(resultcode.PlatformConflict, "object changed since the expected revision")
	}
	return s.put(o), nil
}

func (s *memoryStore) Delete(_ context.Context, _, name string, revision common.Revision) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[name].Revision != revision {
		return resultcode.Errorf(resultcode.PlatformConflict, "object changed since the expected revision")
	}
	delete(s.objects, name)
	return nil
}

func (s *memoryStore) List(_ context.Context, _, after string) (objectstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.fail(); err != nil {
		return objectstore.Page{}, err
	}
	page := objectstore.Page{Revision: common.Revision{Number: s.revision}}
	for _, name := range s.names() {
		if name <= after {
			continue
		}
		if len(page.Objects) == 2 {
			page.More = true
			break
		}
		page.Objects = append(page.Objects, s.objects[name])
	}
	return page, nil
}

func (s *memoryStore) names() []string {
	names := make([]string, 0, len(s.objects))
	for name := range s.objects {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// registrations returns the registered addresses by instance name.
func (s *memoryStore) registrations(t *testing.T) map[string]string {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make(map[string]string)
	for name, object := range s.objects {
		var content registration
		if err := json.Unmarshal(object.Content, &content); err != nil {
			addresses[name] = "unreadable"
			continue
		}
		addresses[name] = content.Address.String()
	}
	return addresses
}

// newRegistry returns the registry of an instance that knows no peers. found is called
// with the names of the instances that it finds.
func newRegistry(store objectstore.Store, name string, found func(names []string)) *Registry {
	self := Peer{Name: name, Address: netip.MustParseAddrPort("10.0.0.1:17720")}
	return &Registry{
		Store: store, Self: self, Logger: zap.NewNop(), Peers: NewPeers(self, nil),
		Now:        func() time.Duration { return 0 },
		ReadsStore: func() bool { return true },
		OnPeers: func(_ context.Context, peers ...*syncpb.Peer) {
			var names []string
			for _, p := range peers {
				names = append(names, p.Name)
			}
			found(names)
		},
	}
}

func (s *memoryStore) add(name, content string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(objectstore.Object{Kind: instanceKind, Name: name, Content: []byte(content)})
}

// Guards against an instance that finds only the others on the first page of a list,
// stops at an unreadable entry, or does not retry after an error.
func TestRegistryFindsOthers(t *testing.T) {
	store := newMemoryStore()
	store.failures = 2
	for i := range 5 {
		store.add(fmt.Sprintf("entry-%d", i+2), fmt.Sprintf(`{"address":"10.0.0.%d:17720"}`, i+2))
	}
	store.add("entry-4", `{"address":7}`)
	found := make(chan []string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	registry := newRegistry(store, "entry-1", func(names []string) { found <- names })
	go func() { _ = registry.Run(ctx) }()
	select {
	case names := <-found:
		if want := []string{"entry-1", "entry-2", "entry-3", "entry-5", "entry-6"}; !slices.Equal(names, want) {
			t.Errorf("found %v, want %v", names, want)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no instances found")
	}
}

// Guards against a registration that keeps an outdated address, and against a write
// although nothing has changed.
func TestRegistryUpdatesChangedRegistration(t *testing.T) {
	for _, c := range []struct {
		name, existing string
		writes         int
	}{
		{"unchanged", `{"address":"10.0.0.1:17720","renewals":3}`, 0},
		{"another address", `{"address":"10.0.0.9:17720"}`, 1},
		{"unreadable", `"nonsense"`, 1},
	} {
		store := newMemoryStore()
		store.add("entry-1", c.existing)
		store.writes = 0
		registry := newRegistry(store, "entry-1", func([]string) {})
		if err := registry.register(context.Background()); err != nil {
			t.Fatal(err)
		}
		if store.writes != c.writes {
			t.Errorf("%s: %d writes, want %d", c.name, store.writes, c.writes)
		}
		if got := store.registrations(t)["entry-1"]; got != "10.0.0.1:17720" {
			t.Errorf("%s: registered at %s", c.name, got)
		}
	}
}

// Guards against registrations of terminated instances that are never removed, and
// against the removal of those of running instances, however long they have run.
func TestRegistryRemovesExpiredRegistrations(t *testing.T) {
	store := newMemoryStore()
	clock := time.Duration(0)
	var running []*Registry
	for _, name := range []string{"entry-1", "entry-2", "entry-3"} {
		registry := newRegistry(store, name, func([]string) {})
		registry.Now = func() time.Duration { return clock }
		running = append(running, registry)
	}
	store.add("lost-1", `{"address":"10.0.0.8:17720"}`)
	store.add("lost-2", `"nonsense"`)
	const interval = time.Hour
	for round := range 3 * expiryIntervals {
		for _, registry := range running {
			if err := registry.register(context.Background()); err != nil {
				t.Fatal(err)
			}
			registry.renewals++
		}
		if err := running[0].removeExpired(context.Background(), expiryIntervals*interval); err != nil {
			t.Fatal(err)
		}
		names := store.registrations(t)
		if len(names) < 3 || round < expiryIntervals && len(names) != 5 {
			t.Fatalf("round %d: registrations removed too early, remaining: %v", round, names)
		}
		clock += interval
	}
	if names := store.registrations(t); len(names) != 3 {
		t.Errorf("registrations: %v, want those of the three running instances", names)
	}
}

// Guards against a registration that is not renewed and so removed by other instances.
func TestRegistryRenews(t *testing.T) {
	store := newMemoryStore()
	registry := newRegistry(store, "entry-1", func([]string) {})
	registry.RenewInterval = 10 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = registry.Run(ctx) }()
	deadline := time.Now().Add(5 * time.Second)
	for {
		store.mu.Lock()
		writes := store.writes
		store.mu.Unlock()
		if writes >= 3 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d writes of the registration, want 3", writes)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against peers that are kept after they have expired, and against the removal
// of peers that were seen since.
func TestPeersArePruned(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.2:17720")
	peers := NewPeers(Peer{Name: "entry-1"}, nil)
	for _, name := range []string{"entry-2", "entry-3"} {
		if !peers.PeerSeen(Peer{Name: name, Address: address}, 0) {
			t.Errorf("%s is not new", name)
		}
	}
	peers.PeerSeen(Peer{Name: "entry-3", Address: address}, peerExpiry/2)
	if pruned := peers.Prune(peerExpiry); pruned != 1 {
		t.Errorf("%d peers pruned, want 1", pruned)
	}
	if names := peers.Names(); !slices.Equal(names, []string{"entry-3"}) {
		t.Errorf("remaining peers: %v, want entry-3", names)
	}
}

// lateStore executes the first update late: after the next one.
type lateStore struct {
	*memoryStore
	held *objectstore.Object
}

func (s *lateStore) Update(ctx context.Context, o objectstore.Object) (objectstore.Object, error) {
	if s.held == nil {
		s.held = &o
		return objectstore.Object{}, resultcode.Errorf(resultcode.PlatformUncertain, "no response")
	}
	updated, err := s.memoryStore.Update(ctx, o)
	_, _ = s.memoryStore.Update(ctx, *s.held)
	return updated, err
}

// Guards against an old address of an instance that comes back because the store executes an
// earlier write of the registration late.
func TestRegistrationIsUpdatedConditionally(t *testing.T) {
	store := &lateStore{memoryStore: newMemoryStore()}
	for _, address := range []string{"10.0.0.1:7720", "10.0.0.2:7720", "10.0.0.3:7720"} {
		r := &Registry{Store: store, Self: Peer{Name: "entry-1", Address: netip.MustParseAddrPort(address)}, Logger: zap.NewNop()}
		// The second write gets no response.
		_ = r.register(t.Context())
	}
	if content := string(store.objects["entry-1"].Content); content != `{"address":"10.0.0.3:7720"}` {
		t.Errorf("registration %s", content)
	}
}

// Guards against one registration of another program that hides the others, or that is taken
// for an instance: nested too deeply, with a number that is too large or a port out of range.
func TestForeignRegistrationLeavesOthersReadable(t *testing.T) {
	deep := strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000)
	for _, foreign := range []string{
		deep, `{"address":` + deep + `}`, `{"address":"10.0.0.3:17720","renewals":1e400}`, `{"address":"10.0.0.3:17720","renewals":18446744073709551616}`,
		`{"address":"10.0.0.3:65536"}`, `{"address":"10.0.0.3:0"}`, `{"address":"10.0.0.3:-1"}`, `{"address":""}`, `{}`,
	} {
		store := newMemoryStore()
		store.add("entry-2", `{"address":"10.0.0.2:17720"}`)
		store.add("entry-3", foreign)
		store.add("entry-4", `{"address":"10.0.0.4:17720"}`)
		var found []string
		registry := newRegistry(store, "entry-1", func(names []string) { found = names })
		if err := registry.findPeers(t.Context()); err != nil || !slices.Equal(found, []string{"entry-2", "entry-4"}) {
			t.Errorf("%.60s: found %v, error %v", foreign, found, err)
		}
	}
}

// Guards against an instance whose registration is removed as expired, because another program
// has written a count of renewals that the instance cannot exceed.
func TestHugeCountOfRenewalsIsReplaced(t *testing.T) {
	store := newMemoryStore()
	store.add("entry-1", `{"address":"10.0.0.1:17720","renewals":18446744073709551615}`)
	registry := newRegistry(store, "entry-1", func([]string) {})
	before := store.revision
	for range 2 {
		registry.renew(t.Context(), time.Hour)
	}
	if store.revision < before+2 {
		t.Errorf("%d writes for two renewals", store.revision-before)
	}
}
