package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/place"
	"pollencroft/internal/spans"
	"pollencroft/internal/worker"
)

// start sends a start to a worker. It fixes the deadline now, in the worker's clock, before the
// start can be delayed; the worker rejects a start that arrives later.
func (l *Leader) start(a job.Start) {
	deadline, ok := l.Leases.Deadline(l.Clock(), a.Worker)
	if !ok {
		l.handleLapsedLease(a)
		return
	}
	row, _ := l.Row(a.Spec.Row)
	key, arbiter := l.arbiter(row)
	if key != "" {
		if deadline, ok = l.Leases.DeadlineWith(l.Clock(), a.Worker, arbiter); !ok || !l.mayStart(row) {
			l.postponeStart(a)
			return
		}
	}
	l.addNote(a.Spec.ID, "start of "+a.Task+" sent to "+a.Worker)
	size, ok := l.Placer.AllocatedSize(a.Task)
	if !ok {
		size = a.Spec.Size
	}
	l.stepJobs(job.StartSent{Task: a.Task, Deadline: deadline})
	l.stepLeases(lease.StartSent{Worker: a.Worker, Task: a.Task})
	if arbiter != "" {
		l.limitedStarts[a.Worker]++
	}
	if arbiter != "" && arbiter != a.Worker {
		// The lease of the arbiter must not be released while the start is in flight either.
		l.stepLeases(lease.StartSent{Worker: arbiter, Task: a.Task})
	}
	l.spawn(func(ctx context.Context) { l.sendStart(ctx, a, arbiter, size, deadline) })
}

// handleLapsedLease returns a task to the queue because the lease of its worker expired unnoticed,
// for example during a pause. The worker must be removed from the placer first: otherwise the
// placer would assign the task to it again at once, and the host would crash with endless recursion.
func (l *Leader) handleLapsedLease(a job.Start) {
	l.stepLeases(lease.Tick{})
	l.stepPlacement(place.Down{Worker: a.Worker})
	l.stepJobs(job.NotStarted{Task: a.Task, Attempt: a.Attempt})
}

func (l *Leader) sendStart(ctx context.Context, a job.Start, arbiter string, size cell.Size, deadline time.Time) {
	ctx, end := spans.Start(ctx, "worker", a.Task)
	defer end()
	err := l.Workers.Start(ctx, l.address(a.Worker), worker.Start{
		ID: a.Task, Row: a.Spec.Row, Job: a.Spec.ID, Size: size, Asked: a.Spec.Size, Run: a.Spec.Time.Duration,
		TTL: l.startTTL(), Deadline: deadline,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	var late *worker.LateError
	if arbiter != "" {
		l.limitedStarts[a.Worker]--
		l.lastLimitedStart[a.Worker] = l.Clock()
	}
	if arbiter != "" && arbiter != a.Worker {
		l.stepLeases(lease.StartAnswered{Worker: arbiter, Task: a.Task, OutcomeKnown: err == nil || errors.As(err, &late)})
	}
	switch {
	case err == nil:
		l.stepLeases(lease.StartAnswered{Worker: a.Worker, Task: a.Task, OutcomeKnown: true, RunTime: a.Spec.Time.Duration})
		l.stepJobs(job.Started{Task: a.Task, Attempt: a.Attempt})
	case errors.As(err, &late):
		l.Count("lead.late")
		l.stepLeases(lease.StartAnswered{Worker: a.Worker, Task: a.Task, OutcomeKnown: true})
		l.stepJobs(job.NotStarted{Task: a.Task, Attempt: a.Attempt})
	default:
		var unreached *worker.UnreachableError
		l.Count("lead.unsure")
		l.stepLeases(lease.StartAnswered{Worker: a.Worker, Task: a.Task})
		l.addNote(a.Spec.ID, "start of "+a.Task+" has no answer")
		l.stepJobs(job.Unsure{Task: a.Task, Attempt: a.Attempt, Deadline: deadline, Unreached: errors.As(err, &unreached)})
	}
}

func (l *Leader) startTTL() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Leases.TTL()
}
