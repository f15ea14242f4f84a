package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Guards against violations of the delivery guarantees under injected faults, with one
// seed for a short time. make soak-faults makes longer runs.
func TestShortRun(t *testing.T) {
	folder, program := t.TempDir(), buildRelayd(t)
	events, err := os.Create(filepath.Join(folder, "faults.txt"))
	if err != nil {
		t.Fatal(err)
	}
	defer events.Close()
	result, err := Run(Settings{
		Seed: 1, Length: 15 * time.Second, Instances: 4, Program: program, Folder: folder, Output: events,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", result)
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		if content, err := os.ReadFile(events.Name()); err == nil {
			t.Logf("faults:\n%s", content)
		}
	}
}

// buildRelayd builds burdock-relayd and returns the path of the program.
func buildRelayd(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "burdock-relayd")
	build := exec.Command("go", "build", "-o", program, "./binaries/burdock-relayd")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return program
}
