// Command burdock-entryd runs the packet path of an entry instance: it matches
// packets to services, finds the endpoint of each flow and forwards or relays the
// packets.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/entry"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/internal/telemetry"
)

const program = "burdock-entryd"

// Exit codes, with the same values as those of burdockctl.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
	exitFaults = 3
)

const (
	// stopIdleTime is the time without packets after which a graceful stop ends. It
	// is longer than the 500 ms between two probes of a peer, so that by then the
	// peers have learned that the instance is leaving.
	stopIdleTime = 2 * time.Second
	// stopDeadline bounds a graceful stop while the fabric keeps sending packets.
	stopDeadline = 30 * time.Second
	// flushTimeout bounds the export of buffered spans.
	flushTimeout = 2 * time.Second
)

func main() {
	os.Exit(run())
}

func run() int {
	path := flag.String("settings", "/etc/burdockrelay/entryd.yaml", "settings `file`")
	check := flag.Bool("check-settings", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintf(os.Stderr, "%s: unexpected argument %q\n", program, flag.Arg(0))
		return exitUsage
	}
	if *version {
		fmt.Println(program, buildVersion())
		return exitDone
	}
	loaded, err := settings.Load[settings.Entry](*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaults
	}
	if *check {
		fmt.Println(*path, "has no faults")
		return exitDone
	}
	if err := serve(loaded); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return exitFailed
	}
	return exitDone
}

func buildVersion() string {
	info, found := debug.ReadBuildInfo()
	if !found {
		return "unknown"
	}
	return info.Main.Version
}

// serve runs the packet path until a signal or a fault ends it.
func serve(loaded *settings.Entry) error {
	logger, err := telemetry.NewLogger(os.Stderr, loaded.LogLevel, program)
	if err != nil {
		return err
	}
	tracer, err := telemetry.NewTracer(context.Background(), loaded.Trace, program)
	if err != nil {
		return err
	}
	defer flushTraces(tracer, logger)
	server, err := entry.NewServer(packetPathSettings(loaded), logger, telemetry.NewRegistry(), tracer)
	if err != nil {
		return err
	}
	server.Start()
	logger.Info("started", zap.Stringer("packets", server.PacketAddress()),
		zap.String("api", server.APIAddress()), zap.String("instance", loaded.Instance))
	return waitForStop(server, logger)
}

// packetPathSettings converts the settings of the program to those of the packet
// path.
func packetPathSettings(loaded *settings.Entry) entry.Settings {
	converted := entry.Settings{
		Instance:     loaded.Instance,
		Listen:       netip.AddrPortFrom(loaded.Address, loaded.EntryPort),
		APIListen:    loaded.APIListen.String(),
		FabricReturn: loaded.FabricReturn,
		MaxFlows:     int(loaded.MaxFlows),
		SampleRatio:  loaded.Trace.SampleRatio,
	}
	if loaded.MetricsListen.IsValid() {
		converted.MetricsListen = loaded.MetricsListen.String()
	}
	return converted
}

func waitForStop(server *entry.Server, logger *zap.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-server.Dead():
		return server.Stop()
	case received := <-signals:
		logger.Info("stopping", zap.Stringer("signal", received), zap.Duration("deadline", stopDeadline))
		// Restores the default action: a second signal ends the program at once.
		signal.Stop(signals)
	}
	idle, err := server.StopWhenIdle(stopIdleTime, stopDeadline)
	logger.Info("stopped", zap.Bool("quiet", idle), zap.Error(err))
	return err
}

func flushTraces(tracer *telemetry.Tracer, logger *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := tracer.Shutdown(ctx); err != nil {
		logger.Warn("traces_lost", zap.Error(err))
	}
}
