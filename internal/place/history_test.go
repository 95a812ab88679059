package place_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// livenessLimits is DefaultLimits with shorter waits, so that a history is cheap.
var livenessLimits = place.Limits{
	UrgentReserve:  0.1,
	OverdueAfter:   map[cell.Class]time.Duration{cell.Urgent: 2 * time.Second, cell.Normal: 10 * time.Second, cell.Bulk: 20 * time.Second},
	UrgentCap:      0.8,
	MaxQuarantined: 0.25,
	TrialInterval:  2 * time.Second,
}

const (
	// quietTime exceeds the longest avoidance and the time of every class together.
	quietTime = 3 * time.Minute
	// wakeTime exceeds the lifetime of a reservation by a few ticks.
	wakeTime = 10 * time.Second
	maxHosts = 5
)

// host is a worker in the books of the test.
type host struct {
	size        cell.Size
	quarantined bool
}

// run is a running task in the books of the test.
type run struct {
	request *request
	worker  string
	size    cell.Size
	// end is when it is expected to end. Zero means unknown.
	end time.Time
}

// request is a placement request with its waiting tasks.
type request struct {
	place.Request
	waiting map[string]bool
	// startable is since when the request waits beside free capacity. Zero means that it does not.
	startable time.Time
}

func (r *request) declared() cell.Size {
	if r.Declared != (cell.Size{}) {
		return r.Declared
	}
	return r.Size
}

// count returns how many of the request's tasks must start at once.
func (r *request) count() int64 {
	if r.Gang {
		return int64(len(r.waiting))
	}
	return 1
}

// history drives a Placer as its caller does. It keeps books from the events and actions, and asks the
// Placer only for the size of what it has assigned.
type history struct {
	t       *rapid.T
	p       *place.Placer
	limits  place.Limits
	at      time.Time
	hosts   map[string]*host
	running map[string]*run
	waiting []*request
	rules   map[string]place.Rule
	// preempted lists the tasks that the caller has been asked to stop.
	preempted []string
	jobs      int
}

var organisationOf = map[string]string{"r": "a", "s": "a", "t": "b"}

func newHistory(t *rapid.T, limits place.Limits) *history {
	h := &history{t: t, p: place.New(limits), limits: limits, at: now, hosts: map[string]*host{}, running: map[string]*run{}, rules: map[string]place.Rule{}}
	for i := range rapid.IntRange(1, maxHosts).Draw(t, "workers") {
		h.up(fmt.Sprintf("w%02d", i), cores(4), nil)
	}
	return h
}

func (h *history) step(ev place.Event) {
	if _, ok := ev.(place.Tick); !ok {
		h.t.Logf("%v %T %+v", h.at.Sub(now), ev, ev)
	}
	for _, a := range h.p.Step(h.at, ev) {
		h.t.Logf("%v -> %T %+v", h.at.Sub(now), a, a)
		switch a := a.(type) {
		case place.Assign:
			h.start(a)
		case place.Preempt:
			h.preempted = append(h.preempted, a.Task)
		case place.Quarantined:
			h.hosts[a.Worker].quarantined = true
		case place.Restored:
			h.hosts[a.Worker].quarantined = false
		}
	}
}

func (h *history) start(a place.Assign) {
	r := h.requestOf(a.Task)
	require.NotNil(h.t, r, "assigned without a request")
	size, _ := h.p.AllocatedSize(a.Task)
	h.running[a.Task] = &run{request: r, worker: a.Worker, size: size}
	if r.RunTime > 0 {
		h.running[a.Task].end = h.at.Add(r.RunTime)
	}
	h.stopWaiting(r, a.Task)
}

func (h *history) requestOf(task string) *request {
	for _, r := range h.waiting {
		if r.waiting[task] {
			return r
		}
	}
	return nil
}

func (h *history) stopWaiting(r *request, task string) {
	delete(r.waiting, task)
	if len(r.waiting) == 0 {
		h.waiting = slices.DeleteFunc(h.waiting, func(o *request) bool { return o == r })
	}
}

func (h *history) request(q place.Request) {
	r := &request{Request: q, waiting: map[string]bool{}}
	for _, task := range q.Tasks {
		r.waiting[task] = true
	}
	h.waiting = append(h.waiting, r)
	h.step(q)
}

// requeue requests placement of tasks that ran before. Tasks of a gang are requested together.
func (h *history) requeue(r *request, names, avoid []string) {
	q := r.Request
	q.Tasks, q.Rule, q.Avoid, q.LastFailure, q.AvoidUntil = names, h.rules[q.Row], nil, time.Time{}, time.Time{}
	if len(avoid) > 0 {
		q.Avoid, q.LastFailure = avoid, h.at
		q.AvoidUntil = h.at.Add(rapid.SampledFrom([]time.Duration{10, 20, 40}).Draw(h.t, "avoid seconds") * time.Second)
	}
	h.request(q)
}

