package settings

import (
	"net/netip"
	"net/url"
	"regexp"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
	"burdockrelay.example/burdockrelay/internal/telemetry"
)

// Default ports, see docs/design.md section 5.3.
const (
	DefaultEntryPort = 6081
	DefaultPeerPort  = 7946
)

// defaultMaxFlows is the default capacity of the flow table, in flows. A flow
// takes about 64 bytes; instances hold hundreds of thousands of flows.
const defaultMaxFlows = 500_000

// maxNameLength is the maximum length of a name in bytes, the same as for object
// names in the configuration.
const maxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Daemon holds the settings that all daemons share.
type Daemon struct {
	Instance   string `yaml:"instance" required:"true"`
	DataCentre string `yaml:"data_centre" required:"true"`
	LogLevel   string `yaml:"log_level" oneof:"debug info warn error"`

	Trace telemetry.TraceSettings `yaml:"trace"`
	// MetricsListen is the zero value when metrics are off.
	MetricsListen netip.AddrPort `yaml:"metrics_listen"`
}

func (d *Daemon) setDefaults() {
	d.LogLevel = "info"
}

func (d *Daemon) completeAndCheck(report reporter, position strictyaml.Position) {
	checkTrace(report, position, d.Trace)
}

// Member holds the settings that entryd and controld of one entry instance
// share. The instance is a member of a group.
type Member struct {
	Daemon `yaml:",inline"`
	// Group defaults to the data centre.
	Group string `yaml:"group"`
	// Address is the address of the instance. With EntryPort it receives the
	// Geneve packets.
	Address   netip.Addr `yaml:"address" required:"true"`
	EntryPort uint16     `yaml:"entry_port" min:"1" max:"65535"`
}

func (m *Member) setDefaults() {
	m.Daemon.setDefaults()
	m.EntryPort = DefaultEntryPort
}

func (m *Member) completeAndCheck(report reporter, position strictyaml.Position) {
	if m.Group == "" {
		m.Group = m.DataCentre
	}
	m.Daemon.completeAndCheck(report, position)
	checkName(report, position, "instance", m.Instance)
	checkName(report, position, "data_centre", m.DataCentre)
	checkName(report, position, "group", m.Group)
}

// Entry holds the settings of burdock-entryd.
type Entry struct {
	Member `yaml:",inline"`
	// APIListen is the loopback address on which entryd serves the Entry RPC
	// service to controld.
	APIListen netip.AddrPort `yaml:"api_listen" required:"true"`
	// FabricReturn is the address to which resets for refused callers are sent.
	FabricReturn netip.AddrPort `yaml:"fabric_return" required:"true"`
	// MaxFlows is the capacity of the flow table in flows.
	MaxFlows uint32              `yaml:"max_flows" min:"1000" max:"10000000"`
	Position strictyaml.Position `yaml:"-"`
}

// Control holds the settings of burdock-controld.
type Control struct {
	Member `yaml:",inline"`
	// EntryAPI is the loopback address of entryd's Entry RPC service.
	EntryAPI netip.AddrPort `yaml:"entry_api" required:"true"`
	// Places are the places that the group covers, by name or data centre; the
	// default is the instance's own data centre.
	Places   []string `yaml:"places"`
	PeerPort uint16   `yaml:"peer_port" min:"1" max:"65535"`
	// Platform is the base URL of the object API.
	Platform       string              `yaml:"platform" required:"true"`
	Administration Administration      `yaml:"administration"`
	Position       strictyaml.Position `yaml:"-"`
}

// Administration holds the settings of the administration API. TLS and a token
// are required unless Listen is a loopback address.
type Administration struct {
	// Listen is the zero value when the API is off.
	Listen         netip.AddrPort      `yaml:"listen"`
	TLSCertificate string              `yaml:"tls_certificate"`
	TLSKey         string              `yaml:"tls_key"`
	TokenFile      string              `yaml:"token_file"`
	Position       strictyaml.Position `yaml:"-"`
}

func (e *Entry) setDefaults() {
	e.Member.setDefaults()
	e.MaxFlows = defaultMaxFlows
}

func (e *Entry) completeAndCheck(report reporter) {
	e.Member.completeAndCheck(report, e.Position)
	if !e.APIListen.Addr().IsLoopback() {
		report(e.Position, "api_listen", resultcode.SettingsInsecure, "use a loopback address, such as 127.0.0.1:7081",
			"api_listen: %s is not a loopback address and the Entry service has no authentication", e.APIListen)
	}
}

func (c *Control) setDefaults() {
	c.Member.setDefaults()
	c.PeerPort = DefaultPeerPort
}

func (c *Control) completeAndCheck(report reporter) {
	c.Member.completeAndCheck(report, c.Position)
	if len(c.Places) == 0 {
		c.Places = []string{c.DataCentre}
	}
	for _, place := range c.Places {
		checkName(report, c.Position, "places", place)
	}
	if !c.EntryAPI.Addr().IsLoopback() {
		report(c.Position, "entry_api", resultcode.SettingsInsecure, "use the loopback address of api_listen in the settings of burdock-entryd",
			"entry_api: %s is not a loopback address", c.EntryAPI)
	}
	checkURL(report, c.Position, "platform", c.Platform)
	c.Administration.check(report)
}

func (a *Administration) check(report reporter) {
	if !a.Listen.IsValid() {
		return
	}
	if (a.TLSCertificate == "") != (a.TLSKey == "") {
		report(a.Position, "tls_certificate", resultcode.SettingsMissingField, "give both tls_certificate and tls_key",
			"administration has only one of tls_certificate and tls_key")
	}
	if a.Listen.Addr().IsLoopback() {
		return
	}
	if a.TLSCertificate == "" || a.TokenFile == "" {
		report(a.Position, "listen", resultcode.SettingsInsecure,
			"give tls_certificate, tls_key and token_file, or listen on 127.0.0.1",
			"administration.listen: %s is reachable from other hosts and needs TLS and a token", a.Listen)
	}
}

func checkName(report reporter, position strictyaml.Position, field, name string) {
	if len(name) > maxNameLength || !namePattern.MatchString(name) {
		report(position, field, resultcode.SettingsOutOfRange, "use 1 to 63 lower-case letters, digits and inner hyphens",
			"%s: %q is not a valid name", field, name)
	}
}

func checkURL(report reporter, position strictyaml.Position, field, text string) {
	parsed, err := url.Parse(text)
	if err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.User == nil {
		if _, err := netip.ParseAddr(parsed.Hostname()); err == nil {
			return
		}
	}
	report(position, field, resultcode.SettingsBadAddress, "write http or https with a numeric address, such as http://192.0.2.5:8080",
		"%s: %q is not a usable URL", field, text)
}

func checkTrace(report reporter, position strictyaml.Position, trace telemetry.TraceSettings) {
	switch trace.Exporter {
	case "", "off", "stdout":
	case "file":
		if trace.File == "" {
			report(position, "trace", resultcode.SettingsMissingField, "add trace.file: a path", "trace.file is missing")
		}
	case "otlp":
		checkURL(report, position, "trace", trace.Endpoint)
	default:
		report(position, "trace", resultcode.SettingsOutOfRange, "write off, stdout, file or otlp",
			"trace.exporter: %q is not a known value", trace.Exporter)
	}
	if trace.SampleRatio < 0 || trace.SampleRatio > 1 {
		report(position, "trace", resultcode.SettingsOutOfRange, "write a value from 0 to 1",
			"trace.sample_ratio: %v is out of range", trace.SampleRatio)
	}
}
