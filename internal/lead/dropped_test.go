package lead_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/job"
)

// delayedStarts holds back the starts that a host sends while it is set to. The host gets no answer.
type delayedStarts struct {
	next  http.RoundTripper
	delay bool
	held  []*http.Request
}

func (d *delayedStarts) RoundTrip(req *http.Request) (*http.Response, error) {
	if !d.delay || req.Method != http.MethodPost || req.URL.Path != "/tasks" {
		return d.next.RoundTrip(req)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	held := req.Clone(req.Context())
	held.Body = io.NopCloser(bytes.NewReader(body))
	d.held = append(d.held, held)
	return nil, unreachableError{}
}

// arrive lets the starts that were held back arrive at their workers.
func (p *pair) arrive(d *delayedStarts) {
	for _, req := range d.held {
		p.workers[req.URL.Host].Handler().ServeHTTP(httptest.NewRecorder(), req)
	}
	d.held = nil
}

// newPairAfterExpiry returns a host whose only worker lists a task as expired: the host was paused
// for longer than the task's first lease. The host inherits the task's job.
func newPairAfterExpiry(t *testing.T) (*pair, *delayedStarts) {
	t.Helper()
	d := &delayedStarts{}
	p := newPairWithTransport(t, 1, io.Discard, func(p *pair, name string) http.RoundTripper {
		if name != "a" {
			return transport{p, name}
		}
		d.next = transport{p, name}
		return d
	})
	a := p.hosts["a"]
	p.submit("a", "old")
	p.runQueued("a")
	require.Equal(t, "running", p.state("a", "old"))
	p.now = p.now.Add(4 * time.Second)
	a.Tick()
	p.runQueued("a")
	require.False(t, a.HasJob("d.r.old"), "the host lost its worker")
	a.Inherit([]job.Spec{p.spec("old")})
	return p, d
}

func (p *pair) starts(id string) int {
	return p.workers[p.machines[0].Name].Record().Started["d.r."+id+".0"]
}

// Guards against an overfilled worker: a job is handed over, and a list from before its task was
// started again frees the capacity of the task that runs.
func TestListFromBeforeAStartFreesNoCapacityOfADroppedJob(t *testing.T) {
	p, _ := newPairAfterExpiry(t)
	for p.starts("old") < 2 {
		p.run("a", 100*time.Millisecond)
	}
	p.hosts["a"].HandOver([]string{"d.r.old"})
	p.hosts["a"].Inherit([]job.Spec{p.spec("other")})
	p.submit("a", "next")
	p.runQueued("a")
	p.requireConsistent()
}

// Guards against a task that runs twice on one worker, which it overfills: the last list is from
// before the task was started again, and is read again when another job is inherited.
func TestListFromBeforeAStartDoesNotEndIt(t *testing.T) {
	p, _ := newPairAfterExpiry(t)
	for p.starts("old") < 2 {
		p.run("a", 100*time.Millisecond)
	}
	p.hosts["a"].Inherit([]job.Spec{p.spec("other")})
	p.run("a", 5*time.Second)
	require.Equal(t, "running", p.state("a", "old"))
	p.requireConsistent()
}

// The capacity of a dropped job's task is free again once its start has expired.
func TestCapacityOfAnExpiredStartOfADroppedJobIsFreed(t *testing.T) {
	p, d := newPairAfterExpiry(t)
	d.delay = true
	for len(d.held) == 0 {
		p.run("a", 100*time.Millisecond)
	}
	d.delay = false
	p.hosts["a"].HandOver([]string{"d.r.old"})
	p.submit("a", "next")
	p.run("a", 10*time.Second)
	p.arrive(d)
	require.Equal(t, 1, p.starts("old"))
	require.Equal(t, "running", p.state("a", "next"))
	p.requireConsistent()
}
