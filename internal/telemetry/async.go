package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes bounds the lines that wait to be written: some seconds of them.
	maxPendingBytes = 256 << 10
	// writeDelay is how long lines are gathered before one write takes them.
	writeDelay = 100 * time.Millisecond
)

// AsyncWriter passes whole lines on to another writer without ever blocking the
// caller. Lines that do not fit are left out and counted in a line of their own.
type AsyncWriter struct {
	output io.Writer
	// formatLost formats the line that counts the lines left out.
	formatLost func(lines uint64) string

	mu        sync.Mutex
	pending   []byte
	spare     []byte
	lostLines uint64
	closed    bool

	ready chan struct{}
	done  chan struct{}
}

// NewAsyncWriter starts a writer to output. Close ends it.
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

// Write takes a line. It never fails.
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

// Close writes what is pending and ends the writer.
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

// flush writes what is pending and reports whether the writer is closed.
func (w *AsyncWriter) flush() bool {
	w.mu.Lock()
	lines, lostLines, closed := w.pending, w.lostLines, w.closed
	w.pending, w.lostLines = w.spare[:0], 0
	w.mu.Unlock()
	if lostLines > 0 {
		lines = append(lines, w.formatLost(lostLines)...)
	}
	// A log that cannot be written has nowhere to report it.
	_, _ = w.output.Write(lines)
	w.spare = lines[:0]
	return closed
}
