package sched

import (
	"time"

	"pollencroft/internal/flow"
)

// pendingStop is a run that must end. A worker that has answered a stop never begins that run any
// more, so the task is free once a list that was requested after the answer does not contain it.
type pendingStop struct {
	task   *flow.Task
	worker string
	// answeredAt is when the worker answered; zero before.
	answeredAt time.Time
	// retryAt is when the stop is sent again; inFlight means that it has no answer yet.
	retryAt  time.Time
	inFlight bool
}

// stopRun asks the worker to stop a task's run.
func (s *Sched) stopRun(t *flow.Task, why string) {
	if !t.Transition(flow.Stop, s.now) {
		return
	}
	s.emit(Note{ID: t.Name.String(), What: "stop", Worker: t.Worker, Run: t.Run, Detail: why, Queue: t.Job.Spec.Queue.Name, Organisation: t.Job.Spec.Organisation})
	k := runKey{t.Name, t.Run}
	st := &pendingStop{task: t, worker: t.Worker}
	s.stops[k] = st
	s.sendStop(k, st)
}

func (s *Sched) sendStop(k runKey, st *pendingStop) {
	w, ok := s.workers[st.worker]
	if !ok || !w.Addr.IsValid() || w.dead {
		st.retryAt = s.now.Add(retryDelay)
		return
	}
	st.inFlight = true
	s.emit(Stop{To: w.Address, Token: s.tokenFor(w), Task: k.task, Run: k.run})
}

func (s *Sched) retryStops() {
	for _, k := range sortedRuns(s.stops) {
		st := s.stops[k]
		if !st.inFlight && st.answeredAt.IsZero() && !s.now.Before(st.retryAt) {
			s.sendStop(k, st)
		}
	}
}

func (s *Sched) stopReplied(ev StopReply) {
	k := runKey{ev.Task, ev.Run}
	if w, ok := s.workers[ev.Worker]; ok {
		s.untrackedStopReplied(w, k, ev.Outcome)
	}
	st, ok := s.stops[k]
	if !ok || st.worker != ev.Worker {
		return
	}
	st.inFlight = false
	switch ev.Outcome {
	case Accepted:
		st.answeredAt = s.now
		if w, ok := s.workers[ev.Worker]; ok {
			s.probe(w)
		}
	case OtherIncarnation:
		s.incarnationEnded(ev.Worker)
	case Fenced:
		s.emit(StepDown{Worker: ev.Worker})
	default:
		st.retryAt = s.now.Add(retryDelay)
	}
}
