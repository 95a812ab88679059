package admission

import (
	"math"
	"slices"
	"strconv"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/overload"
)

// Snapshot is what the leader of a term reports of the queues that are short of capacity.
type Snapshot struct {
	Term int64
	// Age is how long before the report the snapshot was made.
	Age cell.Duration
	// Loads holds the organisations that are beyond their rate and whose jobs wait in a queue for
	// which no capacity is free.
	Loads []Load `json:",omitempty"`
	// Queues holds the expected waits of whole queues by rank, for the leader's metrics.
	Queues []QueueWait `json:"-"`
}

// QueueWait is the expected wait of the next job of a queue.
type QueueWait struct {
	Rank int
	Wait time.Duration
}

// Load is what waits of one organisation in one queue.
type Load struct {
	Queue, Organisation string
	// Jobs and Tasks count what could start now and waits.
	Jobs, Tasks int
	// Wait is the expected wait of the next job.
	Wait cell.Duration
	// Rate is the organisation's rate in jobs per second, Balance how many jobs it may send until it
	// has sent as many as that allows; negative if it has sent more.
	Rate, Balance float64
	// Need is the least that a waiting task needs in each resource. What is free does not suffice for
	// all that waits.
	Need cell.Size
	// Largest is the most that a listed worker of the queue's service has in each resource.
	Largest cell.Size
	// Times is how long the queue's steps take.
	Times RunTimes
}

// RunTimes is how long the steps of a queue take.
type RunTimes struct {
	// Usual is the usual declared time of a step, Expected how long such a step is expected to take,
	// and Slope the exponent of the declared time in the expected one. Usual is zero if the queue is
	// not measured.
	Usual, Expected cell.Duration
	Slope           float64
	// Query is the time of a query to the policy service, which is counted once for each step.
	Query cell.Duration
}

// chain returns the time of a job's longest chain of steps. No step counts with less than its
// declared time, since a job must not be rejected because of an estimate that is too low.
func (t RunTimes) chain(spec flow.Spec) time.Duration {
	steps := make([]time.Duration, len(spec.Steps))
	for i, s := range spec.Steps {
		steps[i] = s.EstimatedTime
		if t.Usual.Duration > 0 {
			ratio := math.Pow(s.EstimatedTime.Seconds()/t.Usual.Seconds(), t.Slope)
			steps[i] = max(steps[i], time.Duration(float64(t.Expected.Duration)*ratio))
		}
		steps[i] += t.Query.Duration
	}
	return slices.Max(spec.ChainTimes(steps))
}

const (
	// maxAge is how old a snapshot may be. Hosts receive one each second.
	maxAge = 2 * time.Second
	// waitMargin is the factor by which the expected wait has to exceed the time left before a job
	// counts as certainly too late. The queue of requests uses the same for urgent ones.
	waitMargin = 1.5
	// maxOverloadRetry bounds how long a rejected caller is asked to wait.
	maxOverloadRetry = time.Minute
)

// View is the newest snapshot that a host has received. Snapshot is nil if there is none.
type View struct {
	*Snapshot
	// At is the earliest time at which the snapshot may have been made, by this host's clock.
	At time.Time
	// Term is the newest term that this host knows of, Hosts how many hosts accept jobs.
	Term  int64
	Hosts int
}

// OverloadError means that a job was rejected because it certainly cannot end within three times
// its objective.
type OverloadError struct {
	Queue, Organisation string
	// Expected is the wait that the job would have had, RetryAfter when its caller should return.
	Expected, RetryAfter time.Duration
	// Age and Term are those of the snapshot.
	Age  time.Duration
	Term int64
}

func (e *OverloadError) Error() string {
	return "organisation " + strconv.Quote(e.Organisation) + " is beyond its rate and its jobs in queue " + strconv.Quote(e.Queue) + " wait for too long"
}

// Check returns an OverloadError if the job certainly cannot end within three times its objective.
// Only a job beyond its organisation's rate is rejected, and only while no capacity is free for its
// queue. Without a snapshot of the present term that is at most maxAge old, every job is admitted.
func (v View) Check(now time.Time, spec flow.Spec) error {
	age := now.Sub(v.At)
	if v.Snapshot == nil || v.Snapshot.Term != v.Term || age > maxAge || !hasDeadline(spec) {
		return nil
	}
	i := slices.IndexFunc(v.Loads, func(l Load) bool { return l.Queue == spec.Queue.Name && l.Organisation == spec.Organisation })
	if i < 0 {
		return nil
	}
	l := v.Loads[i]
	if l.Balance+l.Rate*max(age, 0).Seconds() >= 1 || !l.blocks(spec) {
		return nil
	}
	chain := l.Times.chain(spec)
	limit := overload.LateFactor * spec.Queue.Objective(chain)
	// The wait that leaves enough time for the job.
	allowed := limit - chain
	if l.Wait.Duration-age <= time.Duration(waitMargin*float64(max(allowed, 0))) {
		return nil
	}
	return &OverloadError{
		Queue: l.Queue, Organisation: l.Organisation, Expected: l.Wait.Duration, Age: age, Term: v.Term,
		RetryAfter: l.retryAfter(min(l.Wait.Duration-age, limit), max(allowed, 0), v.Hosts, spec.ID),
	}
}

// hasDeadline reports whether a job begins at once and has an objective that is known.
func hasDeadline(spec flow.Spec) bool {
	return spec.Repeat.Count == 0 && spec.Queue.Stretch > 0 && len(spec.Steps) > 0 && !slices.ContainsFunc(spec.Steps, func(s flow.Step) bool {
		return s.LongRunning || s.BestEffort || s.EstimatedTime <= 0
	})
}

// blocks reports whether none of the job's first steps could start now. A job that needs more than
// any listed worker has may wait for a larger one, so nothing is known about its wait.
func (l Load) blocks(spec flow.Spec) bool {
	for _, s := range spec.Steps {
		if !s.Demand().Fits(l.Largest) || len(s.After) == 0 && !l.Need.Fits(s.Demand()) {
			return false
		}
	}
	return true
}

// retryAfter returns after how many whole seconds the caller of a rejected job should return: when
// what waits now is worked off, or no longer comes before a new job because it is too late itself.
// Each host rejects callers on its own. Those that are rejected at the same time are therefore spread
// by the id of the job over the time in which one job for each host is worked off, but return no
// sooner than when their wait would be short enough.
func (l Load) retryAfter(over, allowed time.Duration, hosts int, id string) time.Duration {
	perJob := l.Wait.Duration / time.Duration(max(l.Jobs, 1))
	spread := min(perJob*time.Duration(max(hosts, 1)), allowed)
	after := over - time.Duration(share(id)*float64(spread))
	seconds := time.Duration(math.Ceil(after.Seconds())) * time.Second
	return min(max(seconds, MinRetry), maxOverloadRetry)
}
