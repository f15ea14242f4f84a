package config

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

const sample = `kind: Place
name: fukuoka
---
kind: Place
name: kumamoto
---
kind: Policy
name: base
idle_timeout: 30m
---
kind: Policy
name: reports
extends: base
selection: bounded
bound: 150%
---
kind: Service
name: crew-desk
address: 198.51.100.10
port: 443
protocol: tcp
policy: reports
---
kind: BackendSet
name: crew-desk
endpoints:
  - name: crew-1
    place: fukuoka
    address: 10.1.0.11:6081
    health: 10.1.0.11:8080
  - name: crew-2
    place: kumamoto
    address: 10.2.0.11:6081
    health: 10.2.0.11:8080
    weight: 50
---
kind: Rule
name: crew-desk
service: crew-desk
backend_set: crew-desk
`

var testTime = time.Date(2026, 4, 1, 6, 0, 0, 0, time.UTC)

func mustParse(t *testing.T, text string) *Configuration {
	t.Helper()
	configuration, faults := Parse([]File{{Name: "test.yaml", Content: []byte(text)}})
	for _, fault := range faults {
		t.Error(fault)
	}
	if len(faults) > 0 {
		t.FailNow()
	}
	return configuration
}

func mustBuild(t *testing.T, c *Configuration, previous *Release, info ReleaseInfo) *Release {
	t.Helper()
	if info.Author == "" {
		info.Author = "tester"
	}
	if info.CreatedAt.IsZero() {
		info.CreatedAt = testTime
	}
	release, faults := BuildRelease(c, previous, info)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return release
}

// Guards against a policy that loses a value of the policy it extends.
func TestPolicyInheritsFromExtendedPolicy(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	services := release.ServicesFor([]string{"fukuoka"})
	if len(services) != 1 {
		t.Fatalf("got %d services", len(services))
	}
	policy := services[0].Policy
	if policy.IdleTimeout != 30*time.Minute || policy.BoundPercent != 150 || policy.SlowStart != 30*time.Second {
		t.Fatalf("got %+v", policy)
	}
}

// Guards against instances of one group that use different endpoints.
func TestServicesForPrefersEndpointsAtThePlaces(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	for places, want := range map[string]int{"fukuoka": 1, "fukuoka,kumamoto": 2, "elsewhere": 2} {
		services := release.ServicesFor(strings.Split(places, ","))
		if got := len(services[0].Endpoints); got != want {
			t.Errorf("%s: got %d endpoints, want %d", places, got, want)
		}
	}
}

// Guards against faults that do not tell the operator where and what to change.
func TestParseReportsFaultsWithLineAndAdvice(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		code           resultcode.Code
	}{
		{"syntax", "kind: Rule", "kind: [Rule", 37, resultcode.ConfigSyntax},
		{"unknown field", "selection: bounded", "selektion: bounded", 14, resultcode.ConfigUnknownField},
		{"unknown kind", "kind: Rule", "kind: Rool", 37, resultcode.ConfigUnknownKind},
		{"wrong type", "port: 443", "port: https", 20, resultcode.ConfigWrongType},
		{"duration without unit", "idle_timeout: 30m", "idle_timeout: 30", 9, resultcode.ConfigWrongUnit},
		{"percent without unit", "bound: 150%", "bound: 1.5", 15, resultcode.ConfigWrongUnit},
		{"bad address", "address: 198.51.100.10", "address: 198.51.100.300", 19, resultcode.ConfigBadAddress},
		{"IPv6 address", "address: 198.51.100.10", "address: 2001:db8::1", 19, resultcode.ConfigBadAddress},
		{"missing field", "port: 443\n", "", 17, resultcode.ConfigMissingField},
		{"out of range", "port: 443", "port: 70000", 20, resultcode.ConfigOutOfRange},
		{"bad name", "name: fukuoka", "name: Fukuoka", 2, resultcode.ConfigBadName},
		{"duplicate name", "name: kumamoto", "name: fukuoka", 5, resultcode.CheckDuplicateName},
		{"unknown place", "place: kumamoto", "place: oita", 32, resultcode.CheckUnknownName},
		{"unknown policy", "policy: reports", "policy: report", 22, resultcode.CheckUnknownName},
		{"unknown service", "service: crew-desk", "service: crew", 39, resultcode.CheckUnknownName},
		{"unknown set", "backend_set: crew-desk", "backend_set: crew", 40, resultcode.CheckUnknownName},
		{"same endpoint address", "address: 10.2.0.11:6081", "address: 10.1.0.11:6081", 33, resultcode.CheckOverlap},
		{"endpoint at service address", "address: 10.2.0.11:6081", "address: 198.51.100.10:6081", 33, resultcode.CheckOverlap},
		{"cycle", "name: base\n", "name: base\nextends: reports\n", 9, resultcode.CheckCycle},
		{"unused policy", "policy: reports\n", "", 11, resultcode.CheckUnused},
		{"UDP not idempotent", "protocol: tcp", "protocol: udp", 17, resultcode.CheckUDPNotIdempotent},
		{"unknown anchor", "name: kumamoto", "name: *x", 5, resultcode.ConfigSyntax},
		{"alias", "name: kumamoto", "name: &x kumamoto\ndata_centre: *x", 6, resultcode.ConfigWrongType},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(sample, c.old, c.new, 1)
			_, faults := Parse([]File{{Name: "test.yaml", Content: []byte(text)}})
			for _, fault := range faults {
				if fault.Code == c.code && fault.Line == c.line && fault.File == "test.yaml" && fault.Advice != "" {
					return
				}
			}
			t.Fatalf("want code %d at line %d, got %v", c.code, c.line, faults)
		})
	}
}

// Guards against a body that does not survive storage.
func TestReleaseSurvivesEncoding(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{Note: "first"})
	body, hash, err := release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeRelease(body)
	if err != nil {
		t.Fatal(err)
	}
	again, secondHash, err := decoded.Encode()
	if err != nil || secondHash != hash || !bytes.Equal(body, again) {
		t.Fatalf("hash %s became %s: %v", hash, secondHash, err)
	}
	if stated, err := BodyHash(body); err != nil || stated != hash {
		t.Fatalf("body states %s, %v", stated, err)
	}
}
