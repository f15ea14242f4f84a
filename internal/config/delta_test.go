package config

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/internal/resultcode"
)

// Guards against a delta that does not produce the target release, and against one
// that is accepted on another base. It covers the deltas between any two releases
// of a history in either direction.
func TestPropertyApplyDeltaYieldsTarget(t *testing.T) {
	t.Parallel()
	pairs, otherBases := 0, 0
	runProperty(t, "apply(a, delta(a, b)) == b", 60, prop.ForAll(func(choice []uint8) (bool, error) {
		h, err := publishRandom(choice, func(*publicationHistory, *Release) error { return nil })
		if err != nil {
			return false, err
		}
		for _, base := range h.releases {
			for _, target := range h.releases {
				encoded, err := EncodeDelta(base, base.Hash(), target, target.Hash())
				if err != nil {
					return false, err
				}
				if err := checkDelta(base, target, encoded); err != nil {
					return false, fmt.Errorf("release %d to %d: %w", base.Number, target.Number, err)
				}
				pairs++
				for _, other := range h.releases {
					if other == base {
						continue
					}
					otherBases++
					if _, _, err := applyDelta(other, other.Hash(), encoded); err == nil {
						return false, fmt.Errorf("the delta from release %d to %d was accepted on release %d", base.Number, target.Number, other.Number)
					}
				}
			}
		}
		return true, nil
	}, genChoices(600)))
	t.Logf("%d pairs, %d other bases", pairs, otherBases)
}

func applyDelta(base *Release, hash string, encoded []byte) (*Release, string, error) {
	applied, err := NewDeltaBase(base, hash).Apply(encoded)
	if err != nil {
		return nil, "", err
	}
	return applied.Release(), applied.Hash(), nil
}

// checkDelta returns an error unless the delta produces the same release as the
// body of the target.
func checkDelta(base, target *Release, encoded []byte) error {
	body, hash, err := target.Encode()
	if err != nil {
		return err
	}
	decoded, err := DecodeRelease(body)
	if err != nil {
		return err
	}
	applied, stated, err := applyDelta(base, base.Hash(), encoded)
	if err != nil {
		return err
	}
	appliedBody, _, err := applied.Encode()
	if err != nil {
		return err
	}
	if stated != hash || !bytes.Equal(appliedBody, body) || !reflect.DeepEqual(applied, decoded) {
		return fmt.Errorf("the delta produced another release: hash %s, want %s", stated, hash)
	}
	return nil
}

// Guards against cached encoded objects that become wrong after several deltas,
// so that every later delta is refused with a hash mismatch.
func TestPropertyConsecutiveDeltas(t *testing.T) {
	t.Parallel()
	runProperty(t, "apply(apply(a, delta(a, b)), delta(b, c)) == c", 60, prop.ForAll(func(choice []uint8) (bool, error) {
		h, err := publishRandom(choice, func(*publicationHistory, *Release) error { return nil })
		if err != nil || len(h.releases) == 0 {
			return false, fmt.Errorf("no release was built: %w", err)
		}
		base := NewDeltaBase(h.releases[0], h.releases[0].Hash())
		for _, target := range h.releases[1:] {
			encoded, err := EncodeDelta(base.Release(), base.Hash(), target, target.Hash())
			if err != nil {
				return false, err
			}
			if base, err = base.Apply(encoded); err != nil {
				return false, err
			}
			if !reflect.DeepEqual(base.Release(), target) || base.Hash() != target.Hash() {
				return false, fmt.Errorf("the delta to release %d produced another release", target.Number)
			}
		}
		return true, nil
	}, genChoices(600)))
}

// Guards against a corrupted delta that is accepted. In each case one byte is
// changed, removed or repeated.
func TestPropertyChangedDeltaIsRefused(t *testing.T) {
	t.Parallel()
	runProperty(t, "a changed delta is refused", 300, prop.ForAll(func(choice []uint8, position, mask, corruption int) (bool, error) {
		h, err := publishRandom(choice, func(*publicationHistory, *Release) error { return nil })
		if err != nil || len(h.releases) == 0 {
			return false, fmt.Errorf("no release was built: %w", err)
		}
		base, target := h.releases[0], h.releases[len(h.releases)-1]
		encoded, err := EncodeDelta(base, base.Hash(), target, target.Hash())
		if err != nil {
			return false, err
		}
		position %= len(encoded)
		changed := bytes.Clone(encoded)
		switch corruption {
		case 0:
			changed[position] ^= byte(mask)
		case 1:
			changed = append(changed[:position], changed[position+1:]...)
		default:
			changed = append(changed[:position+1], encoded[position:]...)
		}
		if _, _, err := applyDelta(base, base.Hash(), changed); err == nil {
			return false, fmt.Errorf("the corrupted delta was accepted: %s", changed)
		}
		return true, nil
	}, genChoices(600), gen.IntRange(0, 1<<20), gen.IntRange(1, 255), gen.IntRange(0, 2)))
}

