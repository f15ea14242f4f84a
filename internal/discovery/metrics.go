package discovery

import (
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"burdockrelay.example/burdockrelay/common"
)

// Metrics records reads of the store and queries to peers.
type Metrics struct {
	reads        *prometheus.CounterVec
	readSeconds  prometheus.Histogram
	queries      *prometheus.CounterVec
	querySeconds prometheus.Histogram
	deferred     prometheus.Counter
	// evacuationLag is the age of the state at which evacuations came into force.
	evacuationLag prometheus.Histogram
	// storeEra and storeNumber are the parts of the store's revision at the last read.
	storeEra, storeNumber prometheus.Gauge
	// lastReadOK and lastReadFailed are when reads last ended with that result, in
	// nanoseconds of the cache's clock, 0 for never.
	lastReadOK, lastReadFailed atomic.Int64
	readsInFlight              prometheus.Gauge
	lostReads, lateEntries     prometheus.Counter
}

// callBuckets are the upper bounds of the latency buckets, in seconds.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// NewMetrics registers the metrics, including gauges of the age and the revisions of
// the cache.
func NewMetrics(registry prometheus.Registerer, cache *Cache, peers *Peers) *Metrics {
	m := &Metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_store_reads_total", Help: "Reads of the store by result (ok, failed).",
		}, []string{"result"}),
		readSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "burdock_store_read_seconds", Help: "Duration of reads of the store.", Buckets: callBuckets,
		}),
		queries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_peer_asks_total", Help: "Questions to peers by result (ok, failed).",
		}, []string{"result"}),
		querySeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "burdock_peer_ask_seconds", Help: "Duration of questions to peers.", Buckets: callBuckets,
		}),
		deferred: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_peer_answers_put_off_total", Help: "Questions of peers for everything that were put off.",
		}),
		evacuationLag: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "burdock_evacuation_lag_seconds", Help: "Age of the state with which an evacuation came into force.", Buckets: callBuckets,
		}),
		storeEra: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_store_era", Help: "Era of the store at the last read of this instance; it grows when the store is restored from a copy.",
		}),
		storeNumber: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_store_last_revision", Help: "Revision of the store within its era at the last read of this instance.",
		}),
		readsInFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "burdock_store_reads_in_flight", Help: "Reads of the store that have not ended.",
		}),
		lostReads: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_store_reads_lost_total", Help: "Reads of the store that were given up without a result.",
		}),
		lateEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_late_entries_total", Help: "Entries of endpoints that are not in use because the store has executed their write after a later one.",
		}),
	}
	registry.MustRegister(m.reads, m.readSeconds, m.queries, m.querySeconds, m.deferred, m.evacuationLag, m.storeEra, m.storeNumber,
		m.readsInFlight, m.lostReads, m.lateEntries, lastReads{m, cache}, pools{cache},
		gauge("burdock_knowledge_age_seconds", "Time since the store confirmed what the instance knows.", func() float64 {
			now := cache.Now()
			_, fresh := cache.Current(now)
			return fresh.Age.Seconds()
		}),
		gauge("burdock_knowledge_revision", "Revision of the store, within its era, that the instance knows.", func() float64 {
			at, _ := cache.CompleteAt()
			return float64(at.Number)
		}),
		gauge("burdock_knowledge_era", "Era of the store that the instance knows.", func() float64 {
			at, _ := cache.CompleteAt()
			return float64(at.Era)
		}),
		gauge("burdock_configuration_version", "Version of the configuration in force.", func() float64 {
			view, _ := cache.Current(cache.Now())
			return float64(view.Version())
		}),
		gauge("burdock_peers", "Other instances heard of lately.", func() float64 {
			return float64(peers.Count())
		}),
	)
	return m
}

// lastReads is a collector of the times since reads of the store last ended.
type lastReads struct {
	metrics *Metrics
	cache   *Cache
}

var lastReadDesc = prometheus.NewDesc("burdock_store_last_read_seconds",
	"Time since a read of the store last ended, by result (ok, failed); missing before the first one.", []string{"result"}, nil)

// Describe implements prometheus.Collector.
func (lastReads) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- lastReadDesc }

// Collect implements prometheus.Collector.
func (r lastReads) Collect(metrics chan<- prometheus.Metric) {
	now := r.cache.Now()
	for _, ok := range []bool{true, false} {
		endedAt := r.metrics.lastReadFailed.Load()
		if ok {
			endedAt = r.metrics.lastReadOK.Load()
		}
		if endedAt != 0 {
			since := (now - time.Duration(endedAt)).Seconds()
			metrics <- prometheus.MustNewConstMetric(lastReadDesc, prometheus.GaugeValue, since, resultLabel(ok))
		}
	}
}

// pools is a collector of the state of the services' endpoints.
type pools struct {
	cache *Cache
}

var (
	endpointsDesc = prometheus.NewDesc("burdock_endpoints", "Listed endpoints by service and condition.",
		[]string{"service", "condition"}, nil)
	waitingDesc = prometheus.NewDesc("burdock_requests_waiting", "Requests without a response by service.",
		[]string{"service"}, nil)
	limitDesc = prometheus.NewDesc("burdock_admission_limit", "Limit of the requests under way by service, 0 for none.",
		[]string{"service"}, nil)
	warmingDesc = prometheus.NewDesc("burdock_warming_endpoints", "Endpoints that warm up by service.",
		[]string{"service"}, nil)
	passedOverDesc = prometheus.NewDesc("burdock_warm_up_passed_over_total",
		"Choices for new flows that passed over an endpoint because of the limit of its warm-up, by service.", []string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (pools) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- endpointsDesc
	descriptions <- waitingDesc
	descriptions <- limitDesc
	descriptions <- warmingDesc
	descriptions <- passedOverDesc
}

// Collect implements prometheus.Collector.
func (p pools) Collect(metrics chan<- prometheus.Metric) {
	send := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	for _, status := range p.cache.Pools() {
		send(endpointsDesc, float64(status.Healthy), status.Service, "healthy")
		send(endpointsDesc, float64(status.Probation), status.Service, "probation")
		send(endpointsDesc, float64(status.Suspect), status.Service, "suspect")
		send(endpointsDesc, float64(status.Draining), status.Service, "draining")
		send(waitingDesc, float64(status.InFlight), status.Service)
		send(limitDesc, status.Limit, status.Service)
		send(warmingDesc, float64(status.WarmingUp), status.Service)
		metrics <- prometheus.MustNewConstMetric(passedOverDesc, prometheus.CounterValue, float64(status.PassedOver), status.Service)
	}
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

func resultLabel(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

// read counts a read that ended at the time now.
func (m *Metrics) read(ok bool, now, took time.Duration) {
	if ok {
		m.lastReadOK.Store(int64(now))
	} else {
		m.lastReadFailed.Store(int64(now))
	}
	m.reads.WithLabelValues(resultLabel(ok)).Inc()
	m.readSeconds.Observe(took.Seconds())
}

func (m *Metrics) queried(ok bool, took time.Duration) {
	m.queries.WithLabelValues(resultLabel(ok)).Inc()
	m.querySeconds.Observe(took.Seconds())
}

func (m *Metrics) storeRevision(revision common.Revision) {
	m.storeEra.Set(float64(revision.Era))
	m.storeNumber.Set(float64(revision.Number))
}

func (m *Metrics) evacuationInForce(age time.Duration) {
	m.evacuationLag.Observe(age.Seconds())
}
