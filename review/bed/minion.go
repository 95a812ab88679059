package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	service = "pass"
	// checkIn is how often a minion writes its entry; the entry is removed after three intervals of
	// silence.
	checkIn = 1500 * time.Millisecond
	// maxHold is the longest lease, stopTime how long a run takes to stop.
	maxHold  = 10 * time.Second
	stopTime = 100 * time.Millisecond
	// listedEnds is how many ends one answer lists.
	listedEnds = 500
	cores      = 64_000
	memMb      = 262_144
)

// work says how a task behaves on a minion.
type work struct {
	// takes is how long the task runs, or, if it lasts, how long it takes to be at work.
	takes time.Duration
	lasts bool
	// ends is when a task that lasts ends by itself as done, fails when it fails by its own fault;
	// zero means never.
	ends, fails time.Duration
}

type runKey struct {
	task string
	run  int
}

type running struct {
	work
	began time.Time
	timer *time.Timer
}

func (r *running) percent() int {
	if r.takes <= 0 {
		return 100
	}
	return min(int(100*time.Since(r.began)/r.takes), 100)
}

type ended struct {
	n   int64
	key runKey
	how string
}

// minion is one life of a minion. It follows the users' pages: it refuses lower fence numbers, late
// starts and runs that were stopped, kills everything when its lease lapses, and lists its runs and
// ends.
type minion struct {
	id, rack, zone, addr string
	machine              *machine
	server               *http.Server
	began                time.Time

	mu       sync.Mutex
	fence    int64
	seq      int
	runs     map[runKey]*running
	newest   map[string]int
	ends     []ended
	number   int64
	changed  chan struct{}
	deadline time.Time
	lapse    *time.Timer
	down     bool
}

func newMinion(m *machine, id string) (*minion, error) {
	ln, err := net.Listen("tcp", m.addr) //nolint:noctx // a listener of the stand-in lives as long as its minion
	if err != nil {
		return nil, err
	}
	n := &minion{
		id: id, rack: m.rack, zone: m.zone, addr: ln.Addr().String(), machine: m, began: time.Now(),
		runs: map[runKey]*running{}, newest: map[string]int{}, changed: make(chan struct{}),
	}
	m.addr = n.addr
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pollencroft/run-start", n.order(n.start))
	mux.HandleFunc("POST /pollencroft/run-stop", n.order(n.stop))
	mux.HandleFunc("POST /pollencroft/pace", n.order(func(o order) (int, string) { return n.checkFence(o), "fence" }))
	mux.HandleFunc("POST /pollencroft/hold", n.hold)
	n.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = n.server.Serve(ln) }()
	return n, nil
}

// crash ends the minion with all that it runs.
func (n *minion) crash() {
	n.mu.Lock()
	n.down = true
	for k, r := range n.runs {
		r.timer.Stop()
		n.machine.cell.noteGone(k, n.id)
	}
	clear(n.runs)
	if n.lapse != nil {
		n.lapse.Stop()
	}
	n.mu.Unlock()
	_ = n.server.Close()
}

func (n *minion) entry() []byte {
	n.mu.Lock()
	n.seq++
	seq := n.seq
	n.mu.Unlock()
	b, _ := json.Marshal(map[string]any{
		"service": service, "address": n.addr, "zone": n.zone, "version": "1", "slots": 8, "state": "ready", "seq": seq,
		"capacity": map[string]int64{"cpu": cores, "memMb": memMb}, "labels": []string{"a", n.rack},
	})
	return b
}

func (n *minion) clock() time.Duration { return time.Since(n.began) + time.Minute }

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	FencingToken int64  `json:"fencingToken"`
	DeadlineMs   int64  `json:"deadlineMs"`
	LastSeen     int64  `json:"lastSeen"`
	WaitMs       int64  `json:"waitMs"`
}

func (n *minion) decode(w http.ResponseWriter, r *http.Request) (o order, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != n.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return o, false
	}
	return o, true
}

