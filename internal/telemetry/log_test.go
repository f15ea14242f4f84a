package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// Guards against events that span several lines, which line-based log collectors
// would split.
func TestLoggerWritesOneLinePerEvent(t *testing.T) {
	var output bytes.Buffer
	logger, err := NewLogger(&output, "info", "test")
	if err != nil {
		t.Fatal(err)
	}
	logger.Info("release_applied", zap.Uint64("release", 7), zap.String("detail", "a\nb"))
	if lines := strings.Count(output.String(), "\n"); lines != 1 {
		t.Fatalf("got %d lines: %q", lines, output.String())
	}
	if !strings.Contains(output.String(), "release=7") {
		t.Fatalf("missing key=value pair: %q", output.String())
	}
}
