package endpoint

import (
	"bufio"
	"fmt"
	"os"
)

// runLog is an append-only file with one line for each run of a report, the report
// identifier. A run is recorded before it counts, so that the counts survive if
// the process is killed and restarted.
type runLog struct {
	file *os.File
}

// openRunLog opens or creates the file for appending. It returns the number of runs
// by report identifier that it contains, for at most maxReportIDs reports.
func openRunLog(name string) (*runLog, map[string]int, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, nil, err
	}
	runs := make(map[string]int)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if len(runs) >= maxReportIDs {
			break
		}
		runs[lines.Text()]++
	}
	if err := lines.Err(); err != nil {
		_ = file.Close()
		return nil, nil, err
	}
	return &runLog{file}, runs, nil
}

// appendRun records a run. It makes a single write call, so that a killed process
// leaves either the complete line or nothing.
func (l *runLog) appendRun(id string) error {
	_, err := fmt.Fprintf(l.file, "%s\n", id)
	return err
}
