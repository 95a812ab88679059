package flow

import (
	"maps"
	"math"
	"slices"
	"time"

	"pollencroft/internal/chart"
)

var taskChart = chart.MustLoad("run")

// States of a task.
const (
	Waiting   = chart.State("waiting")
	Assigned  = chart.State("assigned")
	Starting  = chart.State("starting")
	Running   = chart.State("running")
	Stopping  = chart.State("stopping")
	Inherited = chart.State("inherited")
	Done      = chart.State("done")
	Dropped   = chart.State("dropped")
)

// Events of a task.
const (
	Assign  = chart.Event("assign")
	Send    = chart.Event("send")
	Confirm = chart.Event("confirm")
	Stop    = chart.Event("stop")
	Gone    = chart.Event("gone")
	Finish  = chart.Event("finish")
	Drop    = chart.Event("drop")
	adopt   = chart.Event("adopt")
)

// State is the state of a job.
type State string

// States of a job. The last three are final.
const (
	Queued    State = "queued"
	Active    State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s is a final state.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is one task of a step.
type Task struct {
	Name   Name
	Job    *Job
	Step   *Stage
	State  chart.State
	Worker string
	// Run is the number of the task's current or latest run, counted from 1.
	Run      int
	Failures int
	// Crashed lists the worker incarnations that ended while a run of the task was, or may
	// have been, on them. Lost lists those on which a run was lost and of which it is not
	// known whether they ended.
	Crashed, Lost []string
	// SuspectedRun is the newest run that counts among them.
	SuspectedRun int
	// Checkpoint is the newest checkpoint, or empty if there is none.
	Checkpoint string
	// Since is when the task entered its current state.
	Since time.Time
	// LostAt is when the last sign was missed of a run that did not end as done, RequeuedAt when that
	// run was given up. They are zero once the task runs again.
	LostAt, RequeuedAt time.Time
	// MeasuredFrom is when the leader learned that the current run had begun. It is zero if the run
	// does not show how long the task takes: a former leader started it, so that its beginning is
	// not known, or it resumed from a checkpoint.
	MeasuredFrom time.Time
	// Phases is how long the phases of the current or latest run took.
	Phases Phases
	// avoided lists the workers that the task avoids, and may contain expired ones.
	avoided []avoidance
	// Percent is the progress reported last. ProgressSeen is when progress was first reported
	// and ProgressChanged when it last changed, both by the worker's clock.
	Percent                       int
	ProgressSeen, ProgressChanged time.Time
	// Restarts counts runs that were abandoned because their worker was too slow.
	Restarts int
	// Preemptions counts runs that were stopped in favor of more urgent work.
	Preemptions int
	// CPUPercent is the share of the processor that a best-effort task may use now.
	CPUPercent int
}

// Transition applies an event to the task's state. It returns false if the state does not
// allow the event.
func (t *Task) Transition(ev chart.Event, now time.Time) bool {
	next, err := taskChart.Next(t.State, ev)
	if err != nil {
		return false
	}
	switch {
	case ev == Assign:
		t.MeasuredFrom = time.Time{}
	case ev == Confirm && t.State == Starting && t.Checkpoint == "":
		t.MeasuredFrom = now
	}
	t.Phases = t.Phases.after(ev, t.State, now.Sub(t.Since))
	t.setState(next)
	t.Since = now
	return true
}

// setState changes the state and the step's count of waiting tasks.
func (t *Task) setState(next chart.State) {
	if t.State == Waiting {
		t.Step.waiting--
	}
	if next == Waiting {
		t.Step.waiting++
	}
	t.State = next
}

// MayBeRunning reports whether a worker may have a run of the task.
func (t *Task) MayBeRunning() bool {
	switch t.State {
	case Assigned, Starting, Running, Stopping, Inherited:
		return true
	default:
		return false
	}
}

// Spec returns the task's step as the caller specified it.
func (t *Task) Spec() Step { return t.Step.Spec }

// Stage is the execution of one step in one round.
type Stage struct {
	Spec  Step
	Index int
	Tasks []*Task
	// Done counts the tasks that are done.
	Done int
	// waiting counts the tasks that are waiting.
	waiting int
	// maxSuspicions is the highest number of crash suspicions among the members of a gang.
	maxSuspicions int
	// avoidsUntil is when the last of the tasks stops avoiding a worker.
	avoidsUntil time.Time
}

// Waiting returns how many tasks are waiting.
func (s *Stage) Waiting() int { return s.waiting }

// Finished reports whether all tasks are done.
func (s *Stage) Finished() bool { return s.Done == len(s.Tasks) }

// AnyWaiting reports whether a task is waiting.
func (s *Stage) AnyWaiting() bool { return s.waiting > 0 }

// Round is one execution of all steps of a job.
type Round struct {
	Index  int
	Due    time.Time
	Stages []*Stage
}

// Finished reports whether all steps are finished.
func (r *Round) Finished() bool {
	for _, s := range r.Stages {
		if !s.Finished() {
			return false
		}
	}
	return true
}

// Ready reports whether all steps that s depends on are finished.
func (r *Round) Ready(s *Stage) bool {
	for _, i := range s.Spec.After {
		if !r.Stages[i].Finished() {
			return false
		}
	}
	return true
}

// Job is a job and the state of its tasks.
type Job struct {
	Spec  Spec
	State State
	// Published is the state that callers are shown. It is always one that the store has
	// recorded; PublishedAppend is the number of the append that did so.
	Published       State
	PublishedAppend int64
	Accepted        time.Time
	// Number orders jobs by acceptance.
	Number int64
	// BeyondRate means that the organisation sent the job beyond its rate.
	BeyondRate bool
	// Domain is the failure domain in which the job's tasks are placed as long as it has
	// capacity. It is empty until a task has run.
	Domain string
	// Rounds holds the rounds that have begun and are not finished, by index.
	Rounds map[int]*Round
	// NextRound is the index of the first round that has not begun.
	NextRound int
	// Untracked are the runs that may exist beside the newest ones of their tasks.
	Untracked []UntrackedRun
	// Ended is when the job reached a final state.
	Ended time.Time
	// Phases is the sum over the finished steps of the phases of the run that ended last.
	Phases Phases
	// chainTimes holds for each step the estimated time from its start to the end of the job.
	chainTimes []time.Duration
}

// New returns a job that was accepted at now.
func New(spec Spec, number int64, now time.Time) *Job {
	return &Job{Spec: spec, State: Queued, Published: Queued, Accepted: now, Number: number, Rounds: map[int]*Round{}}
}

// rounds returns the total number of rounds.
func (j *Job) rounds() int { return max(j.Spec.Repeat.Count, 1) }

// Due returns when round n is due to begin. The zero time means immediately.
func (j *Job) Due(n int) time.Time {
	if j.Spec.Repeat.Count == 0 {
		return time.Time{}
	}
	every := j.Spec.Repeat.Every
	if every > 0 && n > int(math.MaxInt64/every) {
		return j.Spec.Repeat.First.Add(math.MaxInt64)
	}
	return j.Spec.Repeat.First.Add(time.Duration(n) * every)
}

// BeginRounds opens all rounds that are due and returns them.
func (j *Job) BeginRounds(now time.Time) []*Round {
	var begun []*Round
	for !j.State.Final() && j.NextRound < j.rounds() && !j.Due(j.NextRound).After(now) && j.hasRoom() {
		begun = append(begun, j.openRound(j.NextRound, now))
		j.NextRound++
	}
	return begun
}

// Memory estimates the memory of the job with the tasks of its open rounds.
func (j *Job) Memory() int64 {
	spec := j.Spec.specMemory()
	return spec + int64(len(j.Rounds))*(j.Spec.Memory()-spec)
}

// hasRoom reports whether another round may begin beside those that are open. However many are due, a
// job takes no more memory than one with the most tasks.
func (j *Job) hasRoom() bool {
	tasks := 0
	for _, st := range j.Spec.Steps {
		tasks += st.Tasks
	}
	return len(j.Rounds) == 0 || (len(j.Rounds)+1)*tasks <= maxTasks
}

func (j *Job) openRound(n int, now time.Time) *Round {
	r := &Round{Index: n, Due: j.Due(n)}
	for i, st := range j.Spec.Steps {
		stage := &Stage{Spec: st, Index: i, waiting: st.Tasks}
		for k := range st.Tasks {
			stage.Tasks = append(stage.Tasks, &Task{
				Name: Name{Job: j.Spec.ID, Round: n, Step: i, Index: k}, Job: j, Step: stage, State: taskChart.Start(), Since: now, CPUPercent: 100,
			})
		}
		r.Stages = append(r.Stages, stage)
	}
	j.Rounds[n] = r
	return r
}

// CloseRounds removes finished rounds and completes the job after its last round.
func (j *Job) CloseRounds(now time.Time) {
	for n, r := range j.Rounds {
		if r.Finished() {
			delete(j.Rounds, n)
		}
	}
	if !j.State.Final() && len(j.Rounds) == 0 && j.NextRound >= j.rounds() {
		j.End(Completed, now)
	}
}

// End brings the job to a final state. It does nothing if the job is already in one.
func (j *Job) End(s State, now time.Time) {
	if !j.State.Final() {
		j.State, j.Ended = s, now
	}
}

// Tasks calls f for each task of the open rounds.
func (j *Job) Tasks(f func(t *Task)) {
	for _, n := range slices.Sorted(maps.Keys(j.Rounds)) {
		for _, s := range j.Rounds[n].Stages {
			for _, t := range s.Tasks {
				f(t)
			}
		}
	}
}

// Task returns the task with that name, or nil if its round is not open.
func (j *Job) Task(n Name) *Task {
	r, ok := j.Rounds[n.Round]
	if !ok || n.Step >= len(r.Stages) || n.Index >= len(r.Stages[n.Step].Tasks) {
		return nil
	}
	return r.Stages[n.Step].Tasks[n.Index]
}
