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
	// HeaderEndpoint is the name of the endpoint that sent the response.
	HeaderEndpoint = "X-Endpoint"
	// HeaderRequest is the identifier of the request.
	HeaderRequest = "X-Request"
	// HeaderNotRun is "true" if the request was refused without being run.
	HeaderNotRun = "X-Not-Run"
)

const (
	maxDrawingBytes = 1 << 30
	// maxChunkBytes is the maximum size of one write of a drawing, and of a burst
	// if the rate is limited.
	maxChunkBytes      = 16 << 10
	maxReportBodyBytes = 64 << 10
	maxReportIDs       = 1 << 20
)

// requestServer serves requests. It limits the number that run concurrently and
// the number that wait.
type requestServer struct {
	name string
	// slots holds one element for each running request.
	slots chan struct{}
	// queue is the maximum number of waiting requests.
	queue int

	mutex   sync.Mutex
	waiting int
	running int
	delay   time.Duration
	// reports is the number of runs by report identifier.
	reports map[string]int
	// runLog is nil if runs are kept in memory only.
	runLog   *runLog
	counters requestCounters
}

type requestCounters struct {
	Drawings       uint64 `json:"drawings"`
	BrokenDrawings uint64 `json:"broken_drawings"`
	Boards         uint64 `json:"boards"`
	Reports        uint64 `json:"reports"`
	Refused        uint64 `json:"refused"`
	// Abandoned counts requests whose caller disconnected while they waited for a
	// slot.
	Abandoned uint64 `json:"abandoned"`
}

func newRequestServer(name string, slots, queue int) *requestServer {
	return &requestServer{
		name:    name,
		slots:   make(chan struct{}, slots),
		queue:   queue,
		reports: make(map[string]int),
	}
}

// persistRuns loads the runs of reports recorded in a file by earlier processes,
// and records further runs in it.
func (s *requestServer) persistRuns(name string) error {
	opened, runs, err := openRunLog(name)
	if err != nil {
		return err
	}
	s.runLog, s.reports = opened, runs
	return nil
}

// load returns the number of requests that run or wait for a slot.
func (s *requestServer) load() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.waiting + s.running
}

func (s *requestServer) setDelay(delay time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delay = delay
}

func (s *requestServer) updateCounters(change func(*requestCounters)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.counters)
}

func (s *requestServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /drawing/{size}", s.withSlot(s.serveDrawing))
	mux.HandleFunc("GET /board", s.withSlot(s.serveBoard))
	mux.HandleFunc("POST /report/{id}", s.withSlot(s.serveReport))
	return mux
}

var (
	errQueueFull = errors.New("request refused: all slots and the queue are full")
	errAbandoned = errors.New("caller disconnected while the request waited for a slot")
)

// withSlot wraps a handler: it sets the response headers, waits for a slot, applies
// the request delay and runs the handler. A request that gets no slot is refused
// with status 503 and HeaderNotRun.
func (s *requestServer) withSlot(run http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderEndpoint, s.name)
		w.Header().Set(HeaderRequest, requestID(r))
		delay, err := s.acquire(r.Context())
		if err != nil {
			w.Header().Set(HeaderNotRun, "true")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		defer s.release()
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

// acquire waits for a slot and returns the configured request delay. It fails if
// the queue is full or the context ends.
func (s *requestServer) acquire(ctx context.Context) (time.Duration, error) {
	if !s.enqueue() {
		return 0, errQueueFull
	}
	var err error
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		err = errAbandoned
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting--
	if err != nil {
		s.counters.Abandoned++
		return 0, err
	}
	s.running++
	return s.delay, nil
}

// enqueue counts the request as waiting, or returns false if the queue is full.
func (s *requestServer) enqueue() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting+s.running >= cap(s.slots)+s.queue {
		s.counters.Refused++
		return false
	}
	s.waiting++
	return true
}

