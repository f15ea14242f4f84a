// Command burdock-relayd is an entry instance on the users' platform: it steers
// the packets of callers to endpoints by the labels of their flows.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"burdockrelay.example/burdockrelay/internal/decision/steering"
	"burdockrelay.example/burdockrelay/internal/discovery"
	"burdockrelay.example/burdockrelay/internal/ingress"
	"burdockrelay.example/burdockrelay/internal/observe"
	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/settings"
	"burdockrelay.example/burdockrelay/platform"
)

type nullObserver struct{}

func (nullObserver) Handled(*steering.Packet, steering.Action, steering.Freshness, time.Duration) {}
func (nullObserver) Dropped(resultcode.Code)                                                      {}

func main() {
	path := flag.String("settings", os.Getenv("BURDOCKRELAY_BOOT"), "settings `file`")
	flag.Parse()
	loaded, err := settings.Load[settings.Relay](*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(3)
	}
	logger, _ := observe.NewLogger(os.Stdout, loaded.LogLevel, "burdock-relayd")
	clock := func() time.Duration {
		var ts unix.Timespec
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
		return time.Duration(ts.Nano())
	}
	knowledge := discovery.NewKnowledge(loaded.DataCentre, clock)
	server, err := ingress.Listen(loaded.PacketListen, platform.PacketCodec{}, knowledge, nullObserver{}, int(loaded.MaxFlows))
	if err != nil {
		logger.Fatal("start", zap.Error(err))
	}
	source := &platform.Source{Store: platform.NewStore(loaded.Store, 500*time.Millisecond), Logger: logger}
	reader := &discovery.Reader{Source: source, Knowledge: knowledge, Logger: logger}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = reader.Run(ctx) }()
	server.Start()
	var stopping atomic.Bool
	listener, err := net.Listen("tcp", loaded.ReadyListen.String())
	if err != nil {
		logger.Fatal("start", zap.Error(err))
	}
	ready := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, fresh := knowledge.Current()
		if stopping.Load() || !fresh.Known {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = ready.Serve(listener) }()
	logger.Info("started")
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGHUP)
	<-signals
	stopping.Store(true)
	time.Sleep(3 * time.Second)
	cancel()
	_ = server.Stop()
}
