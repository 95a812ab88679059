package test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite docs/FAULTS.md")

const faultsPage = "../docs/FAULTS.md"

// promises and faults map the ids that the matrix uses to the sentences of the brief.
var (
	promises = []struct{ id, text string }{
		{"fill", "No worker is given more work than its processors, memory and accelerators hold."},
		{"place", "A task never runs in two places at once."},
		{"whole", "A caller gets the whole answer to their own request."},
		{"notrun", "What is told as not run truly did not run."},
		{"once", "A non-idempotent request runs at most once."},
		{"leaving", "A leaving backend server gets no new work after a few seconds."},
		{"stop", "A planned stop of a host cuts nothing in flight."},
		{"table", "An accepted configuration is in force everywhere within seconds and never reverts."},
	}
	faults = []struct{ id, text string }{
		{"die", "The system's own processes die."},
		{"pause", "The system's own processes pause."},
		{"hostfail", "Hosts fail."},
		{"sizes", "Declared sizes and run times are far off."},
		{"resize", "Workers shrink and grow while they run."},
		{"never", "Some jobs can never run at all."},
		{"cancel", "Cancellations arrive in waves."},
		{"badworker", "Some workers fail everything they start."},
		{"store", "The platform's store is down or slow for long stretches."},
		{"lostanswer", "Answers are lost after the write has taken effect."},
		{"lapse", "Leases lapse while their holder is paused."},
		{"race", "Operators edit the table at the same time and race each other."},
		{"silent", "Open connections go silent for good while new ones work."},
		{"twice", "Faults come together or twice."},
	}
)

// matrixCell is one entry of the matrix. Promise is a list of ids of promises and faults, separated
// by commas; Sees says what the caller or operator sees, and Why gives the reason of an entry
// without a test.
type matrixCell struct {
	Promise string `toml:"promise"`
	Step    string `toml:"step"`
	Fault   string `toml:"fault"`
	Test    string `toml:"test"`
	Sees    string `toml:"sees"`
	Why     string `toml:"why"`
}

// matrixFile is the part of the matrix for one area. Cell holds the entries that a test proves,
// Open those that no test proves yet, and None the pairs of promise and fault that cannot occur
// together.
type matrixFile struct {
	Cell []matrixCell `toml:"cell"`
	Open []matrixCell `toml:"open"`
	None []matrixCell `toml:"none"`
}

func readMatrix(t *testing.T) map[string]matrixFile {
	t.Helper()
	files, err := filepath.Glob("matrix/*.toml")
	require.NoError(t, err)
	all := map[string]matrixFile{}
	for _, name := range files {
		b, err := os.ReadFile(name)
		require.NoError(t, err)
		var f matrixFile
		d := toml.NewDecoder(strings.NewReader(string(b))).DisallowUnknownFields()
		require.NoError(t, d.Decode(&f), name)
		all[strings.TrimSuffix(filepath.Base(name), ".toml")] = f
	}
	return all
}

func ids(text string) []string {
	var out []string
	for id := range strings.SplitSeq(text, ",") {
		out = append(out, strings.TrimSpace(id))
	}
	return out
}

// If a test is renamed or removed, the entries of the matrix that name it prove nothing any more,
// and an operator who looks up a fault relies on a test that does not run.
func TestEveryCellNamesATestThatExists(t *testing.T) {
	for area, f := range readMatrix(t) {
		for _, c := range f.Cell {
			dir, name, ok := strings.Cut(c.Test, ".Test")
			require.True(t, ok, "%s: test %q does not have the form DIR.TestFUNC", area, c.Test)
			name, _, _ = strings.Cut(name, "/")
			require.True(t, hasTest(t, dir, "Test"+name), "%s: test %s does not exist", area, c.Test)
			require.NotEmpty(t, c.Step, c.Test)
			require.NotEmpty(t, c.Fault, c.Test)
			require.NotEmpty(t, c.Sees, c.Test)
		}
		for _, c := range slices.Concat(f.Open, f.None) {
			require.NotEmpty(t, c.Why, "%s: %s", area, c.Promise)
		}
		for _, c := range slices.Concat(f.Cell, f.Open, f.None) {
			for _, id := range ids(c.Promise) {
				require.True(t, known(id), "%s: unknown id %q", area, id)
			}
		}
	}
}

func hasTest(t *testing.T, dir, name string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", dir, "*_test.go"))
	require.NoError(t, err)
	decl := regexp.MustCompile(`(?m)^func ` + regexp.QuoteMeta(name) + `\(t `)
	for _, file := range files {
		b, err := os.ReadFile(file)
		require.NoError(t, err)
		if decl.Match(b) {
			return true
		}
	}
	return false
}

