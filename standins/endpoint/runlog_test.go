package endpoint

import (
	"path/filepath"
	"testing"
)

// TestReportsSurviveRestart guards against reports that are lost, or counted once
// instead of twice, when an endpoint is killed and restarted.
func TestReportsSurviveRestart(t *testing.T) {
	name := filepath.Join(t.TempDir(), "reports")
	first := newRequestServer("order-1", 2, 2)
	if err := first.persistRuns(name); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"report-1", "report-2"} {
		if runs, ok := first.runReport(id); runs != 1 || !ok {
			t.Fatalf("%s: %d runs (accepted: %v), want 1", id, runs, ok)
		}
	}
	second := newRequestServer("order-1", 2, 2)
	if err := second.persistRuns(name); err != nil {
		t.Fatal(err)
	}
	if len(second.reports) != 2 {
		t.Errorf("%d reports after the restart, want 2", len(second.reports))
	}
	if runs, ok := second.runReport("report-2"); runs != 2 || !ok {
		t.Errorf("second run of report-2: %d runs (accepted: %v), want 2", runs, ok)
	}
}

// TestUnrecordedReportIsNotRun guards against a report that counts as run although
// the run could not be recorded.
func TestUnrecordedReportIsNotRun(t *testing.T) {
	s := newRequestServer("order-1", 2, 2)
	if err := s.persistRuns(filepath.Join(t.TempDir(), "reports")); err != nil {
		t.Fatal(err)
	}
	if err := s.runLog.file.Close(); err != nil {
		t.Fatal(err)
	}
	if _, ok := s.runReport("report-1"); ok || len(s.reports) != 0 {
		t.Errorf("accepted: %v, %d reports counted, want the report rejected", ok, len(s.reports))
	}
}
