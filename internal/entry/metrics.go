package entry

import (
	"strconv"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	// firstCode and codeRange give the range of the packet, routing and admission
	// result codes: 1000 to 1299.
	firstCode = 1000
	codeRange = 300
)

// codeCounters counts packets by result code. Each worker has its own, which
// avoids contention for cache lines.
type codeCounters struct {
	counts [codeRange]atomic.Uint64
	// other counts codes outside the range; no packet should have one. It is
	// exported as PacketUnknownResult.
	other atomic.Uint64
}

func (c *codeCounters) add(code resultcode.Code) {
	index := int(code) - firstCode
	if index < 0 || index >= codeRange {
		c.other.Add(1)
		return
	}
	c.counts[index].Add(1)
}

// counters holds the packet and byte counts of one worker.
type counters struct {
	codes           codeCounters
	receivedPackets atomic.Uint64
	receivedBytes   atomic.Uint64
	sentBytes       atomic.Uint64
	forwarded       atomic.Uint64
	relayed         atomic.Uint64
	resets          atomic.Uint64
	resetsWithheld  atomic.Uint64
	// lastReceived is when the last batch arrived, in nanoseconds since the
	// server was created (monotonic clock).
	lastReceived atomic.Int64
}

// metrics holds the histograms and violation counters of the packet path.
type metrics struct {
	batchPackets prometheus.Histogram
	batchSeconds prometheus.Histogram
	violations   *prometheus.CounterVec
	// violationTotal is the sum over all invariants, for Stats.
	violationTotal atomic.Uint64
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		batchPackets: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "burdock_entry_batch_packets",
			Help:    "Packets received in one batch.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 7),
		}),
		batchSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "burdock_entry_batch_duration_seconds",
			Help:    "Time from receiving a batch to having sent its packets.",
			Buckets: prometheus.ExponentialBuckets(10e-6, 4, 9),
		}),
		violations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "burdock_entry_invariant_violations_total",
			Help: "Actions stopped because they would break an invariant.",
		}, []string{"invariant"}),
	}
	for _, invariant := range invariants {
		m.violations.WithLabelValues(string(invariant))
	}
	registry.MustRegister(m.batchPackets, m.batchSeconds, m.violations)
	return m
}

func (m *metrics) countViolation(name invariant) {
	m.violations.WithLabelValues(string(name)).Inc()
	m.violationTotal.Add(1)
}

// collector exports the counters of the workers and shards. It reads them on
// each scrape.
type collector struct {
	server *Server
}

