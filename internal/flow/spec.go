// Package flow follows jobs that are made of steps: which tasks may run, which
// run, and what of it must survive the loss of every host. It knows nothing of
// workers but their names.
package flow

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pollencroft/internal/cell"
)

// Spec is a job as its caller handed it in.
type Spec struct {
	ID string `json:"id"`
	// Queue is the policy under which the job was accepted. The table's row goes
	// before it for as long as it exists.
	Queue Queue `json:"queue"`
	// Text is handed to each task unread.
	Text   string `json:"text"`
	Steps  []Step `json:"steps"`
	Repeat Repeat `json:"repeat,omitzero"`
}

// Queue is what the table says of jobs of one kind.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Rank orders queues; lower ranks go first and may preempt.
	Rank int `json:"rank"`
	// Attempts is how many runs of a task may fail.
	Attempts int `json:"attempts"`
	// Stretch and Slack bound how late a job may end: Stretch times its longest
	// chain of work and Slack more.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"slack"`
	// Advice is set where a policy service decides which workers may run a step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice is what a question to the policy service costs.
type Advice struct {
	// Base and Each are how long the service takes for a question and for each
	// worker that it names.
	Base      time.Duration `json:"base"`
	PerWorker time.Duration `json:"each"`
	// Valid is how long a ticket holds.
	Valid time.Duration `json:"valid"`
}

// Cost is how long a question about n workers takes.
func (a Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Step is a set of like tasks.
type Step struct {
	Tasks int       `json:"tasks"`
	Size  cell.Size `json:"size"`
	// EstimatedTime is the caller's rough estimate of one task.
	EstimatedTime time.Duration `json:"time,omitempty"`
	// After are the steps that must be done first.
	After []int `json:"after,omitempty"`
	// Checkpoints tells that tasks checkpoint their progress.
	Checkpoints bool `json:"saves,omitempty"`
	// Gang tells that all tasks run together or not at all.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"samerack,omitempty"`
	// AllowCopies tells that copies of a task may run beside each other.
	AllowCopies bool `json:"copies,omitempty"`
	// LongRunning tells that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Label is one that the worker must have; Near the rack of the data.
	Label    string `json:"label,omitempty"`
	NearRack string `json:"near,omitempty"`
	// MaxPerWorker is the most tasks of the step on one worker; zero is no limit.
	MaxPerWorker int    `json:"apart,omitempty"`
	Image        string `json:"image,omitempty"`
	// LatencyTarget bounds the tail of the response times of a lasting task.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort tells that the tasks take only processor time that others leave.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many lasting tasks the system may stop at a time.
	MaxUnavailable int `json:"maymiss,omitempty"`
}

// Demand is what one task takes of a worker's size.
func (s Step) Demand() cell.Size {
	if s.BestEffort {
		return cell.Size{Mem: s.Size.Mem, Accel: s.Size.Accel}
	}
	return s.Size
}

// Repeat runs the steps Count times; zero runs them once, at once.
type Repeat struct {
	Count int           `json:"count"`
	First time.Time     `json:"first"`
	Every time.Duration `json:"every"`
}

// Bounds of a job, so that one caller cannot fill a host's memory.
const (
	maxSteps = 64
	maxTasks = 10_000
	maxText  = 4_000
)

// Check returns a cell.ValueError for the first field that is out of bounds.
func (s Spec) Check() error {
	if len(s.Text) > maxText {
		return &cell.ValueError{Field: "text", Found: fmt.Sprintf("%d bytes", len(s.Text)), Allowed: fmt.Sprintf("up to %d", maxText)}
	}
	if n := len(s.Steps); n < 1 || n > maxSteps {
		return &cell.ValueError{Field: "steps", Found: strconv.Itoa(n), Allowed: fmt.Sprintf("1 to %d", maxSteps)}
	}
	tasks := 0
	for i, st := range s.Steps {
		if err := st.check(i); err != nil {
			return err
		}
		tasks += st.Tasks
	}
	if tasks > maxTasks {
		return &cell.ValueError{Field: "steps.tasks", Found: strconv.Itoa(tasks), Allowed: fmt.Sprintf("%d in all", maxTasks)}
	}
	if s.Repeat.Count < 0 || s.Repeat.Count > 0 && s.Repeat.Every < 0 {
		return &cell.ValueError{Field: "repeat.count", Found: strconv.Itoa(s.Repeat.Count), Allowed: "0 or more"}
	}
	return nil
}

func (s Step) check(i int) error {
	bad := func(field string, found int64, allowed string) error {
		return &cell.ValueError{Field: fmt.Sprintf("steps[%d].%s", i, field), Found: strconv.FormatInt(found, 10), Allowed: allowed}
	}
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return bad("tasks", int64(s.Tasks), fmt.Sprintf("1 to %d", maxTasks))
	}
	if s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.Accel < 0 {
		return bad("size", min(s.Size.CPU, s.Size.Mem, s.Size.Accel), "0 or more")
	}
	if s.EstimatedTime < 0 || s.LatencyTarget < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return bad("limits", -1, "0 or more")
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return bad("after", int64(a), "numbers of earlier steps")
		}
	}
	return nil
}

// Name is a task's full name.
type Name struct {
	Job string
	// Round counts the times that a job is repeated, from 0.
	Round, Step, Index int
}

// String returns the name as workers list it.
func (n Name) String() string {
	return n.StepName() + "." + strconv.Itoa(n.Index)
}

// StepName is the name of the task's step.
func (n Name) StepName() string {
	return n.Job + "." + strconv.Itoa(n.Round) + "." + strconv.Itoa(n.Step)
}

// ParseName reads a task's name; false if it is none.
func ParseName(s string) (Name, bool) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return Name{}, false
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return Name{}, false
		}
		n[i] = v
	}
	return Name{Job: parts[0], Round: n[0], Step: n[1], Index: n[2]}, true
}
