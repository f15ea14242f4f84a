package settings

import (
	"net/netip"
	"net/url"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
	"burdockrelay.example/burdockrelay/internal/strictyaml"
)

// DefaultServer is the default of Client.Server, and the address of the
// administration API in the sample settings.
const DefaultServer = "http://127.0.0.1:7090"

const (
	defaultClientTimeout  = 10 * time.Second
	defaultPublishTimeout = 30 * time.Second
)

// Client holds the settings of burdockctl.
type Client struct {
	// Server is the base URL of the administration API of any controld.
	Server string `yaml:"server"`
	// TokenFile is the path of the file with the bearer token.
	TokenFile string `yaml:"token_file"`
	// CACertificate is the path of a PEM file with the CA certificate of the
	// server. Without it, the root certificates of the system apply.
	CACertificate string `yaml:"ca_certificate"`
	// Author is recorded in releases; the default is the user's login name.
	Author string `yaml:"author"`
	// Timeout bounds one request other than a publication.
	Timeout time.Duration `yaml:"timeout" min:"100ms" max:"5m"`
	// PublishTimeout bounds a publication, including the requests that determine
	// the outcome of an unconfirmed one.
	PublishTimeout time.Duration       `yaml:"publish_timeout" min:"1s" max:"10m"`
	Position       strictyaml.Position `yaml:"-"`
}

// DefaultClient returns the settings that apply without a file.
func DefaultClient() *Client {
	client := &Client{}
	client.setDefaults()
	return client
}

func (c *Client) setDefaults() {
	c.Server = DefaultServer
	c.Timeout = defaultClientTimeout
	c.PublishTimeout = defaultPublishTimeout
}

func (c *Client) completeAndCheck(report reporter) {
	checkURL(report, c.Position, "server", c.Server)
	if c.TokenFile != "" && !AllowsToken(c.Server) {
		report(c.Position, "server", resultcode.SettingsInsecure, "use https, or remove token_file",
			"server: the token would be sent to %s without TLS", c.Server)
	}
}

// AllowsToken reports whether a bearer token may be sent to the server URL: it
// uses https, or its host is a loopback address.
func AllowsToken(server string) bool {
	parsed, err := url.Parse(server)
	if err != nil {
		return false
	}
	address, err := netip.ParseAddr(parsed.Hostname())
	return parsed.Scheme == "https" || (err == nil && address.IsLoopback())
}
