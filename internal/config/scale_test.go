package config

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Guards against a release that the platform cannot store at the target scale:
// values have up to a megabyte, and the body is base64 in a JSON object.
func TestTargetScaleFitsInOneObject(t *testing.T) {
	t.Parallel()
	const services, endpoints = 1_900, 14_000
	text := targetScale(1, services, endpoints)
	started := time.Now()
	configuration := mustParse(t, text)
	parsed := time.Since(started)
	release := mustBuild(t, configuration, nil, ReleaseInfo{})
	started = time.Now()
	body, _, err := release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	encoded := time.Since(started)
	started = time.Now()
	if _, err := DecodeRelease(body); err != nil {
		t.Fatal(err)
	}
	t.Logf("YAML %d bytes, body %d bytes, parse %v, encode %v, decode %v",
		len(text), len(body), parsed, encoded, time.Since(started))
	if stored := len(body) * 4 / 3; stored >= 1_000_000 {
		t.Fatalf("the body has %d bytes in base64", stored)
	}
	release.History = longHistory()
	body, _, err = release.Encode()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("body with %d releases in the history: %d bytes", len(release.History), len(body))
	// Every address is in quarantine after all of them were replaced at once.
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
	t.Logf("body with %d addresses in quarantine as well: %d bytes", len(release.Quarantine), len(body))
}

// longHistory fills the history with texts that do not compress.
func longHistory() []ReleaseRecord {
	random := rand.New(rand.NewPCG(4, 0))
	text := func(length int) string {
		var b strings.Builder
		for b.Len() < length {
			fmt.Fprintf(&b, "%016x", random.Uint64())
		}
		return b.String()[:length]
	}
	records := make([]ReleaseRecord, MaxHistory)
	for i := range records {
		records[i] = ReleaseRecord{
			Number: uint64(MaxHistory - i), Hash: text(hashLength), Author: text(MaxAuthorLength), Note: text(maxRecordNote),
			CreatedAt: testTime.Format(time.RFC3339Nano),
		}
	}
	return records
}

// Guards against a release that is written but cannot be stored.
func TestTooLargeReleaseIsRefused(t *testing.T) {
	release := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	random := rand.New(rand.NewPCG(3, 0))
	for range MaxBodyBytes / 8 {
		release.Quarantine = append(release.Quarantine, QuarantinedAddress{Address: fmt.Sprint(random.Uint64()), Service: "old", Since: 1})
	}
	_, _, err := release.Encode()
	if code, ok := resultcode.Of(err); err == nil || !ok || code != resultcode.PublishTooLarge {
		t.Fatalf("got %v", err)
	}
}

// BenchmarkDecodeRelease measures what every instance does for each release at
// the target scale.
func BenchmarkDecodeRelease(b *testing.B) {
	configuration, faults := Parse([]File{{Name: "scale.yaml", Content: []byte(targetScale(1, 1_900, 14_000))}})
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

// BenchmarkParse measures what a publication at the target scale takes.
func BenchmarkParse(b *testing.B) {
	files := []File{{Name: "scale.yaml", Content: []byte(targetScale(1, 1_900, 14_000))}}
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := Parse(files); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}
