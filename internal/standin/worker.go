package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"pollencroft/internal/cell"
)

// Worker simulates one worker. It checks neither its capacity nor the identity of the caller.
type Worker struct {
	size        cell.Size
	clock       func() time.Time
	copyChecker *CopyChecker
	mu          sync.Mutex
	resume      chan struct{}
	faults      WorkerFaults
	anchor      anchor
	tasks       map[string]*Task
	record      WorkerRecord
	// history lists, by task id, the requests and their results in order.
	history map[string][]Step
	nextID  int
	mark    int64
	gone    map[string]int64
	// unavailableUntil is the time from which the worker answers again after a crash.
	unavailableUntil time.Time
	cpuSeconds       float64
	marked           time.Time
}

type anchor struct {
	holder, lease string
	term          int64
	until         time.Time
}

// NewWorker returns a worker of the given size without tasks. It uses the given clock.
func NewWorker(size cell.Size, over *CopyChecker, clock func() time.Time) *Worker {
	return &Worker{
		size: size, clock: clock, copyChecker: over, resume: make(chan struct{}), tasks: map[string]*Task{}, gone: map[string]int64{},
		record: WorkerRecord{Started: map[string]int{}, Ended: map[string]string{}}, marked: clock(), history: map[string][]Step{},
	}
}

// Resize changes the worker's size. Running tasks are not affected.
func (k *Worker) Resize(size cell.Size) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.size = size
}

// SetFaults replaces the active faults.
func (k *Worker) SetFaults(f WorkerFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Paused && !f.Paused {
		close(k.resume)
		k.resume = make(chan struct{})
	}
	k.faults = f
}

// Record returns a copy of the record.
func (k *Worker) Record() WorkerRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endExpired()
	r := k.record
	r.Started = copyMap(k.record.Started)
	r.Ended = copyMap(k.record.Ended)
	return r
}

