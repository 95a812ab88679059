package sched

import (
	"pollencroft/internal/access"
	"pollencroft/internal/flow"
)

func (s *Sched) submit(spec flow.Spec) {
	if j, ok := s.jobs[spec.ID]; ok {
		if !access.Owns(spec.Organisation, j.Spec.Organisation) {
			s.emit(Note{ID: spec.ID, What: "id is another organisation's", Detail: spec.Organisation})
		}
		return
	}
	s.lastNumber++
	j := flow.New(spec, s.lastNumber, s.now)
	s.markRate(j)
	s.jobs[spec.ID], s.openJobs[spec.ID] = j, j
	j.BeginRounds(s.now)
	s.memory.jobs += j.Memory()
	s.markDirty(j)
	s.emit(JobQueued{ID: spec.ID, Queue: spec.Queue.Name, Organisation: spec.Organisation, Rank: s.queue(j).Rank})
	if organisation, ok := s.earlyCancels.take(spec.ID, spec.Organisation); ok {
		s.cancel(Cancel{ID: spec.ID, Organisation: organisation})
	}
}

// cancel stops a job. The cancellation may arrive before the job itself, since different hosts may
// have stored the two. If it were dropped then, the job would run although its caller was told that
// it is cancelled.
func (s *Sched) cancel(c Cancel) {
	j, ok := s.jobs[c.ID]
	switch {
	case !ok:
		if s.earlyCancels.add(c, s.now) {
			s.emit(Note{ID: c.ID, What: "cancelled before submission"})
		}
		return
	case j.State.Final():
		return
	case !access.Owns(c.Organisation, j.Spec.Organisation):
		s.emit(Note{ID: c.ID, What: "cancellation by another organisation ignored", Detail: c.Organisation})
		return
	}
	s.emit(Note{ID: c.ID, What: "cancelled by its caller"})
	s.endJob(j, flow.Cancelled)
}

// endJob moves a job to a final state and stops its remaining tasks.
func (s *Sched) endJob(j *flow.Job, state flow.State) {
	j.End(state, s.now)
	s.markDirty(j)
	j.Tasks(func(t *flow.Task) {
		switch t.State {
		case flow.Waiting, flow.Assigned:
			s.releaseTask(t)
			t.Transition(flow.Drop, s.now)
		case flow.Starting, flow.Running, flow.Inherited:
			s.stopRun(t, "job is "+string(state))
		}
	})
	s.closeIfOver(j)
}

// closeIfOver closes a job once it has a final state and none of its tasks may still be on a
// worker.
func (s *Sched) closeIfOver(j *flow.Job) {
	if j.State.Final() {
		out := false
		j.Tasks(func(t *flow.Task) { out = out || t.MayBeRunning() })
		if !out {
			s.closeJob(j)
		}
		return
	}
	j.CloseRounds(s.now)
	if j.State.Final() {
		s.closeJob(j)
	}
}

// closeJob drops the tasks of a job that is over.
func (s *Sched) closeJob(j *flow.Job) {
	for _, r := range j.Rounds {
		for _, st := range r.Stages {
			delete(s.advice, st)
			delete(s.preemptions, st)
			s.endWait(j, st)
			s.speeds.ForgetStep(st.Tasks[0].Name.StepName())
		}
	}
	clear(j.Rounds)
	delete(s.times.jobs, j)
	delete(s.openJobs, j.Spec.ID)
	s.markDirty(j)
}

// releaseTask removes a task from its worker.
func (s *Sched) releaseTask(t *flow.Task) {
	if w, ok := s.workers[t.Worker]; ok {
		w.remove(t)
	}
	delete(s.stops, runKey{t.Name, t.Run})
	t.Worker = ""
}

// requeueTask puts a task back in the queue whose run is certainly not on its worker any more and
// did not end as done.
func (s *Sched) requeueTask(t *flow.Task, why string) {
	if t.State == flow.Waiting || !t.MayBeRunning() {
		return
	}
	s.noteLoss(t, why)
	s.releaseTask(t)
	s.markDirty(t.Job)
	if t.Job.State.Final() {
		t.Transition(flow.Drop, s.now)
		s.closeIfOver(t.Job)
		return
	}
	t.Transition(flow.Gone, s.now)
	if t.Spec().Gang {
		s.breakGang(t)
	}
}

// taskDone ends a task as done.
func (s *Sched) taskDone(t *flow.Task) {
	s.noteTask(t, "done", "")
	s.releaseTask(t)
	if !t.Transition(flow.Finish, s.now) {
		return
	}
	t.Step.Done++
	s.markDirty(t.Job)
	if t.Job.State.Final() {
		s.closeIfOver(t.Job)
		return
	}
	if t.Step.Finished() {
		t.Job.Phases = t.Job.Phases.Add(t.Phases)
		s.compareSpeeds(t.Step)
		delete(s.advice, t.Step)
	}
	s.closeIfOver(t.Job)
}

// taskFailed requeues a task after a failed run and counts the failure.
func (s *Sched) taskFailed(t *flow.Task) {
	t.Avoid(t.Worker, s.now)
	s.requeueTask(t, "failed")
	s.countFailure(t)
}

// countFailure counts a failure of a task and fails the job after too many.
func (s *Sched) countFailure(t *flow.Task) {
	t.Failures++
	j := t.Job
	s.markDirty(j)
	if j.State.Final() || t.Spec().LongRunning || t.Failures < s.queue(j).Attempts {
		return
	}
	s.emit(Note{ID: j.Spec.ID, What: "failed after all attempts", Detail: t.Name.String()})
	s.endJob(j, flow.Failed)
}
