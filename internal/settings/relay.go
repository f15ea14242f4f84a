package settings

import (
	"net/netip"
	"time"

	"burdockrelay.example/burdockrelay/internal/observe"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// Relay holds the settings of burdock-relayd.
type Relay struct {
	Instance   string `yaml:"instance" required:"true"`
	DataCentre string `yaml:"data_centre" required:"true"`
	LogLevel   string `yaml:"log_level" oneof:"debug info warn error"`

	Trace observe.TraceSettings `yaml:"trace"`
	// MetricsListen is the zero value when metrics are off.
	MetricsListen netip.AddrPort `yaml:"metrics_listen"`
	// PacketListen takes the packets of callers. Callers get resets at the same
	// port of their own address.
	PacketListen netip.AddrPort `yaml:"packet_listen" required:"true"`
	// ReadyListen answers the readiness probes of the routers.
	ReadyListen netip.AddrPort `yaml:"ready_listen" required:"true"`
	// PeerListen serves other instances.
	PeerListen netip.AddrPort `yaml:"peer_listen" required:"true"`
	// Seeds are addresses of instances that may be up, by IP address.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Store is the address of the object store.
	Store netip.AddrPort `yaml:"store" required:"true"`
	// ApplyDeadline bounds the time until a configuration is in force.
	ApplyDeadline time.Duration `yaml:"apply_deadline" min:"100ms"`
	// DrainDeadline bounds the time until a draining endpoint gets no new flows.
	DrainDeadline time.Duration `yaml:"drain_deadline" min:"100ms"`
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration `yaml:"flow_lifetime" min:"1s"`
	// StopDeadline bounds a graceful stop.
	StopDeadline time.Duration `yaml:"stop_deadline" min:"0s"`
	// MemoryMB is the memory that the process may use, 0 for no limit.
	MemoryMB uint32              `yaml:"memory_mb"`
	MaxFlows uint32              `yaml:"max_flows" min:"1000" max:"10000000"`
	Position strictyaml.Position `yaml:"-"`
}

// Default bounds, for an installation that states none.
const (
	defaultApplyDeadline = 3 * time.Second
	defaultDrainDeadline = 3 * time.Second
	defaultStopDeadline  = 5 * time.Second
	defaultFlowLifetime  = time.Minute
	defaultRelayFlows    = 100_000
)

func (r *Relay) setDefaults() {
	r.LogLevel = "info"
	r.ApplyDeadline = defaultApplyDeadline
	r.DrainDeadline = defaultDrainDeadline
	r.StopDeadline = defaultStopDeadline
	r.FlowLifetime = defaultFlowLifetime
	r.MaxFlows = defaultRelayFlows
}

func (r *Relay) finish(report reporter) {
	checkName(report, r.Position, "instance", r.Instance)
	checkName(report, r.Position, "data_centre", r.DataCentre)
	checkTrace(report, r.Position, r.Trace)
}
