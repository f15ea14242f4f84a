package endpoint

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/standins/content"
	"burdockrelay.example/burdockrelay/standins/process"
	"golang.org/x/time/rate"
)

// Response headers.
const (
	// HeaderEndpoint names the endpoint that answered.
	HeaderEndpoint = "X-Endpoint"
	// HeaderRequest repeats the identifier of the request.
	HeaderRequest = "X-Request"
	// HeaderNotRun is "true" on a refusal of a request that was not run.
	HeaderNotRun = "X-Not-Run"
)

const (
	maxDrawing = 1 << 30
	// chunk is the size of one write of a drawing, and the burst of a slow one.
	chunk         = 16 << 10
	maxReportBody = 64 << 10
	maxReportIDs  = 1 << 20
)

// requests serves callers with a bounded number of slots.
type requests struct {
	name  string
	slots chan struct{}
	queue int

	mutex    sync.Mutex
	waiting  int
	running  int
	delay    time.Duration
	reports  map[string]int
	ledger   *ledger
	counters requestCounters
}

type requestCounters struct {
	Drawings       uint64 `json:"drawings"`
	BrokenDrawings uint64 `json:"broken_drawings"`
	Boards         uint64 `json:"boards"`
	Reports        uint64 `json:"reports"`
	Refused        uint64 `json:"refused"`
	// Abandoned counts requests whose caller left before they got a slot.
	Abandoned uint64 `json:"abandoned"`
}

func newRequests(name string, slots, queue int) *requests {
	return &requests{
		name:    name,
		slots:   make(chan struct{}, slots),
		queue:   queue,
		reports: make(map[string]int),
	}
}

// keepIn takes the runs of earlier processes from a file and records further
// ones there.
func (q *requests) keepIn(name string) error {
	opened, runs, err := openLedger(name)
	if err != nil {
		return err
	}
	q.ledger, q.reports = opened, runs
	return nil
}

// load returns the number of requests under way and waiting.
func (q *requests) load() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.waiting + q.running
}

func (q *requests) setDelay(delay time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.delay = delay
}

func (q *requests) count(change func(*requestCounters)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	change(&q.counters)
}

func (q *requests) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /drawing/{size}", q.limited(q.drawing))
	mux.HandleFunc("GET /board", q.limited(q.board))
	mux.HandleFunc("POST /report/{id}", q.limited(q.report))
	return mux
}

var (
	errQueueFull = errors.New("all slots and the queue are full")
	errAbandoned = errors.New("the caller left")
)

// limited runs the handler in a slot.
func (q *requests) limited(run http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderEndpoint, q.name)
		w.Header().Set(HeaderRequest, requestID(r))
		delay, err := q.acquire(r.Context())
		if err != nil {
			w.Header().Set(HeaderNotRun, "true")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer q.release()
		time.Sleep(delay)
		run(w, r)
	}
}

func requestID(r *http.Request) string {
	if id := r.PathValue("id"); id != "" {
		return id
	}
	return r.URL.Query().Get("id")
}

// acquire waits for a slot and returns the set delay of requests.
func (q *requests) acquire(ctx context.Context) (time.Duration, error) {
	if !q.enqueue() {
		return 0, errQueueFull
	}
	var err error
	select {
	case q.slots <- struct{}{}:
	case <-ctx.Done():
		err = errAbandoned
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.waiting--
	if err != nil {
		q.counters.Abandoned++
		return 0, err
	}
	q.running++
	return q.delay, nil
}

func (q *requests) enqueue() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.waiting+q.running >= cap(q.slots)+q.queue {
		q.counters.Refused++
		return false
	}
	q.waiting++
	return true
}

func (q *requests) release() {
	<-q.slots
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.running--
}

// drawing sends deterministic bytes, slowly if a rate in bytes per second is
// given, so that a download stays in flight.
func (q *requests) drawing(w http.ResponseWriter, r *http.Request) {
	q.count(func(c *requestCounters) { c.Drawings++ })
	size, err := strconv.ParseInt(r.PathValue("size"), 10, 64)
	if err != nil || size < 0 || size > maxDrawing {
		http.Error(w, fmt.Sprintf("size is not between 0 and %d", maxDrawing), http.StatusBadRequest)
		return
	}
	limit, err := drawingRate(r.URL.Query().Get("rate"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if err := copyAt(r.Context(), w, content.Reader(requestID(r), size), limit); err != nil {
		q.count(func(c *requestCounters) { c.BrokenDrawings++ })
	}
}

func drawingRate(text string) (rate.Limit, error) {
	if text == "" {
		return rate.Inf, nil
	}
	bytesPerSecond, err := strconv.ParseUint(text, 10, 32)
	if err != nil || bytesPerSecond == 0 {
		return 0, errors.New("rate is not a positive number of bytes per second")
	}
	return rate.Limit(bytesPerSecond), nil
}

func copyAt(ctx context.Context, w http.ResponseWriter, from io.Reader, limit rate.Limit) error {
	// Small pieces keep bytes moving on a slow download, which callers need to
	// tell a slow flow from a broken one.
	piece := chunk
	if limit < 10*chunk {
		piece = max(1, int(limit/10))
	}
	limiter := rate.NewLimiter(limit, piece)
	buffer := make([]byte, piece)
	controller := http.NewResponseController(w)
	for whole := true; whole; {
		n, _ := io.ReadFull(from, buffer)
		whole = n == len(buffer)
		if err := limiter.WaitN(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(buffer[:n]); err != nil {
			return err
		}
		if err := controller.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// Board is the order board of one endpoint.
type Board struct {
	Endpoint string `json:"endpoint"`
	Request  string `json:"request"`
	Orders   int    `json:"orders"`
}

func (q *requests) board(w http.ResponseWriter, r *http.Request) {
	q.mutex.Lock()
	q.counters.Boards++
	board := Board{Endpoint: q.name, Request: requestID(r), Orders: len(q.reports)}
	q.mutex.Unlock()
	process.WriteJSON(w, http.StatusOK, board)
}

// ReportAnswer confirms a report.
type ReportAnswer struct {
	Endpoint string `json:"endpoint"`
	Report   string `json:"report"`
	// Runs is how often this endpoint has run the report.
	Runs int `json:"runs"`
}

// report runs a report, which counts it: a second run is visible.
func (q *requests) report(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxReportBody))
	if err != nil {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	runs, ok := q.runReport(requestID(r))
	if !ok {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "too many reports, or the run cannot be recorded", http.StatusInsufficientStorage)
		return
	}
	process.WriteJSON(w, http.StatusOK, ReportAnswer{q.name, requestID(r), runs})
}

func (q *requests) runReport(id string) (int, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if _, known := q.reports[id]; !known && len(q.reports) >= maxReportIDs {
		return 0, false
	}
	if q.ledger != nil && q.ledger.add(id) != nil {
		return 0, false
	}
	q.counters.Reports++
	q.reports[id]++
	return q.reports[id], true
}
