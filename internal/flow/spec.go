// Package flow models jobs that consist of steps: which tasks may run, which are running, and
// which part of their state must survive the loss of every host. It knows workers only by
// name.
package flow

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
)

// Spec is a job as its caller submitted it.
type Spec struct {
	ID string `json:"id"`
	// Queue is the policy under which the job was accepted. While the table has a row for this
	// queue, that row takes precedence.
	Queue Queue `json:"queue"`
	// Organisation is the organisation whose caller submitted the job; empty if it came from a
	// public route. Its quota limits what the job may have running.
	Organisation string `json:"org,omitempty"`
	// Text is passed to each task uninterpreted.
	Text   string `json:"text"`
	Steps  []Step `json:"steps"`
	Repeat Repeat `json:"repeat,omitzero"`
}

// Queue is the table's policy for jobs of one kind.
type Queue struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Rank orders queues. Jobs of a lower rank go first and may preempt others.
	Rank int `json:"rank"`
	// Attempts is how many runs of a task may fail.
	Attempts int `json:"attempts"`
	// Stretch and Slack bound how late a job may end: Stretch times the duration of its
	// longest chain of steps, plus Slack.
	Stretch float64       `json:"stretch"`
	Slack   time.Duration `json:"slack"`
	// Advice is set if a policy service decides which workers may run a step.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice describes how long a query to the policy service takes and how long its answer is
// valid.
type Advice struct {
	// Base is the service's time for any query, and PerWorker its additional time for each
	// worker in the query.
	Base      time.Duration `json:"base"`
	PerWorker time.Duration `json:"each"`
	// Valid is how long a ticket is valid.
	Valid time.Duration `json:"valid"`
}

// Cost returns how long a query about n workers takes.
func (a Advice) Cost(n int) time.Duration { return a.Base + time.Duration(n)*a.PerWorker }

// Step is a set of identical tasks.
type Step struct {
	Tasks int       `json:"tasks"`
	Size  cell.Size `json:"size"`
	// EstimatedTime is the caller's rough estimate of the run time of one task.
	EstimatedTime time.Duration `json:"time,omitempty"`
	// After lists the steps that must be finished first.
	After []int `json:"after,omitempty"`
	// Checkpoints reports whether tasks save checkpoints of their progress.
	Checkpoints bool `json:"saves,omitempty"`
	// Gang reports whether the tasks run all together or not at all.
	Gang     bool `json:"gang,omitempty"`
	SameRack bool `json:"samerack,omitempty"`
	// AllowCopies reports whether copies of a task may run at the same time.
	AllowCopies bool `json:"copies,omitempty"`
	// LongRunning reports whether the tasks run until the job is cancelled.
	LongRunning bool `json:"lasts,omitempty"`
	// Label is a label that the worker must have. NearRack is the rack that holds the data,
	// near which tasks should run.
	Label    string `json:"label,omitempty"`
	NearRack string `json:"near,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker. Zero means no
	// limit.
	MaxPerWorker int    `json:"apart,omitempty"`
	Image        string `json:"image,omitempty"`
	// LatencyTarget bounds the tail of the response times of a long-running task.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort reports whether the tasks use only processor time that other tasks leave
	// unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many long-running tasks of the step the scheduler may stop at a
	// time.
	MaxUnavailable int `json:"maymiss,omitempty"`
}

// Demand returns the part of a worker's capacity that one task takes.
func (s Step) Demand() cell.Size {
	if s.BestEffort {
		return cell.Size{Mem: s.Size.Mem, Accel: s.Size.Accel}
	}
	return s.Size
}

// QuotaNeed returns what the step needs of its organisation's quota in order to start anything: all
// members of a gang, otherwise one task. Best-effort tasks count with their processors, although
// these are not booked on a worker.
func (s Step) QuotaNeed() cell.Size {
	if s.Gang {
		return s.Size.Scale(float64(s.Tasks))
	}
	return s.Size
}

// Repeat runs the steps Count times. If Count is zero they run once, immediately.
type Repeat struct {
	Count int           `json:"count"`
	First time.Time     `json:"first"`
	Every time.Duration `json:"every"`
}

// Bounds of a job, which keep a single caller from filling a host's memory.
const (
	// MaxSteps is how many steps a job may have.
	MaxSteps = 64
	maxTasks = 10_000
	maxText  = 4_000
	// maxEvery bounds the time between the repetitions of a job, so that times stay in range.
	maxEvery = 10 * 365 * 24 * time.Hour
	// maxYear is the last year that times are stored of.
	maxYear = 9999
)

// Check returns a cell.ValueError for the first field that is out of bounds.
func (s Spec) Check() error {
	if len(s.Text) > maxText {
		return &cell.ValueError{Field: "text", Found: fmt.Sprintf("%d bytes", len(s.Text)), Allowed: fmt.Sprintf("up to %d", maxText)}
	}
	if n := len(s.Steps); n < 1 || n > MaxSteps {
		return &cell.ValueError{Field: "steps", Found: strconv.Itoa(n), Allowed: fmt.Sprintf("1 to %d", MaxSteps)}
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
	if s.Repeat.Every > maxEvery {
		return &cell.ValueError{Field: "repeat.every", Found: s.Repeat.Every.String(), Allowed: "up to " + maxEvery.String()}
	}
	if y := s.Repeat.First.Year(); s.Repeat.Count > 0 && y > maxYear {
		return &cell.ValueError{Field: "repeat.first", Found: strconv.Itoa(y), Allowed: fmt.Sprintf("a year up to %d", maxYear)}
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
	if resource := s.Size.Exceeds(cell.MaxSize); resource != "" {
		return bad("size", max(s.Size.CPU, s.Size.Mem, s.Size.Accel), "less "+resource+" than the largest worker that is accepted has")
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

// Estimates of the memory that jobs take, in bytes.
const (
	jobMemory  = 2 << 10
	stepMemory = 512
	taskMemory = 768
)

// specMemory estimates the memory of a job without its tasks.
func (s Spec) specMemory() int64 {
	n := jobMemory + len(s.Text)
	for _, st := range s.Steps {
		n += stepMemory + len(st.Label) + len(st.NearRack) + len(st.Image)
	}
	return int64(n)
}

// Memory estimates the memory of a job all of whose tasks have begun.
func (s Spec) Memory() int64 {
	n := s.specMemory()
	for _, st := range s.Steps {
		n += int64(st.Tasks) * taskMemory
	}
	return n
}

// Encode returns the spec in JSON. Texts are not escaped for the web, which takes up to six times their
// size.
func (s Spec) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(s)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), errors.Wrap(err, "encode job")
}

// Name identifies a task.
type Name struct {
	Job string
	// Round counts the repetitions of the job, from 0.
	Round, Step, Index int
}

// String returns the name in the form in which workers list it.
func (n Name) String() string {
	return n.StepName() + "." + strconv.Itoa(n.Index)
}

// StepName returns the name of the task's step.
func (n Name) StepName() string {
	return n.Job + "." + strconv.Itoa(n.Round) + "." + strconv.Itoa(n.Step)
}

// ParseName parses a task's name. It returns false if s is not a valid name.
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
