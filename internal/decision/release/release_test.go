package release_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/decision/release"
	"burdockrelay.example/burdockrelay/internal/propertytest"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// store simulates the platform: its writes are conditional, and it loses requests
// and responses while faulty is set.
type store struct {
	random   *rand.Rand
	releases map[uint64]release.Ref
	pointer  release.Ref
	// version is the version of the pointer object, and withdrawn the number of
	// withdrawn releases that it contains.
	version   int
	withdrawn uint32
	accepted  []release.Ref
	writes    map[release.Ref]int
	moves     map[release.Ref]int
	faulty    bool
}

// drawLoss decides at random whether a request is lost before it takes effect, or
// its response after that.
func (s *store) drawLoss() (lostBefore, lostAfter bool) {
	if !s.faulty {
		return false, false
	}
	n := s.random.IntN(10)
	return n == 0, n == 1 || n == 2
}

func (s *store) create(ref release.Ref) release.Outcome {
	lostBefore, lostAfter := s.drawLoss()
	if lostBefore {
		return release.OutcomeUnknown
	}
	if _, taken := s.releases[ref.Number]; taken {
		return s.result(lostAfter, release.OutcomeConflict)
	}
	s.releases[ref.Number] = ref
	s.writes[ref]++
	return s.result(lostAfter, release.OutcomeApplied)
}

func (s *store) move(ref release.Ref, version int) release.Outcome {
	lostBefore, lostAfter := s.drawLoss()
	if lostBefore {
		return release.OutcomeUnknown
	}
	if s.version != version {
		return s.result(lostAfter, release.OutcomeConflict)
	}
	s.pointer = ref
	s.version++
	s.moves[ref]++
	s.accepted = append(s.accepted, ref)
	return s.result(lostAfter, release.OutcomeApplied)
}

func (s *store) result(lost bool, outcome release.Outcome) release.Outcome {
	if lost {
		return release.OutcomeUnknown
	}
	return outcome
}

// withdraw increments the count in the pointer object and removes the release.
func (s *store) withdraw(ref release.Ref, version int) {
	if s.version != version {
		return
	}
	s.version++
	s.withdrawn++
	delete(s.releases, ref.Number)
}

// instance simulates a controld that is notified of releases late and in any order,
// and that may be frozen, cut off or starting.
type instance struct {
	id      common.InstanceID
	tracker release.Tracker
	leased  bool
	// listed is set if the instance list contains the instance, and watched if it
	// is alive according to the watchers.
	listed  bool
	watched bool
	dead    bool
	// refuses contains the hashes of the releases that the instance cannot load.
	refuses map[string]bool
	acks    []release.Ack
	applied []release.Ref
}

// observe handles a notification as the configuration controller does. It describes
// a violated invariant or returns "".
func (i *instance) observe(s *store, pointer, prepared release.Ref) string {
	i.tracker.ObservePointer(pointer)
	i.tracker.ObservePrepared(prepared)
	for _, ref := range []release.Ref{i.tracker.Prepared(), i.tracker.Accepted()} {
		if ref.Number > 0 {
			i.load(ref)
		}
	}
	target, pending := i.tracker.Pending()
	if !pending || i.refuses[target.Hash] {
		return ""
	}
	before := i.tracker.InForce()
	if err := i.tracker.Apply(target); err != nil {
		return ""
	}
	after := i.tracker.InForce()
	if after.Number <= before.Number {
		return fmt.Sprintf("instance %d reverted from release %d to %d", i.id, before.Number, after.Number)
	}
	if !slices.Contains(s.accepted, after) {
		return fmt.Sprintf("instance %d applied %+v, which was never accepted", i.id, after)
	}
	i.applied = append(i.applied, after)
	return ""
}

func (i *instance) load(ref release.Ref) {
	code := resultcode.OK
	if i.refuses[ref.Hash] {
		code = resultcode.ConfigSyntax
	}
	i.acks = append(i.acks, release.Ack{Instance: i.id, Ref: ref, Code: code})
}

// publisher runs one publication.
type publisher struct {
	publication *release.Publication
	// version is the version of the pointer when the publication started.
	version   int
	withdrawn bool
	// killed is set when the publisher was killed while its move was in transit.
	killed bool
}

// simulation runs publishers and instances step by step in random order. It records
// the first failure.
type simulation struct {
	random     *rand.Rand
	store      *store
	instances  []*instance
	publishers []*publisher
	history    []release.Ref
	prepared   []release.Ref
	hashes     int
	failure    string
}

