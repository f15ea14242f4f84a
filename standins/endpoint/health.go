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

// ControlSettings are changed through the control interface. The status is
// only what /healthz reports; requests are served in every status.
type ControlSettings struct {
	Status string `json:"status"`
	// FalseLoad replaces the reported load when it is not null.
	FalseLoad *int `json:"false_load"`
	// RequestDelayMS holds each request while it occupies its slot.
	RequestDelayMS int `json:"request_delay_ms"`
	// HealthDelayMS holds each response of /healthz.
	HealthDelayMS int `json:"health_delay_ms"`
}

// Health is the body of /healthz.
type Health struct {
	Status string `json:"status"`
	Load   int    `json:"load"`
	Slots  int    `json:"slots"`
}

type healthState struct {
	requestServer *requestServer

	mutex    sync.Mutex
	settings ControlSettings
	probes   uint64
}

func newHealthState(status string, requests *requestServer) *healthState {
	return &healthState{requestServer: requests, settings: ControlSettings{Status: status}}
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
		http.Error(w, "status is none of up, cold, draining and down", http.StatusBadRequest)
		return
	}
	if settings.RequestDelayMS < 0 || settings.HealthDelayMS < 0 {
		http.Error(w, "delay is negative", http.StatusBadRequest)
		return
	}
	e.healthState.set(settings)
	process.WriteJSON(w, http.StatusOK, settings)
}

// getReports answers with the number of runs of each report.
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
	// WithOptions counts packets with Geneve options; an operating system may
	// drop those.
	WithOptions uint64 `json:"with_options"`
	// Misdelivered counts packets for an address and port that the
	// endpoint does not serve.
	Misdelivered uint64          `json:"misdelivered"`
	Probes       uint64          `json:"probes"`
	Load         int             `json:"load"`
	Requests     requestCounters `json:"requests"`
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
