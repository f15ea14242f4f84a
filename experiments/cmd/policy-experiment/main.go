// Command policy-experiment compares the load policies with two baselines on
// simulated workloads and writes the results as CSV and plots.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/experiments/report"
	"burdockrelay.example/burdockrelay/experiments/simulation"
)

// instances is the number of entry instances in each run.
const instances = 5

// candidate is one router under comparison.
type candidate struct {
	name  string
	build func() simulation.Router
}

var candidates = []candidate{
	{"plain-hash", func() simulation.Router { return simulation.NewHashRouter(instances) }},
	{"receiver-tracking", func() simulation.Router { return simulation.NewLocalRouter(instances) }},
	{"burdock-hash", func() simulation.Router { return simulation.NewGroupRouter(instances, common.SelectionHash) }},
	{"burdock-bounded", func() simulation.Router { return simulation.NewGroupRouter(instances, common.SelectionBounded) }},
	{"burdock-two-choices", func() simulation.Router { return simulation.NewGroupRouter(instances, common.SelectionTwoChoices) }},
}

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	firstSeed := flag.Uint64("first-seed", 1, "first seed")
	duration := flag.Duration("duration", 60*time.Second, "simulated duration of one run")
	lag := flag.Duration("report-lag", time.Second, "age of load reports when the router receives them")
	parallel := flag.Int("parallel", 4, "maximum number of concurrent runs")
	output := flag.String("out", "out/experiment", "output directory for CSV and plots")
	flag.Parse()
	if err := run(*seeds, *firstSeed, *duration, *lag, *parallel, *output); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(seeds int, firstSeed uint64, duration, lag time.Duration, parallel int, output string) error {
	if err := os.MkdirAll(output, 0o755); err != nil {
		return fmt.Errorf("create output directory: %w", err)
	}
	rows := runAll(plan(seeds, firstSeed), duration, lag, parallel)
	if err := report.WriteCSV(filepath.Join(output, "policy.csv"), rows); err != nil {
		return err
	}
	for _, workload := range []simulation.Workload{simulation.Office, simulation.Trust} {
		if err := report.Plot(output, workload.Name, rows); err != nil {
			return err
		}
	}
	printSummary(rows)
	return nil
}

// job is one simulation run.
type job struct {
	workload  simulation.Workload
	scenario  simulation.Scenario
	candidate candidate
	seed      uint64
}

// plan returns one job for each combination of workload, scenario, candidate and
// seed.
func plan(seeds int, firstSeed uint64) []job {
	var jobs []job
	for _, workload := range []simulation.Workload{simulation.Office, simulation.Trust} {
		for _, scenario := range simulation.Scenarios {
			for _, c := range candidates {
				for i := range seeds {
					jobs = append(jobs, job{workload, scenario, c, firstSeed + uint64(i)})
				}
			}
		}
	}
	return jobs
}

// runAll runs the jobs, at most parallel of them concurrently, and returns their
// results in the order of the jobs.
func runAll(jobs []job, duration, lag time.Duration, parallel int) []report.Row {
	rows := make([]report.Row, len(jobs))
	slots := make(chan struct{}, max(parallel, 1))
	var group sync.WaitGroup
	for i, j := range jobs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			settings := simulation.Settings{
				Workload: j.workload, Scenario: j.scenario, Instances: instances,
				Duration: duration, Seed: j.seed, ReportLag: lag,
			}
			rows[i] = report.Row{
				Workload: j.workload.Name, Scenario: string(j.scenario), Router: j.candidate.name,
				Seed: j.seed, Result: simulation.Run(settings, j.candidate.build()),
			}
		})
	}
	group.Wait()
	return rows
}

// printSummary prints one line for each combination of workload, scenario and
// router. Over the seeds it shows total flows, total broken flows, mean and
// standard deviation of the imbalance, and the maximum control traffic. The rows of
// a combination must be adjacent.
func printSummary(rows []report.Row) {
	fmt.Printf("%-18s %-12s %-20s %9s %8s %16s %14s %14s\n", "workload", "scenario", "router",
		"flows", "broken", "imbalance", "control B/s", "peak B/s")
	for start := 0; start < len(rows); {
		end := start
		var broken, imbalance, control, peak []float64
		flows := 0
		for end < len(rows) && sameCase(rows[start], rows[end]) {
			r := rows[end].Result
			flows += r.Flows
			broken = append(broken, float64(r.Broken))
			imbalance = append(imbalance, r.Imbalance)
			control = append(control, r.ControlBytesPerSecond)
			peak = append(peak, r.PeakControlBytesPerSecond)
			end++
		}
		i := report.Summarize(imbalance)
		fmt.Printf("%-18s %-12s %-20s %9d %8.0f %8.3f ± %.3f %14.0f %14.0f\n",
			rows[start].Workload, rows[start].Scenario, rows[start].Router, flows,
			report.Summarize(broken).Mean*float64(end-start), i.Mean, i.Deviation,
			report.Summarize(control).Max, report.Summarize(peak).Max)
		start = end
	}
}

// sameCase reports whether two rows differ at most in their seeds and results.
func sameCase(a, b report.Row) bool {
	return a.Workload == b.Workload && a.Scenario == b.Scenario && a.Router == b.Router
}
