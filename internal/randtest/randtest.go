// Package randtest runs property-based tests over random sequences of events with a
// fixed seed, so that CI gets the same result on every run.
package randtest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	// This import registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// seed is the random seed that CI uses.
const seed = 4

// Main is called by the TestMain of a package. It sets the number of random
// sequences (checks) and their number of steps; flags on the command line take
// precedence. Counterexamples that were found with other seeds are stored under
// testdata and always run.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	for name, value := range map[string]int{"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": steps} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, strconv.Itoa(value))
		}
	}
	os.Exit(m.Run())
}
