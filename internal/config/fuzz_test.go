package config

import (
	"testing"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// FuzzParse guards against files that make the decoder panic, and against accepted
// files whose release cannot be encoded and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("kind: Place\nname: {a: b}\n"))
	f.Add([]byte("a: &a [*a, *a]\n"))
	f.Add([]byte("kind: BackendSet\nendpoints: [1, null, {}]\n"))
	f.Add([]byte("? {a: b}\n: c\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		configuration, faults := Parse([]File{{Name: "fuzz.yaml", Content: content}})
		for _, fault := range faults {
			if fault.Code == resultcode.OK || fault.Message == "" || fault.Advice == "" {
				t.Fatalf("incomplete fault %+v", fault)
			}
		}
		if len(faults) > 0 {
			return
		}
		release, faults := BuildRelease(configuration, nil, ReleaseInfo{Author: "fuzz", CreatedAt: testTime})
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		body, _, err := release.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRelease(body); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzDecodeRelease guards against bodies that make the decoder panic, and against
// corrupted bodies that are accepted.
func FuzzDecodeRelease(f *testing.F) {
	configuration, _ := Parse([]File{{Name: "test.yaml", Content: []byte(sample)}})
	release, _ := BuildRelease(configuration, nil, ReleaseInfo{Author: "fuzz", CreatedAt: testTime})
	body, _, err := release.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add(body[:hashLength])
	f.Fuzz(func(t *testing.T, body []byte) {
		release, err := DecodeRelease(body)
		if err != nil {
			if _, ok := resultcode.Of(err); !ok {
				t.Fatalf("the error has no result code: %v", err)
			}
			return
		}
		_, hash, err := release.Encode()
		if stated, _ := BodyHash(body); err != nil || hash != stated {
			t.Fatalf("the body states hash %s but the decoded release has %s: %v", stated, hash, err)
		}
	})
}

// FuzzDecodeContent guards against content that makes the decoder or the users of
// a release panic. It gives each content a valid hash, so that changed content
// passes the hash check and reaches the other checks.
func FuzzDecodeContent(f *testing.F) {
	configuration, _ := Parse([]File{{Name: "test.yaml", Content: []byte(sample)}})
	release, _ := BuildRelease(configuration, nil, ReleaseInfo{Author: "fuzz", CreatedAt: testTime})
	f.Add(canonicalContent(f, release))
	f.Fuzz(func(t *testing.T, content []byte) {
		body := encodeBody(t, content)
		release, err := DecodeRelease(body)
		if err != nil {
			return
		}
		release.ServicesFor([]string{"fukuoka"})
		if len(Diff(release, release)) != 0 {
			t.Fatal("Diff reports changes between a release and itself")
		}
	})
}
