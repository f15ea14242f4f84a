// Command standin-caller simulates callers in tests and in the demo.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"time"

	"burdockrelay.example/burdockrelay/standins/caller"
	"burdockrelay.example/burdockrelay/standins/process"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

func main() {
	settings, summaryFile := parseFlags()
	process.Main("standin-caller", func(t *tomb.Tomb, logger *zap.Logger) error {
		runner, err := caller.New(t, settings)
		if err != nil {
			return err
		}
		logger.Info("started", zap.Int("callers", settings.Callers), zap.Uint64("seed", settings.Seed))
		summary := runner.Run(t.Context(context.Background()))
		t.Kill(nil)
		logger.Info("ended",
			zap.Int("flows_opened", summary.FlowsOpened),
			zap.Int("broken_flows", summary.BrokenFlows),
			zap.Int("crossed_answers", summary.MismatchedResponses))
		return writeSummary(summaryFile, summary)
	})
}

func parseFlags() (caller.Settings, string) {
	settings := caller.Settings{
		Listen: netip.MustParseAddrPort("127.0.0.1:6083"),
		Fabric: netip.MustParseAddrPort("127.0.0.1:6081"),
		Prefix: netip.MustParsePrefix("10.200.0.0/16"),
	}
	flag.TextVar(&settings.Listen, "listen", settings.Listen, "UDP address at which callers receive packets")
	flag.TextVar(&settings.Fabric, "fabric", settings.Fabric, "UDP address of the fabric for packets from callers")
	flag.StringVar(&settings.Control, "control", "", "TCP address of the control interface")
	flag.TextVar(&settings.Prefix, "prefix", settings.Prefix, "prefix of the callers' inner addresses")
	flag.IntVar(&settings.Callers, "callers", 8, "number of callers")
	flag.Uint64Var(&settings.Seed, "seed", 1, "seed of the workload; another run against the same endpoints needs a different one")
	flag.TextVar(&settings.Drawings, "drawings", netip.AddrPort{}, "service address of downloads")
	flag.TextVar(&settings.Boards, "boards", netip.AddrPort{}, "service address of order board requests")
	flag.TextVar(&settings.Reports, "reports", netip.AddrPort{}, "service address of reports")
	flag.Int64Var(&settings.DownloadSize, "download-size", 1<<20, "mean size of a download in bytes")
	flag.Int64Var(&settings.DownloadRate, "download-rate", 0, "rate of a download in bytes per second, 0 for no limit")
	flag.IntVar(&settings.RequestsPerFlow, "requests-per-flow", 10, "order board requests or reports on one flow, 0 for no limit")
	flag.DurationVar(&settings.Pause, "pause", 100*time.Millisecond, "mean time between requests of one worker")
	flag.DurationVar(&settings.Duration, "duration", 10*time.Second, "time during which new requests start")
	flag.DurationVar(&settings.GracePeriod, "grace", 10*time.Second, "time for requests in flight at the end")
	flag.DurationVar(&settings.StallTimeout, "stall", 8*time.Second, "time without progress after which a flow counts as broken")
	flag.Var((*process.AddrPorts)(&settings.Endpoints), "endpoints", "health addresses of the endpoints whose reports are compared")
	summaryFile := flag.String("summary", "", "file for the summary, standard output if empty")
	flag.Parse()
	return settings, *summaryFile
}

func writeSummary(file string, summary caller.Summary) error {
	data, err := json.MarshalIndent(summary, "", "  ")
	if err != nil {
		return err
	}
	data = append(data, '\n')
	if file == "" {
		_, err = os.Stdout.Write(data)
		return err
	}
	return os.WriteFile(file, data, 0o644)
}
