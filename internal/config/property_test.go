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

// Guards against a release that differs after it was encoded and decoded.
func TestPropertyEncodeDecodeRoundTrip(t *testing.T) {
	t.Parallel()
	runProperty(t, "decode(encode(r)) == r", 300, prop.ForAll(func(bytes []uint8, author, note string) (bool, error) {
		configuration, faults := Parse(distributeOverFiles(generateDocuments(&choices{bytes}), 1))
		if len(faults) > 0 {
			return false, fmt.Errorf("the generated configuration has faults: %v", faults)
		}
		info := ReleaseInfo{Author: "a" + author, Note: note, CreatedAt: testTime}
		release, faults := BuildRelease(configuration, nil, info)
		if len(faults) > 0 {
			// gopter also generates texts that are longer than the limits.
			if len(author) >= MaxAuthorLength || len(note) > MaxNoteLength {
				return true, nil
			}
			return false, fmt.Errorf("BuildRelease reports faults: %v", faults)
		}
		body, hash, err := release.Encode()
		if err != nil {
			return false, err
		}
		decoded, err := DecodeRelease(body)
		if err != nil {
			return false, err
		}
		_, secondHash, err := decoded.Encode()
		return reflect.DeepEqual(release, decoded) && secondHash == hash, err
	}, genChoices(60), gen.AnyString(), gen.AnyString()))
}

// Guards against a hash that depends on the order of files or documents, so that
// an unchanged configuration is reported as changed.
func TestPropertyHashIgnoresFileOrder(t *testing.T) {
	t.Parallel()
	runProperty(t, "hash(shuffle(files)) == hash(files)", 300, prop.ForAll(func(bytes []uint8, seed uint64, fileCount int) (bool, error) {
		documents := generateDocuments(&choices{bytes})
		first, faults := Parse(distributeOverFiles(documents, 1))
		if len(faults) > 0 {
			return false, fmt.Errorf("the generated configuration has faults: %v", faults)
		}
		rng := rand.New(rand.NewPCG(seed, 0))
		rng.Shuffle(len(documents), func(i, j int) { documents[i], documents[j] = documents[j], documents[i] })
		second, faults := Parse(distributeOverFiles(documents, fileCount))
		if len(faults) > 0 {
			return false, fmt.Errorf("the shuffled configuration has faults: %v", faults)
		}
		if first.Hash() != second.Hash() {
			return false, fmt.Errorf("hash %s before and %s after the files were shuffled", first.Hash(), second.Hash())
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

// publicationHistory holds the releases that publishRandom built, the number of
// publications refused, and the oldest release that may still be in force.
type publicationHistory struct {
	releases []*Release
	refused  int
	oldest   uint64
}

// publishRandom builds releases of 12 random configurations one after the other.
// It calls observe after each release that was not refused.
func publishRandom(bytes []uint8, observe func(h *publicationHistory, release *Release) error) (*publicationHistory, error) {
	h := &publicationHistory{}
	c := &choices{bytes}
	for range 12 {
		configuration, faults := Parse(distributeOverFiles(generateDocuments(c), 1))
		if len(faults) > 0 {
			return nil, fmt.Errorf("the generated configuration has faults: %v", faults)
		}
		var previous *Release
		if len(h.releases) > 0 {
			previous = h.releases[len(h.releases)-1]
			// The number of the oldest release in force never decreases.
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

// endpointIdentities returns the name, service and address of the endpoint with
// each ID. It does not use the code that assigns the IDs.
func endpointIdentities(release *Release) map[common.EndpointID]string {
	identities := map[common.EndpointID]string{}
	for _, rule := range release.Rules {
		for _, set := range release.BackendSets {
			if set.Name != rule.BackendSet {
				continue
			}
			for _, endpoint := range set.Endpoints {
				identities[endpoint.ID] = fmt.Sprintf("%s of %s at %s", endpoint.Name, rule.Service, endpoint.Address)
			}
		}
	}
	return identities
}

// Guards against an ID that identifies two endpoints or services over time, so
// that flows of an old endpoint are sent to a new one (guarantee P2).
func TestPropertyIDsAreNeverReused(t *testing.T) {
	t.Parallel()
	runProperty(t, "an ID identifies one endpoint or service", 100, prop.ForAll(func(bytes []uint8) (bool, error) {
		endpoints := map[common.EndpointID]string{}
		services := map[common.ServiceID]string{}
		removed := map[common.EndpointID]bool{}
		_, err := publishRandom(bytes, func(_ *publicationHistory, release *Release) error {
			present := map[common.EndpointID]bool{}
			for id, identity := range endpointIdentities(release) {
				if earlier, ok := endpoints[id]; ok && earlier != identity {
					return fmt.Errorf("endpoint ID %d was %s and is now %s", id, earlier, identity)
				}
				if removed[id] {
					return fmt.Errorf("endpoint ID %d is used again after its removal", id)
				}
				endpoints[id] = identity
				present[id] = true
			}
			for id := range endpoints {
				removed[id] = !present[id]
			}
			for name, id := range release.serviceIDsByName() {
				if earlier, ok := services[id]; ok && earlier != name {
					return fmt.Errorf("service ID %d was %s and is now %s", id, earlier, name)
				}
				services[id] = name
			}
			return nil
		})
		return err == nil, err
	}, genChoices(600)))
}

// Guards against an address that belongs to two services in different releases
// that instances may have in force at the same time (guarantee P2).
func TestPropertyAddressesDoNotMoveWithoutQuarantine(t *testing.T) {
	t.Parallel()
	refused, moved := 0, 0
	runProperty(t, "an address belongs to one service in all releases in force", 100, prop.ForAll(func(bytes []uint8) (bool, error) {
		h, err := publishRandom(bytes, func(h *publicationHistory, release *Release) error {
			serviceByAddress := release.serviceByAddress()
			for _, older := range h.releases {
				for address, service := range older.serviceByAddress() {
					if now, ok := serviceByAddress[address]; ok && now != service {
						if older.Number < h.oldest {
							moved++
							continue
						}
						return fmt.Errorf("%s belongs to %s in release %d and to %s in release %d, but release %d may be in force",
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
	// The property holds trivially if no address ever moves.
	if refused == 0 || moved == 0 {
		t.Fatalf("%d publications refused, %d addresses moved: the cases must include both", refused, moved)
	}
	t.Logf("%d publications refused, %d addresses moved", refused, moved)
}
