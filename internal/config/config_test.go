package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/common"
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

// Guards against a policy that does not inherit a value from the policy that it
// extends.
func TestPolicyInheritsFromExtendedPolicy(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	services := release.ServicesFor([]string{"fukuoka"})
	if len(services) != 1 {
		t.Fatalf("got %d services", len(services))
	}
	policy := services[0].Policy
	if policy.IdleTimeout != 30*time.Minute || policy.BoundPercent != 150 || policy.SlowStart != 30*time.Second {
		t.Fatalf("got the policy %+v", policy)
	}
}

// Guards against instances of one group that use different endpoints: all of them
// must use the endpoints at the places of the group, or all endpoints if there
// are none.
func TestServicesForPrefersEndpointsAtThePlaces(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	for places, want := range map[string]int{"fukuoka": 1, "fukuoka,kumamoto": 2, "elsewhere": 2} {
		services := release.ServicesFor(strings.Split(places, ","))
		if got := len(services[0].Endpoints); got != want {
			t.Errorf("%s: got %d endpoints, want %d", places, got, want)
		}
	}
}

// Guards against faults with a wrong line or result code, and against faults
// without advice.
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

// Guards against a release that differs after it was encoded and decoded.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{Note: "first"})
	body, hash, err := release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeRelease(body)
	if err != nil {
		t.Fatal(err)
	}
	secondBody, secondHash, err := decoded.Encode()
	if err != nil || secondHash != hash || !bytes.Equal(body, secondBody) {
		t.Fatalf("the decoded release has another body or hash: hash %s became %s: %v", hash, secondHash, err)
	}
	if stated, err := BodyHash(body); err != nil || stated != hash {
		t.Fatalf("BodyHash returned %s, %v", stated, err)
	}
}

func canonicalContent(t testing.TB, release *Release) []byte {
	t.Helper()
	content, err := json.Marshal(release)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// encodeBody returns a body with a correct hash for any content.
func encodeBody(t testing.TB, content []byte) []byte {
	t.Helper()
	var buffer bytes.Buffer
	buffer.WriteString(hashOf(content))
	writer := gzip.NewWriter(&buffer)
	if _, err := writer.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

// Guards against an instance that accepts a release with invalid content because
// its hash is correct.
func TestDecodeReleaseValidatesContent(t *testing.T) {
	content := string(canonicalContent(t, mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})))
	cases := []struct {
		name, old, new string
		code           resultcode.Code
	}{
		{"unknown field", `{"number":1`, `{"extra":1,"number":1`, resultcode.ConfigSyntax},
		{"not canonical", `{"number":1,`, `{"number": 1,`, resultcode.ConfigSyntax},
		{"trailing text", `"history":[]}`, `"history":[]}{}`, resultcode.ConfigSyntax},
		{"number 0", `"number":1`, `"number":0`, resultcode.ConfigOutOfRange},
		{"no author", `"author":"tester"`, `"author":""`, resultcode.ConfigOutOfRange},
		{"invalid creation time", `"created_at":"2026`, `"created_at":"x026`, resultcode.ConfigOutOfRange},
		{"unknown service", `"service":"crew-desk"`, `"service":"crew"`, resultcode.CheckUnknownName},
		{"duplicate endpoint address", `10.2.0.11:6081`, `10.1.0.11:6081`, resultcode.CheckOverlap},
		{"duplicate endpoint ID", `{"id":2,"name":"crew-2"`, `{"id":1,"name":"crew-2"`, resultcode.ConfigOutOfRange},
		{"missing endpoint ID", `{"id":2,"name":"crew-2"`, `{"name":"crew-2"`, resultcode.ConfigOutOfRange},
		{"unassigned endpoint ID", `"next_endpoint":3`, `"next_endpoint":2`, resultcode.ConfigOutOfRange},
		{"missing service ID", `{"id":1,"name":"crew-desk"`, `{"name":"crew-desk"`, resultcode.ConfigOutOfRange},
		{
			"not sorted", `{"name":"fukuoka","data_centre":"fukuoka"},{"name":"kumamoto","data_centre":"kumamoto"}`,
			`{"name":"kumamoto","data_centre":"kumamoto"},{"name":"fukuoka","data_centre":"fukuoka"}`, resultcode.ConfigSyntax,
		},
		{"weight", `"weight":50`, `"weight":0`, resultcode.ConfigOutOfRange},
		{"bound", `"bound_percent":150`, `"bound_percent":50`, resultcode.ConfigOutOfRange},
		{"selection", `"selection":"bounded"`, `"selection":"random"`, resultcode.ConfigOutOfRange},
		{"protocol", `"protocol":"tcp"`, `"protocol":"sctp"`, resultcode.ConfigOutOfRange},
		{"UDP", `"protocol":"tcp"`, `"protocol":"udp"`, resultcode.CheckUDPNotIdempotent},
		{"port", `"port":443`, `"port":0`, resultcode.ConfigBadAddress},
		{"IPv6", `"address":"198.51.100.10"`, `"address":"2001:db8::1"`, resultcode.ConfigBadAddress},
		{"cycle", `{"name":"base",`, `{"name":"base","extends":"reports",`, resultcode.CheckCycle},
		{
			"quarantined address in use", `"quarantine":[]`,
			`"quarantine":[{"address":"endpoint/10.1.0.11:6081","service":"other","since":1}]`, resultcode.CheckAddressQuarantined,
		},
		{
			"quarantine since a later release", `"quarantine":[]`,
			`"quarantine":[{"address":"endpoint/10.9.0.1:6081","service":"other","since":2}]`, resultcode.ConfigOutOfRange,
		},
		{
			"duplicate quarantine entry", `"quarantine":[]`,
			`"quarantine":[{"address":"endpoint/10.9.0.1:6081","service":"a","since":1},{"address":"endpoint/10.9.0.1:6081","service":"b","since":1}]`,
			resultcode.ConfigOutOfRange,
		},
		{
			"record not older than the release", `"history":[]`,
			`"history":[{"number":1,"hash":"` + strings.Repeat("0", hashLength) + `","author":"a","created_at":"2026-04-01T06:00:00Z"}]`,
			resultcode.ConfigOutOfRange,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(content, c.old) {
				t.Fatalf("the content does not contain %s: %s", c.old, content)
			}
			_, err := DecodeRelease(encodeBody(t, []byte(strings.Replace(content, c.old, c.new, 1))))
			if code, ok := resultcode.Of(err); !ok || err == nil || code != c.code {
				t.Fatalf("want code %d, got %v", c.code, err)
			}
		})
	}
}

