// Command burdock-controld runs the controllers of one entry instance.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/admin"
	"burdockrelay.example/burdockrelay/internal/controller"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/internal/telemetry"
)

// Exit codes, see docs/design.md section 9.
const (
	exitFailed = 1
	exitUsage  = 2
	exitFaults = 3
)

// readHeaderTimeout bounds the time in which a client of the metrics must send the
// headers of its request.
const readHeaderTimeout = 5 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	path := flag.String("settings", "", "settings `file` (YAML)")
	check := flag.Bool("check-settings", false, "check the settings and exit")
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println("burdock-controld", buildVersion())
		return 0
	}
	if *path == "" || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	loaded, err := settings.Load[settings.Control](*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFaults
	}
	if *check {
		fmt.Println("settings are valid")
		return 0
	}
	if err := serve(loaded); err != nil {
		fmt.Fprintln(os.Stderr, "burdock-controld:", err)
		return exitFailed
	}
	return 0
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

// serve runs the controllers until a signal or a fault ends it.
func serve(s *settings.Control) error {
	logger, err := telemetry.NewLogger(os.Stderr, s.LogLevel, "burdock-controld")
	if err != nil {
		return err
	}
	logger = logger.With(zap.String("instance", s.Instance))
	registry := telemetry.NewRegistry()
	c, err := controller.New(s, logger, registry)
	if err != nil {
		return err
	}
	failed := make(chan error, 2)
	if err := serveAdministration(s, c, logger, failed); err != nil {
		return err
	}
	if err := serveMetrics(s, registry, failed); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	c.Start()
	logger.Info("started", zap.String("group", s.Group), zap.String("data_centre", s.DataCentre))
	select {
	case <-signals:
		c.Leave()
	case err = <-failed:
	case <-c.Dead():
	}
	if stopErr := c.Stop(); stopErr != nil && !errors.Is(stopErr, context.Canceled) {
		err = errors.Join(err, stopErr)
	}
	logger.Info("ended", zap.Error(err))
	return err
}

func serveAdministration(s *settings.Control, c *controller.Controller, logger *zap.Logger, failed chan<- error) error {
	if !s.Administration.Listen.IsValid() {
		return nil
	}
	server, err := admin.NewHTTPServer(admin.NewServer(c, logger), s.Administration)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Administration.Listen.String())
	if err != nil {
		return fmt.Errorf("open administration API: %w", err)
	}
	go func() { failed <- admin.Serve(server, listener) }()
	return nil
}

func serveMetrics(s *settings.Control, registry *prometheus.Registry, failed chan<- error) error {
	if !s.MetricsListen.IsValid() {
		return nil
	}
	listener, err := net.Listen("tcp", s.MetricsListen.String())
	if err != nil {
		return fmt.Errorf("open metrics: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", telemetry.MetricsHandler(registry))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { failed <- server.Serve(listener) }()
	return nil
}
