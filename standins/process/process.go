// Package process provides the common parts of the stand-in programs: logging,
// signal handling, HTTP servers, JSON bodies and flag types.
package process

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gopkg.in/tomb.v2"
)

// Main runs a program until it ends, fails or receives SIGINT or SIGTERM. If it
// fails, Main exits with status 1.
func Main(name string, start func(t *tomb.Tomb, logger *zap.Logger) error) {
	logger := newLogger(name)
	if err := run(logger, start); err != nil {
		logger.Error("failed", zap.Error(err))
		os.Exit(1)
	}
}

func run(logger *zap.Logger, start func(t *tomb.Tomb, logger *zap.Logger) error) error {
	t := new(tomb.Tomb)
	t.Go(func() error { return start(t, logger) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(signals)
	select {
	case received := <-signals:
		logger.Info("stopping", zap.Stringer("signal", received))
		t.Kill(nil)
	case <-t.Dying():
	}
	if err := t.Wait(); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

func newLogger(name string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.TimeKey = "time"
	config.MessageKey = "event"
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(os.Stderr), zapcore.InfoLevel)
	return zap.New(core).With(zap.String("program", name))
}
