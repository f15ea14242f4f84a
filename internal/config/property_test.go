package config

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"burdockrelay.example/burdockrelay/common"
	"burdockrelay.example/burdockrelay/internal/propertytest"
)

func runProperty(t *testing.T, name string, cases int, property gopter.Prop) {
	t.Helper()
	propertytest.Run(t, cases, func(properties *gopter.Properties) { properties.Property(name, property) })
}

func genChoices(length int) gopter.Gen {
	return gen.SliceOfN(length, gen.UInt8())
}

// Guards against a release that changes when it is stored and read.
func TestPropertyEncodeDecodeRoundTrip(t *testing.T) {
	t.Parallel()
	runProperty(t, "decode(encode(r)) == r", 300, prop.ForAll(func(bytes []uint8, author, note string) (bool, error) {
		configuration, faults := Parse(distributeOverFiles(generateDocuments(&choices{bytes}), 1))
		if len(faults) > 0 {
			return false, fmt.Errorf("generated configuration: %v", faults)
		}
		info := ReleaseInfo{Author: "a" + author, Note: note, CreatedAt: testTime}
		release, faults := BuildRelease(configuration, nil, info)
		if len(faults) > 0 {
			// gopter also generates texts beyond the limits.
			if len(author) >= MaxAuthorLength || len(note) > MaxNoteLength {
				return true, nil
			}
			return false, fmt.Errorf("build: %v", faults)
		}
		body, hash, err := release.Encode()
		if err != nil {
			return false, err
		}
		decoded, err := DecodeRelease(body)
		if err != nil {
			return false, err
		}
		_, again, err := decoded.Encode()
		return reflect.DeepEqual(release, decoded) && again == hash, err
	}, genChoices(60), gen.AnyString(), gen.AnyString()))
}

// Guards against a hash that depends on the order of files or documents, which
// would report changes where there are none.
func TestPropertyHashIgnoresFileOrder(t *testing.T) {
	t.Parallel()
	runProperty(t, "hash(shuffle(files)) == hash(files)", 300, prop.ForAll(func(bytes []uint8, seed uint64, fileCount int) (bool, error) {
		documents := generateDocuments(&choices{bytes})
		first, faults := Parse(distributeOverFiles(documents, 1))
		if len(faults) > 0 {
			return false, fmt.Errorf("generated configuration: %v", faults)
		}
		random := rand.New(rand.NewPCG(seed, 0))
		random.Shuffle(len(documents), func(i, j int) { documents[i], documents[j] = documents[j], documents[i] })
		second, faults := Parse(distributeOverFiles(documents, fileCount))
		if len(faults) > 0 {
			return false, fmt.Errorf("shuffled configuration: %v", faults)
		}
		if first.Hash() != second.Hash() {
			return false, fmt.Errorf("hash %s became %s", first.Hash(), second.Hash())
		}
		return releaseHash(first) == releaseHash(second), nil
	}, genChoices(60), gen.UInt64(), gen.IntRange(1, 5)))
}

func releaseHash(c *Configuration) string {
	release, faults := BuildRelease(c, nil, ReleaseInfo{Author: "a", CreatedAt: testTime})
	if len(faults) > 0 {
		return fmt.Sprint(faults)
	}
	_, hash, err := release.Encode()
	if err != nil {
		return err.Error()
	}
	return hash
}

// publicationHistory publishes random configurations one after the other.
type publicationHistory struct {
	releases []*Release
	refused  int
	oldest   uint64
}

func publishRandom(bytes []uint8, observe func(h *publicationHistory, release *Release) error) (*publicationHistory, error) {
	h := &publicationHistory{}
	c := &choices{bytes}
	for range 12 {
		configuration, faults := Parse(distributeOverFiles(generateDocuments(c), 1))
		if len(faults) > 0 {
			return nil, fmt.Errorf("generated configuration: %v", faults)
		}
		var previous *Release
		if len(h.releases) > 0 {
			previous = h.releases[len(h.releases)-1]
			// The oldest release in force never goes back.
			h.oldest += uint64(c.pick(int(previous.Number-h.oldest) + 1))
		}
		release, faults := BuildRelease(configuration, previous, ReleaseInfo{
			Author: "a", CreatedAt: testTime, OldestInForce: h.oldest,
		})
		if len(faults) > 0 {
			h.refused++
			continue
		}
		h.releases = append(h.releases, release)
		if err := observe(h, release); err != nil {
			return nil, err
		}
	}
	return h, nil
}

// endpointIdentities describes what each endpoint number stands for, without the code
// that assigns the numbers.
func endpointIdentities(release *Release) map[common.EndpointID]string {
	described := map[common.EndpointID]string{}
	for _, rule := range release.Rules {
		for _, set := range release.BackendSets {
			if set.Name != rule.BackendSet {
				continue
			}
			for _, endpoint := range set.Endpoints {
				described[endpoint.ID] = fmt.Sprintf("%s of %s at %s", endpoint.Name, rule.Service, endpoint.Address)
			}
		}
	}
	return described
}

// Guards against an endpoint or service number that names two things over time,
// which would send flows of an old endpoint to a new one (P2).
func TestPropertyIDsAreNeverReused(t *testing.T) {
	t.Parallel()
	runProperty(t, "number identifies one endpoint", 100, prop.ForAll(func(bytes []uint8) (bool, error) {
		owners := map[common.EndpointID]string{}
		services := map[common.ServiceID]string{}
		gone := map[common.EndpointID]bool{}
		_, err := publishRandom(bytes, func(_ *publicationHistory, release *Release) error {
			present := map[common.EndpointID]bool{}
			for id, identity := range endpointIdentities(release) {
				if owner, ok := owners[id]; ok && owner != identity {
					return fmt.Errorf("endpoint number %d was %s and is %s", id, owner, identity)
				}
				if gone[id] {
					return fmt.Errorf("endpoint number %d returned", id)
				}
				owners[id] = identity
				present[id] = true
			}
			for id := range owners {
				gone[id] = !present[id]
			}
			for name, id := range release.serviceIDsByName() {
				if owner, ok := services[id]; ok && owner != name {
					return fmt.Errorf("service number %d was %s and is %s", id, owner, name)
				}
				services[id] = name
			}
			return nil
		})
		return err == nil, err
	}, genChoices(600)))
}

// Guards against an address that two services use at the same time in different
// releases that instances may have in force (P2).
func TestPropertyAddressesDoNotMoveWithoutQuarantine(t *testing.T) {
	t.Parallel()
	refused, moved := 0, 0
	runProperty(t, "an address has one service among the releases in force", 100, prop.ForAll(func(bytes []uint8) (bool, error) {
		h, err := publishRandom(bytes, func(h *publicationHistory, release *Release) error {
			serviceByAddress := release.serviceByAddress()
			for _, older := range h.releases {
				for address, service := range older.serviceByAddress() {
					if now, ok := serviceByAddress[address]; ok && now != service {
						if older.Number < h.oldest {
							moved++
							continue
						}
						return fmt.Errorf("%s is %s in release %d and %s in release %d, oldest in force %d",
							address, service, older.Number, now, release.Number, h.oldest)
					}
				}
			}
			return nil
		})
		if err == nil {
			refused += h.refused
		}
		return err == nil, err
	}, genChoices(600)))
	// The property holds trivially when no address ever moves.
	if refused == 0 || moved == 0 {
		t.Fatalf("%d publications refused, %d addresses moved: the cases are too tame", refused, moved)
	}
	t.Logf("%d publications refused, %d addresses moved", refused, moved)
}