func newSimulation(seed int64) *simulation {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	sim := &simulation{random: random, store: &store{
		random:   random,
		releases: map[uint64]release.Ref{},
		writes:   map[release.Ref]int{},
		moves:    map[release.Ref]int{},
		faulty:   true,
	}}
	for i := range 4 {
		sim.instances = append(sim.instances, &instance{
			id: common.InstanceID(i + 1), leased: true, listed: true, watched: true, refuses: map[string]bool{},
		})
	}
	return sim
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.failure == "" {
		sim.failure = fmt.Sprintf(format, args...)
	}
}

// startPublication starts a publication based on the current pointer.
func (sim *simulation) startPublication() {
	sim.hashes++
	ref := release.Ref{
		Number:  sim.store.pointer.Number + 1,
		Hash:    fmt.Sprintf("%016x", sim.hashes),
		Attempt: sim.store.withdrawn,
	}
	if sim.random.IntN(6) == 0 {
		sim.instances[sim.random.IntN(len(sim.instances))].refuses[ref.Hash] = true
	}
	sim.publishers = append(sim.publishers, &publisher{publication: release.NewPublication(ref), version: sim.store.version})
}

func (sim *simulation) step(pub *publisher) {
	p := pub.publication
	ref := p.Ref()
	if pub.killed && p.Step() != release.StepMove {
		return
	}
	switch p.Step() {
	case release.StepCreate:
		p.OnCreate(sim.store.create(ref))
	case release.StepReadRelease:
		if lostBefore, lostAfter := sim.store.drawLoss(); !lostBefore && !lostAfter {
			found, ok := sim.store.releases[ref.Number]
			p.OnReadRelease(ok, found)
		}
	case release.StepAwait:
		decision := release.EvaluateAcks(ref, []release.Group{sim.group()}).Decision
		if decision == release.Accept {
			sim.checkAcknowledged(ref)
		}
		p.OnEvaluate(decision)
	case release.StepMove:
		p.OnMove(sim.store.move(ref, pub.version))
	case release.StepReadPointer:
		if lostBefore, lostAfter := sim.store.drawLoss(); !lostBefore && !lostAfter {
			p.OnReadPointer(sim.store.pointer, sim.store.version == pub.version)
		}
	case release.StepReadAccepted:
		if lostBefore, lostAfter := sim.store.drawLoss(); !lostBefore && !lostAfter {
			found, ok := sim.store.releases[ref.Number]
			p.OnReadAccepted(ok, found)
		}
	case release.StepRefused, release.StepConflict:
		sim.cleanUp(pub)
	}
}

// cleanUp withdraws the release of a publication that was refused or in conflict.
func (sim *simulation) cleanUp(pub *publisher) {
	ref := pub.publication.Ref()
	if pub.withdrawn {
		return
	}
	pub.withdrawn = true
	if sim.store.releases[ref.Number] != ref || sim.store.pointer.Number >= ref.Number {
		return
	}
	if pub.publication.Step() == release.StepConflict && sim.store.version == pub.version {
		sim.fail("%+v is reported as a conflict with itself", ref)
	}
	sim.store.withdraw(ref, sim.store.version)
}

// group returns the publisher's information: the instance list, which may be stale,
// and the view of the watchers.
func (sim *simulation) group() release.Group {
	group := release.Group{Leased: true}
	for _, i := range sim.instances {
		if i.listed {
			group.Listed = append(group.Listed, i.id)
		}
		switch {
		case i.watched:
			group.Alive = append(group.Alive, i.id)
		case i.dead:
			group.Dead = append(group.Dead, i.id)
		}
		group.Acks = append(group.Acks, i.acks...)
	}
	return group
}

// checkAcknowledged checks the invariant of acceptance: when the acknowledgements
// are evaluated, every leased instance has loaded exactly this release. An instance
// that starts between the evaluation and the move of the pointer counts as started
// after the move.
func (sim *simulation) checkAcknowledged(ref release.Ref) {
	for _, i := range sim.instances {
		if !i.leased {
			continue
		}
		loaded := slices.ContainsFunc(i.acks, func(a release.Ack) bool {
			return a.Ref.Matches(ref) && a.Code == resultcode.OK
		})
		if !loaded {
			sim.fail("release %+v is accepted although leased instance %d has not loaded it", ref, i.id)
		}
	}
}

