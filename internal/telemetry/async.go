package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the buffered lines. It holds the lines of a few seconds.
	maxPendingBytes = 256 << 10
	// writeDelay is how long lines are buffered before they are written at once.
	writeDelay = 100 * time.Millisecond
)

// AsyncWriter buffers lines and writes them to another writer in a goroutine of
// its own, so that Write never blocks on the output. Each call of Write passes one
// whole line. If the buffer is full, the line is dropped, and a log_lines_lost line
// with the number of dropped lines is written. It is safe for concurrent use.
type AsyncWriter struct {
	output io.Writer
	// formatLost returns the line that reports the number of dropped lines.
	formatLost func(lines uint64) string

	mu        sync.Mutex
	pending   []byte
	spare     []byte
	lostLines uint64
	closed    bool

	ready chan struct{}
	done  chan struct{}
}

// NewAsyncWriter starts a writer to output. The program name appears in
// log_lines_lost lines. Call Close to stop the writer.
func NewAsyncWriter(output io.Writer, program string) *AsyncWriter {
	w := &AsyncWriter{
		output: output,
		formatLost: func(lines uint64) string {
			return fmt.Sprintf("time=%s level=warn event=log_lines_lost program=%s lines=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), program, lines)
		},
		ready: make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers a line or, if the buffer is full, drops it. It never returns an
// error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.lostLines++
		w.mu.Unlock()
		return len(line), nil
	}
	first := len(w.pending) == 0
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	if first {
		w.wake()
	}
	return len(line), nil
}

func (w *AsyncWriter) wake() {
	select {
	case w.ready <- struct{}{}:
	default:
	}
}

// Close writes the buffered lines and stops the writer. Lines that are written
// afterwards are dropped.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	w.wake()
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for range w.ready {
		if !w.isClosed() {
			time.Sleep(writeDelay)
		}
		if w.flush() {
			return
		}
	}
}

func (w *AsyncWriter) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// flush writes the buffered lines and reports whether the writer is closed.
func (w *AsyncWriter) flush() bool {
	w.mu.Lock()
	lines, lostLines, closed := w.pending, w.lostLines, w.closed
	w.pending, w.lostLines = w.spare[:0], 0
	w.mu.Unlock()
	if lostLines > 0 {
		lines = append(lines, w.formatLost(lostLines)...)
	}
	// The log is the only place to report errors, so an error of the log itself is
	// ignored.
	_, _ = w.output.Write(lines)
	w.spare = lines[:0]
	return closed
}
