package sched

import (
	"fmt"
	"time"

	"pollencroft/internal/flow"
)

// assign places a task on a worker and stores the run before it is started. A task that allows
// copies does not wait for that: a run that a successor does not know of does no harm, and starting
// at once saves the time of an append, which is long while the store is slow and endless while it
// is down. A task that may crash its worker always waits; otherwise each new leader would start it
// again.
func (s *Sched) assign(t *flow.Task, w *worker, run int) {
	t.Worker, t.Run = w.Incarnation, run
	t.Transition(flow.Assign, s.now)
	t.ProgressSeen, t.ProgressChanged, t.Percent, t.CPUPercent = time.Time{}, time.Time{}, 0, 100
	if t.Job.Domain == "" {
		t.Job.Domain = w.Domain
	}
	s.track(w, t)
	s.countDrained(t.Job)
	if st := t.Spec(); st.MaxPerWorker > 0 {
		s.noteTask(t, "assigned", fmt.Sprintf("runs of the step there: %d of %d", w.steps[stepOf(t.Name)], st.MaxPerWorker))
	}
	s.markDirty(t.Job)
	if t.CrashSuspicions() > 0 {
		s.markSuspect(t)
	}
	if t.Spec().AllowCopies && t.CrashSuspicions() == 0 && s.mayStartUnstored(t) {
		s.unstoredStarts = append(s.unstoredStarts, runKey{t.Name, run})
		return
	}
	s.nextBatch.starts = append(s.nextBatch.starts, runKey{t.Name, run})
}

// track adds a task to its worker.
func (s *Sched) track(w *worker, t *flow.Task) {
	if w.add(t) {
		s.noteExceeded(w, t.Name)
	}
}

// sendStart sends the start of an assigned run.
func (s *Sched) sendStart(k runKey) {
	t := s.task(k)
	if t == nil || t.State != flow.Assigned {
		return
	}
	w, ok := s.workers[t.Worker]
	if !ok || !w.usable(s.now) {
		s.requeueTask(t, "worker left before the start")
		return
	}
	ticket, ok := s.ticket(t, w)
	if !ok {
		s.requeueTask(t, "ticket ran out before the start")
		return
	}
	t.Transition(flow.Send, s.now)
	w.unlisted[k] = s.now
	deadline := s.startDeadline(w)
	w.extendDeadline(deadline)
	if deadline.After(w.startDeadline) {
		w.startDeadline = deadline
	}
	s.emit(Start{
		To: w.Address, Token: s.tokenFor(w), Task: t.Name, Run: t.Run, Text: t.Job.Spec.Text, Checkpoint: t.Checkpoint, Ticket: ticket, Deadline: deadline,
	})
	s.ensureHold(w)
}

// task returns the task of a run, or nil if that is not the task's newest run.
func (s *Sched) task(k runKey) *flow.Task {
	j, ok := s.jobs[k.task.Job]
	if !ok {
		return nil
	}
	t := j.Task(k.task)
	if t == nil || t.Run != k.run {
		return nil
	}
	return t
}

func (s *Sched) startReplied(ev StartReply) {
	t := s.task(runKey{ev.Task, ev.Run})
	w := s.workers[ev.Worker]
	if w != nil {
		s.startNeverRan(w, ev)
	}
	if t == nil || w == nil || t.Worker != ev.Worker {
		return
	}
	s.noteTask(t, "start "+ev.Outcome.String(), "")
	if w.dead && ev.Outcome != Fenced {
		s.startReplyFromEnded(t, w, ev.Outcome)
		return
	}
	switch ev.Outcome {
	case OtherIncarnation:
		// The incarnation had ended before the start arrived.
		s.requeueTask(t, "worker died")
		s.incarnationEnded(ev.Worker)
		return
	case Accepted:
		s.confirm(t)
		s.ensureHold(w)
		return
	case Fenced:
		s.emit(StepDown{Worker: ev.Worker})
		return
	case Unanswered:
		// The run may begin now or seconds later. Only a stop ensures that it does not, and the
		// worker's list shows whether it did.
		t.Avoid(w.Incarnation, s.now)
		s.stopRun(t, "start without an answer")
		return
	case BadTicket:
		s.expireTicket(t, w)
	default:
		w.refusedUntil = s.now.Add(retryDelay)
		if t.Spec().Gang {
			// Stopping the other members may take longer than the worker is without work.
			t.Avoid(w.Incarnation, s.now)
		}
	}
	if t.State == flow.Stopping {
		return
	}
	s.requeueTask(t, "start "+ev.Outcome.String())
}

// confirm marks a run as begun.
func (s *Sched) confirm(t *flow.Task) {
	if !t.Transition(flow.Confirm, s.now) {
		return
	}
	s.noteRestart(t)
	if t.Job.State == flow.Queued {
		t.Job.State = flow.Active
		s.jobStarted(t.Job)
		s.markDirty(t.Job)
	}
}