// injectFault changes a random instance, or what the list and the watchers report
// about it. A leased instance is always listed or alive according to the watchers,
// and never declared dead, because that happens only after its lease has expired.
func (sim *simulation) injectFault() {
	i := sim.instances[sim.random.IntN(len(sim.instances))]
	switch sim.random.IntN(7) {
	case 6: // a publisher is killed and its release is withdrawn as abandoned
		sim.abandon()
	case 0: // killed or cut off: the lease expires, then the watchers declare it dead
		i.leased = false
	case 1:
		if !i.leased {
			i.watched = false
			i.dead = true
		}
	case 2: // returned
		i.leased, i.watched, i.dead = true, true, false
	case 3: // the list is stale for a new or a removed instance
		if i.watched || !i.leased {
			i.listed = !i.listed
		}
	case 4: // listed and leased, but not yet discovered by the watchers
		if i.listed && !i.dead {
			i.watched = false
		}
	case 5: // replaced by a process without state
		*i = instance{id: i.id, leased: true, listed: true, watched: true, refuses: i.refuses}
	}
}

// abandon kills a publisher that is about to move the pointer and withdraws its
// release. The move may still arrive later.
func (sim *simulation) abandon() {
	for _, pub := range sim.publishers {
		ref := pub.publication.Ref()
		if pub.publication.Step() == release.StepMove && !pub.killed && sim.store.releases[ref.Number] == ref {
			pub.killed = true
			sim.store.withdraw(ref, sim.store.version)
			return
		}
	}
}

// notifyInstance sends one instance a notification with a current or past pointer
// and prepared release.
func (sim *simulation) notifyInstance() {
	sim.history = append(sim.history, sim.store.pointer)
	for _, ref := range sim.store.releases {
		if ref.Number == sim.store.pointer.Number+1 {
			sim.prepared = append(sim.prepared, ref)
		}
	}
	var prepared release.Ref
	if len(sim.prepared) > 0 {
		prepared = sim.prepared[len(sim.prepared)-1-sim.random.IntN(min(4, len(sim.prepared)))]
	}
	i := sim.instances[sim.random.IntN(len(sim.instances))]
	pointer := sim.history[sim.random.IntN(len(sim.history))]
	if reason := i.observe(sim.store, pointer, prepared); reason != "" {
		sim.fail("%s", reason)
	}
}

func (sim *simulation) run(steps int) {
	for range steps {
		switch n := sim.random.IntN(20); {
		case n == 0 && len(sim.publishers) < 30:
			sim.startPublication()
		case n == 1:
			sim.injectFault()
		case n < 10:
			sim.notifyInstance()
		case len(sim.publishers) > 0:
			sim.step(sim.publishers[sim.random.IntN(len(sim.publishers))])
		}
	}
}

// finish ends the faults and lets every publisher finish.
func (sim *simulation) finish() {
	sim.store.faulty = false
	for _, i := range sim.instances {
		i.leased, i.watched, i.listed, i.dead = true, true, true, false
	}
	for range 40 {
		for _, i := range sim.instances {
			newest := release.Ref{}
			for _, ref := range sim.store.releases {
				if ref.Number == sim.store.pointer.Number+1 {
					newest = ref
				}
			}
			if reason := i.observe(sim.store, sim.store.pointer, newest); reason != "" {
				sim.fail("%s", reason)
			}
		}
		for _, pub := range sim.publishers {
			sim.step(pub)
		}
	}
}

func (sim *simulation) checkOutcomes() {
	for _, pub := range sim.publishers {
		ref := pub.publication.Ref()
		accepted := slices.Contains(sim.store.accepted, ref)
		switch pub.publication.Step() {
		case release.StepDone:
			if !accepted {
				sim.fail("%+v is reported as done but was not accepted", ref)
			}
		case release.StepConflict, release.StepRefused:
			if accepted {
				sim.fail("%+v ended in step %d but was accepted", ref, pub.publication.Step())
			}
		}
		if sim.store.writes[ref] > 1 || sim.store.moves[ref] > 1 {
			sim.fail("%+v was written %d times and accepted %d times", ref, sim.store.writes[ref], sim.store.moves[ref])
		}
	}
	if pointer := sim.store.pointer; pointer.Number > 0 && sim.store.releases[pointer.Number] != pointer {
		sim.fail("the pointer refers to %+v, the release object is %+v", pointer, sim.store.releases[pointer.Number])
	}
	numbers := map[uint64]release.Ref{}
	for _, ref := range sim.store.accepted {
		if other, taken := numbers[ref.Number]; taken {
			sim.fail("two releases accepted with one number: %+v and %+v", other, ref)
		}
		numbers[ref.Number] = ref
	}
}

func (sim *simulation) checkInForce() {
	for _, i := range sim.instances {
		inForce := i.tracker.InForce()
		if inForce != sim.store.pointer && !i.refuses[sim.store.pointer.Hash] {
			sim.fail("instance %d has %+v in force, the pointer is %+v", i.id, inForce, sim.store.pointer)
		}
	}
}

