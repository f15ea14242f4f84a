// Command burdock-relayd runs an entry instance on the users' platform. It forwards
// the packets of callers to endpoints according to the labels of their flows.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/relayd"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/internal/telemetry"
	"burdockrelay.example/burdockrelay/platform"
)

const program = "burdock-relayd"

// Exit codes, with the same values as those of burdockctl.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
	exitFaults = 3
)

// flushTimeout bounds the export of buffered spans.
const flushTimeout = 2 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	path := flag.String("settings", platform.SettingsPath(), "settings `file`")
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
	loaded, err := settings.Load[settings.Relay](*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaults
	}
	if *check {
		fmt.Println(*path, "has no faults")
		return exitDone
	}
	if err := serve(*path, loaded); err != nil {
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

// serve runs the instance until a signal or a fault ends it.
func serve(path string, loaded *settings.Relay) error {
	// The process must survive when the reader of its log exits and closes the pipe.
	signal.Ignore(syscall.SIGPIPE)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	stops := make(chan os.Signal, 2)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)

	level, err := zap.ParseAtomicLevel(loaded.LogLevel)
	if err != nil {
		return err
	}
	output := telemetry.NewAsyncWriter(os.Stdout, program)
	defer output.Close()
	logger := telemetry.NewLeveledLogger(output, level, program)
	tracer, err := telemetry.NewTracer(context.Background(), loaded.Trace, program)
	if err != nil {
		return err
	}
	defer flushTraces(tracer, logger)
	registry := telemetry.NewRegistry()
	instance, err := relayd.Start(loaded, newAdapter(loaded, registry, logger), logger, registry, tracer)
	if err != nil {
		logger.Error("start_failed", zap.Error(err))
		return err
	}
	logger.Info("started", zap.String("instance", loaded.Instance), zap.String("data_centre", loaded.DataCentre),
		zap.Stringer("packets", loaded.PacketListen), zap.String("version", buildVersion()),
		zap.Duration("apply_deadline", loaded.ApplyDeadline), zap.Duration("drain_apply_deadline", loaded.DrainApplyDeadline),
		zap.Duration("evacuation_deadline", loaded.EvacuationDeadline))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reloader := &relayd.Reloader{Path: path, Instance: instance, Level: level, Logger: logger}
	go reloader.Run(ctx, reloads)
	return waitForStop(instance, stops, logger)
}

func flushTraces(tracer *telemetry.Tracer, logger *zap.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := tracer.Shutdown(ctx); err != nil {
		logger.Warn("traces_lost", zap.Error(err))
	}
}

func waitForStop(instance *relayd.Instance, stops <-chan os.Signal, logger *zap.Logger) error {
	select {
	case <-instance.Dying():
		err := instance.Kill()
		logger.Error("ended_by_fault", zap.Error(err))
		return err
	case received := <-stops:
		logger.Info("stopping", zap.Stringer("signal", received))
	}
	return instance.Stop()
}

func newAdapter(loaded *settings.Relay, registry prometheus.Registerer, logger *zap.Logger) relayd.Adapter {
	store := platform.NewStore(loaded.Store, registry)
	return relayd.Adapter{
		Codec:   platform.PacketCodec{},
		Store:   store,
		Source:  &platform.Source{Store: store, Logger: logger, Evacuations: loaded.EvacuationDeadline > 0},
		Checker: platform.NewHealthChecker(),
	}
}
