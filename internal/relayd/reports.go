package relayd

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/discovery"
)

// silenceReports opens the socket for reports on silent endpoints and returns the jobs that
// exchange them with peers. The instance serves callers even if the socket cannot be opened:
// it then finds silent endpoints with its own requests only.
func (i *Instance) silenceReports(ctx context.Context, peers *discovery.Peers, registry prometheus.Registerer) []func() error {
	reports, err := discovery.ListenSilenceReports(i.settings.PeerListen, peers, i.cache.Now, i.packetServer.SilenceReported, i.logger, registry)
	if err != nil {
		i.logger.Error("silence_reports_unavailable", zap.Stringer("address", i.settings.PeerListen), zap.Error(err))
		return nil
	}
	i.packetServer.OnVerdict(reports.Report)
	return []func() error{
		func() error { return reports.Send(ctx) },
		func() error { return reports.Receive(ctx) },
	}
}
