// Package seed sets the seed of random tests. It is fixed unless the environment
// sets another, so that every run of the tests gives the same result, and it is
// printed.
package seed

import (
	"flag"
	"fmt"
	"os"
	"strconv"
)

// EnvVar is the environment variable that overrides the default seed.
const EnvVar = "RATTANSHORE_SEED"

// defaultSeed is used if the variable is unset or not a number.
const defaultSeed = 20260131

// Value returns the seed.
func Value() uint64 {
	if n, err := strconv.ParseUint(os.Getenv(EnvVar), 10, 64); err == nil {
		return n
	}
	return defaultSeed
}

// Runner is the part of testing.M that Main needs.
type Runner interface {
	Run() int
}

// Main sets the seed of the property tests, prints it, runs the tests and exits.
// TestMain calls it.
func Main(m Runner) {
	if err := flag.Set("rapid.seed", fmt.Sprint(Value())); err != nil {
		fmt.Fprintln(os.Stderr, "seed:", err)
		os.Exit(1)
	}
	fmt.Printf("random tests use %s=%d\n", EnvVar, Value())
	os.Exit(m.Run())
}
