// Command standin plays the users' platform, its clients and its endpoints around real
// burdock-relayd processes, for the cases of the review.
//
// Usage: standin CASE PROGRAM RECORD
//
// It runs a case with the given program and writes what was sent, answered and run to the file
// RECORD. It exits with 1 if the case's rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// scenario is one case.
type scenario struct {
	rule string
	// deployments is the number of independent deployments that a run plays side by side.
	deployments int
	run         func(w *world, program string, trouble bool) error
}

var scenarios = map[string]scenario{
	"freeze": {"CONFIG", 8, runFreeze},
	"copy":   {"CONFIG", 1, runCopy},
	"label":  {"FLOW", 1, runLabel},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(caseName, program, path string) int {
	s, found := scenarios[caseName]
	if !found {
		fmt.Fprintln(os.Stderr, "no case", caseName)
		return 2
	}
	record, err := newRecorder(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.file.Close()
	results := make(chan error, s.deployments)
	var worlds []*world
	for number := range s.deployments {
		w, err := newWorld(record, number)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		worlds = append(worlds, w)
		go func() {
			defer w.close()
			results <- s.run(w, program, os.Getenv("TROUBLE") != "0")
		}()
	}
	killOnSignal(worlds)
	code := 0
	for range worlds {
		if err := <-results; err != nil {
			fmt.Fprintln(os.Stderr, "the case could not run:", err)
			code = 2
		}
	}
	for _, w := range worlds {
		<-w.closed
		fmt.Println(w.deployment, "attempts by result:", w.results, "rules broken:", w.violations)
	}
	if code == 0 && record.breaks(s.rule) > 0 {
		code = 1
	}
	return code
}

// killOnSignal ends the processes of all deployments when this process is told to stop.
func killOnSignal(worlds []*world) {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stops
		for _, w := range worlds {
			w.close()
		}
		os.Exit(2)
	}()
}
