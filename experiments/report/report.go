// Package report writes the results of simulation runs as CSV and plots.
package report

import (
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"burdockrelay.example/burdockrelay/experiments/simulation"
)

// Row is the result of one run.
type Row struct {
	Workload, Scenario, Router string
	Seed                       uint64
	Result                     simulation.Result
}

// Summary holds the mean, the standard deviation and the maximum of one measure
// over several runs.
type Summary struct {
	Mean, Deviation, Max float64
}

// Summarize returns the summary of values, of which there must be at least one. The
// deviation of a single value is 0.
func Summarize(values []float64) Summary {
	mean, deviation := stat.MeanStdDev(values, nil)
	if math.IsNaN(deviation) {
		deviation = 0
	}
	maximum := values[0]
	for _, value := range values {
		maximum = max(maximum, value)
	}
	return Summary{Mean: mean, Deviation: deviation, Max: maximum}
}

// WriteCSV creates the file at path and writes a header and one record per row.
func WriteCSV(path string, rows []Row) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create %s: %w", path, err)
	}
	writer := csv.NewWriter(file)
	records := [][]string{{
		"workload", "scenario", "router", "seed", "flows", "broken_flows", "broken_share",
		"imbalance", "control_bytes_per_second", "peak_control_bytes_per_second",
	}}
	for _, row := range rows {
		r := row.Result
		records = append(records, []string{
			row.Workload, row.Scenario, row.Router, strconv.FormatUint(row.Seed, 10),
			strconv.Itoa(r.Flows), strconv.Itoa(r.Broken), formatNumber(r.BrokenShare),
			formatNumber(r.Imbalance), formatNumber(r.ControlBytesPerSecond), formatNumber(r.PeakControlBytesPerSecond),
		})
	}
	if err := writer.WriteAll(records); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return file.Close()
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'g', 6, 64)
}

// Plot writes a scatter plot of broken flows against imbalance to WORKLOAD.png in
// directory. Each point is one router's mean over all scenarios and seeds of the
// workload.
func Plot(directory, workload string, rows []Row) error {
	chart := plot.New()
	chart.Title.Text = workload
	chart.X.Label.Text = "imbalance (highest load / mean load)"
	chart.Y.Label.Text = "broken flows per million"
	points := plotter.XYLabels{}
	for _, name := range routerNames(rows) {
		var broken, imbalance []float64
		for _, row := range rows {
			if row.Workload == workload && row.Router == name {
				broken = append(broken, row.Result.BrokenShare*1e6)
				imbalance = append(imbalance, row.Result.Imbalance)
			}
		}
		points.XYs = append(points.XYs, plotter.XY{X: Summarize(imbalance).Mean, Y: Summarize(broken).Mean})
		points.Labels = append(points.Labels, name)
	}
	scatter, err := plotter.NewScatter(points.XYs)
	if err != nil {
		return fmt.Errorf("plot %s: %w", workload, err)
	}
	labels, err := plotter.NewLabels(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", workload, err)
	}
	chart.Add(plotter.NewGrid(), scatter, labels)
	path := filepath.Join(directory, workload+".png")
	if err := chart.Save(16*vg.Centimeter, 12*vg.Centimeter, path); err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	return nil
}

// routerNames returns the distinct routers of the rows in order of first occurrence.
func routerNames(rows []Row) []string {
	var names []string
	seen := make(map[string]bool)
	for _, row := range rows {
		if !seen[row.Router] {
			seen[row.Router] = true
			names = append(names, row.Router)
		}
	}
	return names
}
