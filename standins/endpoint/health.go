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

func knownStatus(status string) bool {
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

type health struct {
	requests *requests

	mutex    sync.Mutex
	settings ControlSettings
	probes   uint64
}

func newHealth(status string, requests *requests) *health {
	return &health{requests: requests, settings: ControlSettings{Status: status}}
}

func (h *health) get() ControlSettings {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.settings
}

func (h *health) set(settings ControlSettings) {
	h.mutex.Lock()
	h.settings = settings
	h.mutex.Unlock()
	h.requests.setDelay(time.Duration(settings.RequestDelayMS) * time.Millisecond)
}

func (h *health) probed() ControlSettings {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.probes++
	return h.settings
}

func (h *health) serve(w http.ResponseWriter, _ *http.Request) {
	settings := h.probed()
	time.Sleep(time.Duration(settings.HealthDelayMS) * time.Millisecond)
	body := Health{Status: settings.Status, Load: h.requests.load(), Slots: cap(h.requests.slots)}
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
	mux.HandleFunc("GET /healthz", e.health.serve)
	mux.HandleFunc("GET /control/settings", e.getSettings)
	mux.HandleFunc("PATCH /control/settings", e.patchSettings)
	mux.HandleFunc("GET /control/reports", e.getReports)
	mux.HandleFunc("GET /control/counters", e.getCounters)
	return mux
}

func (e *Endpoint) getSettings(w http.ResponseWriter, _ *http.Request) {
	process.WriteJSON(w, http.StatusOK, e.health.get())
}

func (e *Endpoint) patchSettings(w http.ResponseWriter, r *http.Request) {
	settings := e.health.get()
	if !process.ReadJSON(w, r, &settings) {
		return
	}
	if !knownStatus(settings.Status) {
		http.Error(w, "status is none of up, cold, draining and down", http.StatusBadRequest)
		return
	}
	if settings.RequestDelayMS < 0 || settings.HealthDelayMS < 0 {
		http.Error(w, "delay is negative", http.StatusBadRequest)
		return
	}
	e.health.set(settings)
	process.WriteJSON(w, http.StatusOK, settings)
}

// getReports answers with the number of runs of each report.
func (e *Endpoint) getReports(w http.ResponseWriter, _ *http.Request) {
	e.requests.mutex.Lock()
	reports := maps.Clone(e.requests.reports)
	e.requests.mutex.Unlock()
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
		Load:            e.requests.load(),
	}
	e.health.mutex.Lock()
	counters.Probes = e.health.probes
	e.health.mutex.Unlock()
	e.requests.count(func(c *requestCounters) { counters.Requests = *c })
	process.WriteJSON(w, http.StatusOK, counters)
}