// Guards against corrupted bodies that are accepted.
func TestDecodeReleaseDetectsCorruption(t *testing.T) {
	body, _, err := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	gzipBomb := encodeBody(t, make([]byte, maxContentBytes+1))
	for name, corrupted := range map[string][]byte{
		"empty": nil, "hash only": body[:hashLength], "truncated": body[:len(body)-9],
		"other hash": append([]byte("0"), body[1:]...), "gzip bomb": gzipBomb,
	} {
		if name == "other hash" && body[0] == '0' {
			corrupted[0] = '1'
		}
		if _, err := DecodeRelease(corrupted); err == nil {
			t.Errorf("%s: the body was accepted", name)
		} else if code, _ := resultcode.Of(err); code != resultcode.ReleaseHashMismatch {
			t.Errorf("%s: wrong result code: %v", name, err)
		}
	}
}

// Guards against an endpoint ID that stays the same when the name or the address
// changes, and against one that changes although they stay the same.
func TestEndpointIDsFollowIdentity(t *testing.T) {
	first := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	same := mustBuild(t, mustParse(t, strings.Replace(sample, "weight: 50", "weight: 60", 1)), first, ReleaseInfo{})
	moved := mustBuild(t, mustParse(t, strings.Replace(sample, "10.2.0.11:6081", "10.2.0.12:6081", 1)), same, ReleaseInfo{})
	back := mustBuild(t, mustParse(t, sample), moved, ReleaseInfo{})
	renamed := mustBuild(t, mustParse(t, strings.Replace(sample, "crew-2", "crew-9", 1)), back, ReleaseInfo{})
	for i, want := range []struct {
		release *Release
		name    string
		id      common.EndpointID
	}{{first, "crew-2", 2}, {same, "crew-2", 2}, {moved, "crew-2", 3}, {back, "crew-2", 4}, {renamed, "crew-9", 5}, {renamed, "crew-1", 1}} {
		endpoint, ok := want.release.EndpointByName(want.name)
		if !ok || endpoint.ID != want.id {
			t.Errorf("case %d: endpoint %s is %+v, want ID %d", i, want.name, endpoint, want.id)
		}
	}
}

