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

// Guards against a delta that leads to another release than the whole body, for
// any two releases of a history in either direction, and against one that is
// accepted on another base.
func TestPropertyApplyDeltaYieldsTarget(t *testing.T) {
	t.Parallel()
	pairs, others := 0, 0
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
					others++
					if _, _, err := applyDelta(other, other.Hash(), encoded); err == nil {
						return false, fmt.Errorf("the delta from release %d to %d was accepted on release %d", base.Number, target.Number, other.Number)
					}
				}
			}
		}
		return true, nil
	}, genChoices(600)))
	t.Logf("%d pairs, %d other bases", pairs, others)
}

func applyDelta(base *Release, hash string, encoded []byte) (*Release, string, error) {
	applied, err := NewDeltaBase(base, hash).Apply(encoded)
	if err != nil {
		return nil, "", err
	}
	return applied.Release(), applied.Hash(), nil
}

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
	again, _, err := applied.Encode()
	if err != nil {
		return err
	}
	if stated != hash || !bytes.Equal(again, body) || !reflect.DeepEqual(applied, decoded) {
		return fmt.Errorf("hash %s, expected %s, or another body", stated, hash)
	}
	return nil
}

// Guards against kept encoded objects that go wrong after several deltas, which
// would refuse every later one.
func TestPropertyConsecutiveDeltas(t *testing.T) {
	t.Parallel()
	runProperty(t, "apply(apply(a, delta(a, b)), delta(b, c)) == c", 60, prop.ForAll(func(choice []uint8) (bool, error) {
		h, err := publishRandom(choice, func(*publicationHistory, *Release) error { return nil })
		if err != nil || len(h.releases) == 0 {
			return false, fmt.Errorf("no releases: %w", err)
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
				return false, fmt.Errorf("release %d differs", target.Number)
			}
		}
		return true, nil
	}, genChoices(600)))
}

// Guards against a delta that is accepted after damage in transfer. The byte
// changes, or a byte is removed or repeated.
func TestPropertyChangedDeltaIsRefused(t *testing.T) {
	t.Parallel()
	runProperty(t, "a changed delta is refused", 300, prop.ForAll(func(choice []uint8, position, value, how int) (bool, error) {
		h, err := publishRandom(choice, func(*publicationHistory, *Release) error { return nil })
		if err != nil || len(h.releases) == 0 {
			return false, fmt.Errorf("no releases: %w", err)
		}
		base, target := h.releases[0], h.releases[len(h.releases)-1]
		encoded, err := EncodeDelta(base, base.Hash(), target, target.Hash())
		if err != nil {
			return false, err
		}
		position %= len(encoded)
		changed := bytes.Clone(encoded)
		switch how {
		case 0:
			changed[position] ^= byte(value)
		case 1:
			changed = append(changed[:position], changed[position+1:]...)
		default:
			changed = append(changed[:position+1], encoded[position:]...)
		}
		if _, _, err := applyDelta(base, base.Hash(), changed); err == nil {
			return false, fmt.Errorf("accepted: %s", changed)
		}
		return true, nil
	}, genChoices(600), gen.IntRange(0, 1<<20), gen.IntRange(1, 255), gen.IntRange(0, 2)))
}

// Guards against a delta with changes that have no effect, which the hash of the
// result does not find, and against a result that fails a check.
func TestApplyRejectsInvalidDelta(t *testing.T) {
	t.Parallel()
	base := mustBuild(t, mustParse(t, sample), nil, ReleaseInfo{})
	target := mustBuild(t, mustParse(t, sample), base, ReleaseInfo{Note: "second"})
	empty := func(r *Release) string {
		encoded, err := EncodeDelta(base, base.Hash(), r, r.Hash())
		if err != nil {
			t.Fatal(err)
		}
		return string(encoded)
	}
	valid := empty(target)
	place := fmt.Sprintf(`{"name":%q,"data_centre":%q}`, base.Places[0].Name, base.Places[0].DataCentre)
	set := base.BackendSets[0].Name
	unchecked := *target
	unchecked.Author = ""
	unsorted := *target
	unsorted.History = append([]ReleaseRecord{}, target.History[0], target.History[0])
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
		{"no author", empty(&unchecked), resultcode.ConfigOutOfRange},
		{"repeated history", empty(&unsorted), resultcode.ConfigOutOfRange},
		{"nothing", "", resultcode.ConfigSyntax},
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
				t.Fatalf("got %v, expected code %d", err, test.code)
			}
		})
	}
}

// FuzzApplyDelta guards against deltas that crash an instance, and against an
// accepted one whose result is not the release of the stated hash.
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
				t.Fatalf("no result code: %v", err)
			}
			return
		}
		if base.Hash() != baseHash {
			t.Fatal("the base changed")
		}
		body, found, err := release.Encode()
		if err != nil || found != hash {
			t.Fatalf("hash %s became %s: %v", hash, found, err)
		}
		if _, err := DecodeRelease(body); err != nil {
			t.Fatal(err)
		}
	})
}
