package admission

import (
	"math/rand"
	"testing"
	"time"
)

const target = 150 * time.Millisecond

// serviceModel simulates endpoints with a common queue. Up to slots requests are served at
// a time, and up to queue others wait. Arrivals are a Poisson process.
type serviceModel struct {
	random      *rand.Rand
	limiter     *Limiter
	slots       int
	queue       int
	serviceTime time.Duration

	now      time.Duration
	freeAt   []time.Duration // when each slot is free
	inFlight []job
	// inTime, late, shed and refused count requests: shed ones found the queue full,
	// refused ones were not admitted by the limiter.
	inTime, late, shed, refused int
}

type job struct {
	began, ends time.Duration
}

func newServiceModel(serviceTime time.Duration, limiter *Limiter) *serviceModel {
	const slots = 10
	return &serviceModel{
		random: rand.New(rand.NewSource(1)), limiter: limiter, slots: slots, queue: 6 * slots, serviceTime: serviceTime,
		freeAt: make([]time.Duration, slots),
	}
}

// run sends requests at the given rate for length.
func (s *serviceModel) run(perSecond float64, length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.now += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		s.finish()
		if s.limiter != nil && !s.limiter.Admit(s.now, len(s.inFlight), float64(s.slots), 0) {
			s.refused++
			continue
		}
		if len(s.inFlight) >= s.slots+s.queue {
			s.shed++
			continue
		}
		s.begin()
	}
}

func (s *serviceModel) begin() {
	first := 0
	for at, free := range s.freeAt {
		if free < s.freeAt[first] {
			first = at
		}
	}
	start := max(s.freeAt[first], s.now)
	serviceTime := time.Duration((0.5 + s.random.Float64()) * float64(s.serviceTime))
	s.freeAt[first] = start + serviceTime
	s.inFlight = append(s.inFlight, job{began: s.now, ends: s.freeAt[first]})
}

func (s *serviceModel) finish() {
	kept := s.inFlight[:0]
	for _, j := range s.inFlight {
		if j.ends > s.now {
			kept = append(kept, j)
			continue
		}
		took := j.ends - j.began
		if took <= target {
			s.inTime++
		} else {
			s.late++
		}
		if s.limiter != nil {
			s.limiter.ResponseStarted(j.ends, took, target)
		}
	}
	s.inFlight = kept
}

// Guards against a load above the endpoints' capacity that makes all responses late: about
// as many requests as the endpoints can serve must be answered in time.
func TestBurstAboveCapacityIsServedInTime(t *testing.T) {
	const perSecond = 450 // capacity is 333 a second
	with, without := newServiceModel(30*time.Millisecond, &Limiter{}), newServiceModel(30*time.Millisecond, nil)
	for _, s := range []*serviceModel{with, without} {
		s.run(200, 2*time.Second)
		s.inTime, s.late = 0, 0
		s.run(perSecond, 10*time.Second)
	}
	if with.inTime < 2700 || with.late > with.inTime/5 {
		t.Errorf("%d in time, %d late, %d refused", with.inTime, with.late, with.refused)
	}
	if without.inTime > with.inTime/2 {
		t.Errorf("%d in time without the limit: the test does not detect the failure", without.inTime)
	}
}

// Guards against a limit that remains after the overload has ended.
func TestNoLimitAfterTheBurst(t *testing.T) {
	s := newServiceModel(30*time.Millisecond, &Limiter{})
	s.run(450, 5*time.Second)
	if s.limiter.Limit() == 0 {
		t.Fatal("no limit during the burst")
	}
	s.run(200, 5*time.Second)
	s.refused = 0
	s.run(200, 5*time.Second)
	if s.refused > 0 || s.limiter.Limit() != 0 {
		t.Errorf("%d refused after the burst, limit %.0f", s.refused, s.limiter.Limit())
	}
}

// Guards against refusals while slots are free because the service itself has become slower
// than the latency target.
func TestSlowServiceKeepsItsSlotsBusy(t *testing.T) {
	s := newServiceModel(200*time.Millisecond, &Limiter{})
	// 40 requests per second keep 8 of 10 slots busy.
	s.run(40, 20*time.Second)
	if s.refused > 40*20/10 {
		t.Errorf("%d of 800 refused, want at most 80", s.refused)
	}
}

// Guards against limiting an idle service because of occasional late responses.
func TestSingleLateResponsesDoNotLimit(t *testing.T) {
	var l Limiter
	for i := range 1000 {
		took := 30 * time.Millisecond
		if i%10 == 0 {
			took = time.Second
		}
		l.Admit(time.Duration(i)*10*time.Millisecond, 2, 1, 0)
		l.ResponseStarted(time.Duration(i)*10*time.Millisecond, took, target)
	}
	if l.Limit() != 0 {
		t.Errorf("limit %.1f with one late response in ten, want none", l.Limit())
	}
}

// Guards against an instance that refuses all requests because its requests in flight were
// lost and never end with a response.
func TestLostRequestsDoNotBlockNewOnes(t *testing.T) {
	s := newServiceModel(30*time.Millisecond, &Limiter{})
	s.run(450, 5*time.Second)
	stuck := len(s.inFlight) + 100
	if s.limiter.Admit(s.now, stuck, 1, 0) {
		t.Fatal("admitted above the limit")
	}
	if !s.limiter.Admit(s.now+noResponseTimeout, stuck, 1, 0) {
		t.Error("refused after noResponseTimeout without a response")
	}
}

// Guards against refusing requests of a higher priority before those of the lowest one.
func TestHigherPriorityIsRefusedLast(t *testing.T) {
	l := Limiter{limit: 10}
	for _, c := range []struct {
		inFlight, level int
		want            bool
	}{{9, 0, true}, {10, 0, false}, {10, 1, true}, {14, 1, true}, {15, 1, false}, {19, 2, true}, {20, 9, false}} {
		if got := l.Admit(0, c.inFlight, 1, c.level); got != c.want {
			t.Errorf("%d in flight, level %d: admitted is %t", c.inFlight, c.level, got)
		}
	}
}