// Guards against an accepted delta that is not in canonical form or has changes
// without effect, which the hash of the result does not detect, and against a
// delta whose result is invalid.
func TestApplyRejectsInvalidDelta(t *testing.T) {
	t.Parallel()
	base := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	target := mustBuild(t, mustParse(t, sample), base, ReleaseInfo{Note: "second"})
	encodeDelta := func(r *Release) string {
		encoded, err := EncodeDelta(base, base.Hash(), r, r.Hash())
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	valid := encodeDelta(target)
	place := fmt.Sprintf(`{"name":%q,"data_centre":%q}`, base.Places[0].Name, base.Places[0].DataCentre)
	set := base.BackendSets[0].Name
	noAuthor := *target
	noAuthor.Author = ""
	repeatedHistory := *target
	repeatedHistory.History = append([]ReleaseRecord{}, target.History[0], target.History[0])
	insert := func(field string) string {
		return strings.Replace(valid, `"new_history"`, field+`,"new_history"`, 1)
	}
	tests := []struct {
		name, delta string
		code        resultcode.Code
	}{
		{"unknown removal", insert(`"rules":{"removed":["none"]}`), resultcode.ConfigSyntax},
		{"unchanged object", insert(`"places":{"put":[` + place + `]}`), resultcode.ConfigSyntax},
		{"removed and put", insert(`"places":{"removed":["` + base.Places[0].Name + `"],"put":[` + place + `]}`), resultcode.ConfigSyntax},
		{"unchanged set", insert(`"backend_sets":{"put":[{"name":"` + set + `","endpoints":{}}]}`), resultcode.ConfigSyntax},
		{"unsorted removals", insert(`"rules":{"removed":["b","a"]}`), resultcode.ConfigSyntax},
		{"unknown field", insert(`"extra":1`), resultcode.ConfigSyntax},
		{"empty list", insert(`"rules":{"removed":[]}`), resultcode.ConfigSyntax},
		{"white space", valid + " ", resultcode.ConfigSyntax},
		{"kept history", strings.Replace(valid, `"kept_history":0`, `"kept_history":1`, 1), resultcode.ConfigSyntax},
		{"negative history", strings.Replace(valid, `"kept_history":0`, `"kept_history":-1`, 1), resultcode.ConfigSyntax},
		{"other note", strings.Replace(valid, `"note":"second"`, `"note":"third"`, 1), resultcode.ReleaseHashMismatch},
		{"no author", encodeDelta(&noAuthor), resultcode.ConfigOutOfRange},
		{"repeated history", encodeDelta(&repeatedHistory), resultcode.ConfigOutOfRange},
		{"empty input", "", resultcode.ConfigSyntax},
		{"too long", strings.Repeat(" ", maxDeltaBytes+1), resultcode.PublishTooLarge},
	}
	if _, _, err := applyDelta(base, base.Hash(), []byte(valid)); err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.delta == valid {
				t.Fatal("the case does not change the delta")
			}
			_, _, err := applyDelta(base, base.Hash(), []byte(test.delta))
			if code, ok := resultcode.Of(err); err == nil || !ok || code != test.code {
				t.Fatalf("got %v, want code %d", err, test.code)
			}
		})
	}
}

// FuzzApplyDelta guards against deltas that make an instance panic, and against an
// accepted delta whose result does not have the stated hash.
func FuzzApplyDelta(f *testing.F) {
	parse := func(text string) *Configuration {
		configuration, faults := Parse([]File{{Name: "test.yaml", Content: []byte(text)}})
		if len(faults) > 0 {
			f.Fatal(faults)
		}
		return configuration
	}
	build := func(c *Configuration, previous *Release) *Release {
		release, faults := BuildRelease(c, previous, ReleaseInfo{Author: "fuzz", CreatedAt: testTime})
		if len(faults) > 0 {
			f.Fatal(faults)
		}
		return release
	}
	base := build(parse(sample), nil)
	baseHash := base.Hash()
	generated := parse(strings.Join(generateDocuments(&choices{[]uint8{1, 1, 2, 3, 1, 4, 2, 5, 3}}), "---\n"))
	for _, configuration := range []*Configuration{parse(sample), generated} {
		target := build(configuration, base)
		encoded, err := EncodeDelta(base, baseHash, target, target.Hash())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, encoded []byte) {
		release, hash, err := applyDelta(base, baseHash, encoded)
		if err != nil {
			if _, ok := resultcode.Of(err); !ok {
				t.Fatalf("the error has no result code: %v", err)
			}
			return
		}
		if base.Hash() != baseHash {
			t.Fatal("Apply modified the base")
		}
		body, actual, err := release.Encode()
		if err != nil || actual != hash {
			t.Fatalf("the delta states hash %s but the release has %s: %v", hash, actual, err)
		}
		if _, err := DecodeRelease(body); err != nil {
			t.Fatal(err)
		}
	})
}