func (s *requestServer) release() {
	<-s.slots
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running--
}

// serveDrawing sends the content of a drawing of the requested size. The optional
// query parameter rate limits the transfer, in bytes per second, so that downloads
// stay in flight for a while.
func (s *requestServer) serveDrawing(w http.ResponseWriter, r *http.Request) {
	s.updateCounters(func(c *requestCounters) { c.Drawings++ })
	size, err := strconv.ParseInt(r.PathValue("size"), 10, 64)
	if err != nil || size < 0 || size > maxDrawingBytes {
		http.Error(w, fmt.Sprintf("size must be an integer between 0 and %d", maxDrawingBytes), http.StatusBadRequest)
		return
	}
	limit, err := drawingRate(r.URL.Query().Get("rate"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if err := copyAtRate(r.Context(), w, content.Reader(requestID(r), size), limit); err != nil {
		s.updateCounters(func(c *requestCounters) { c.BrokenDrawings++ })
	}
}

// drawingRate parses the query parameter rate.
func drawingRate(text string) (rate.Limit, error) {
	if text == "" {
		return rate.Inf, nil
	}
	bytesPerSecond, err := strconv.ParseUint(text, 10, 32)
	if err != nil || bytesPerSecond == 0 {
		return 0, errors.New("rate must be a positive integer, in bytes per second")
	}
	return rate.Limit(bytesPerSecond), nil
}

// copyAtRate writes a response body at the given rate until the reader ends, the
// context ends or a write fails.
func copyAtRate(ctx context.Context, w http.ResponseWriter, from io.Reader, limit rate.Limit) error {
	// At low rates, about ten small chunks are written per second, so that
	// callers do not mistake a slow flow for a stalled one.
	chunkBytes := maxChunkBytes
	if limit < 10*maxChunkBytes {
		chunkBytes = max(1, int(limit/10))
	}
	limiter := rate.NewLimiter(limit, chunkBytes)
	buffer := make([]byte, chunkBytes)
	controller := http.NewResponseController(w)
	for more := true; more; {
		n, _ := io.ReadFull(from, buffer)
		more = n == len(buffer)
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

// Board is the response with the order board of one endpoint.
type Board struct {
	Endpoint string `json:"endpoint"`
	// Request is the identifier of the request.
	Request string `json:"request"`
	// Orders is the number of different reports that this endpoint has run.
	Orders int `json:"orders"`
}

func (s *requestServer) serveBoard(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.counters.Boards++
	board := Board{Endpoint: s.name, Request: requestID(r), Orders: len(s.reports)}
	s.mutex.Unlock()
	process.WriteJSON(w, http.StatusOK, board)
}

// ReportResponse confirms that a report was run.
type ReportResponse struct {
	Endpoint string `json:"endpoint"`
	// Report is the identifier of the report.
	Report string `json:"report"`
	// Runs is the number of times that this endpoint has run the report.
	Runs int `json:"runs"`
}

// serveReport runs a report. Running it means counting it, so that a second run can
// be detected.
func (s *requestServer) serveReport(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxReportBodyBytes))
	if err != nil {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	runs, ok := s.runReport(requestID(r))
	if !ok {
		w.Header().Set(HeaderNotRun, "true")
		http.Error(w, "report not run: too many reports, or the run could not be recorded", http.StatusInsufficientStorage)
		return
	}
	process.WriteJSON(w, http.StatusOK, ReportResponse{s.name, requestID(r), runs})
}

// runReport counts a run of a report and returns the number of its runs. It returns
// false, without counting it, if there are too many reports or the run could not be
// recorded.
func (s *requestServer) runReport(id string) (int, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, known := s.reports[id]; !known && len(s.reports) >= maxReportIDs {
		return 0, false
	}
	if s.runLog != nil && s.runLog.appendRun(id) != nil {
		return 0, false
	}
	s.counters.Reports++
	s.reports[id]++
	return s.reports[id], true
}
