package flow

import (
	"slices"
	"time"
)

// avoidFor is how long a task avoids a worker on which it got nowhere.
const avoidFor = 5 * time.Second

// avoidance is a worker that a task avoids until some time.
type avoidance struct {
	worker string
	until  time.Time
}

// Avoid makes the task avoid a worker for avoidFor.
func (t *Task) Avoid(worker string, now time.Time) {
	t.avoidUntil(worker, now.Add(avoidFor), now)
}

func (t *Task) avoidUntil(worker string, until, now time.Time) {
	t.avoided = slices.DeleteFunc(t.avoided, func(a avoidance) bool { return a.worker == worker || !now.Before(a.until) })
	t.avoided = append(t.avoided, avoidance{worker, until})
	if until.After(t.Step.avoidsUntil) {
		t.Step.avoidsUntil = until
	}
}

// Avoids reports whether the task avoids a worker. The members of a gang run together, so each
// avoids what any of them does.
func (t *Task) Avoids(worker string, now time.Time) bool {
	if !now.Before(t.Step.avoidsUntil) {
		return false
	}
	if !t.Step.Spec.Gang {
		return t.ownAvoids(worker, now)
	}
	return slices.ContainsFunc(t.Step.Tasks, func(m *Task) bool { return m.ownAvoids(worker, now) })
}

func (t *Task) ownAvoids(worker string, now time.Time) bool {
	return slices.ContainsFunc(t.avoided, func(a avoidance) bool { return a.worker == worker && now.Before(a.until) })
}

// AvoidsAny reports whether the task itself avoids any worker.
func (t *Task) AvoidsAny(now time.Time) bool {
	return slices.ContainsFunc(t.avoided, func(a avoidance) bool { return now.Before(a.until) })
}
