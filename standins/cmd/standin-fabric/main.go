// Command standin-fabric simulates the network fabric in tests and in the demo.
package main

import (
	"flag"
	"net/netip"

	"burdockrelay.example/burdockrelay/standins/fabric"
	"burdockrelay.example/burdockrelay/standins/process"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"
)

func main() {
	settings := fabric.Settings{
		Ingress: netip.MustParseAddrPort("127.0.0.1:6081"),
		Return:  netip.MustParseAddrPort("127.0.0.1:6082"),
	}
	flag.TextVar(&settings.Ingress, "ingress", settings.Ingress, "UDP address for packets from callers")
	flag.TextVar(&settings.Return, "return", settings.Return, "UDP address for packets to callers")
	flag.StringVar(&settings.Control, "control", "127.0.0.1:9001", "TCP address of the control interface")
	flag.Var((*process.AddrPorts)(&settings.Entries), "entries", "tunnel addresses of the entry instances, separated by commas")
	flag.Uint64Var(&settings.Seed, "seed", 1, "seed of the random decisions")
	flag.Parse()

	process.Main("standin-fabric", func(t *tomb.Tomb, logger *zap.Logger) error {
		started, err := fabric.Start(t, settings)
		if err != nil {
			return err
		}
		logger.Info("started",
			zap.Stringer("ingress", started.IngressAddress()),
			zap.Stringer("return", started.ReturnAddress()),
			zap.Stringer("control", started.ControlAddress),
			zap.Uint64("seed", settings.Seed))
		return nil
	})
}
