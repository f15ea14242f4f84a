package endpoint

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"burdockrelay.example/burdockrelay/standins/process"
)

// Statuses that /healthz reports.
const (
	StatusUp       = "up"
	StatusCold     = "cold"
	StatusDraining = "draining"
	StatusDown     = "down"
)

func validStatus(status string) bool {
	switch status {
	case StatusUp, StatusCold, StatusDraining, StatusDown:
		return true
	default:
		return false
	}
}

// ControlSettings are set through the control interface. The status affects only
// the response of /healthz; requests are served regardless of it.
type ControlSettings struct {
	Status string `json:"status"`
	// FalseLoad is reported instead of the actual load unless it is nil.
	FalseLoad *int `json:"false_load"`
	// RequestDelayMS delays each request while it occupies a slot, in
	// milliseconds.
	RequestDelayMS int `json:"request_delay_ms"`
	// HealthDelayMS delays each response of /healthz, in milliseconds.
	HealthDelayMS int `json:"health_delay_ms"`
}

// Health is the response body of /healthz.
type Health struct {
	Status string `json:"status"`
	// Load is the number of requests that run or wait for a slot.
	Load  int `json:"load"`
	Slots int `json:"slots"`
}

type healthState struct {
	requestServer *requestServer

	mutex    sync.Mutex
	settings ControlSettings
	probes   uint64
}

func newHealthState(status string, requestServer *requestServer) *healthState {
	return &healthState{requestServer: requestServer, settings: ControlSettings{Status: status}}
}

func (h *healthState) get() ControlSettings {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.settings
}

func (h *healthState) set(settings ControlSettings) {
	h.mutex.Lock()
	h.settings = settings
	h.mutex.Unlock()
	h.requestServer.setDelay(time.Duration(settings.RequestDelayMS) * time.Millisecond)
}

// countProbe counts a health check and returns the settings for its response.
func (h *healthState) countProbe() ControlSettings {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.probes++
	return h.settings
}

func (h *healthState) serve(w http.ResponseWriter, _ *http.Request) {
	settings := h.countProbe()
	time.Sleep(time.Duration(settings.HealthDelayMS) * time.Millisecond)
	body := Health{Status: settings.Status, Load: h.requestServer.load(), Slots: cap(h.requestServer.slots)}
	if settings.FalseLoad != nil {
		body.Load = *settings.FalseLoad
	}
	status := http.StatusOK
	if settings.Status == StatusDown {
		status = http.StatusServiceUnavailable
	}
	process.WriteJSON(w, status, body)
}

func (e *Endpoint) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.healthState.serve)
	mux.HandleFunc("GET /control/settings", e.getSettings)
	mux.HandleFunc("PATCH /control/settings", e.patchSettings)
	mux.HandleFunc("GET /control/reports", e.getReports)
	mux.HandleFunc("GET /control/counters", e.getCounters)
	return mux
}

func (e *Endpoint) getSettings(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, e.healthState.get())
}

func (e *Endpoint) patchSettings(w http.ResponseWriter, r *http.Request) {
	settings := e.healthState.get()
	if !process.ReadJSON(w, r, &settings) {
		return
	}
	if !validStatus(settings.Status) {
		http.Error(w, "status must be one of up, cold, draining and down", http.StatusBadRequest)
		return
	}
	if settings.RequestDelayMS < 0 || settings.HealthDelayMS < 0 {
		http.Error(w, "request_delay_ms and health_delay_ms must not be negative", http.StatusBadRequest)
		return
	}
	e.healthState.set(settings)
	process.WriteJSON(w, http.StatusOK, settings)
}

// getReports responds with the number of runs by report identifier.
func (e *Endpoint) getReports(w http.ResponseWriter, _ *http.Request) {
	e.requestServer.mutex.Lock()
	reports := maps.Clone(e.requestServer.reports)
	e.requestServer.mutex.Unlock()
	process.WriteJSON(w, http.StatusOK, reports)
}

// Counters of an endpoint.
type Counters struct {
	Name            string `json:"name"`
	PacketsReceived uint64 `json:"packets_received"`
	PacketsSent     uint64 `json:"packets_sent"`
	SendErrors      uint64 `json:"send_errors"`
	Malformed       uint64 `json:"malformed"`
	// WithOptions counts packets with Geneve options, which the operating system
	// of a real backend server might drop.
	WithOptions uint64 `json:"with_options"`
	// Misdelivered counts packets dropped because the endpoint does not serve
	// their destination address and port.
	Misdelivered uint64 `json:"misdelivered"`
	// Probes counts requests for /healthz.
	Probes   uint64          `json:"probes"`
	Load     int             `json:"load"`
	Requests requestCounters `json:"requests"`
}

func (e *Endpoint) getCounters(w http.ResponseWriter, _ *http.Request) {
	counters := Counters{
		Name:            e.settings.Name,
		PacketsReceived: e.packets.received.Load(),
		PacketsSent:     e.packets.sent.Load(),
		SendErrors:      e.packets.sendErrors.Load(),
		Malformed:       e.packets.malformed.Load(),
		WithOptions:     e.packets.withOptions.Load(),
		Misdelivered:    e.packets.misdelivered.Load(),
		Load:            e.requestServer.load(),
	}
	e.healthState.mutex.Lock()
	counters.Probes = e.healthState.probes
	e.healthState.mutex.Unlock()
	e.requestServer.updateCounters(func(c *requestCounters) { counters.Requests = *c })
	process.WriteJSON(w, http.StatusOK, counters)
}
