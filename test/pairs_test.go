package test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
)

// injectedAt maps each fault to the parts of the cell where it is injected. The effects of two
// faults at the same part cannot be distinguished, so a pair combines faults at different parts.
var injectedAt = map[string][]string{
	"latency between hosts and to minions": {"hosts", "minions"},
	"hosts silent one way":                 {"hosts"},
	"two minions silent":                   {"minions"},
	"minion answers cut after some bytes":  {"minions"},
	"callers' connections reset":           {"callers"},
	"workers silent":                       {"workers"},
	"host paused":                          {"first"},
	"host killed and replaced":             {"first"},
	"planned stop":                         {"first"},
	"failure domain cut off":               {"hosts", "platform"},
	"log down":                             {"platform"},
	"log answers lost":                     {"platform"},
}

// Seed and size of the sample of pairs.
const (
	pairsSeed = 20261202
	pairs     = 5
)

// Faults also occur at the same time, so the guarantees that hold under a single fault must hold
// under two. The fixed seed gives the same sample of pairs in every run; another seed gives
// another sample.
func TestPromisesHoldUnderPairsOfFaults(t *testing.T) {
	byName := map[string]scenario{}
	for _, s := range scenarios {
		byName[s.name] = s
	}
	for _, p := range samplePairs() {
		a, b := byName[p[0]], byName[p[1]]
		t.Run(a.name+" and "+b.name, func(t *testing.T) {
			t.Parallel()
			scenario{
				fault: func(x *bench) { a.fault(x); b.fault(x) },
				heal:  func(x *bench) { b.heal(x); a.heal(x) },
			}.play(t)
		})
	}
}

// samplePairs returns the names of the faults of each pair.
func samplePairs() [][2]string {
	r := rand.New(rand.NewPCG(pairsSeed, pairsSeed))
	names := slices.Sorted(maps.Keys(injectedAt))
	var all [][2]string
	for len(all) < pairs {
		p := [2]string{names[r.IntN(len(names))], names[r.IntN(len(names))]}
		apart := !slices.ContainsFunc(injectedAt[p[0]], func(at string) bool { return slices.Contains(injectedAt[p[1]], at) })
		if apart && !slices.Contains(all, p) {
			all = append(all, p)
		}
	}
	return all
}
