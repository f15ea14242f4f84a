// Command fault-soak runs burdock-relayd processes on loopback under random faults.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"burdockrelay.example/burdockrelay/standins/soak"
)

func main() {
	os.Exit(run())
}

func run() int {
	seed := flag.Int64("seed", 0, "first `seed`; 0 derives one from the clock")
	seeds := flag.Int("seeds", 0, "`number` of seeds; 0 runs seeds until minutes have passed")
	length := flag.Duration("length", 40*time.Second, "`duration` of fault injection for each seed")
	minutes := flag.Float64("minutes", 5, "`minutes` to run when no number of seeds is given")
	instances := flag.Int("instances", 4, "`number` of instances")
	program := flag.String("program", "bin/burdock-relayd", "path of burdock-relayd")
	folder := flag.String("out", "out/soak", "`folder` for settings and logs")
	verbose := flag.Bool("v", false, "print all violations instead of the first 5 of each seed")
	flag.Parse()
	if *seed == 0 {
		*seed = time.Now().UnixNano() % 1_000_000
	}
	startedAt := time.Now()
	failed := 0
	for n := int64(0); ; n++ {
		if *seeds > 0 && n >= int64(*seeds) || *seeds == 0 && n > 0 && time.Since(startedAt).Minutes() >= *minutes {
			break
		}
		if !runSeed(*seed+n, *length, *instances, *program, *folder, *verbose) {
			failed++
		}
	}
	if failed > 0 {
		fmt.Printf("%d seeds failed\n", failed)
		return 1
	}
	return 0
}

// runSeed runs one seed with a folder of its own and reports whether it passed.
func runSeed(seed int64, length time.Duration, instances int, program, folder string, verbose bool) bool {
	seedFolder := filepath.Join(folder, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(seedFolder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	if err := os.MkdirAll(seedFolder, 0o755); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	events, err := os.Create(filepath.Join(seedFolder, "faults.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	defer events.Close()
	result, err := soak.Run(soak.Settings{
		Seed: seed, Length: length, Instances: instances, Program: program, Folder: seedFolder, Output: events,
	})
	if err != nil {
		fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d of %d requests answered, %d flows broken, after the faults %d of %d; %d violations\n",
		seed, result.Faults, result.Answered, result.Requests, result.BrokenFlows,
		result.FaultFreeAnswered, result.FaultFreeRequests, len(result.Violations))
	for n, violation := range result.Violations {
		fmt.Fprintln(events, violation)
		if verbose || n < 5 {
			fmt.Println("  " + violation)
		}
	}
	return len(result.Violations) == 0
}
