package platform

import (
	"maps"
	"sync"
)

// Counters of the API. A watch counts as one call when it starts, and as
// waiting until it ends.
type Counters struct {
	// Calls by kind: list, get, create, update, delete and watch.
	Calls map[string]uint64 `json:"calls"`
	// CallsByCollection holds the same calls by collection and kind.
	CallsByCollection map[string]map[string]uint64 `json:"calls_by_collection"`
	// Failures by reason.
	Failures map[string]uint64 `json:"failures"`
	// WaitingWatches by collection.
	WaitingWatches map[string]int `json:"waiting_watches"`
	// PeakWaitingWatches is the highest number over all collections.
	PeakWaitingWatches int    `json:"peak_waiting_watches"`
	LostResponses      uint64 `json:"answers_lost"`
	BytesReceived      uint64 `json:"bytes_received"`
	BytesSent          uint64 `json:"bytes_sent"`
}

type counters struct {
	mutex   sync.Mutex
	values  Counters
	waiting int
}

func newCounters() *counters {
	return &counters{values: Counters{
		Calls:             make(map[string]uint64),
		CallsByCollection: make(map[string]map[string]uint64),
		Failures:          make(map[string]uint64),
		WaitingWatches:    make(map[string]int),
	}}
}

func (c *counters) countCall(collection, kind string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.Calls[kind]++
	if c.values.CallsByCollection[collection] == nil {
		c.values.CallsByCollection[collection] = make(map[string]uint64)
	}
	c.values.CallsByCollection[collection][kind]++
}

func (c *counters) countFailure(reason string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.Failures[reason]++
}

func (c *counters) countLostResponse() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.LostResponses++
}

func (c *counters) addReceived(bytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.BytesReceived += uint64(bytes)
}

func (c *counters) addSent(bytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.BytesSent += uint64(bytes)
}

// addWatches adds a waiting watch, or ends one when the change is -1.
func (c *counters) addWatches(collection string, change int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.values.WaitingWatches[collection] += change
	c.waiting += change
	c.values.PeakWaitingWatches = max(c.values.PeakWaitingWatches, c.waiting)
}

func (c *counters) get() Counters {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	values := c.values
	values.Calls = maps.Clone(values.Calls)
	values.Failures = maps.Clone(values.Failures)
	values.WaitingWatches = maps.Clone(values.WaitingWatches)
	values.CallsByCollection = make(map[string]map[string]uint64)
	for collection, calls := range c.values.CallsByCollection {
		values.CallsByCollection[collection] = maps.Clone(calls)
	}
	return values
}
