package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedOutput blocks writes until it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against blocking the packet path when the reader of the log stops
// reading, and against dropping lines without reporting their number.
func TestAsyncWriterNeverBlocksAndCountsLostLines(t *testing.T) {
	output := &blockedOutput{release: make(chan struct{})}
	writer := NewAsyncWriter(output, "test")
	line := []byte(strings.Repeat("x", 1023) + "\n")
	started := time.Now()
	const lines = 3 * maxPendingBytes / 1024
	for range lines {
		if n, err := writer.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, %v", n, err)
		}
	}
	if took := time.Since(started); took > time.Second {
		t.Fatalf("writing to a blocked output took %v", took)
	}
	close(output.release)
	writer.Close()
	text := output.written.String()
	if !strings.Contains(text, "event=log_lines_lost program=test lines=") {
		t.Error("the number of dropped lines is not reported")
	}
	if kept := strings.Count(text, string(line)); kept == 0 || kept >= lines {
		t.Errorf("%d of %d lines kept", kept, lines)
	}
}

// Guards against losing buffered lines on Close.
func TestAsyncWriterWritesPendingLinesOnClose(t *testing.T) {
	var output bytes.Buffer
	writer := NewAsyncWriter(&output, "test")
	_, _ = writer.Write([]byte("one\n"))
	_, _ = writer.Write([]byte("two\n"))
	writer.Close()
	if output.String() != "one\ntwo\n" {
		t.Errorf("written: %q", output.String())
	}
}
