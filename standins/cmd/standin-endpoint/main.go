// Command standin-endpoint simulates a backend server in tests and in the demo.
package main

import (
	"flag"
	"net/netip"

	"burdockrelay.example/burdockrelay/standins/endpoint"
	"burdockrelay.example/burdockrelay/standins/process"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

func main() {
	settings := endpoint.Settings{
		Services: []netip.AddrPort{netip.MustParseAddrPort("10.90.0.1:80")},
		Tunnel:   netip.MustParseAddrPort("127.0.20.1:6081"),
		Return:   netip.MustParseAddrPort("127.0.0.1:6082"),
	}
	flag.StringVar(&settings.Name, "name", "endpoint-1", "name in the response headers")
	flag.Var((*process.AddrPorts)(&settings.Services), "services", "service addresses, separated by commas")
	flag.TextVar(&settings.Tunnel, "tunnel", settings.Tunnel, "UDP address for Geneve")
	flag.TextVar(&settings.Return, "return", settings.Return, "UDP address of the fabric for packets to callers")
	flag.StringVar(&settings.Health, "health", "127.0.20.1:8080", "TCP address of /healthz and the control interface")
	flag.IntVar(&settings.Slots, "slots", 2, "requests served concurrently")
	flag.IntVar(&settings.Queue, "queue", 64, "requests queued for a slot")
	flag.StringVar(&settings.Status, "status", endpoint.StatusUp, "status at the start: up, cold, draining or down")
	flag.StringVar(&settings.ReportsFile, "reports-file", "", "file that preserves the runs of reports across restarts, none if empty")
	flag.Parse()

	process.Main("standin-endpoint", func(t *tomb.Tomb, logger *zap.Logger) error {
		started, err := endpoint.Start(t, settings)
		if err != nil {
			return err
		}
		logger.Info("started",
			zap.String("name", settings.Name),
			zap.Stringer("tunnel", started.TunnelAddress()),
			zap.Stringer("health", started.HealthAddress))
		return nil
	})
}
