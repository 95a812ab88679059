package standin

import (
	"time"

	"pollencroft/internal/cell"
)

// WorkerFaults are the faults that a worker simulates; tests set them with PUT /faults.
type WorkerFaults struct {
	// Paused delays all answers until it is switched off.
	Paused bool `json:"paused"`
	// FailAll makes every task fail immediately after its start.
	FailAll bool `json:"failall"`
	// LoseAnswers is the number of requests that are carried out and whose connection is then
	// closed without an answer.
	LoseAnswers int `json:"lose"`
	// Lag is the time after its start for which a task's usage is reported as zero.
	Lag time.Duration `json:"lag"`
	// Grow is the ratio of a task's actual usage to its declared one; zero means as declared.
	Grow float64 `json:"grow"`
	// Stretch is the ratio of a task's actual run time to its declared one; zero means as
	// declared.
	Stretch float64 `json:"stretch"`
	// Skew is the offset of the worker's own clock.
	Skew time.Duration `json:"skew"`
	// CrashRow names a row whose tasks each crash the worker after running for CrashAfter.
	CrashRow   string        `json:"crashrow"`
	CrashAfter time.Duration `json:"crashafter"`
	// CrashAway is the time after a crash during which the worker does not answer.
	CrashAway time.Duration `json:"crashaway"`
}

// Task is the worker's view of one task.
type Task struct {
	ID     string    `json:"id"`
	Holder string    `json:"holder"`
	Lease  string    `json:"lease"`
	Term   int64     `json:"term"`
	Row    string    `json:"row"`
	Job    string    `json:"job"`
	Size   cell.Size `json:"size"`
	Use    cell.Size `json:"use"`
	// Left is the remaining time of the lease in milliseconds.
	Left int64 `json:"left"`
	// State is running, ended, failed, stopped or lapsed. A task lapses when its lease expires.
	State string `json:"state"`

	until time.Time
	ends  time.Time
	began time.Time
	mark  int64
	// usageReported is set once the task's usage is included in the list.
	usageReported bool
}

// States of a task on a worker.
const (
	TaskRunning = "running"
	TaskEnded   = "ended"
	TaskFailed  = "failed"
	TaskStopped = "stopped"
	TaskLapsed  = "lapsed"
	// TaskCrashed is the state of a task that was running when the worker crashed. It appears in
	// the record only, never in a list of tasks.
	TaskCrashed = "crashed"
)

// Step is one event of a task on a worker. For a start, Left is the time that remained until the
// deadline of the request.
type Step struct {
	At            time.Time
	What          string
	Holder, Lease string
	Left          time.Duration
}

// WorkerRecord counts what a worker observed.
type WorkerRecord struct {
	// Overfilled counts the starts after which the tasks used more than the worker's size.
	Overfilled int `json:"overfilled"`
	// Started counts the starts by task id.
	Started map[string]int `json:"started"`
	// Ended holds the last state of each task that is no longer running.
	Ended map[string]string `json:"ended"`
	// Late counts the starts that arrived after their deadline and were rejected.
	Late int `json:"late"`
	// Renewed counts the successful renewals.
	Renewed int `json:"renewed"`
	// Crashed counts the worker's restarts.
	Crashed int `json:"crashed"`
	// Bytes counts the bytes of the bodies received and sent.
	Bytes int64 `json:"bytes"`
}

// WorkerRequest is the body of every request to a worker. Each route reads only its own fields. Times
// are in milliseconds.
type WorkerRequest struct {
	Holder string    `json:"holder,omitempty"`
	Term   int64     `json:"term,omitempty"`
	TTL    int64     `json:"ttl,omitempty"`
	ID     string    `json:"id,omitempty"`
	Row    string    `json:"row,omitempty"`
	Job    string    `json:"job,omitempty"`
	Size   cell.Size `json:"size,omitzero"`
	// Asked is the size that the caller declared. A task's usage is derived from it and not from
	// Size, the capacity that the task was given; if Asked is zero, Size is used.
	Asked    cell.Size `json:"asked,omitzero"`
	Run      int64     `json:"run,omitempty"`
	Deadline int64     `json:"deadline,omitempty"`
	Forget   []string  `json:"forget,omitempty"`
	Keep     int64     `json:"keep,omitempty"`
	Since    int64     `json:"since,omitempty"`
	Lease    string    `json:"lease,omitempty"`
	Share    float64   `json:"share,omitempty"`
}

// WorkerReply is the body of every answer. Clock is the worker's own clock in milliseconds.
type WorkerReply struct {
	Clock  int64  `json:"clock"`
	Holder string `json:"holder,omitempty"`
	Lease  string `json:"lease,omitempty"`
	Left   int64  `json:"left,omitempty"`
	// Incarnation identifies the worker's current process; it changes with each restart.
	Incarnation string `json:"life,omitempty"`
	// Mark counts the changes to the list of tasks. Whole reports whether Tasks contains all
	// tasks, and not only those that changed since the mark in the request.
	Mark  int64    `json:"mark,omitempty"`
	Whole bool     `json:"whole,omitempty"`
	Tasks []Task   `json:"tasks,omitempty"`
	Gone  []string `json:"gone,omitempty"`
}
