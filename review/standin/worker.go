package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxEnds is how many ends one response returns (PROTOCOL.md, Running tasks).
	maxEnds = 500
	// maxHold is maxHoldMs.
	maxHold = 10 * time.Second
	// clockOffset makes the clock of a minion differ from that of a host.
	clockOffset = time.Hour
)

// run identifies one run of a task.
type run struct {
	task   string
	number int
}

// runEnd is one entry of a minion's list of ends.
type runEnd struct {
	number int64
	run    run
	how    string
	// lapsed means that the lease lapsed after the end: it is not taken note of any more.
	lapsed bool
}

// history is what all minions have seen of the tasks.
type history struct {
	mu  sync.Mutex
	rec *record
	// starts and ends hold, by task, the runs that began and how each ended.
	starts map[string][]start
	ends   map[string][]end
	// running counts the runs of each task that are at work.
	running map[string]int
}

type start struct {
	at     time.Time
	run    int
	worker string
	// beside is the number of other runs of the task that were at work.
	beside int
}

type end struct {
	at    time.Time
	run   int
	how   string
	noted time.Time
}

func newHistory(rec *record) *history {
	return &history{rec: rec, starts: map[string][]start{}, ends: map[string][]end{}, running: map[string]int{}}
}

func (h *history) began(r run, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts[r.task] = append(h.starts[r.task], start{at: time.Now(), run: r.number, worker: worker, beside: h.running[r.task]})
	h.running[r.task]++
	h.rec.add("minion %s: start %s run %d", worker, r.task, r.number)
}

func (h *history) ended(r run, worker, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[r.task]--
	h.ends[r.task] = append(h.ends[r.task], end{at: time.Now(), run: r.number, how: how})
	h.rec.add("minion %s: end %s run %d %s", worker, r.task, r.number, how)
}

// noted records that a call with lastSeen has reached an end.
func (h *history) noted(r run, worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, e := range h.ends[r.task] {
		if e.run == r.number {
			h.ends[r.task][i].noted = time.Now()
		}
	}
	h.rec.add("minion %s: end of %s run %d is taken note of", worker, r.task, r.number)
}

// count returns how many tasks have begun, and how many runs are at work.
func (h *history) count(job string) (begun, running int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for task := range h.starts {
		if strings.HasPrefix(task, job+".") {
			begun++
			running += h.running[task]
		}
	}
	return begun, running
}

// workTime says how long a task works; zero means that it lasts.
type workTime func(task string) time.Duration

// worker is a minion as PROTOCOL.md describes it.
type worker struct {
	id     string
	zone   string
	rack   string
	hist   *history
	work   workTime
	server *httptest.Server
	began  time.Time

	mu       sync.Mutex
	fence    int64
	runs     map[run]*time.Timer
	highest  map[string]int
	ends     []runEnd
	count    int64
	changed  chan struct{}
	deadline time.Time
	lapse    *time.Timer
}

