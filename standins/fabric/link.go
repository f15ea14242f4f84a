package fabric

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"gopkg.in/tomb.v2"
)

// maxQueued bounds the datagrams that wait for their delay; more are dropped.
const maxQueued = 65536

// Impairments disturb the datagrams of one direction.
type Impairments struct {
	// DelayMS holds every datagram.
	DelayMS float64 `json:"delay_ms"`
	// LossPercent drops datagrams.
	LossPercent float64 `json:"loss_percent"`
	// DuplicatePercent sends datagrams twice.
	DuplicatePercent float64 `json:"duplicate_percent"`
	// ReorderPercent holds datagrams for another ReorderMS, so that later
	// ones overtake them.
	ReorderPercent float64 `json:"reorder_percent"`
	ReorderMS      float64 `json:"reorder_ms"`
}

func (i Impairments) check() error {
	for _, percent := range []float64{i.LossPercent, i.DuplicatePercent, i.ReorderPercent} {
		if percent < 0 || percent > 100 {
			return fmt.Errorf("percentage %v is not between 0 and 100", percent)
		}
	}
	const maxMS = 60_000
	for _, ms := range []float64{i.DelayMS, i.ReorderMS} {
		if ms < 0 || ms > maxMS {
			return fmt.Errorf("delay of %v ms is not between 0 and %d", ms, maxMS)
		}
	}
	return nil
}

// LinkCounters counts the datagrams of one direction.
type LinkCounters struct {
	Sent       uint64 `json:"sent"`
	Lost       uint64 `json:"lost"`
	Duplicated uint64 `json:"duplicated"`
	Reordered  uint64 `json:"reordered"`
	Overflowed uint64 `json:"overflowed"`
	SendErrors uint64 `json:"send_errors"`
}

// link sends datagrams from one socket with impairments.
type link struct {
	socket *net.UDPConn
	wake   chan struct{}

	mutex       sync.Mutex
	random      *rand.Rand
	impairments Impairments
	queue       delayQueue
	sequence    uint64
	counters    LinkCounters
}

type delayedDatagram struct {
	due      time.Time
	sequence uint64
	datagram []byte
	to       netip.AddrPort
}

func newLink(t *tomb.Tomb, socket *net.UDPConn, random *rand.Rand) *link {
	l := &link{socket: socket, random: random, wake: make(chan struct{}, 1)}
	t.Go(func() error { return l.run(t) })
	return l
}

func (l *link) setImpairments(impairments Impairments) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.impairments = impairments
}

func (l *link) snapshot() (Impairments, LinkCounters) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.impairments, l.counters
}

// send sends or queues the datagram, which the caller may reuse afterwards.
func (l *link) send(datagram []byte, to netip.AddrPort) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.chance(l.impairments.LossPercent) {
		l.counters.Lost++
		return
	}
	l.sendOne(datagram, to)
	if l.chance(l.impairments.DuplicatePercent) {
		l.counters.Duplicated++
		l.sendOne(datagram, to)
	}
}

func (l *link) chance(percent float64) bool {
	return percent > 0 && l.random.Float64()*100 < percent
}

func (l *link) sendOne(datagram []byte, to netip.AddrPort) {
	delay := l.impairments.DelayMS
	if l.chance(l.impairments.ReorderPercent) {
		l.counters.Reordered++
		delay += l.impairments.ReorderMS
	}
	if delay == 0 && len(l.queue) == 0 {
		l.write(datagram, to)
		return
	}
	l.enqueue(datagram, to, time.Duration(delay*float64(time.Millisecond)))
}

func (l *link) enqueue(datagram []byte, to netip.AddrPort, delay time.Duration) {
	if len(l.queue) >= maxQueued {
		l.counters.Overflowed++
		return
	}
	l.sequence++
	heap.Push(&l.queue, delayedDatagram{
		due:      time.Now().Add(delay),
		sequence: l.sequence,
		datagram: append([]byte(nil), datagram...),
		to:       to,
	})
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) write(datagram []byte, to netip.AddrPort) {
	if _, err := l.socket.WriteToUDPAddrPort(datagram, to); err != nil {
		l.counters.SendErrors++
		return
	}
	l.counters.Sent++
}

// run sends queued datagrams when they are due.
func (l *link) run(t *tomb.Tomb) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(l.sendDue())
		select {
		case <-l.wake:
		case <-timer.C:
		case <-t.Dying():
			return nil
		}
	}
}

// sendDue sends what is due and returns the time until the next datagram.
func (l *link) sendDue() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for len(l.queue) > 0 {
		wait := time.Until(l.queue[0].due)
		if wait > 0 {
			return wait
		}
		next := heap.Pop(&l.queue).(delayedDatagram)
		l.write(next.datagram, next.to)
	}
	return time.Hour
}

// delayQueue is a heap ordered by due time, then by arrival.
type delayQueue []delayedDatagram

func (q delayQueue) Len() int { return len(q) }

func (q delayQueue) Less(i, j int) bool {
	if !q[i].due.Equal(q[j].due) {
		return q[i].due.Before(q[j].due)
	}
	return q[i].sequence < q[j].sequence
}

func (q delayQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *delayQueue) Push(x any) { *q = append(*q, x.(delayedDatagram)) }

func (q *delayQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = delayedDatagram{}
	*q = (*q)[:last]
	return item
}
