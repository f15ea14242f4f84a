package discovery

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts reads of the store and questions to peers.
type Metrics struct {
	reads       *prometheus.CounterVec
	readSeconds prometheus.Histogram
	asks        *prometheus.CounterVec
	askSeconds  prometheus.Histogram
	putOff      prometheus.Counter
}

// callBuckets are the bounds of latencies of calls, in seconds.
var callBuckets = []float64{0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2}

// NewMetrics registers the metrics, with the age and the revisions of knowledge.
func NewMetrics(registry prometheus.Registerer, knowledge *Knowledge, peers *Peers) *Metrics {
	m := &Metrics{
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_store_reads_total", Help: "Reads of the store by result (ok, failed).",
		}, []string{"result"}),
		readSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "burdock_store_read_seconds", Help: "Duration of reads of the store.", Buckets: callBuckets,
		}),
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_peer_asks_total", Help: "Questions to peers by result (ok, failed).",
		}, []string{"result"}),
		askSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "burdock_peer_ask_seconds", Help: "Duration of questions to peers.", Buckets: callBuckets,
		}),
		putOff: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "burdock_peer_answers_put_off_total", Help: "Questions of peers for everything that were put off.",
		}),
	}
	registry.MustRegister(m.reads, m.readSeconds, m.asks, m.askSeconds, m.putOff, pools{knowledge},
		gauge("burdock_knowledge_age_seconds", "Time since the store confirmed what the instance knows.", func() float64 {
			now := knowledge.Now()
			_, fresh := knowledge.Current(now)
			return fresh.Age.Seconds()
		}),
		gauge("burdock_knowledge_revision", "Revision of the store that the instance knows.", func() float64 {
			at, _ := knowledge.At()
			return float64(at)
		}),
		gauge("burdock_configuration_version", "Version of the configuration in force.", func() float64 {
			view, _ := knowledge.Current(knowledge.Now())
			return float64(view.Version())
		}),
		gauge("burdock_peers", "Other instances heard of lately.", func() float64 {
			return float64(peers.Count())
		}),
	)
	return m
}

// pools collects the state of the services' endpoints when metrics are fetched.
type pools struct {
	knowledge *Knowledge
}

var (
	endpointsDesc = prometheus.NewDesc("burdock_endpoints", "Listed endpoints by service and condition.",
		[]string{"service", "condition"}, nil)
	waitingDesc = prometheus.NewDesc("burdock_requests_waiting", "Requests without a response by service.",
		[]string{"service"}, nil)
	limitDesc = prometheus.NewDesc("burdock_admission_limit", "Limit of the requests under way by service, 0 for none.",
		[]string{"service"}, nil)
)

// Describe implements prometheus.Collector.
func (pools) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- endpointsDesc
	descriptions <- waitingDesc
	descriptions <- limitDesc
}

// Collect implements prometheus.Collector.
func (p pools) Collect(metrics chan<- prometheus.Metric) {
	send := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	for _, status := range p.knowledge.Pools() {
		send(endpointsDesc, float64(status.Healthy), status.Service, "healthy")
		send(endpointsDesc, float64(status.Probation), status.Service, "probation")
		send(endpointsDesc, float64(status.Suspect), status.Service, "suspect")
		send(endpointsDesc, float64(status.Draining), status.Service, "draining")
		send(waitingDesc, float64(status.InFlight), status.Service)
		send(limitDesc, status.Limit, status.Service)
	}
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
}

func result(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

func (m *Metrics) read(ok bool, took time.Duration) {
	m.reads.WithLabelValues(result(ok)).Inc()
	m.readSeconds.Observe(took.Seconds())
}

func (m *Metrics) asked(ok bool, took time.Duration) {
	m.asks.WithLabelValues(result(ok)).Inc()
	m.askSeconds.Observe(took.Seconds())
}
