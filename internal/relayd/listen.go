package relayd

import (
	"fmt"
	"net"

	"go.uber.org/zap"

	"burdockrelay.example/burdockrelay/internal/settings"
)

// listeners holds the TCP listeners of an instance. metrics is nil if the metrics are not
// served.
type listeners struct {
	ready, peer, metrics net.Listener
}

// listen opens the TCP listeners. If one of the required ports cannot be opened, it closes
// the others and returns an error.
func listen(s *settings.Relay, logger *zap.Logger) (*listeners, error) {
	l := &listeners{}
	var err error
	if l.ready, err = net.Listen("tcp", s.ReadyListen.String()); err != nil {
		return nil, fmt.Errorf("listen for readiness probes: %w", err)
	}
	if l.peer, err = net.Listen("tcp", s.PeerListen.String()); err != nil {
		l.close()
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	l.metrics = listenMetrics(s, logger)
	return l, nil
}

// listenMetrics returns nil if no metrics address is set or its port cannot be opened. The
// instance serves callers even without metrics.
func listenMetrics(s *settings.Relay, logger *zap.Logger) net.Listener {
	if !s.MetricsListen.IsValid() {
		return nil
	}
	listener, err := net.Listen("tcp", s.MetricsListen.String())
	if err != nil {
		logger.Error("metrics_unavailable", zap.Stringer("address", s.MetricsListen), zap.Error(err))
		return nil
	}
	return listener
}

// close closes the open listeners.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.ready, l.peer, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
