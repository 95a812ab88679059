package ledger_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/ledger"
)

// stepRow is one row of the table: which fault occurs after which step of the first try,
// and the outcome that each kind of repeat gets.
type stepRow struct {
	Step, Fault             string
	Here, Twin, Away, Other string
}

// steps are the points of a first try, as the number of its actions that were carried out:
// two questions to homes, the request, two recorded ends and the reply.
var steps = map[string]int{
	"nothing asked": 0, "first home holds": 1, "both homes hold": 2, "sent": 3, "first home told": 4, "both homes told": 5, "caller told": 6,
}

type scenario struct {
	*simulation
	first, second, entry string
	try                  *try
}

func live(string) bool { return true }

// timedKey returns a key that carries the given time.
func timedKey(at time.Time, n byte) string {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id.String()
}

func newScenario(rule rule) *scenario {
	w := newSimulation(cellHosts, rule)
	key := timedKey(w.now, 1)
	homes := ledger.NewPlan(cellHosts[0], cellHosts[1:]).Groups(key, 1, live)[0].Homes
	s := &scenario{simulation: w, first: homes[0].Name, second: homes[1].Name, entry: homes[2].Name}
	s.try = w.try(s.entry, key, 1, 1, live)
	return s
}

var faults = map[string]func(s *scenario){
	"none":                    func(*scenario) {},
	"entry host dies":         func(s *scenario) { s.dead[s.entry] = true },
	"entry host pauses":       func(s *scenario) { s.paused[s.entry] = true },
	"entry host is replaced":  func(s *scenario) { s.replace(s.entry) },
	"first home dies":         func(s *scenario) { s.dead[s.first] = true },
	"second home dies":        func(s *scenario) { s.dead[s.second] = true },
	"first home is replaced":  func(s *scenario) { s.replace(s.first) },
	"second home is replaced": func(s *scenario) { s.replace(s.second) },
	"both homes are replaced": func(s *scenario) { s.replace(s.first); s.replace(s.second) },
	"all hosts are replaced":  func(s *scenario) { s.replace(s.first); s.replace(s.second); s.replace(s.entry) },
	"domain is cut off":       func(s *scenario) { s.cut["nord"] = true },
}

// repeats start while the first try is stopped at its step. The host of the first try
// continues only afterwards, as far as it can.
var repeats = map[string]func(s *scenario) *try{
	"here":  func(s *scenario) *try { return s.simulation.try(s.other(), s.try.key, 1, 2, live) },
	"twin":  func(s *scenario) *try { return s.simulation.try(s.other(), s.try.key, 1, 1, live) },
	"away":  func(s *scenario) *try { return s.simulation.try("sued-0", s.try.key, 1, 2, live) },
	"other": func(s *scenario) *try { return s.simulation.try(s.other(), s.try.key, 2, 2, live) },
}

// other returns a live host of the first try's domain that is not its entry host.
func (s *scenario) other() string {
	if s.dead[s.second] {
		return s.first
	}
	return s.second
}

func (r stepRow) want(kind string) string {
	return map[string]string{"here": r.Here, "twin": r.Twin, "away": r.Away, "other": r.Other}[kind]
}

func loadSteps(t *testing.T) []stepRow {
	text, err := os.ReadFile("testdata/steps.toml")
	require.NoError(t, err)
	var table struct{ Row []stepRow }
	require.NoError(t, toml.Unmarshal(text, &table))
	return table.Row
}

// playRow runs the first try up to its step, causes the fault, and runs the repeat as far
// as possible, then the first try likewise, and then the repeat to its end. If the fault
// affects the entry host, the repeat ends before the first try continues. It returns the
// outcome that the caller of the repeat got.
func playRow(row stepRow, kind string, rule rule) (*scenario, string) {
	s := newScenario(rule)
	for range steps[row.Step] {
		s.try.step()
	}
	faults[row.Fault](s)
	s.tick(time.Second)
	rep := repeats[kind](s)
	for rep.step() {
	}
	if strings.HasPrefix(row.Fault, "entry host") {
		told := rep.finish()
		s.paused[s.entry] = false
		s.try.finish()
		return s, told
	}
	for s.try.step() {
	}
	s.try.finish()
	return s, rep.finish()
}

// A request is repeated by its client, by the load balancer, in another failure domain or
// under the same key with another body, while any fault occurs at any step of the first
// try. The request must run at most once, and no caller may get "refused" for a request
// that ran.
func TestEveryStepAndFault(t *testing.T) {
	rows := loadSteps(t)
	require.Len(t, rows, len(steps)*len(faults))
	for _, row := range rows {
		for kind := range repeats {
			t.Run(row.Step+"/"+row.Fault+"/"+kind, func(t *testing.T) {
				s, told := playRow(row, kind, allRules)
				require.Equal(t, row.want(kind), told)
				require.LessOrEqual(t, s.ran[s.try.key], 1)
				if told == "done" {
					require.Equal(t, 1, s.ran[s.try.key])
				}
				if told == "refused" {
					require.Zero(t, s.ran[s.try.key])
				}
			})
		}
	}
}

// The table must detect each rule that is left out; otherwise it proves nothing.
func TestTableFindsBrokenRules(t *testing.T) {
	for name, rule := range brokenRules {
		twice := 0
		for _, row := range loadSteps(t) {
			for kind := range repeats {
				if s, _ := playRow(row, kind, rule); s.ran[s.try.key] > 1 {
					twice++
				}
			}
		}
		require.Positive(t, twice, name)
		t.Logf("%s: the request ran twice in %d cells of the table", name, twice)
	}
}

// An entry host crashes with a request in flight. A repeat must get the outcome unknown at
// once, not after its whole deadline.
func TestRepeatEndsAtOnceWhenTheEntryHostIsGone(t *testing.T) {
	for _, fault := range []string{"entry host dies", "entry host is replaced"} {
		s := newScenario(allRules)
		for range steps["sent"] {
			s.try.step()
		}
		faults[fault](s)
		began := s.now
		require.Equal(t, "unknown", repeats["here"](s).finish())
		require.Less(t, s.now.Sub(began), 2*time.Second, fault)
	}
}

// A failure domain has two entry hosts, and one of them crashes together with a host of
// another domain. The remaining host must go on serving requests, including keyed ones. If
// the domain is cut off from the others, its two hosts must do so together.
func TestTwoHostDomainToleratesFailures(t *testing.T) {
	for name, fault := range map[string]func(w *simulation){
		"one host and one witness die": func(w *simulation) { w.dead["nord-1"], w.dead["sued-0"] = true, true },
		"cut off":                      func(w *simulation) { w.cut["nord"] = true },
	} {
		w := newSimulation(twoHosts, allRules)
		fault(w)
		for n := range byte(20) {
			alive := func(host string) bool { return w.reaches("nord-0", host) }
			require.Equal(t, "done", w.try("nord-0", timedKey(w.now, n), 1, 1, alive).finish(), name)
		}
	}
}
