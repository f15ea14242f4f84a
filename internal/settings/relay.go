package settings

import (
	"net/netip"
	"strings"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// Relay holds the settings of burdock-relayd.
type Relay struct {
	Daemon `yaml:",inline"`
	// PacketListen receives the packets of callers. Resets go to the caller's
	// address, at the port of PacketListen.
	PacketListen netip.AddrPort `yaml:"packet_listen" required:"true"`
	// ReadyListen serves the readiness probes of the routers.
	ReadyListen netip.AddrPort `yaml:"ready_listen" required:"true"`
	// PeerListen serves other instances.
	PeerListen netip.AddrPort `yaml:"peer_listen" required:"true"`
	// PeerAddress is the address at which other instances reach PeerListen; the
	// default is PeerListen.
	PeerAddress netip.AddrPort `yaml:"peer_address"`
	// Seeds are addresses of other instances, which may or may not be up.
	Seeds []netip.AddrPort `yaml:"seeds"`
	// Store is the address of the object store.
	Store netip.AddrPort `yaml:"store" required:"true"`
	// ApplyDeadline bounds the time until a configuration is in force.
	ApplyDeadline time.Duration `yaml:"apply_deadline" min:"1ms" rounded:"true"`
	// DrainApplyDeadline bounds the time until a draining endpoint gets no new flows.
	DrainApplyDeadline time.Duration `yaml:"drain_apply_deadline" min:"1ms" rounded:"true"`
	// EvacuationDeadline bounds the time until the endpoints of an evacuated data centre
	// get no new flows, 0 if the platform has no evacuations.
	EvacuationDeadline time.Duration `yaml:"evacuation_deadline" min:"0s" rounded:"true"`
	// FlowLifetime is the maximum duration of a flow.
	FlowLifetime time.Duration `yaml:"flow_lifetime" min:"1s" rounded:"true"`
	// StopDeadline bounds a graceful stop.
	StopDeadline time.Duration `yaml:"stop_deadline" min:"0s" rounded:"true"`
	// MemoryMB is the memory that the process may use in MiB, 0 for no limit.
	MemoryMB uint32 `yaml:"memory_mb"`
	// MaxFlows is the capacity of the flow table in flows.
	MaxFlows uint32 `yaml:"max_flows" min:"1000" max:"10000000"`
	// CloseSilent makes the instance reset flows whose endpoint has fallen silent.
	CloseSilent bool                `yaml:"close_silent"`
	WarmUp      WarmUp              `yaml:"warm_up"`
	Hedge       Hedge               `yaml:"hedge"`
	Overflow    Overflow            `yaml:"overflow"`
	Position    strictyaml.Position `yaml:"-"`
}

// Defaults of fields that the settings file omits.
const (
	defaultApplyDeadline      = 3 * time.Second
	defaultDrainApplyDeadline = 3 * time.Second
	defaultStopDeadline       = 5 * time.Second
	defaultFlowLifetime       = time.Minute
	defaultRelayMaxFlows      = 100_000
)

func (r *Relay) setDefaults() {
	r.Daemon.setDefaults()
	r.ApplyDeadline = defaultApplyDeadline
	r.DrainApplyDeadline = defaultDrainApplyDeadline
	r.StopDeadline = defaultStopDeadline
	r.FlowLifetime = defaultFlowLifetime
	r.MaxFlows = defaultRelayMaxFlows
}

func (r *Relay) completeAndCheck(report reporter) {
	r.Daemon.completeAndCheck(report, r.Position)
	if !r.PeerAddress.IsValid() {
		r.PeerAddress = r.PeerListen
	}
	checkPrintable(report, r.Position, "instance", r.Instance)
	checkPrintable(report, r.Position, "data_centre", r.DataCentre)
	r.WarmUp.check(report, r.Position)
	r.Hedge.check(report, r.Position)
	r.Overflow.check(report, r.Position)
}

// maxPrintableLength is the maximum length in bytes of the names that
// checkPrintable accepts.
const maxPrintableLength = 253

// checkPrintable reports a name that is empty, too long or not printable ASCII.
// The users' platform chooses the names of instances and data centres, so they
// need not match namePattern. They appear in logs and in the object store.
func checkPrintable(report reporter, position strictyaml.Position, field, text string) {
	printable := func(r rune) bool { return r > ' ' && r <= '~' }
	if text == "" || len(text) > maxPrintableLength || strings.IndexFunc(text, func(r rune) bool { return !printable(r) }) >= 0 {
		report(position, field, resultcode.SettingsOutOfRange, "use 1 to 253 printable ASCII characters without spaces",
			"%s: %q is not a usable name", field, text)
	}
}