var (
	descResults = prometheus.NewDesc("burdock_entry_results_total",
		"Packets by result code.", []string{"code"}, nil)
	descReceivedPackets = prometheus.NewDesc("burdock_entry_received_packets_total",
		"Packets received from the fabric and from peers.", nil, nil)
	descReceivedBytes = prometheus.NewDesc("burdock_entry_received_bytes_total",
		"Geneve bytes received from the fabric and from peers.", nil, nil)
	descSentBytes = prometheus.NewDesc("burdock_entry_sent_bytes_total",
		"Geneve bytes sent to endpoints, peers and the fabric.", nil, nil)
	descForwarded = prometheus.NewDesc("burdock_entry_forwarded_packets_total",
		"Packets sent to endpoints.", nil, nil)
	descRelayed = prometheus.NewDesc("burdock_entry_relayed_packets_total",
		"Packets sent to other instances.", nil, nil)
	descResets = prometheus.NewDesc("burdock_entry_resets_total",
		"Refusal resets sent to the fabric.", nil, nil)
	descResetsWithheld = prometheus.NewDesc("burdock_entry_resets_withheld_total",
		"Refusals without a reset: UDP flows, or no fabric return address.", nil, nil)
	descOpenFlows = prometheus.NewDesc("burdock_entry_open_flows",
		"Flows in the flow table.", nil, nil)
	descMaxFlows = prometheus.NewDesc("burdock_entry_max_flows",
		"Capacity of the flow table in flows.", nil, nil)
	descFlowsOpened = prometheus.NewDesc("burdock_entry_flows_opened_total",
		"Flows that got an endpoint.", nil, nil)
	descFlowsRefused = prometheus.NewDesc("burdock_entry_flows_refused_total",
		"First packets that were refused.", nil, nil)
	descFlowsAdopted = prometheus.NewDesc("burdock_entry_flows_adopted_total",
		"Flows that were first seen after their first packet.", nil, nil)
	descExceptionsLost = prometheus.NewDesc("burdock_entry_exceptions_lost_total",
		"Exceptions of other owners that found no room.", nil, nil)
	descPendingUpdates = prometheus.NewDesc("burdock_entry_pending_updates",
		"Replication updates that no instance has acknowledged.", nil, nil)
	descExceptionsOwned = prometheus.NewDesc("burdock_entry_owned_exceptions",
		"Exceptions of flows that this instance owns.", nil, nil)
	descExceptionsHeld = prometheus.NewDesc("burdock_entry_held_exceptions",
		"Exceptions held for other owners.", nil, nil)
	descFenced = prometheus.NewDesc("burdock_entry_fenced",
		"1 when the ownership lease has lapsed.", nil, nil)
	descRelease = prometheus.NewDesc("burdock_entry_release_number",
		"Release in force, 0 before the first.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		descResults, descReceivedPackets, descReceivedBytes, descSentBytes, descForwarded, descRelayed,
		descResets, descResetsWithheld, descOpenFlows, descMaxFlows, descFlowsOpened, descFlowsRefused,
		descFlowsAdopted, descExceptionsLost, descPendingUpdates,
		descExceptionsOwned, descExceptionsHeld, descFenced, descRelease,
	} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(out chan<- prometheus.Metric) {
	counter := func(desc *prometheus.Desc, value uint64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	gauge := func(desc *prometheus.Desc, value float64) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	totals := c.server.totals()
	for code, count := range totals.results {
		counter(descResults, count, strconv.FormatUint(uint64(code), 10))
	}
	counter(descReceivedPackets, totals.receivedPackets)
	counter(descReceivedBytes, totals.receivedBytes)
	counter(descSentBytes, totals.sentBytes)
	counter(descForwarded, totals.forwarded)
	counter(descRelayed, totals.relayed)
	counter(descResets, totals.resets)
	counter(descResetsWithheld, totals.resetsWithheld)
	flows := c.server.flowStats()
	gauge(descOpenFlows, float64(flows.OpenFlows))
	gauge(descMaxFlows, float64(flows.MaxFlows))
	counter(descFlowsOpened, flows.FlowsOpened)
	counter(descFlowsRefused, flows.FlowsRefused)
	counter(descFlowsAdopted, flows.FlowsAdopted)
	counter(descExceptionsLost, flows.ExceptionsLost)
	gauge(descPendingUpdates, float64(flows.Pending))
	gauge(descExceptionsOwned, float64(flows.ExceptionsOwned))
	gauge(descExceptionsHeld, float64(flows.ExceptionsHeld))
	fenced := 0.0
	if c.server.fenced() {
		fenced = 1
	}
	gauge(descFenced, fenced)
	gauge(descRelease, float64(c.server.release()))
}

// totals holds the sums of the counters of all workers.
type totals struct {
	results         map[resultcode.Code]uint64
	receivedPackets uint64
	receivedBytes   uint64
	sentBytes       uint64
	forwarded       uint64
	relayed         uint64
	resets          uint64
	resetsWithheld  uint64
}

func newTotals() *totals {
	return &totals{results: make(map[resultcode.Code]uint64)}
}

func (t *totals) add(worker *counters) {
	for index := range worker.codes.counts {
		if count := worker.codes.counts[index].Load(); count > 0 {
			t.results[resultcode.Code(firstCode+index)] += count
		}
	}
	if count := worker.codes.other.Load(); count > 0 {
		t.results[resultcode.PacketUnknownResult] += count
	}
	t.receivedPackets += worker.receivedPackets.Load()
	t.receivedBytes += worker.receivedBytes.Load()
	t.sentBytes += worker.sentBytes.Load()
	t.forwarded += worker.forwarded.Load()
	t.relayed += worker.relayed.Load()
	t.resets += worker.resets.Load()
	t.resetsWithheld += worker.resetsWithheld.Load()
}
