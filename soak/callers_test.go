package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// visible is how long a job may be unknown to a host after its confirmation.
	visible = 3 * time.Second
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 3 * time.Second
)

// job is what a caller knows about one of its jobs.
type job struct {
	id string
	// accepted and cancelled are the times at which a host confirmed that; refused reports
	// whether every answer said that the job was not stored.
	accepted, cancelled time.Time
	// cancelAsked reports whether the caller asked for the cancellation.
	cancelAsked bool
	refused     bool
	state       string
}

// callers submits jobs, polls their states and cancels some, over persistent connections, and
// records every answer that breaks a guarantee.
type callers struct {
	c          *cell
	client     *http.Client
	mu         sync.Mutex
	jobs       []*job
	givenUp    []givenUp
	violations []string
}

func newCallers(c *cell) *callers {
	return &callers{c: c, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

func (a *callers) violation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// call sends a request and returns the status code and the body; code 0 means that there was no answer.
func (a *callers) call(h *host, method, path string) (int, string) {
	return a.callWithin(callerTimeout, h, method, path)
}

// callWithin is like call for a caller that leaves after the time patience.
func (a *callers) callWithin(patience time.Duration, h *host, method, path string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var text io.Reader
	if method == http.MethodPost {
		text = strings.NewReader(bodyOf(strings.TrimPrefix(path, "/scan/")))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.caller.Listen+path, text)
	if err != nil {
		return 0, ""
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Authorization", "Bearer key-"+organisationOf(path))
	resp, err := a.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		a.violation("%s %s is refused without a Retry-After header", method, path)
	}
	return resp.StatusCode, string(b)
}

// submit submits one job to each host of tries in turn until one accepts it, as a caller that retries.
func (a *callers) submit(id string, tries []*host) {
	j := &job{id: id, refused: true}
	a.mu.Lock()
	a.jobs = append(a.jobs, j)
	a.mu.Unlock()
	for _, h := range tries {
		code, _ := a.call(h, http.MethodPost, "/scan/"+j.id)
		a.mu.Lock()
		if code == http.StatusOK {
			j.accepted, j.refused = time.Now(), false
		}
		if code != http.StatusServiceUnavailable {
			j.refused = false
		}
		a.mu.Unlock()
		if code == http.StatusOK {
			return
		}
	}
}

// checkState asks a host for a job's state and compares it with the answers that the caller got before.
func (a *callers) checkState(j *job, h *host) {
	a.mu.Lock()
	accepted, before := j.accepted, j.state
	a.mu.Unlock()
	if accepted.IsZero() {
		return
	}
	sent := time.Now()
	code, text := a.call(h, http.MethodGet, "/scan/"+j.id)
	if code == http.StatusGone && sent.Sub(accepted) > visible {
		a.violation("job %s is unknown at %s %s after its confirmation", j.id, h.name, sent.Sub(accepted))
	}
	if code != http.StatusOK {
		return
	}
	state := strings.TrimSuffix(strings.TrimPrefix(text, `{"state":"`), `"}`)
	// The answer may reflect a cancellation that was sent while this request was in flight.
	a.mu.Lock()
	asked := j.cancelAsked
	a.mu.Unlock()
	switch {
	case state == "failed":
		a.violation("job %s is reported as failed, but no task failed", j.id)
	case state == "cancelled" && !asked:
		a.violation("job %s is reported as cancelled, but no caller cancelled it", j.id)
	case (before == "completed" || before == "cancelled") && state != before:
		a.violation("job %s is reported as %s after it was reported as %s", j.id, state, before)
	case state == "completed" && before != state:
		a.finished(j.id)
		a.c.invariants.ShownCompleted(j.id)
	}
	a.mu.Lock()
	j.state = state
	a.mu.Unlock()
}

// finished checks that all tasks of a job that is reported as completed have finished.
func (a *callers) finished(id string) {
	for step, s := range stepsOf(id) {
		for i := range s.Count {
			if task := fmt.Sprintf("%s.0.%d.%d", id, step, i); !a.c.invariants.Finished(task) {
				a.violation("job %s is reported as completed before task %s finished", id, task)
			}
		}
	}
}

// cancel cancels a job that was accepted and is not known to be completed.
func (a *callers) cancel(j *job, h *host) {
	a.mu.Lock()
	open := !j.accepted.IsZero() && j.state != "completed"
	j.cancelAsked = j.cancelAsked || open
	a.mu.Unlock()
	if !open {
		return
	}
	if code, _ := a.call(h, http.MethodDelete, "/scan/"+j.id); code == http.StatusOK {
		a.mu.Lock()
		j.cancelled = time.Now()
		a.mu.Unlock()
	}
}

// list returns the jobs that were submitted so far.
func (a *callers) list() []*job {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]*job(nil), a.jobs...)
}

// run submits a job every 120 ms until ctx ends, and as often polls or cancels a recent job.
func (a *callers) run(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(120 * time.Millisecond)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		first, second := a.c.anyHost(r), a.c.anyHost(r)
		asked, cancels, which := a.c.anyHost(r), r.IntN(12) == 0, r.IntN(20)
		wg.Go(func() { a.submit(jobID(0, n), []*host{first, second}) })
		all := a.list()
		if len(all) <= which {
			continue
		}
		j := all[len(all)-1-which]
		wg.Go(func() {
			if cancels {
				a.cancel(j, asked)
				return
			}
			a.checkState(j, asked)
		})
	}
}

// runMore submits further jobs of the organisation without a quota until ctx ends.
func (a *callers) runMore(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	for n := 1<<20 + 1; ; n += 2 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		first, second := a.c.anyHost(r), a.c.anyHost(r)
		wg.Go(func() { a.submit(jobID(0, n), []*host{first, second}) })
	}
}

// allJobsEnded reports whether every accepted job has ended, and polls the states of the others.
func (a *callers) allJobsEnded(h *host) bool {
	open := a.open()
	for _, j := range open {
		a.checkState(j, h)
	}
	return len(open) == 0
}

// open returns the accepted jobs that have not ended.
func (a *callers) open() []*job {
	a.mu.Lock()
	defer a.mu.Unlock()
	var open []*job
	for _, j := range a.jobs {
		if !j.accepted.IsZero() && j.state != "completed" && j.state != "cancelled" {
			open = append(open, j)
		}
	}
	return open
}

// describeOpen lists the jobs that have not ended with their states.
func (a *callers) describeOpen() string {
	var b strings.Builder
	for _, j := range a.open() {
		a.mu.Lock()
		fmt.Fprintf(&b, " %s %s", j.id, j.state)
		a.mu.Unlock()
	}
	return b.String()
}