// stop ends a task early together with the running tasks of its gang, and queues them again.
func (h *history) stop(task string, avoid []string) {
	r := h.running[task].request
	names := []string{task}
	if r.Gang {
		names = nil
		for _, name := range slices.Sorted(maps.Keys(h.running)) {
			if h.running[name].request == r {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		delete(h.running, name)
		h.step(place.Freed{Task: name})
	}
	h.requeue(r, names, avoid)
}

func (h *history) stopPreempted() {
	tasks := h.preempted
	h.preempted = nil
	for _, task := range tasks {
		if h.running[task] != nil {
			h.stop(task, nil)
		}
	}
}

func (h *history) end(task string) {
	r := h.running[task]
	delete(h.running, task)
	h.step(place.Result{Worker: r.worker, Row: r.request.Row})
	h.step(place.Freed{Task: task})
}

// pass lets time pass with a tick every second.
func (h *history) pass(d time.Duration) {
	for left := d; left > 0; left -= time.Second {
		h.at = h.at.Add(min(left, time.Second))
		h.step(place.Tick{})
		h.stopPreempted()
		h.noteStartable()
	}
}

func (h *history) up(name string, size cell.Size, used []place.Used) {
	h.lose(name)
	h.hosts[name] = &host{size: size}
	for _, u := range used {
		r := &request{Request: place.Request{Row: u.Row, Organisation: u.Organisation, Class: u.Class, Size: u.Size}}
		h.running[u.Task] = &run{request: r, worker: name, size: u.Size}
		if u.Remaining > 0 {
			h.running[u.Task].end = h.at.Add(u.Remaining)
		}
	}
	h.step(place.Up{Worker: name, Rack: "rack" + name[len(name)-1:], Size: size, Used: used})
}

// lose removes a worker from the books and returns the tasks that ran there.
func (h *history) lose(name string) []*run {
	var lost []*run
	for _, task := range slices.Sorted(maps.Keys(h.running)) {
		if h.running[task].worker == name {
			lost = append(lost, h.running[task])
			delete(h.running, task)
		}
	}
	delete(h.hosts, name)
	return lost
}

func (h *history) drawHost() string {
	return rapid.SampledFrom(workerNames(0, maxHosts)).Draw(h.t, "worker")
}

func (h *history) drawRunning() (string, bool) {
	if len(h.running) == 0 {
		return "", false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(h.running))).Draw(h.t, "task"), true
}

func (h *history) drawClass() cell.Class {
	return rapid.SampledFrom([]cell.Class{cell.Normal, cell.Bulk, cell.Urgent}).Draw(h.t, "class")
}

func (h *history) drawRow() string {
	return rapid.SampledFrom([]string{"r", "s", "t"}).Draw(h.t, "row")
}

// randomEvents are the events of a history. The more frequent ones have several names.
var randomEvents = map[string]func(*history){
	"request": (*history).drawRequest, "another request": (*history).drawRequest, "one more request": (*history).drawRequest,
	"end": (*history).drawEnd, "another end": (*history).drawEnd, "failure": (*history).drawFailure, "cancel": (*history).drawCancel,
	"failing worker": (*history).drawFailingWorker,
	"up":             (*history).drawUp, "down": (*history).drawDown, "resize": (*history).drawResize, "task resize": (*history).drawTaskResize,
	"rule": (*history).drawRule, "pass": (*history).drawPass,
}

var eventNames = slices.Sorted(maps.Keys(randomEvents))

func (h *history) drawPass() {
	h.pass(time.Duration(rapid.IntRange(1, 30).Draw(h.t, "seconds")) * time.Second)
}

func (h *history) drawRequest() {
	h.jobs++
	t, job, row := h.t, fmt.Sprintf("j%d", h.jobs), h.drawRow()
	q := place.Request{
		Job: job, Row: row, Organisation: organisationOf[row], Class: h.drawClass(), Size: cores(rapid.Int64Range(1, 4).Draw(t, "cores")),
		Tasks: tasks(job, rapid.IntRange(1, 3).Draw(t, "tasks")), Gang: rapid.Bool().Draw(t, "gang"), Spread: rapid.Bool().Draw(t, "spread"),
		RunTime: rapid.SampledFrom([]time.Duration{0, 5 * time.Second, time.Hour}).Draw(t, "run time"), Since: h.at, Rule: h.rules[row],
	}
	if h.p.CheckFeasible(q) != nil {
		return
	}
	if rapid.Bool().Draw(t, "corrected") {
		q.Declared = q.Size
		q.Size = q.Size.Scale(1.5)
		if h.p.CheckFeasible(q) != nil {
			q.Size = q.Declared
		}
	}
	h.request(q)
}

func (h *history) drawEnd() {
	if task, ok := h.drawRunning(); ok {
		h.end(task)
	}
}

func (h *history) drawFailure() {
	task, ok := h.drawRunning()
	if !ok {
		return
	}
	r := h.running[task]
	avoid := r.request.Avoid
	if !slices.Contains(avoid, r.worker) {
		avoid = append(slices.Clone(avoid), r.worker)
	}
	h.step(place.Result{Worker: r.worker, Row: r.request.Row, Failed: true})
	if !strings.HasPrefix(task, "found") {
		h.stop(task, avoid[max(len(avoid)-3, 0):])
	}
}

// drawFailingWorker reports failures of which three in a row may quarantine a worker.
func (h *history) drawFailingWorker() {
	name, row := h.drawHost(), h.drawRow()
	for range rapid.IntRange(1, 4).Draw(h.t, "failures") {
		h.step(place.Result{Worker: name, Row: row, Failed: true})
	}
}

// drawCancel cancels a job with all its tasks that wait.
func (h *history) drawCancel() {
	if len(h.waiting) == 0 {
		return
	}
	r := rapid.SampledFrom(h.waiting).Draw(h.t, "cancelled")
	for _, task := range slices.Sorted(maps.Keys(r.waiting)) {
		h.stopWaiting(r, task)
		delete(h.running, task)
		h.step(place.Freed{Task: task})
	}
}

func (h *history) drawUp() {
	h.jobs++
	var used []place.Used
	if rapid.Bool().Draw(h.t, "used") {
		row := h.drawRow()
		used = append(used, place.Used{
			Task: fmt.Sprintf("found%d.0", h.jobs), Row: row, Organisation: organisationOf[row], Class: cell.Normal, Size: cores(rapid.Int64Range(1, 3).Draw(h.t, "cores")),
			Remaining: rapid.SampledFrom([]time.Duration{0, time.Hour}).Draw(h.t, "remaining"),
		})
	}
	name := h.drawHost()
	if h.hosts[name] != nil {
		h.step(place.Down{Worker: name})
	}
	h.up(name, cores(rapid.Int64Range(2, 6).Draw(h.t, "size")), used)
}

// drawDown takes a worker away. Its tasks are queued again or go on elsewhere.
func (h *history) drawDown() {
	name := h.drawHost()
	if h.hosts[name] == nil {
		return
	}
	lost := h.lose(name)
	h.step(place.Down{Worker: name})
	if !rapid.Bool().Draw(h.t, "requeue") {
		return
	}
	for _, r := range lost {
		if r.request.Job != "" && !r.request.Gang {
			h.jobs++
			h.requeue(r.request, tasks(fmt.Sprintf("j%d", h.jobs), 1), nil)
		}
	}
}

func (h *history) drawResize() {
	name := h.drawHost()
	if h.hosts[name] == nil {
		return
	}
	h.hosts[name].size = cores(rapid.Int64Range(1, 6).Draw(h.t, "size"))
	h.step(place.WorkerResized{Worker: name, Size: h.hosts[name].size})
}

func (h *history) drawTaskResize() {
	if task, ok := h.drawRunning(); ok {
		h.running[task].size = cores(rapid.Int64Range(1, 4).Draw(h.t, "size"))
		h.step(place.TaskResized{Task: task, Size: h.running[task].size, Use: cores(1)})
	}
}

// drawRule changes the limits of a row, or the quota of its organisation for all its rows.
func (h *history) drawRule() {
	row := h.drawRow()
	limit := cores(rapid.Int64Range(0, 6).Draw(h.t, "limit"))
	rule := h.rules[row]
	switch rapid.IntRange(0, 2).Draw(h.t, "rule") {
	case 0:
		rule.MaxTasks = rapid.Int64Range(-1, 3).Draw(h.t, "max tasks")
	case 1:
		rule.Limit = limit
	default:
		for _, other := range []string{"r", "s", "t"} {
			if organisationOf[other] == organisationOf[row] {
				r := h.rules[other]
				r.Quota = limit
				h.changeRule(other, r)
			}
		}
		return
	}
	h.changeRule(row, rule)
}

func (h *history) changeRule(row string, rule place.Rule) {
	h.rules[row] = rule
	for _, r := range h.waiting {
		if r.Row == row {
			r.Rule = rule
		}
	}
	h.step(place.RuleChanged{Row: row, Rule: rule})
}

// quiet lets time pass in which nothing arrives. If ending is set, tasks end when they are expected
// to.
func (h *history) quiet(ending bool) {
	for until := h.at.Add(quietTime); h.at.Before(until); {
		h.pass(time.Second)
		for _, task := range slices.Sorted(maps.Keys(h.running)) {
			if r := h.running[task]; ending && r != nil && !r.end.IsZero() && !r.end.After(h.at) {
				h.end(task)
			}
		}
	}
}