func (n *minion) order(f func(o order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, ok := n.decode(w, r)
		if !ok {
			return
		}
		n.mu.Lock()
		code, reason := f(o)
		answer := map[string]any{"clockMs": n.clock().Milliseconds()}
		n.mu.Unlock()
		if code != http.StatusOK {
			answer["reason"] = reason
		}
		writeJSON(w, code, answer)
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// checkFence returns 409 for a lower fence number than one seen before. mu is held.
func (n *minion) checkFence(o order) int {
	if o.FencingToken < n.fence {
		return http.StatusConflict
	}
	n.fence = o.FencingToken
	return http.StatusOK
}

func (n *minion) start(o order) (int, string) {
	k := runKey{o.Task, o.Run}
	switch {
	case n.down:
		return http.StatusServiceUnavailable, ""
	case n.checkFence(o) != http.StatusOK:
		return http.StatusConflict, "fence"
	case n.runs[k] != nil:
		return http.StatusOK, ""
	case o.Run <= n.newest[o.Task]:
		n.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	case time.Duration(o.DeadlineMs)*time.Millisecond < n.clock():
		return http.StatusConflict, "late"
	}
	n.extend(o.DeadlineMs)
	r := &running{work: n.machine.cell.work(o.Task), began: time.Now()}
	n.runs[k] = r
	after := r.takes
	if r.lasts {
		after = cmp.Or(r.ends, time.Hour)
	}
	how := "done"
	if r.fails > 0 {
		after, how = r.fails, "failed"
	}
	r.timer = time.AfterFunc(after, func() { n.end(k, how) })
	n.machine.cell.noteStart(k, n.id)
	return http.StatusOK, ""
}

func (n *minion) stop(o order) (int, string) {
	if n.checkFence(o) != http.StatusOK {
		return http.StatusConflict, "fence"
	}
	k := runKey{o.Task, o.Run}
	n.newest[o.Task] = max(n.newest[o.Task], o.Run)
	if r := n.runs[k]; r != nil {
		n.machine.cell.noteRun(k, n.id, "is to stop")
		r.timer.Stop()
		r.timer = time.AfterFunc(stopTime, func() { n.end(k, "stopped") })
	}
	return http.StatusOK, ""
}

// end ends a run and lists its end.
func (n *minion) end(k runKey, how string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.down && n.runs[k] != nil {
		n.endLocked(k, how)
	}
}

func (n *minion) endLocked(k runKey, how string) {
	delete(n.runs, k)
	n.newest[k.task] = max(n.newest[k.task], k.run)
	n.number++
	n.ends = append(n.ends, ended{n.number, k, how})
	close(n.changed)
	n.changed = make(chan struct{})
	n.machine.cell.noteEnd(k, n.id, how)
}

// extend sets the time until which the runs may go on. It never shortens. mu is held.
func (n *minion) extend(ms int64) {
	at := n.began.Add(time.Duration(ms)*time.Millisecond - time.Minute)
	if most := time.Now().Add(maxHold); at.After(most) {
		at = most
	}
	if !at.After(n.deadline) {
		return
	}
	n.deadline = at
	if n.lapse != nil {
		n.lapse.Stop()
	}
	n.lapse = time.AfterFunc(time.Until(at), n.lapsed)
}

func (n *minion) lapsed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down || time.Now().Before(n.deadline) {
		return
	}
	for _, k := range slices.Collect(maps.Keys(n.runs)) {
		n.runs[k].timer.Stop()
		n.endLocked(k, "lapsed")
	}
}

func (n *minion) hold(w http.ResponseWriter, r *http.Request) {
	o, ok := n.decode(w, r)
	if !ok {
		return
	}
	n.mu.Lock()
	if n.checkFence(o) != http.StatusOK {
		answer := map[string]any{"clockMs": n.clock().Milliseconds(), "reason": "fence"}
		n.mu.Unlock()
		writeJSON(w, http.StatusConflict, answer)
		return
	}
	n.ends = slices.DeleteFunc(n.ends, func(e ended) bool { return e.n <= o.LastSeen })
	if o.DeadlineMs > 0 {
		n.extend(o.DeadlineMs)
	}
	changed, any := n.changed, len(n.ends) > 0
	n.mu.Unlock()
	if !any && o.WaitMs > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	writeJSON(w, http.StatusOK, n.lists())
}

func (n *minion) lists() map[string]any {
	n.mu.Lock()
	defer n.mu.Unlock()
	runs, ends := [][]any{}, [][]any{}
	for k, r := range n.runs {
		runs = append(runs, []any{k.task, k.run, "", r.percent(), 0})
	}
	for _, e := range n.ends[:min(len(n.ends), listedEnds)] {
		ends = append(ends, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	return map[string]any{"clockMs": n.clock().Milliseconds(), "running": runs, "ended": ends}
}

// machine is where one minion after the other lives, at the same address.
type machine struct {
	cell             *cell
	rack, zone, addr string

	mu     sync.Mutex
	minion *minion
	life   int
}

// boot starts the next life of the machine's minion, and writes its entry until it ends.
func (m *machine) boot(number int) error {
	m.mu.Lock()
	m.life++
	id := fmt.Sprintf("srv-%02d%010x", number, m.life*7919+number)
	n, err := newMinion(m, id)
	if err == nil {
		m.minion = n
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	m.cell.record.note("minion %s begins at %s, rack %s", id, n.addr, m.rack)
	go m.cell.checkIn(n)
	return nil
}

func (m *machine) current() *minion {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.minion
}