func copyMap[V any](m map[string]V) map[string]V {
	out := make(map[string]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// Utilization returns the share of the worker's CPU time that was allocated to tasks that have ended.
// The argument since is the time at which the worker was created.
func (k *Worker) Utilization(since time.Time) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endExpired()
	whole := k.clock().Sub(since).Seconds() * float64(k.size.CPU)
	if whole <= 0 {
		return 0
	}
	return k.cpuSeconds / whole
}

func (k *Worker) now() time.Time { return k.clock().Add(k.faults.Skew) }

// endExpired ends the tasks whose run time or lease has expired. The caller holds mu. It is called
// before each answer, so that answers do not depend on the timing of a timer.
func (k *Worker) endExpired() {
	now := k.clock()
	k.crashIfDue(now)
	for _, t := range k.tasks {
		if t.State != TaskRunning {
			continue
		}
		if !t.usageReported && now.Sub(t.began) >= k.faults.Lag {
			t.usageReported = true
			k.change(t)
		}
		switch {
		case !t.ends.After(now) && !t.ends.After(t.until):
			k.finish(t, TaskEnded, t.ends)
		case !t.until.After(now):
			k.finish(t, TaskLapsed, t.until)
		}
	}
}

func (k *Worker) finish(t *Task, state string, at time.Time) {
	t.State = state
	k.change(t)
	k.cpuSeconds += at.Sub(t.began).Seconds() * float64(t.Size.CPU)
	k.record.Ended[t.ID] = state
	k.addStep(t.ID, Step{At: at, What: state, Holder: t.Holder, Lease: t.Lease})
	k.copyChecker.removeCopy(t.ID, copyKey{k, t.Lease})
}

// watch reports to the CopyChecker the latest time at which a task can still run.
func (k *Worker) watch(t *Task) {
	until := t.until
	if t.ends.Before(until) {
		until = t.ends
	}
	k.copyChecker.addCopy(t.ID, copyKey{k, t.Lease}, k.clock(), until)
}

// change marks a task as changed, so that the next renewal reports it.
func (k *Worker) change(t *Task) {
	k.mark++
	t.mark = k.mark
}

func (k *Worker) newLease() string {
	k.nextID++
	return strconv.Itoa(k.nextID)
}

// Handler returns the handler for the worker's protocol, its record and its faults.
func (k *Worker) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/faults", putFaults(k.SetFaults))
	r.Get("/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, k.Record()) })
	r.Post("/anchor", handleWorker(k, k.acquireAnchor))
	r.Delete("/anchor", handleWorker(k, k.releaseAnchor))
	r.Post("/tasks", handleWorker(k, k.start))
	r.Get("/tasks", handleWorker(k, k.list))
	r.Post("/renew", handleWorker(k, k.renew))
	r.Post("/stop", handleWorker(k, k.stop))
	r.Post("/checkpoint", handleWorker(k, k.checkpoint))
	r.Post("/throttle", handleWorker(k, k.throttle))
	return r
}

func handleWorker(k *Worker, do func(WorkerRequest) (int, WorkerReply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var ask WorkerRequest
		if r.Method != http.MethodGet && r.ContentLength != 0 {
			if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		if !k.waitWhilePaused(r) {
			return
		}
		k.mu.Lock()
		if k.clock().Before(k.unavailableUntil) {
			k.mu.Unlock()
			hangUp(w)
			return
		}
		k.endExpired()
		crashed := k.record.Crashed
		status, says := do(ask)
		k.crashIfDue(k.clock())
		says.Clock, says.Incarnation = k.now().UnixMilli(), strconv.Itoa(k.record.Crashed+1)
		lose := k.faults.LoseAnswers > 0
		if lose {
			k.faults.LoseAnswers--
		}
		lose = lose || k.record.Crashed > crashed
		k.mu.Unlock()
		if lose {
			hangUp(w)
			return
		}
		writeJSON(w, status, says)
	}
}

// waitWhilePaused waits while the worker is paused. It returns false if the request ends first.
func (k *Worker) waitWhilePaused(r *http.Request) bool {
	k.mu.Lock()
	paused, resume := k.faults.Paused, k.resume
	k.mu.Unlock()
	if !paused {
		return true
	}
	select {
	case <-resume:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (k *Worker) heldByOther(holder string, term int64) bool {
	a := k.anchor
	return a.holder != "" && a.until.After(k.clock()) && (a.holder != holder || a.term > term)
}

func (k *Worker) anchorSays() WorkerReply {
	return WorkerReply{Holder: k.anchor.holder, Lease: k.anchor.lease, Left: k.anchor.until.Sub(k.clock()).Milliseconds()}
}

func (k *Worker) acquireAnchor(ask WorkerRequest) (int, WorkerReply) {
	if k.heldByOther(ask.Holder, ask.Term) {
		return http.StatusConflict, k.anchorSays()
	}
	k.anchor = anchor{
		holder: ask.Holder, term: ask.Term, lease: k.newLease(),
		until: k.clock().Add(time.Duration(ask.TTL) * time.Millisecond),
	}
	says := k.anchorSays()
	says.Tasks, says.Mark, says.Whole = k.changedSince(0), k.mark, true
	return http.StatusOK, says
}

func (k *Worker) releaseAnchor(ask WorkerRequest) (int, WorkerReply) {
	if k.anchor.holder == ask.Holder && k.anchor.lease == ask.Lease {
		k.anchor = anchor{}
	}
	return http.StatusOK, WorkerReply{}
}

func (k *Worker) used() cell.Size {
	var sum cell.Size
	for _, t := range k.tasks {
		if t.State == TaskRunning {
			sum = sum.Add(t.Use)
		}
	}
	return sum
}

func (k *Worker) start(ask WorkerRequest) (int, WorkerReply) {
	if ask.Deadline > 0 && k.now().UnixMilli() > ask.Deadline {
		k.record.Late++
		k.addStep(ask.ID, Step{At: k.clock(), What: "late", Holder: ask.Holder})
		return http.StatusGone, WorkerReply{}
	}
	now := k.clock()
	asked := ask.Asked
	if asked == (cell.Size{}) {
		asked = ask.Size
	}
	run := scaleDuration(time.Duration(ask.Run)*time.Millisecond, k.faults.Stretch)
	t := &Task{
		ID: ask.ID, Lease: k.newLease(), Holder: ask.Holder, Term: ask.Term, Row: ask.Row, Job: ask.Job, Size: ask.Size, State: TaskRunning,
		Use: scaleSize(asked, k.faults.Grow), began: now, ends: now.Add(run), until: now.Add(time.Duration(ask.TTL) * time.Millisecond),
	}
	if old := k.tasks[t.ID]; old != nil && old.State == TaskRunning {
		// Both copies run: the first one continues under its own lease.
		k.tasks[t.ID+"#"+old.Lease] = old
	}
	k.tasks[t.ID] = t
	delete(k.gone, t.ID)
	k.change(t)
	k.record.Started[t.ID]++
	k.addStep(t.ID, Step{At: now, What: "started", Holder: t.Holder, Lease: t.Lease, Left: time.Duration(ask.Deadline-k.now().UnixMilli()) * time.Millisecond})
	k.watch(t)
	if !k.used().Fits(k.size) {
		k.record.Overfilled++
	}
	if k.faults.FailAll {
		k.finish(t, TaskFailed, now)
	}
	return http.StatusOK, WorkerReply{}
}

func (k *Worker) addStep(id string, s Step) { k.history[id] = append(k.history[id], s) }

// History returns the events of a task on this worker in order.
func (k *Worker) History(id string) []Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.history[id])
}

func scaleDuration(d time.Duration, by float64) time.Duration {
	if by <= 0 {
		return d
	}
	return time.Duration(float64(d) * by)
}

func scaleSize(s cell.Size, by float64) cell.Size {
	if by <= 0 {
		return s
	}
	return cell.Size{CPU: int64(float64(s.CPU) * by), Mem: int64(float64(s.Mem) * by), Accel: s.Accel}
}

// changedSince lists the tasks that changed after the given mark.
func (k *Worker) changedSince(since int64) []Task {
	var all []Task
	now := k.clock()
	for _, t := range k.tasks {
		if t.mark <= since {
			continue
		}
		c := *t
		c.Left = t.until.Sub(now).Milliseconds()
		if !t.usageReported {
			c.Use = cell.Size{}
		}
		all = append(all, c)
	}
	return all
}

func (k *Worker) list(WorkerRequest) (int, WorkerReply) {
	says := k.anchorSays()
	says.Tasks, says.Mark, says.Whole = k.changedSince(0), k.mark, true
	return http.StatusOK, says
}

// renew extends the lease on the anchor and the leases of all running tasks in one request, and
// deletes the ended tasks that the holder has acknowledged.
func (k *Worker) renew(ask WorkerRequest) (int, WorkerReply) {
	if k.anchor.holder != ask.Holder || !k.anchor.until.After(k.clock()) {
		return http.StatusConflict, k.anchorSays()
	}
	k.anchor.until = k.clock().Add(time.Duration(ask.TTL) * time.Millisecond)
	until := k.clock().Add(time.Duration(ask.Keep) * time.Millisecond)
	k.forget(ask.Forget)
	k.record.Renewed++
	for _, t := range k.tasks {
		if t.State == TaskRunning {
			t.until = until
			t.Holder = ask.Holder
			k.watch(t)
		}
	}
	says := WorkerReply{Left: k.anchor.until.Sub(k.clock()).Milliseconds(), Lease: k.anchor.lease, Mark: k.mark, Tasks: k.changedSince(ask.Since)}
	for id, mark := range k.gone {
		if mark > ask.Since {
			says.Gone = append(says.Gone, id)
		}
	}
	return http.StatusOK, says
}

// forget deletes the ended tasks that were started under the given leases.
func (k *Worker) forget(leases []string) {
	for id, t := range k.tasks {
		if t.State != TaskRunning && slices.Contains(leases, t.Lease) {
			delete(k.tasks, id)
			k.mark++
			k.gone[id] = k.mark
		}
	}
}

func (k *Worker) stop(ask WorkerRequest) (int, WorkerReply) {
	t := k.tasks[ask.ID]
	if t == nil {
		return http.StatusNotFound, WorkerReply{}
	}
	if t.State == TaskRunning {
		k.finish(t, TaskStopped, k.clock())
	}
	return http.StatusOK, WorkerReply{Tasks: []Task{*t}}
}

func (k *Worker) checkpoint(ask WorkerRequest) (int, WorkerReply) {
	t := k.tasks[ask.ID]
	if t == nil || t.State != TaskRunning {
		return http.StatusNotFound, WorkerReply{}
	}
	return http.StatusOK, WorkerReply{Tasks: []Task{*t}}
}

func (k *Worker) throttle(ask WorkerRequest) (int, WorkerReply) {
	t := k.tasks[ask.ID]
	if t == nil || t.State != TaskRunning {
		return http.StatusNotFound, WorkerReply{}
	}
	t.Use = scaleSize(t.Size, ask.Share)
	k.change(t)
	return http.StatusOK, WorkerReply{Tasks: []Task{*t}}
}
