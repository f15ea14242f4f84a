package endpoint

import (
	"bufio"
	"fmt"
	"os"
)

// runLog records each run of a report in a file before the report counts as
// run, so that a killed endpoint that starts again still knows its reports.
type runLog struct {
	file *os.File
}

// openRunLog reads the runs of earlier processes and opens the file for more.
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

// appendRun writes the identifier in one call, which a kill of the process leaves
// whole or undone.
func (l *runLog) appendRun(id string) error {
	_, err := fmt.Fprintf(l.file, "%s\n", id)
	return err
}
