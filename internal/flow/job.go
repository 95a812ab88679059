package flow

import (
	"maps"
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

// State is where a job is.
type State string

// States of a job. The last three are final.
const (
	Queued    State = "queued"
	Active    State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final tells whether a job in this state is over.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Task is one task of a step.
type Task struct {
	Name   Name
	Job    *Job
	Step   *Stage
	State  chart.State
	Worker string
	// Run numbers the task's starts, from 1.
	Run      int
	Failures int
	// Crashed are the lives of workers that ended while a run of the task was, or may
	// have been, at them; Lost those on which one was lost and whose fate is not known.
	Crashed, Lost []string
	// Checkpoint is the newest checkpoint; empty is none.
	Checkpoint string
	// Since is when the task came into its state.
	Since time.Time
	// Avoid is the worker that the task failed on last.
	Avoid string
	// Percent is the progress seen last; Seen and Moved are when it was seen first
	// and when it changed, by the worker's clock.
	Percent                       int
	ProgressSeen, ProgressChanged time.Time
	// Restarts counts runs that were given up because their worker was too slow.
	Restarts int
	// Preemptions counts runs that were stopped for more urgent work.
	Preemptions int
	// CPUPercent is the share of the processor that a filling task may use now.
	CPUPercent int
}

// Transition takes the task through one event; false if its state does not allow it.
func (t *Task) Transition(ev chart.Event, now time.Time) bool {
	next, err := taskChart.Next(t.State, ev)
	if err != nil {
		return false
	}
	t.State, t.Since = next, now
	return true
}

// MayBeRunning tells whether a run of the task may be at a worker.
func (t *Task) MayBeRunning() bool {
	switch t.State {
	case Assigned, Starting, Running, Stopping, Inherited:
		return true
	default:
		return false
	}
}

// Spec is the task's step as its caller wrote it.
func (t *Task) Spec() Step { return t.Step.Spec }

// Stage is one step in one round.
type Stage struct {
	Spec  Step
	Index int
	Tasks []*Task
	// Done counts ended tasks.
	Done int
	// maxSuspicions is how many lives ended under that member of a gang that has the most.
	maxSuspicions int
}

// Finished tells whether all tasks have ended as done.
func (s *Stage) Finished() bool { return s.Done == len(s.Tasks) }

// Round is one run through all steps.
type Round struct {
	Index  int
	Due    time.Time
	Stages []*Stage
}

// Finished tells whether all steps are over.
func (r *Round) Finished() bool {
	for _, s := range r.Stages {
		if !s.Finished() {
			return false
		}
	}
	return true
}

// Ready tells whether all steps before s are over.
func (r *Round) Ready(s *Stage) bool {
	for _, i := range s.Spec.After {
		if !r.Stages[i].Finished() {
			return false
		}
	}
	return true
}

// Job is one job and all that is known of its tasks.
type Job struct {
	Spec  Spec
	State State
	// Published is the state that a caller is told: one that is recorded, by the append
	// of that number.
	Published       State
	PublishedAppend int64
	Accepted        time.Time
	// Number orders jobs by acceptance.
	Number int64
	// Domain is the failure domain that the job's tasks are kept in while it has
	// room; empty while none has run.
	Domain string
	// Rounds are those begun and not over.
	Rounds map[int]*Round
	// NextRound is the first round that has not begun.
	NextRound int
	// Ended is when a final state was reached.
	Ended time.Time
	// chainTimes is by step how long the way from its begin to the job's end takes.
	chainTimes []time.Duration
}

// New returns a job that was just accepted.
func New(spec Spec, number int64, now time.Time) *Job {
	return &Job{Spec: spec, State: Queued, Published: Queued, Accepted: now, Number: number, Rounds: map[int]*Round{}}
}

// rounds is how many rounds the job has in all.
func (j *Job) rounds() int { return max(j.Spec.Repeat.Count, 1) }

// Due is when round n is to begin; the zero time is at once.
func (j *Job) Due(n int) time.Time {
	if j.Spec.Repeat.Count == 0 {
		return time.Time{}
	}
	return j.Spec.Repeat.First.Add(time.Duration(n) * j.Spec.Repeat.Every)
}

// BeginRounds opens all rounds that are due and returns them.
func (j *Job) BeginRounds(now time.Time) []*Round {
	var begun []*Round
	for !j.State.Final() && j.NextRound < j.rounds() && !j.Due(j.NextRound).After(now) {
		begun = append(begun, j.openRound(j.NextRound, now))
		j.NextRound++
	}
	return begun
}

func (j *Job) openRound(n int, now time.Time) *Round {
	r := &Round{Index: n, Due: j.Due(n)}
	for i, st := range j.Spec.Steps {
		stage := &Stage{Spec: st, Index: i}
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

// CloseRounds closes rounds that are over and completes the job after its last one.
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

// End brings the job to a final state; the first one stands.
func (j *Job) End(s State, now time.Time) {
	if !j.State.Final() {
		j.State, j.Ended = s, now
	}
}

// Tasks calls f for each task of the rounds that are open.
func (j *Job) Tasks(f func(t *Task)) {
	for _, n := range slices.Sorted(maps.Keys(j.Rounds)) {
		for _, s := range j.Rounds[n].Stages {
			for _, t := range s.Tasks {
				f(t)
			}
		}
	}
}

// Task returns the task of that name; nil if its round is not open.
func (j *Job) Task(n Name) *Task {
	r, ok := j.Rounds[n.Round]
	if !ok || n.Step >= len(r.Stages) || n.Index >= len(r.Stages[n.Step].Tasks) {
		return nil
	}
	return r.Stages[n.Step].Tasks[n.Index]
}
