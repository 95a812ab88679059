package lead

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/worker"
)

// stopRetry is how long after a lost stop the worker's list is read.
const stopRetry = 250 * time.Millisecond

// stop asks until the worker confirms.
func (l *Leader) stop(ctx context.Context, a job.Stop) {
	l.handleStopReply(a.Worker, job.Stopped{Task: a.Task, Attempt: a.Attempt}, l.Workers.Stop(ctx, l.address(a.Worker), a.Task))
}

// pause checkpoints a task and then stops it. Without an answer to the first
// it is not stopped: its work would be lost. The worker's list shows then
// whether it still runs, and brings the next try.
func (l *Leader) pause(ctx context.Context, a job.Pause) {
	addr := l.address(a.Worker)
	err := l.Workers.Checkpoint(ctx, addr, a.Task)
	if err == nil {
		err = l.Workers.Stop(ctx, addr, a.Task)
	}
	l.handleStopReply(a.Worker, job.Stopped{Task: a.Task, Attempt: a.Attempt}, err)
}

// handleStopReply takes note of a stop's answer. A stop whose answer is lost, or that
// overtook the start, is followed by a look at the worker's list, which brings
// the next stop as long as the task runs.
func (l *Leader) handleStopReply(on string, ev job.Stopped, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gone *worker.GoneError
	switch {
	case err == nil:
		l.stepJobs(ev)
	case errors.As(err, &gone):
		l.stepLeases(lease.Poll{Worker: on})
	default:
		l.Log.Warn("lead: stop has no answer.", "task", ev.Task, "worker", on, "err", err)
		l.stepLeases(lease.Poll{Worker: on, After: stopRetry})
	}
}
