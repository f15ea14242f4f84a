// Command burdockctl is the command-line tool for operators: it checks, publishes
// and observes the configuration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"burdockrelay.example/burdockrelay/internal/ctl"
)

// version is set by the linker with -X main.version.
var version = "development"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(int(ctl.Run(ctx, os.Args[1:], ctl.Environment{
		Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv,
		Version: version, RetryInterval: ctl.DefaultRetryInterval,
	})))
}
