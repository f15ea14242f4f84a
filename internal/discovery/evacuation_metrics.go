package discovery

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"burdockrelay.example/burdockrelay/internal/decision/freshness"
)

// behindIntervals is the number of query intervals without a query after which a follower
// counts as behind. A query that falls due at the same time as one to a random peer is sent
// an interval later.
const behindIntervals = 3

// maxEvacuationsReported limits the values of the label data_centre. The operator chooses
// the names of evacuations freely.
const maxEvacuationsReported = 256

// readerOrder is the order of readers at one time.
type readerOrder struct {
	readers []string
	// interval is the time between two queries of a follower.
	interval time.Duration
}

// recordReaders makes the present order of readers available to the metrics, if this
// instance reads the store.
func (s *Syncer) recordReaders(now time.Duration) {
	if !s.readsStore.Load() {
		return
	}
	s.readers.Store(&readerOrder{readers: s.scheduler.Readers(now), interval: s.scheduler.Interval()})
}

// InstancesBehind returns the number of followers of this reader that may not have applied
// the last change of an evacuation. isReader is false if this instance is not a reader.
func (s *Syncer) InstancesBehind() (count int, isReader bool) {
	order, self := s.readers.Load(), s.peers.Self().Name
	if order == nil || !s.readsStore.Load() || !slices.Contains(order.readers, self) {
		return 0, false
	}
	_, changedAt := s.cache.Evacuations()
	since := s.cache.Now() - behindIntervals*order.interval
	follows := func(name string) bool { return freshness.ReaderOf(name, order.readers) == self }
	return s.peers.countBehind(changedAt, since, follows), true
}

// EvacuationCollector collects the evacuations in force and, on a reader, the number of
// instances that may not have applied them.
type EvacuationCollector struct {
	Cache  *Cache
	Syncer *Syncer
}

var (
	evacuatedDesc = prometheus.NewDesc("burdock_evacuated", "1 while an evacuation of the data centre is in force.",
		[]string{"data_centre"}, nil)
	behindDesc = prometheus.NewDesc("burdock_instances_behind",
		"Instances following this reader that may not have applied the last change of an evacuation.", nil, nil)
)

// Describe implements prometheus.Collector.
func (EvacuationCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- evacuatedDesc
	descriptions <- behindDesc
}

// Collect implements prometheus.Collector.
func (c EvacuationCollector) Collect(metrics chan<- prometheus.Metric) {
	inForce, _ := c.Cache.Evacuations()
	for _, e := range inForce[:min(len(inForce), maxEvacuationsReported)] {
		metrics <- prometheus.MustNewConstMetric(evacuatedDesc, prometheus.GaugeValue, 1, e.DataCentre)
	}
	if behind, isReader := c.Syncer.InstancesBehind(); isReader {
		metrics <- prometheus.MustNewConstMetric(behindDesc, prometheus.GaugeValue, float64(behind))
	}
}