// Guards against these failures when faults occur at any time: an instance reverts to
// an older release, a release is accepted that a leased instance cannot load, two
// releases are accepted with one number, a lost response causes a second write, or an
// outcome is reported wrongly.
func TestPublication(t *testing.T) {
	propertytest.Run(t, 2000, func(properties *gopter.Properties) {
		properties.Property("publication is atomic", prop.ForAll(
			func(seed int64, steps int) string {
				sim := newSimulation(seed)
				sim.run(steps)
				sim.finish()
				sim.checkOutcomes()
				sim.checkInForce()
				return sim.failure
			},
			gen.Int64(), gen.IntRange(20, 800),
		))
	})
}

// Guards against a tracker that follows a stale pointer, or a notification with
// another hash for the same release number.
func TestTrackerNeverReverts(t *testing.T) {
	propertytest.Run(t, 500, func(properties *gopter.Properties) {
		properties.Property("the number in force only increases and its hash never changes", prop.ForAll(
			func(numbers []uint64, seed int64) string {
				random := rand.New(rand.NewPCG(uint64(seed), 5))
				var tracker release.Tracker
				hashes := map[uint64]string{}
				for _, number := range numbers {
					ref := release.Ref{Number: number, Hash: fmt.Sprintf("%016x", number*4+random.Uint64N(2))}
					tracker.ObservePointer(ref)
					before := tracker.InForce()
					forged := release.Ref{Number: number, Hash: fmt.Sprintf("%016x", number*4+3)}
					if tracker.Apply(forged) == nil {
						return fmt.Sprintf("release %d was applied with a hash that was not accepted", number)
					}
					if err := tracker.Apply(ref); err == nil && hashes[number] != "" {
						return fmt.Sprintf("release %d was applied twice", number)
					}
					after := tracker.InForce()
					if after.Number < before.Number || (after.Number == before.Number && after.Hash != before.Hash) {
						return fmt.Sprintf("changed from %+v to %+v", before, after)
					}
					if after.Number > 0 && after != tracker.Accepted() {
						return fmt.Sprintf("in force %+v, accepted %+v", after, tracker.Accepted())
					}
					hashes[after.Number] = after.Hash
				}
				return ""
			},
			gen.SliceOf(gen.UInt64Range(0, 6)), gen.Int64(),
		))
	})
}

// Guards against acceptance based on one source only: the instance list may be
// stale, and the watchers may not have discovered a new instance yet.
func TestQuorumCountsEverySource(t *testing.T) {
	ref := release.Ref{Number: 3, Hash: "0123456789abcdef"}
	ack := func(id common.InstanceID, code resultcode.Code) release.Ack {
		return release.Ack{Instance: id, Ref: ref, Code: code}
	}
	other := release.Ack{Instance: 2, Ref: release.Ref{Number: 3, Hash: "ffffffffffffffff"}}
	cases := []struct {
		name  string
		group release.Group
		want  release.Decision
	}{
		{"all acknowledged", release.Group{Leased: true, Listed: []common.InstanceID{1}, Alive: []common.InstanceID{1}, Acks: []release.Ack{ack(1, 0)}}, release.Accept},
		{"alive but not listed", release.Group{Leased: true, Listed: []common.InstanceID{1}, Alive: []common.InstanceID{1, 2}, Acks: []release.Ack{ack(1, 0)}}, release.Wait},
		{"listed but unknown to the watchers", release.Group{Leased: true, Listed: []common.InstanceID{1, 2}, Alive: []common.InstanceID{1}, Acks: []release.Ack{ack(1, 0)}}, release.Wait},
		{"listed and dead", release.Group{Leased: true, Listed: []common.InstanceID{1, 2}, Alive: []common.InstanceID{1}, Dead: []common.InstanceID{2}, Acks: []release.Ack{ack(1, 0)}}, release.Accept},
		{"other hash", release.Group{Leased: true, Alive: []common.InstanceID{1, 2}, Acks: []release.Ack{ack(1, 0), other}}, release.Wait},
		{"refused", release.Group{Leased: true, Alive: []common.InstanceID{1, 2}, Acks: []release.Ack{ack(1, 0), ack(2, resultcode.ConfigSyntax)}}, release.Refuse},
		{"group without lease", release.Group{Listed: []common.InstanceID{1}}, release.Accept},
	}
	for _, c := range cases {
		if got := release.EvaluateAcks(ref, []release.Group{c.group}).Decision; got != c.want {
			t.Errorf("%s: decision %d, want %d", c.name, got, c.want)
		}
	}
}