func newWorker(id, zone, rack string, work workTime, h *history) *worker {
	w := &worker{
		id: id, zone: zone, rack: rack, hist: h, work: work, began: time.Now(),
		runs: map[run]*time.Timer{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pollencroft/run-start", w.serve(w.start))
	mux.HandleFunc("POST /pollencroft/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /pollencroft/pace", w.serve(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /pollencroft/hold", w.serveHold)
	w.server = httptest.NewServer(mux)
	return w
}

func (w *worker) close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// entry is what the minion writes about itself.
func (w *worker) entry(service string) []byte {
	b, _ := json.Marshal(map[string]any{
		"service": service, "address": strings.TrimPrefix(w.server.URL, "http://"), "zone": w.zone, "version": "1", "slots": 8,
		"state": "ready", "seq": 1, "capacity": map[string]int64{"cpu": 64_000, "memMb": 262_144, "gpu": 0}, "labels": []string{"a", w.rack},
	})
	return b
}

func (w *worker) clockMs() int64 { return (time.Since(w.began) + clockOffset).Milliseconds() }

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken int64  `json:"fencingToken"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func (w *worker) read(rw http.ResponseWriter, r *http.Request) (*order, bool) {
	if to := r.Header.Get("X-Expect-Instance"); to != "" && to != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return nil, false
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return nil, false
	}
	return &o, true
}

func (w *worker) serve(f func(o *order) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.read(rw, r)
		if !ok {
			return
		}
		w.mu.Lock()
		code, reason := http.StatusConflict, "fence"
		if o.FencingToken >= w.fence {
			w.fence = o.FencingToken
			code, reason = f(o)
		}
		clock := w.clockMs()
		w.mu.Unlock()
		body := map[string]any{"clockMs": clock}
		if reason != "" {
			body["reason"] = reason
		}
		writeJSON(rw, code, body)
	}
}

func writeJSON(rw http.ResponseWriter, code int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(v)
}

// start begins a run. mu is held.
func (w *worker) start(o *order) (int, string) {
	k := run{o.Task, o.Run}
	if _, ok := w.runs[k]; ok {
		w.extend(o.DeadlineMs)
		return http.StatusOK, ""
	}
	switch {
	case o.DeadlineMs <= w.clockMs():
		return http.StatusConflict, "late"
	case o.Run <= w.highest[o.Task]:
		w.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	w.extend(o.DeadlineMs)
	w.hist.began(k, w.id)
	w.runs[k] = nil
	if d := w.work(o.Task); d > 0 {
		w.runs[k] = time.AfterFunc(d, func() { w.finish(k, "done") })
	}
	return http.StatusOK, ""
}

// stop ends a run, or makes sure that it never begins. mu is held.
func (w *worker) stop(o *order) (int, string) {
	k := run{o.Task, o.Run}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if timer, ok := w.runs[k]; ok {
		if timer != nil {
			timer.Stop()
		}
		time.AfterFunc(100*time.Millisecond, func() { w.finish(k, "stopped") })
	}
	return http.StatusOK, ""
}

func (w *worker) finish(k run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.runs[k]; ok {
		w.end(k, how)
	}
}

// end lists the end of a run. mu is held.
func (w *worker) end(k run, how string) {
	if timer := w.runs[k]; timer != nil {
		timer.Stop()
	}
	delete(w.runs, k)
	w.highest[k.task] = max(w.highest[k.task], k.number)
	w.count++
	w.ends = append(w.ends, runEnd{number: w.count, run: k, how: how})
	w.hist.ended(k, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// extend extends the leases; it never shortens them. mu is held.
func (w *worker) extend(ms int64) {
	at := w.began.Add(time.Duration(ms)*time.Millisecond - clockOffset)
	if latest := time.Now().Add(maxHold); at.After(latest) {
		at = latest
	}
	if !at.After(w.deadline) {
		return
	}
	w.deadline = at
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(at), w.lapsed)
}

func (w *worker) lapsed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.deadline) {
		return
	}
	for i := range w.ends {
		w.ends[i].lapsed = true
	}
	for k := range w.runs {
		w.end(k, "lapsed")
	}
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.read(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if o.FencingToken < w.fence {
		clock := w.clockMs()
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	w.fence = o.FencingToken
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		if !w.ends[0].lapsed {
			w.hist.noted(w.ends[0].run, w.id)
		}
		w.ends = w.ends[1:]
	}
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	changed, wait := w.changed, len(w.ends) == 0 && o.WaitMs > 0
	w.mu.Unlock()
	if wait {
		t := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
		}
	}
	writeJSON(rw, http.StatusOK, w.lists())
}

// lists returns both lists: all that runs, and the oldest ends.
func (w *worker) lists() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := [][]any{}
	for k := range w.runs {
		running = append(running, []any{k.task, k.number, "", 100, 0})
	}
	slices.SortFunc(running, func(a, b []any) int { return strings.Compare(fmt.Sprint(a[0]), fmt.Sprint(b[0])) })
	ended := [][]any{}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	return map[string]any{"clockMs": w.clockMs(), "running": running, "ended": ended}
}
