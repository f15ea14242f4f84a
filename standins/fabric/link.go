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

// maxQueued is the maximum number of delayed datagrams in a link's queue;
// further ones are dropped.
const maxQueued = 65536

// Impairments are applied to the datagrams of one direction. Percentages are the
// probability for each datagram.
type Impairments struct {
	// DelayMS delays every datagram, in milliseconds.
	DelayMS float64 `json:"delay_ms"`
	// LossPercent is the share of datagrams dropped.
	LossPercent float64 `json:"loss_percent"`
	// DuplicatePercent is the share of datagrams sent twice.
	DuplicatePercent float64 `json:"duplicate_percent"`
	// ReorderPercent is the share of datagrams delayed by an additional
	// ReorderMS milliseconds, so that later ones overtake them.
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
			return fmt.Errorf("delay %v ms is not between 0 and %d ms", ms, maxMS)
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
	// Overflowed counts datagrams dropped because maxQueued were waiting.
	Overflowed uint64 `json:"overflowed"`
	SendErrors uint64 `json:"send_errors"`
}

// link sends datagrams from a socket and applies impairments. It is safe for
// concurrent use.
type link struct {
	socket *net.UDPConn
	// wake signals that a datagram was queued.
	wake        chan struct{}
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

// send sends, delays or drops a datagram, depending on the impairments. The
// buffer may be reused when send returns.
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

// chance returns true with the given probability in percent.
func (l *link) chance(percent float64) bool {
	return percent > 0 && l.random.Float64()*100 < percent
}

// sendOne sends a datagram once, after the delay. Without delay it is written
// immediately, unless that would overtake a queued datagram.
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

// run sends queued datagrams when they are due, until the tomb is dying.
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

// sendDue sends the datagrams that are due and returns the time until the next
// one, or an hour if the queue is empty.
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

// delayQueue is a heap ordered by due time, then by order of arrival.
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
