package users

import (
	"time"

	"pollencroft/internal/incarnation"
)

// longestLease is the longest lease that workers give, whatever an order asks for.
const longestLease = 10 * time.Second

// ReportBorn makes the worker report when it began.
func (w *Worker) ReportBorn() { w.ReportBornAt(time.Now()) }

// ReportBornAt makes the worker report that it began at a time.
func (w *Worker) ReportBornAt(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born = at.UnixMilli()
}

// Restart ends the worker's incarnation with all its runs, and begins the next one under the same ID
// and at the same address, with none of its state. Its entry has to be written again.
func (w *Worker) Restart() {
	w.mu.Lock()
	for k, timer := range w.runs {
		timer.Stop()
		w.checker.lose(k, w.ID)
		w.checker.note(k.task, "run %d ends as %s restarts", k.run, w.ID)
	}
	clear(w.runs)
	clear(w.endedRuns)
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.incarnation, w.contacted = w.incarnation+1, false
	w.unreachable(0)
	// Two incarnations do not begin in the same millisecond.
	w.born = max(time.Now().UnixMilli(), w.born+1)
	w.began, w.fence, w.ends, w.number, w.deadline = time.Now(), 0, nil, 0, time.Time{}
	w.mu.Unlock()
	w.server.CloseClientConnections()
}

// Name returns the name of the worker's incarnation.
func (w *Worker) Name() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.born == 0 {
		return w.ID
	}
	return incarnation.Name{ID: w.ID, Born: w.born, HasBorn: true}.String()
}

// Fence returns the highest fencing token that this incarnation has seen.
func (w *Worker) Fence() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// addBorn adds the start of the incarnation to what the worker says about itself. The caller holds mu.
func (w *Worker) addBorn(m map[string]any) {
	if w.born > 0 {
		m["born"] = w.born
	}
}