func known(id string) bool {
	for _, p := range promises {
		if p.id == id {
			return true
		}
	}
	for _, f := range faults {
		if f.id == id {
			return true
		}
	}
	return false
}

// count returns the number of cells that contain both ids.
func count(cells []matrixCell, a, b string) int {
	n := 0
	for _, c := range cells {
		if have := ids(c.Promise); slices.Contains(have, a) && slices.Contains(have, b) {
			n++
		}
	}
	return n
}

// Every pair of promise and fault needs a test or an entry under open or none. Without this check
// a pair that nobody considered would look like one that is proved.
func TestEveryPairIsProvedOrListed(t *testing.T) {
	var cells, listed []matrixCell
	for _, f := range readMatrix(t) {
		cells = append(cells, f.Cell...)
		listed = append(listed, slices.Concat(f.Open, f.None)...)
	}
	for _, p := range promises {
		for _, f := range faults {
			if count(cells, p.id, f.id)+count(listed, p.id, f.id) == 0 {
				t.Errorf("promise %s and fault %s have neither a test nor an entry under open or none", p.id, f.id)
			}
		}
	}
}

// docs/FAULTS.md is generated from the matrix; a change of the matrix must update it.
func TestFaultsPageIsCurrent(t *testing.T) {
	page := faultsText(readMatrix(t))
	if *update {
		require.NoError(t, os.WriteFile(faultsPage, []byte(page), 0o600))
	}
	b, err := os.ReadFile(faultsPage)
	require.NoError(t, err)
	require.Equal(t, page, string(b), "run: go test ./test -run TestFaultsPageIsCurrent -update")
}

// faultsText returns the text of docs/FAULTS.md.
func faultsText(all map[string]matrixFile) string {
	var b strings.Builder
	b.WriteString("# Fault matrix\n\nMade from test/matrix/*.toml by `go test ./test -run TestFaultsPageIsCurrent -update`.\n")
	b.WriteString("CI fails when a cell names no test that exists, or a pair has neither a test nor a line here.\n")
	b.WriteString("\nPromises:\n\n")
	for _, p := range promises {
		fmt.Fprintf(&b, "- `%s`: %s\n", p.id, p.text)
	}
	b.WriteString("\nFaults:\n\n")
	for _, f := range faults {
		fmt.Fprintf(&b, "- `%s`: %s\n", f.id, f.text)
	}
	b.WriteString("\n## Tests by pair\n\nA number counts tests, `open` is not proved, `-` cannot meet.\n\n")
	writeGrid(&b, all)
	for _, area := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&b, "\n## %s\n\n| promise | step | fault | test | the caller or operator sees |\n|---|---|---|---|---|\n", area)
		for _, c := range all[area].Cell {
			fmt.Fprintf(&b, "| %s | %s | %s | `%s` | %s |\n", c.Promise, c.Step, c.Fault, c.Test, c.Sees)
		}
	}
	b.WriteString("\n## Not proved\n\n")
	writeListed(&b, all, func(f matrixFile) []matrixCell { return f.Open })
	b.WriteString("\n## Cannot meet\n\n")
	writeListed(&b, all, func(f matrixFile) []matrixCell { return f.None })
	return b.String()
}

// writeGrid writes the table of all pairs of promise and fault.
func writeGrid(b *strings.Builder, all map[string]matrixFile) {
	var cells, open []matrixCell
	for _, f := range all {
		cells = append(cells, f.Cell...)
		open = append(open, f.Open...)
	}
	b.WriteString("| |")
	for _, f := range faults {
		fmt.Fprintf(b, " %s |", f.id)
	}
	b.WriteString("\n|---|" + strings.Repeat("---|", len(faults)) + "\n")
	for _, p := range promises {
		fmt.Fprintf(b, "| %s |", p.id)
		for _, f := range faults {
			mark := "-"
			if n := count(cells, p.id, f.id); n > 0 {
				mark = fmt.Sprint(n)
			} else if count(open, p.id, f.id) > 0 {
				mark = "open"
			}
			fmt.Fprintf(b, " %s |", mark)
		}
		b.WriteString("\n")
	}
}

// writeListed writes the entries that pick selects, with their reasons.
func writeListed(b *strings.Builder, all map[string]matrixFile, pick func(matrixFile) []matrixCell) {
	for _, area := range slices.Sorted(maps.Keys(all)) {
		for _, c := range pick(all[area]) {
			fmt.Fprintf(b, "- %s: %s", c.Promise, c.Why)
			if c.Step != "" {
				fmt.Fprintf(b, " (%s, %s)", c.Step, c.Fault)
			}
			b.WriteString("\n")
		}
	}
}
