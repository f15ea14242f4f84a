package lifecycle

import (
	"errors"
	"testing"

	"gopkg.in/tomb.v2"
)

// Guards against a panic when the first of several jobs ends before the next one is started.
func TestJobsThatEndAtOnce(t *testing.T) {
	failed := errors.New("failed")
	for range 20_000 {
		var jobs tomb.Tomb
		Go(&jobs, func() error { return failed }, func() error { return nil }, func() error { return nil })
		if err := jobs.Wait(); !errors.Is(err, failed) {
			t.Fatalf("error %v, want the one of the first job", err)
		}
	}
}
