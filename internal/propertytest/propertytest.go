// Package propertytest sets up the property tests: a fixed seed in CI that a
// failure prints, and more cases for a longer run.
package propertytest

import (
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
)

const (
	// DefaultSeed is the seed of CI runs.
	DefaultSeed = 20261204
	// SeedVariable is the environment variable that sets another seed.
	SeedVariable = "BURDOCK_SEED"
	// SoakVariable is the environment variable that multiplies the cases.
	SoakVariable = "BURDOCK_SOAK"
)

// Run checks the properties with the given number of cases.
func Run(t *testing.T, cases int, add func(*gopter.Properties)) {
	t.Helper()
	seed := Seed(t, DefaultSeed)
	factor := Factor(t)
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = cases * factor
	parameters.MaxShrinkCount = 50
	properties := gopter.NewProperties(parameters)
	add(properties)
	if !properties.Run(gopter.ConsoleReporter(testing.Verbose())) {
		t.Errorf("property failed; repeat with %s=%d %s=%d", SeedVariable, seed, SoakVariable, factor)
	}
}

// Seed returns the seed of the environment, else the standard one.
func Seed(t *testing.T, standard int64) int64 {
	t.Helper()
	return envInt(t, SeedVariable, standard)
}

// Factor returns the multiple of the cases to run.
func Factor(t *testing.T) int {
	t.Helper()
	return int(envInt(t, SoakVariable, 1))
}

func envInt(t *testing.T, variable string, standard int64) int64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return standard
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return value
}
