package warmup

import (
	"math"
	"time"
)

// windowLength is the time in which an instance sends at most its share. It is longer than
// the second in which the endpoint receives the packets, because a packet may be delayed
// more on its way than a later one.
const windowLength = time.Second + 50*time.Millisecond

// maxTimes limits the memory of a window. It is more new flows than one instance sends to
// one endpoint in windowLength, so a higher quota needs no times.
const maxTimes = 4096

// never is the time of a packet that was not sent.
const never = time.Duration(math.MinInt64 / 2)

// Window holds the times of the last first packets to one endpoint. The zero value is
// ready for use. It is not safe for concurrent use.
type Window struct {
	// times is a ring, next the index of its oldest element.
	times []time.Duration
	next  int
}

// Allow reports whether another packet may be sent now, so that no window of windowLength
// has more than quota packets.
func (w *Window) Allow(now time.Duration, quota int) bool {
	switch {
	case quota <= 0:
		return false
	case quota > len(w.times):
		return true
	}
	earliest := w.times[(w.next-quota+len(w.times))%len(w.times)]
	return now-earliest > windowLength
}

// Record records that a packet is sent now. quota is the current quota. It allocates memory
// only if the quota has changed.
func (w *Window) Record(now time.Duration, quota int) {
	size := max(quota, 0)
	if size > maxTimes {
		size = 0
	}
	if size != len(w.times) {
		w.resize(size)
	}
	if len(w.times) == 0 {
		return
	}
	w.times[w.next] = now
	w.next = (w.next + 1) % len(w.times)
}

// resize changes the number of times that are kept. The latest ones stay.
func (w *Window) resize(size int) {
	resized := make([]time.Duration, size)
	for i := range resized {
		resized[i] = never
	}
	kept := min(size, len(w.times))
	for i := range kept {
		resized[size-kept+i] = w.times[(w.next+len(w.times)-kept+i)%len(w.times)]
	}
	w.times, w.next = resized, 0
}
