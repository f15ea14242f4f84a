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

// store is the platform with conditional writes and lost answers.
type store struct {
	random   *rand.Rand
	releases map[uint64]release.Ref
	pointer  release.Ref
	// version of the pointer, and the count of withdrawn releases in it.
	version   int
	withdrawn uint32
	accepted  []release.Ref
	writes    map[release.Ref]int
	moves     map[release.Ref]int
	faulty    bool
}

// answer draws what happens to a request: it may be lost before or after its
// effect.
func (s *store) answer() (lostBefore, lostAfter bool) {
	if !s.faulty {
		return false, false
	}
	n := s.random.IntN(10)
	return n == 0, n == 1 || n == 2
}

func (s *store) create(ref release.Ref) release.Outcome {
	lostBefore, lostAfter := s.answer()
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
	lostBefore, lostAfter := s.answer()
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

// withdraw raises the count at the pointer, then removes the release.
func (s *store) withdraw(ref release.Ref, version int) {
	if s.version != version {
		return
	}
	s.version++
	s.withdrawn++
	delete(s.releases, ref.Number)
}

// instance is one controld: it learns of releases late, in any order, and may be
// frozen, cut off or starting.
type instance struct {
	id      common.InstanceID
	tracker release.Tracker
	leased  bool
	listed  bool
	watched bool
	dead    bool
	refuses map[string]bool
	acks    []release.Ack
	applied []release.Ref
}

// learn takes a notice and acts on it as the configuration controller does.
func (i *instance) learn(s *store, pointer, prepared release.Ref) string {
	i.tracker.ObservePointer(pointer)
	i.tracker.ObservePrepared(prepared)
	for _, ref := range []release.Ref{i.tracker.Prepared(), i.tracker.Accepted()} {
		if ref.Number > 0 {
			i.load(ref)
		}
	}
	wanted, want := i.tracker.Pending()
	if !want || i.refuses[wanted.Hash] {
		return ""
	}
	before := i.tracker.InForce()
	if err := i.tracker.Apply(wanted); err != nil {
		return ""
	}
	after := i.tracker.InForce()
	if after.Number <= before.Number {
		return fmt.Sprintf("instance %d went from release %d to %d", i.id, before.Number, after.Number)
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

// operator is one publication under way.
type operator struct {
	publication *release.Publication
	version     int
	withdrawn   bool
	// gone is set when the publisher was killed with its move on the way.
	gone bool
}

// world runs operators and instances step by step in a drawn order.
type world struct {
	random    *rand.Rand
	store     *store
	instances []*instance
	operators []*operator
	history   []release.Ref
	prepared  []release.Ref
	hashes    int
	failure   string
}

func newWorld(seed int64) *world {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	w := &world{random: random, store: &store{
		random:   random,
		releases: map[uint64]release.Ref{},
		writes:   map[release.Ref]int{},
		moves:    map[release.Ref]int{},
		faulty:   true,
	}}
	for i := range 4 {
		w.instances = append(w.instances, &instance{
			id: common.InstanceID(i + 1), leased: true, listed: true, watched: true, refuses: map[string]bool{},
		})
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.failure == "" {
		w.failure = fmt.Sprintf(format, args...)
	}
}

// begin starts a publication from the present pointer.
func (w *world) begin() {
	w.hashes++
	ref := release.Ref{
		Number:  w.store.pointer.Number + 1,
		Hash:    fmt.Sprintf("%016x", w.hashes),
		Attempt: w.store.withdrawn,
	}
	if w.random.IntN(6) == 0 {
		w.instances[w.random.IntN(len(w.instances))].refuses[ref.Hash] = true
	}
	w.operators = append(w.operators, &operator{publication: release.NewPublication(ref), version: w.store.version})
}

func (w *world) step(o *operator) {
	p := o.publication
	ref := p.Ref()
	if o.gone && p.Step() != release.StepMove {
		return
	}
	switch p.Step() {
	case release.StepCreate:
		p.OnCreate(w.store.create(ref))
	case release.StepReadRelease:
		if lostBefore, lostAfter := w.store.answer(); !lostBefore && !lostAfter {
			found, ok := w.store.releases[ref.Number]
			p.OnReadRelease(ok, found)
		}
	case release.StepAwait:
		decision := release.EvaluateAcks(ref, []release.Group{w.group()}).Decision
		if decision == release.Accept {
			w.checkAcknowledged(ref)
		}
		p.OnEvaluate(decision)
	case release.StepMove:
		p.OnMove(w.store.move(ref, o.version))
	case release.StepReadPointer:
		if lostBefore, lostAfter := w.store.answer(); !lostBefore && !lostAfter {
			p.OnReadPointer(w.store.pointer, w.store.version == o.version)
		}
	case release.StepReadAccepted:
		if lostBefore, lostAfter := w.store.answer(); !lostBefore && !lostAfter {
			found, ok := w.store.releases[ref.Number]
			p.OnReadAccepted(ok, found)
		}
	case release.StepRefused, release.StepConflict:
		w.cleanUp(o)
	}
}

// cleanUp removes the own release of a publication that ended without acceptance.
func (w *world) cleanUp(o *operator) {
	ref := o.publication.Ref()
	if o.withdrawn {
		return
	}
	o.withdrawn = true
	if w.store.releases[ref.Number] != ref || w.store.pointer.Number >= ref.Number {
		return
	}
	if o.publication.Step() == release.StepConflict && w.store.version == o.version {
		w.fail("%+v is reported as a conflict with itself", ref)
	}
	w.store.withdraw(ref, w.store.version)
}

// group is what the publisher knows: a list that lags and the watchers' view.
func (w *world) group() release.Group {
	group := release.Group{Leased: true}
	for _, i := range w.instances {
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

// checkAcknowledged is the invariant of acceptance: at the judgement, every live
// leased instance has loaded exactly this release. One that starts between the
// judgement and the move of the pointer counts as starting after it.
func (w *world) checkAcknowledged(ref release.Ref) {
	for _, i := range w.instances {
		if !i.leased {
			continue
		}
		loaded := slices.ContainsFunc(i.acks, func(a release.Ack) bool {
			return a.Ref.Matches(ref) && a.Code == resultcode.OK
		})
		if !loaded {
			w.fail("release %+v is accepted although leased instance %d has not loaded it", ref, i.id)
		}
	}
}

// disturb draws a change of an instance or of what the sources say about it. An
// instance that is leased is always listed or seen by the watchers, and never
// declared dead: declarations come after its lease has run out.
func (w *world) disturb() {
	i := w.instances[w.random.IntN(len(w.instances))]
	switch w.random.IntN(7) {
	case 6: // a publisher is killed and its release is removed as abandoned
		w.abandon()
	case 0: // killed or cut off: the lease runs out, then the watchers notice
		i.leased = false
	case 1:
		if !i.leased {
			i.watched = false
			i.dead = true
		}
	case 2: // returned
		i.leased, i.watched, i.dead = true, true, false
	case 3: // the list lags behind a new or a dropped instance
		if i.watched || !i.leased {
			i.listed = !i.listed
		}
	case 4: // listed, leased and not yet seen by the watchers
		if i.listed && !i.dead {
			i.watched = false
		}
	case 5: // replaced: forgets everything
		*i = instance{id: i.id, leased: true, listed: true, watched: true, refuses: i.refuses}
	}
}

// abandon kills a publisher whose move is on the way and removes its release. The
// move may arrive later.
func (w *world) abandon() {
	for _, o := range w.operators {
		ref := o.publication.Ref()
		if o.publication.Step() == release.StepMove && !o.gone && w.store.releases[ref.Number] == ref {
			o.gone = true
			w.store.withdraw(ref, w.store.version)
			return
		}
	}
}

// tell gives one instance a notice from any time in the past.
func (w *world) tell() {
	w.history = append(w.history, w.store.pointer)
	for _, ref := range w.store.releases {
		if ref.Number == w.store.pointer.Number+1 {
			w.prepared = append(w.prepared, ref)
		}
	}
	var prepared release.Ref
	if len(w.prepared) > 0 {
		prepared = w.prepared[len(w.prepared)-1-w.random.IntN(min(4, len(w.prepared)))]
	}
	i := w.instances[w.random.IntN(len(w.instances))]
	pointer := w.history[w.random.IntN(len(w.history))]
	if reason := i.learn(w.store, pointer, prepared); reason != "" {
		w.fail("%s", reason)
	}
}

func (w *world) run(steps int) {
	for range steps {
		switch n := w.random.IntN(20); {
		case n == 0 && len(w.operators) < 30:
			w.begin()
		case n == 1:
			w.disturb()
		case n < 10:
			w.tell()
		case len(w.operators) > 0:
			w.step(w.operators[w.random.IntN(len(w.operators))])
		}
	}
}

// finish ends the faults and lets every operator finish.
func (w *world) finish() {
	w.store.faulty = false
	for _, i := range w.instances {
		i.leased, i.watched, i.listed, i.dead = true, true, true, false
	}
	for range 40 {
		for _, i := range w.instances {
			newest := release.Ref{}
			for _, ref := range w.store.releases {
				if ref.Number == w.store.pointer.Number+1 {
					newest = ref
				}
			}
			if reason := i.learn(w.store, w.store.pointer, newest); reason != "" {
				w.fail("%s", reason)
			}
		}
		for _, o := range w.operators {
			w.step(o)
		}
	}
}

func (w *world) checkOutcomes() {
	for _, o := range w.operators {
		ref := o.publication.Ref()
		accepted := slices.Contains(w.store.accepted, ref)
		switch o.publication.Step() {
		case release.StepDone:
			if !accepted {
				w.fail("%+v is reported as done and was not accepted", ref)
			}
		case release.StepConflict, release.StepRefused:
			if accepted {
				w.fail("%+v is reported in step %d and was accepted", ref, o.publication.Step())
			}
		}
		if w.store.writes[ref] > 1 || w.store.moves[ref] > 1 {
			w.fail("%+v was written %d times and accepted %d times", ref, w.store.writes[ref], w.store.moves[ref])
		}
	}
	if pointer := w.store.pointer; pointer.Number > 0 && w.store.releases[pointer.Number] != pointer {
		w.fail("the pointer names %+v, the release object is %+v", pointer, w.store.releases[pointer.Number])
	}
	numbers := map[uint64]release.Ref{}
	for _, ref := range w.store.accepted {
		if other, taken := numbers[ref.Number]; taken {
			w.fail("two winners: %+v and %+v", other, ref)
		}
		numbers[ref.Number] = ref
	}
}

func (w *world) checkForce() {
	for _, i := range w.instances {
		force := i.tracker.InForce()
		if force != w.store.pointer && !i.refuses[w.store.pointer.Hash] {
			w.fail("instance %d has %+v in force, the pointer is %+v", i.id, force, w.store.pointer)
		}
	}
}

// Guards against a release that reverts, an accepted release that a leased
// instance cannot load, two winners, a lost answer that makes a second write, and
// an outcome reported wrongly, with faults at any moment.
func TestPublication(t *testing.T) {
	propertytest.Run(t, 2000, func(properties *gopter.Properties) {
		properties.Property("publication is all or nothing", prop.ForAll(
			func(seed int64, steps int) string {
				w := newWorld(seed)
				w.run(steps)
				w.finish()
				w.checkOutcomes()
				w.checkForce()
				return w.failure
			},
			gen.Int64(), gen.IntRange(20, 800),
		))
	})
}

// Guards against a tracker that follows a lagging pointer, or a notice with
// another hash under the same number.
func TestTrackerNeverReverts(t *testing.T) {
	propertytest.Run(t, 500, func(properties *gopter.Properties) {
		properties.Property("the number in force only grows and its hash never changes", prop.ForAll(
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
						return fmt.Sprintf("went from %+v to %+v", before, after)
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

// Guards against acceptance on the word of one source: the instance list lags in
// both directions, and watchers may not have seen a new instance yet.
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
		{"seen but not listed", release.Group{Leased: true, Listed: []common.InstanceID{1}, Alive: []common.InstanceID{1, 2}, Acks: []release.Ack{ack(1, 0)}}, release.Wait},
		{"listed but not seen", release.Group{Leased: true, Listed: []common.InstanceID{1, 2}, Alive: []common.InstanceID{1}, Acks: []release.Ack{ack(1, 0)}}, release.Wait},
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
