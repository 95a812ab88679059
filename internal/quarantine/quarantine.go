// Package quarantine decides for how long a worker whose runs fail gets no work. A worker that fails
// every run always has free capacity, so it would attract the whole queue and use up every task's
// attempts.
package quarantine

import "time"

const (
	// maxFailures is how many failures of different jobs, without a successful run between them,
	// make a worker suspect. At the highest failure share that the users' queues have by
	// themselves, 0.1, three in a row happen by chance once in a thousand.
	maxFailures = 3
	// minTime and maxTime bound how long a suspect worker gets no work before its next trial task;
	// each failed trial doubles the time.
	minTime = 3 * time.Second
	maxTime = 12 * time.Second
)

// Record is the record of a worker's recent failures. The zero value is that of a sound worker.
type Record struct {
	failures int
	lastJob  string
	time     time.Duration
	until    time.Time
}

// Failures returns how many different jobs have failed since the last success.
func (r *Record) Failures() int { return r.failures }

// Succeed records a successful run.
func (r *Record) Succeed() { *r = Record{} }

// Fail records a failed run of a job. It returns for how long the worker gets no work; zero if it is
// not suspect.
func (r *Record) Fail(job string, now time.Time) time.Duration {
	if r.lastJob != job {
		r.failures++
	}
	r.lastJob = job
	if r.failures < maxFailures {
		return 0
	}
	r.time = min(max(2*r.time, minTime), maxTime)
	r.until = now.Add(r.time)
	return r.time
}

// Suspect reports whether the worker gets at most one task at a time.
func (r *Record) Suspect() bool { return r.time > 0 }

// Over reports whether a suspect worker may get a trial task.
func (r *Record) Over(now time.Time) bool { return !now.Before(r.until) }
