package model_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/model"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "1500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Hosts pause, die, are replaced or are wrongly considered dead, and any message
// may be late, lost or reordered. In every order of these events, no worker gets
// more tasks than it has capacity for, no task runs on two workers and no start
// is carried out while another host holds the worker's anchor.
func TestInvariantsHoldInEveryOrder(t *testing.T) {
	for _, c := range []struct {
		start model.Start
		depth int
	}{{model.Start{Workers: 1}, 6}, {model.Start{Workers: 2}, 4}, {model.Start{Workers: 2, Running: true}, 4}, {model.Start{Workers: 2, Running: true, Lapsed: true}, 5}} {
		f := model.Explore(model.Rules{}, c.start, c.depth)
		t.Logf("%+v: %d states, depth %d", c.start, f.States, f.Depth)
		require.Empty(t, f.Violation, strings.Join(f.Path, "\n"))
		require.Equal(t, c.depth, f.Depth)
	}
}

func TestInvariantsHoldInLongRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wrong, path := model.Play(model.Rules{}, model.Start{Workers: rapid.IntRange(1, 2).Draw(t, "workers"), Running: rapid.Bool().Draw(t, "running"), Lapsed: rapid.Bool().Draw(t, "lapsed")}, 120, func(n int) int {
			return rapid.IntRange(0, n-1).Draw(t, "choice")
		})
		require.Empty(t, wrong, strings.Join(path, "\n"))
	})
}

// Leaves out each rule once. If the checker found no violation then, finding none
// with all rules in place would prove nothing.
func TestCheckerFindsWhatEachRuleIsFor(t *testing.T) {
	for name, c := range map[string]struct {
		rules model.Rules
		start model.Start
		depth int
		wrong string
	}{
		"no deadline on starts": {model.Rules{NoDeadline: true}, model.Start{Workers: 1}, 7, "after another host took"},
		"census skipped":        {model.Rules{NoInventory: true}, model.Start{Workers: 2, Running: true, Lapsed: true}, 4, "and on"},
		"term ignored":          {model.Rules{NoTerm: true}, model.Start{Workers: 1}, 5, "overfilled"},
	} {
		t.Run(name, func(t *testing.T) {
			f := model.Explore(c.rules, c.start, c.depth)
			require.Contains(t, f.Violation, c.wrong)
			t.Logf("found in %d states: %s\n%s", f.States, f.Violation, strings.Join(f.Path, "\n"))
		})
	}
}
