package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollencroft/internal/cell"
	"pollencroft/internal/queue"
)

// UrgentLoad is a load of urgent requests together with a flood of bulk requests. Urgent and Bulk
// are fractions of the capacity of all slots.
type UrgentLoad struct {
	Urgent, Bulk float64
	// Burst is the number of bulk requests that arrive at once.
	Burst int
	// For is how long the load lasts on the simulated clock.
	For time.Duration
}

// The backend servers, their slots, and the times of an UrgentLoad.
const (
	loadBackends      = 16
	loadSlots         = 3
	urgentTime        = 20 * time.Millisecond
	bulkTime          = 60 * time.Millisecond
	urgentLoadTimeout = 30 * time.Second
	loadTick          = 20 * time.Millisecond
)

type arrival struct {
	at    time.Time
	class cell.Class
	id    string
	took  time.Duration
}

// arrivals draws the requests from a fixed seed, so that every server gets the same load.
func (l UrgentLoad) arrivals(start time.Time) []arrival {
	r := rand.New(rand.NewPCG(7, 11))
	capacity := float64(loadBackends * loadSlots)
	var all []arrival
	draw := func(class cell.Class, load float64, took time.Duration, burst int, spread func() float64) {
		if load <= 0 {
			return
		}
		gap := float64(took) * float64(burst) / (capacity * load)
		for at := start; at.Before(start.Add(l.For)); at = at.Add(time.Duration(spread() * gap)) {
			for range burst {
				all = append(all, arrival{at: at, class: class, id: fmt.Sprint(class, len(all)), took: time.Duration(r.ExpFloat64() * float64(took))})
			}
		}
	}
	draw(cell.Urgent, l.Urgent, urgentTime, 1, r.ExpFloat64)
	draw(cell.Bulk, l.Bulk, bulkTime, max(1, l.Burst), func() float64 { return 1 })
	return all
}

// event is the arrival of a request, the end of a request, or a tick if both pointers are nil.
type event struct {
	at     time.Time
	order  int
	arrive *arrival
	end    *arrival
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// server decides when requests are sent. Each method returns the ids of those to send now.
type server interface {
	arrive(now time.Time, a *arrival) []string
	end(now time.Time, a *arrival) []string
	tick(now time.Time) []string
}

// fifo is the baseline, one queue for all requests in order of arrival.
type fifo struct {
	free int
	wait []string
}

func (f *fifo) arrive(_ time.Time, a *arrival) []string {
	f.wait = append(f.wait, a.id)
	return f.send()
}
func (f *fifo) end(time.Time, *arrival) []string { f.free++; return f.send() }
func (f *fifo) tick(time.Time) []string          { return nil }

func (f *fifo) send() []string {
	n := min(f.free, len(f.wait))
	out := f.wait[:n]
	f.wait = f.wait[n:]
	f.free -= n
	return out
}

// queueServer is the queue state machine as a server.
type queueServer struct{ q *queue.Queue }

func newQueueServer(now time.Time) queueServer {
	o := queueServer{queue.New(queue.DefaultLimits)}
	var all []queue.Share
	for i := range loadBackends {
		all = append(all, queue.Share{Backend: fmt.Sprintf("m%02d", i), Slots: loadSlots})
	}
	o.q.Step(now, queue.Shares{All: all})
	return o
}

func (o queueServer) arrive(now time.Time, a *arrival) []string {
	return sends(o.q.Step(now, queue.Enqueue{
		ID: a.id, Row: queue.Row{Name: a.class.String(), Class: a.class, Weight: 1}, Deadline: now.Add(urgentLoadTimeout),
	}))
}

func (o queueServer) end(now time.Time, a *arrival) []string {
	return sends(o.q.Step(now, queue.Ended{ID: a.id, Took: a.took}))
}

func (o queueServer) tick(now time.Time) []string { return sends(o.q.Step(now, queue.Tick{})) }

func sends(acts []queue.Action) []string {
	var ids []string
	for _, a := range acts {
		if send, ok := a.(queue.Send); ok {
			ids = append(ids, send.ID)
		}
	}
	return ids
}

// Waits is the result of an UrgentLoad.
type Waits struct {
	// Urgent is the 99th percentile of the time until an urgent request is answered.
	Urgent time.Duration
	// Bulk counts the answered bulk requests.
	Bulk int
}

// play runs the load through a server until no event is left.
func (l UrgentLoad) play(start time.Time, s server) Waits {
	var line events
	all := l.arrivals(start)
	byID := make(map[string]*arrival, len(all))
	for i := range all {
		byID[all[i].id] = &all[i]
		line = append(line, event{at: all[i].at, order: i, arrive: &all[i]})
	}
	for at := start; at.Before(start.Add(l.For)); at = at.Add(loadTick) {
		line = append(line, event{at: at, order: -1})
	}
	heap.Init(&line)
	waits := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	var w Waits
	for order := len(all); len(line) > 0; {
		e := heap.Pop(&line).(event)
		var ids []string
		switch {
		case e.arrive != nil:
			ids = s.arrive(e.at, e.arrive)
		case e.end != nil:
			w.answered(waits, e)
			ids = s.end(e.at, e.end)
		default:
			ids = s.tick(e.at)
		}
		for _, id := range ids {
			order++
			heap.Push(&line, event{at: e.at.Add(byID[id].took), order: order, end: byID[id]})
		}
	}
	w.Urgent = time.Duration(waits.ValueAtQuantile(99)) * time.Microsecond
	return w
}

func (w *Waits) answered(waits *hdrhistogram.Histogram, e event) {
	if e.end.class == cell.Urgent {
		_ = waits.RecordValue(e.at.Sub(e.end.at).Microseconds())
		return
	}
	w.Bulk++
}

// RunQueue runs the load through the queue state machine.
func (l UrgentLoad) RunQueue() Waits {
	start := time.Unix(1_700_000_000, 0)
	return l.play(start, newQueueServer(start))
}

// RunFIFO runs the same load through one queue in order of arrival.
func (l UrgentLoad) RunFIFO() Waits {
	return l.play(time.Unix(1_700_000_000, 0), &fifo{free: loadBackends * loadSlots})
}

// QueueStep adds and ends one request after another, in a queue in which the given number of others
// wait, as long as loop returns true.
func QueueStep(waiting int, loop func() bool) {
	now := time.Unix(1_700_000_000, 0)
	o := newQueueServer(now)
	at := func(i int) *arrival {
		return &arrival{id: fmt.Sprintf("r%09d", i), class: cell.Classes[i%len(cell.Classes)], took: time.Millisecond}
	}
	var line []string
	n := 0
	for ; n < waiting+loadBackends*loadSlots; n++ {
		line = append(line, o.arrive(now, at(n))...)
	}
	for ; loop(); n++ {
		now = now.Add(50 * time.Microsecond)
		line = append(line, o.arrive(now, at(n))...)
		if len(line) > 0 {
			id := line[0]
			line = append(line[1:], o.end(now, &arrival{id: id, took: time.Millisecond})...)
		}
	}
}