// Guards against addresses that are silently removed from a full quarantine.
func TestFullQuarantineIsRefused(t *testing.T) {
	first := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	for i := range MaxQuarantine {
		first.Quarantine = append(first.Quarantine, QuarantinedAddress{
			Address: fmt.Sprintf("endpoint/10.100.%d.%d:6081", i>>8, i&255), Service: "old", Since: 1,
		})
	}
	changed := mustParse(t, strings.Replace(sample, "10.2.0.11:6081", "10.2.0.12:6081", 1))
	info := ReleaseInfo{Author: "a", CreatedAt: testTime}
	if _, faults := BuildRelease(changed, first, info); len(faults) != 1 || faults[0].Code != resultcode.CheckLimit {
		t.Fatalf("got %v", faults)
	}
	info.OldestInForce = 1
	if _, faults := BuildRelease(changed, first, info); len(faults) != 0 {
		t.Fatalf("unexpected faults: %v", faults)
	}
}

// Guards against a Diff that omits a change or a changed field.
func TestDiffListsChangedFields(t *testing.T) {
	first := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	text := strings.Replace(sample, "idle_timeout: 30m", "idle_timeout: 20m", 1)
	text = strings.Replace(text, "weight: 50", "weight: 60", 1)
	text = strings.Replace(text, "name: crew-1", "name: crew-3", 1)
	text = strings.Replace(text, "port: 443", "port: 444", 1)
	changes := Diff(first, mustBuild(t, mustParse(t, text), first, ReleaseInfo{}))
	want := []Change{
		{"Policy", "base", ActionChanged, "idle_timeout: 1800s to 1200s"},
		{"Policy", "reports", ActionChanged, "idle_timeout: 1800s to 1200s"},
		{"Service", "crew-desk", ActionChanged, "port: 443 to 444"},
		{"Endpoint", "crew-1", ActionRemoved, ""},
		{"Endpoint", "crew-2", ActionChanged, "weight: 50 to 60"},
		{"Endpoint", "crew-3", ActionAdded, ""},
	}
	if !reflect.DeepEqual(changes, want) {
		t.Fatalf("got %v", changes)
	}
	if changes := Diff(nil, first); len(changes) != 9 {
		t.Fatalf("%d changes from an empty release: %v", len(changes), changes)
	}
}

// Guards against a history that lacks records of releases whose bodies the
// platform no longer keeps, and against one that grows without limit.
func TestHistoryIsCarriedAndBounded(t *testing.T) {
	configuration := mustParse(t, sample)
	var release *Release
	var hashes []string
	for range MaxHistory + 5 {
		release = mustBuild(t, configuration, release, ReleaseInfo{Note: strings.Repeat("é", 150)})
		hashes = append(hashes, release.Hash())
	}
	if len(release.History) != MaxHistory {
		t.Fatalf("%d records in the history", len(release.History))
	}
	for i, record := range release.History {
		number := release.Number - uint64(i) - 1
		if record.Number != number || record.Hash != hashes[number-1] || record.Note != strings.Repeat("é", 100) {
			t.Fatalf("record %d is %+v", i, record)
		}
	}
	body, hash, err := release.Encode()
	if err != nil || hash != release.Hash() {
		t.Fatal(hash, err)
	}
	if _, err := DecodeRelease(body); err != nil {
		t.Fatal(err)
	}
}

// Guards against accepted names that are not valid as DNS labels, and against
// valid names that are rejected.
func TestValidName(t *testing.T) {
	for name, want := range map[string]bool{
		"a": true, "0": true, "a-b": true, "a--b": true, strings.Repeat("a", MaxNameLength): true,
		"": false, "-a": false, "a-": false, "-": false, "A": false, "a_b": false, "a.b": false, "é": false, "a b": false, "a\n": false,
		strings.Repeat("a", MaxNameLength+1): false,
	} {
		if validName(name) != want {
			t.Errorf("%q: got %t", name, !want)
		}
	}
}
