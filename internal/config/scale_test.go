package config

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Guards against a release of the target scale that the platform cannot store:
// values may have up to one megabyte, and the body is stored as base64 in a JSON
// object.
func TestTargetScaleFitsInOneObject(t *testing.T) {
	t.Parallel()
	const services, endpoints = 1_900, 14_000
	text := targetScaleYAML()
	start := time.Now()
	configuration := mustParse(t, text)
	parseTime := time.Since(start)
	release := mustBuild(t, configuration, nil, ReleaseInfo{})
	start = time.Now()
	body, _, err := release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	encodeTime := time.Since(start)
	start = time.Now()
	if _, err := DecodeRelease(body); err != nil {
		t.Fatal(err)
	}
	t.Logf("YAML %d bytes, body %d bytes, parse %v, encode %v, decode %v",
		len(text), len(body), parseTime, encodeTime, time.Since(start))
	if stored := len(body) * 4 / 3; stored >= 1_000_000 {
		t.Fatalf("the body takes %d bytes in base64, more than the platform stores", stored)
	}
	release.History = incompressibleHistory()
	body, _, err = release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("body with %d records in the history: %d bytes", len(release.History), len(body))
	// All addresses are in quarantine after a release that replaced all of them.
	for i := range release.Services {
		release.Quarantine = append(release.Quarantine, QuarantinedAddress{
			Address: fmt.Sprintf("tcp/203.113.%d.%d:443", i>>8, i&255), Service: release.Services[i].Name, Since: 1,
		})
	}
	for i := range endpoints {
		hash := uint32(i) * 2654435761
		release.Quarantine = append(release.Quarantine, QuarantinedAddress{
			Address: fmt.Sprintf("endpoint/10.%d.%d.%d:6081", hash>>24, hash>>16&255, i&255),
			Service: release.Services[i%services].Name, Since: 1,
		})
	}
	body, _, err = release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("body with %d addresses in quarantine in addition: %d bytes", len(release.Quarantine), len(body))
}

// incompressibleHistory returns a full history of random texts of the maximum
// length, which do not compress well.
func incompressibleHistory() []ReleaseRecord {
	rng := rand.New(rand.NewPCG(4, 0))
	text := func(length int) string {
		var b strings.Builder
		for b.Len() < length {
			fmt.Fprintf(&b, "%016x", rng.Uint64())
		}
		return b.String()[:length]
	}
	records := make([]ReleaseRecord, MaxHistory)
	for i := range records {
		records[i] = ReleaseRecord{
			Number: uint64(MaxHistory - i), Hash: text(hashLength), Author: text(MaxAuthorLength), Note: text(maxRecordNoteLength),
			CreatedAt: testTime.Format(time.RFC3339Nano),
		}
	}
	return records
}

// Guards against a release that is published although the platform cannot store
// its body.
func TestEncodeRefusesTooLargeRelease(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	rng := rand.New(rand.NewPCG(3, 0))
	for range MaxBodyBytes / 8 {
		release.Quarantine = append(release.Quarantine, QuarantinedAddress{Address: fmt.Sprint(rng.Uint64()), Service: "old", Since: 1})
	}
	_, _, err := release.Encode()
	if code, ok := resultcode.Of(err); err == nil || !ok || code != resultcode.PublishTooLarge {
		t.Fatalf("got %v", err)
	}
}

// BenchmarkDecodeRelease measures the decoding of a release of the target scale,
// which every instance does for each release that it loads in full.
func BenchmarkDecodeRelease(b *testing.B) {
	configuration, faults := Parse([]File{{Name: "scale.yaml", Content: []byte(targetScaleYAML())}})
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	release, faults := BuildRelease(configuration, nil, ReleaseInfo{Author: "a", CreatedAt: testTime})
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	body, _, err := release.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeRelease(body); err != nil {
			b.Fatal(err)
		}
	}
}

// targetScaleDelta returns a release of the target scale with a full history, the
// following release, in which one endpoint has another address, and the encoded
// delta between them.
func targetScaleDelta(tb testing.TB) (base, target *Release, encoded []byte) {
	tb.Helper()
	configuration, faults := Parse([]File{{Name: "scale.yaml", Content: []byte(targetScaleYAML())}})
	if len(faults) > 0 {
		tb.Fatal(faults)
	}
	build := func(previous *Release) *Release {
		release, faults := BuildRelease(configuration, previous, ReleaseInfo{Author: "operator", CreatedAt: testTime})
		if len(faults) > 0 {
			tb.Fatal(faults)
		}
		return release
	}
	first := build(nil)
	first.Number = MaxHistory + 1
	first.History = incompressibleHistory()
	configuration.BackendSets[700].Endpoints[3].Weight++
	base = build(first)
	configuration.BackendSets[900].Endpoints[3].Address = netip.MustParseAddrPort("10.250.1.1:6081")
	target = build(base)
	encoded, err := EncodeDelta(base, base.Hash(), target, target.Hash())
	if err != nil {
		tb.Fatal(err)
	}
	return base, target, encoded
}

// Guards against a delta whose size depends on the size of the release rather
// than on the change: 4,800 changes a day must fit into 4 KB/s of control traffic
// together with all other messages.
func TestDeltaOfOneEndpointIsSmall(t *testing.T) {
	t.Parallel()
	base, target, encoded := targetScaleDelta(t)
	if err := checkDelta(base, target, encoded); err != nil {
		t.Fatal(err)
	}
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(encoded); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	t.Logf("delta of one endpoint: %d bytes, %d with gzip", len(encoded), compressed.Len())
	if len(encoded) > 2_000 {
		t.Fatalf("the delta of one endpoint has %d bytes", len(encoded))
	}
}

// BenchmarkApplyDelta measures the application of a delta that changes one
// endpoint to a release of the target scale, which an instance does if it has the
// previous release.
func BenchmarkApplyDelta(b *testing.B) {
	release, _, encoded := targetScaleDelta(b)
	base := NewDeltaBase(release, release.Hash())
	// The first delta after a full body also encodes all objects, so it is not
	// measured.
	if _, err := base.Apply(encoded); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := base.Apply(encoded); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncodeDelta measures the computation of the delta between two releases
// of the target scale, which a watcher does once for each pair of releases. They
// differ in one endpoint.
func BenchmarkEncodeDelta(b *testing.B) {
	base, target, _ := targetScaleDelta(b)
	baseHash, targetHash := base.Hash(), target.Hash()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := EncodeDelta(base, baseHash, target, targetHash); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkParse measures the parsing and checking of a configuration of the
// target scale, as in a publication.
func BenchmarkParse(b *testing.B) {
	files := []File{{Name: "scale.yaml", Content: []byte(targetScaleYAML())}}
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := Parse(files); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
