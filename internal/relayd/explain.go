package relayd

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/explain"
	"burdockrelay.example/burdockrelay/internal/telemetry"
)

// operatorsHandler serves the metrics, and explanations of decisions at explain.Path.
func (i *Instance) operatorsHandler(registry *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", telemetry.MetricsHandler(registry))
	mux.Handle(explain.Path, &explain.Handler{
		Instance: i.settings.Instance, DataCentre: i.settings.DataCentre, Decision: i.packetServer,
		Revision: func() common.Revision {
			at, _ := i.cache.CompleteAt()
			return at
		},
	})
	return mux
}
