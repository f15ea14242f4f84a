package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"

	"gopkg.in/yaml.v3"

	"burdockrelay.example/burdockrelay/internal/entry"
	"burdockrelay.example/burdockrelay/internal/observe"
	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const (
	defaultEntryPort = 6081
	// defaultMaxFlows is for hundreds of thousands of flows of about 64 bytes.
	defaultMaxFlows = 500_000
	minMaxFlows     = 1_000
	maxMaxFlows     = 10_000_000
	// maxSettingsBytes bounds the settings file.
	maxSettingsBytes = 64 << 10
)

// settingsFile is the settings file of burdock-entryd (docs/design.md, section
// 5.3).
type settingsFile struct {
	Instance      string                `yaml:"instance"`
	DataCentre    string                `yaml:"data_centre"`
	Group         string                `yaml:"group"`
	Address       netip.Addr            `yaml:"address"`
	EntryPort     uint16                `yaml:"entry_port"`
	LogLevel      string                `yaml:"log_level"`
	Trace         observe.TraceSettings `yaml:"trace"`
	MetricsListen netip.AddrPort        `yaml:"metrics_listen"`
	APIListen     netip.AddrPort        `yaml:"api_listen"`
	FabricReturn  netip.AddrPort        `yaml:"fabric_return"`
	MaxFlows      uint32                `yaml:"max_flows"`
}

// loadSettings reads and checks the file. Unknown fields are errors.
func loadSettings(path string) (*settingsFile, error) {
	content, err := readBounded(path)
	if err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsUnreadable, "read settings: %w", err)
	}
	settings := &settingsFile{EntryPort: defaultEntryPort, LogLevel: "info", MaxFlows: defaultMaxFlows}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(settings); err != nil {
		return nil, resultcode.Errorf(resultcode.SettingsSyntax, "%s: %w", path, err)
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, resultcode.Errorf(resultcode.SettingsSyntax, "%s: more than one document", path)
	}
	if err := settings.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return settings, nil
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	content, err := io.ReadAll(io.LimitReader(file, maxSettingsBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxSettingsBytes {
		return nil, fmt.Errorf("%s is larger than %d bytes", path, maxSettingsBytes)
	}
	return content, nil
}

func (s *settingsFile) check() error {
	missing := func(field string) error {
		return resultcode.Errorf(resultcode.SettingsMissingField, "%s is missing", field)
	}
	switch {
	case s.Instance == "":
		return missing("instance")
	case s.DataCentre == "":
		return missing("data_centre")
	case !s.Address.IsValid():
		return missing("address")
	case !s.APIListen.IsValid():
		return missing("api_listen")
	case !s.FabricReturn.IsValid():
		return missing("fabric_return")
	case !s.Address.Is4():
		return resultcode.Errorf(resultcode.SettingsBadAddress, "address: %s is not an IPv4 address", s.Address)
	case !s.FabricReturn.Addr().Is4():
		return resultcode.Errorf(resultcode.SettingsBadAddress, "fabric_return: %s is not an IPv4 address", s.FabricReturn)
	case !s.APIListen.Addr().IsLoopback():
		return resultcode.Errorf(resultcode.SettingsInsecure, "api_listen: %s is not a loopback address", s.APIListen)
	case s.MaxFlows < minMaxFlows || s.MaxFlows > maxMaxFlows:
		return resultcode.Errorf(resultcode.SettingsOutOfRange, "max_flows: write a value from %d to %d", minMaxFlows, maxMaxFlows)
	case !(s.Trace.SampleRatio >= 0 && s.Trace.SampleRatio <= 1):
		return resultcode.Errorf(resultcode.SettingsOutOfRange, "trace.sample_ratio: write a value from 0 to 1")
	}
	if s.Group == "" {
		s.Group = s.DataCentre
	}
	return nil
}

// packetPath returns the part of the settings that the packet path uses.
func (s *settingsFile) packetPath() entry.Settings {
	settings := entry.Settings{
		Instance:     s.Instance,
		Listen:       netip.AddrPortFrom(s.Address, s.EntryPort),
		APIListen:    s.APIListen.String(),
		FabricReturn: s.FabricReturn,
		MaxFlows:     int(s.MaxFlows),
		SampleRatio:  s.Trace.SampleRatio,
	}
	if s.MetricsListen.IsValid() {
		settings.MetricsListen = s.MetricsListen.String()
	}
	return settings
}
