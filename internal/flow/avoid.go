package flow

import (
	"maps"
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
	t.DropExpired(now)
	t.avoided = slices.DeleteFunc(t.avoided, func(a avoidance) bool { return a.worker == worker })
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

// DropExpired forgets the workers that the task no longer avoids.
func (t *Task) DropExpired(now time.Time) {
	t.avoided = slices.DeleteFunc(t.avoided, func(a avoidance) bool { return !now.Before(a.until) })
}

// avoidanceEnds returns the end of each avoidance for the record.
func (t *Task) avoidanceEnds() map[string]int64 {
	if len(t.avoided) == 0 {
		return nil
	}
	ends := make(map[string]int64, len(t.avoided))
	for _, a := range t.avoided {
		ends[a.worker] = a.until.UnixMilli()
	}
	return ends
}

// restoreAvoidances takes over recorded avoidances. The clock that recorded them may have been
// ahead, so none lasts longer than a new one.
func (t *Task) restoreAvoidances(ends map[string]int64, now time.Time) {
	for _, worker := range slices.Sorted(maps.Keys(ends)) {
		until, latest := time.UnixMilli(ends[worker]), now.Add(avoidFor)
		if until.After(latest) {
			until = latest
		}
		if now.Before(until) {
			t.avoidUntil(worker, until, now)
		}
	}
}
