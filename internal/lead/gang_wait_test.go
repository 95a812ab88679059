package lead_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lead"
	"pollencroft/internal/standin"
)

// gangPair is a pair in which both hosts can be cut off from any set of workers.
type gangPair struct {
	*pair
	silent map[string]bool
}

type silenceTransport struct {
	*gangPair
	next transport
}

func (s silenceTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if s.silent[req.URL.Host] {
		return nil, unreachableError{}
	}
	return s.next.RoundTrip(req)
}

func newGangPair(t *testing.T, workers int) *gangPair {
	t.Helper()
	g := &gangPair{silent: map[string]bool{}}
	g.pair = newPairWithTransport(t, workers, io.Discard, func(p *pair, name string) http.RoundTripper {
		return silenceTransport{g, transport{p, name}}
	})
	return g
}

// part returns a share of a worker.
func part(n int64) cell.Size {
	return cell.Size{CPU: pairWorkerSize.CPU / n, Mem: pairWorkerSize.Mem / (2 * n)}
}

func gangSpec() job.Spec {
	return job.Spec{
		ID: "d.r.gang", Row: "gang", Tasks: 12, Gang: true, Size: part(8), Time: cell.Duration{Duration: 3 * time.Second}, Tries: 3, Class: cell.Normal,
	}
}

func watcherSpec(id string, tasks int) job.Spec {
	return job.Spec{
		ID: "d.r." + id, Row: "watch", Tasks: tasks, Size: part(32), Time: cell.Duration{Duration: time.Hour}, Tries: 3, Class: cell.Normal,
	}
}

func (g *gangPair) fail(worker int, failing bool) {
	g.workers[g.machines[worker].Name].SetFaults(standin.WorkerFaults{FailAll: failing})
}

func (g *gangPair) silence(silent bool, from int) {
	for _, m := range g.machines[from:] {
		g.silent[m.Name] = silent
	}
}

// describe lists what the host reports about the gang and what each worker holds.
func (g *gangPair) describe(name string) string {
	var all []string
	l := g.hosts[name]
	s, _ := l.Status("d.r.gang")
	all = append(all, fmt.Sprintf("%s: led %v, state %s %v", name, l.Held(), s.State, s.Tasks))
	for _, w := range l.Held() {
		var used cell.Size
		for _, u := range l.Placer.TasksOn(w) {
			used = used.Add(u.Size)
		}
		all = append(all, fmt.Sprintf("%s: %d tasks, used %+v", w, len(l.Placer.TasksOn(w)), used))
	}
	for _, n := range l.Explain("d.r.gang") {
		all = append(all, fmt.Sprintf("%s %s: %s", n.At.Sub(time.Unix(1_700_000_000, 0)), n.Component, n.Message))
	}
	return strings.Join(all, "\n")
}

// requireGangEnds requires that the gang ends within the time that a normal job may wait.
func (g *gangPair) requireGangEnds(names, leader string) {
	g.Helper()
	for began := g.now; g.state(leader, "gang") != "ended"; {
		if g.now.Sub(began) >= time.Minute {
			require.Fail(g, "the gang still waits", g.describe(leader))
		}
		if names == "ab" {
			g.exchangeInventories(time.Second)
			continue
		}
		g.run(names, time.Second)
	}
}

func (g *gangPair) rack(from, to int) []lead.Machine { return g.machines[from:to] }

// exchangeInventories lets time pass in which each host asks the other one for its inventory every
// second.
func (g *gangPair) exchangeInventories(d time.Duration) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.run("ab", time.Second)
		for _, name := range []string{"a", "b"} {
			q := g.hosts[name].InventoryRequest()
			g.hosts[name].HandleInventory(other(name), q, g.hosts[other(name)].Inventory(name, q))
		}
	}
}

// Guards against a job that waits for long without a log line that tells why.
func TestLongWaitIsLogged(t *testing.T) {
	var log bytes.Buffer
	p := newPairWithTransport(t, 1, &log, func(p *pair, name string) http.RoundTripper { return transport{p, name} })
	p.submitSpec("a", watcherSpec("watch", 1))
	p.run("a", time.Second)
	spec := gangSpec()
	spec.Tasks = 8
	p.submitSpec("a", spec)
	p.run("a", 30*time.Second)
	lines := strings.Count(log.String(), "lead: job waits.")
	require.Positive(t, lines)
	require.LessOrEqual(t, lines, 3)
	require.Contains(t, log.String(), "id=d.r.gang")
}
