// Package propertytest runs property tests with a fixed seed. Environment
// variables set another seed or a larger number of cases; a failure prints their
// values, so that the run can be repeated.
package propertytest

import (
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
)

const (
	// DefaultSeed is the seed if SeedVariable is not set, as in CI.
	DefaultSeed = 20261204
	// SeedVariable is the environment variable that sets the seed.
	SeedVariable = "BURDOCK_SEED"
	// SoakVariable is the environment variable that sets the factor by which the
	// number of cases is multiplied.
	SoakVariable = "BURDOCK_SOAK"
)

// Run calls add to register properties and checks each of them with the given
// number of cases times Factor. A failure fails the test and prints how to repeat
// it.
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

// Seed returns the value of SeedVariable, or defaultSeed if it is not set.
func Seed(t *testing.T, defaultSeed int64) int64 {
	t.Helper()
	return envInt(t, SeedVariable, defaultSeed)
}

// Factor returns the value of SoakVariable, or 1 if it is not set.
func Factor(t *testing.T) int {
	t.Helper()
	return int(envInt(t, SoakVariable, 1))
}

// envInt returns the integer in an environment variable, or defaultValue if the
// variable is not set. An invalid value fails the test.
func envInt(t *testing.T, variable string, defaultValue int64) int64 {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return defaultValue
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		t.Fatalf("environment variable %s: %v", variable, err)
	}
	return value
}
