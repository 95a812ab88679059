package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/worker"
)

// stopRetry is the delay after an unanswered stop before the worker's list is read.
const stopRetry = 250 * time.Millisecond

// stop asks a worker to stop a task. It is repeated until the worker confirms.
func (l *Leader) stop(ctx context.Context, a job.Stop) {
	l.handleStopReply(a.Worker, job.Stopped{Task: a.Task, Attempt: a.Attempt}, l.Workers.Stop(ctx, l.address(a.Worker), a.Task))
}

// pause checkpoints a task and then stops it. If the checkpoint is not confirmed, the task is not
// stopped, because its work would be lost. The worker's list then shows whether the task still
// runs, which triggers the next attempt.
func (l *Leader) pause(ctx context.Context, a job.Pause) {
	addr := l.address(a.Worker)
	err := l.Workers.Checkpoint(ctx, addr, a.Task)
	if err == nil {
		err = l.Workers.Stop(ctx, addr, a.Task)
	}
	l.handleStopReply(a.Worker, job.Stopped{Task: a.Task, Attempt: a.Attempt}, err)
}

// handleStopReply handles the result of a stop. If the answer was lost, or the stop overtook the
// start, the worker's list is read again. The job state machine repeats the stop as long as the
// list shows the task running.
func (l *Leader) handleStopReply(name string, ev job.Stopped, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gone *worker.UnknownTaskError
	switch {
	case err == nil:
		l.stepJobs(ev)
	case errors.As(err, &gone):
		l.stepLeases(lease.Poll{Worker: name})
	default:
		l.Log.Warn("lead: stop has no answer.", "task", ev.Task, "worker", name, "err", err)
		l.stepLeases(lease.Poll{Worker: name, After: stopRetry})
	}
}
