package platform

import (
	"maps"
	"sync"
)

// Counters of the API. A watch counts as one call, and as a waiting watch
// until it ends.
type Counters struct {
	// Calls by kind: list, get, create, update, delete, watch or other.
	Calls map[string]uint64 `json:"calls"`
	// CallsByCollection counts the same calls by collection, then by kind.
	CallsByCollection map[string]map[string]uint64 `json:"calls_by_collection"`
	// Failures counts error responses and failed watches by reason. Responses of an
	// injected outage and calls for an unknown collection are not counted.
	Failures map[string]uint64 `json:"failures"`
	// WaitingWatches is the number of open watches by collection.
	WaitingWatches map[string]int `json:"waiting_watches"`
	// PeakWaitingWatches is the maximum number of open watches at any time,
	// over all collections.
	PeakWaitingWatches int    `json:"peak_waiting_watches"`
	LostResponses      uint64 `json:"answers_lost"`
	BytesReceived      uint64 `json:"bytes_received"`
	BytesSent          uint64 `json:"bytes_sent"`
}

// counters is safe for concurrent use.
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

// addWatches adds change, 1 or -1, to the number of open watches.
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
