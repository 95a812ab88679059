package measure

import (
	"container/heap"
	"fmt"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/outlier"
	"pollencroft/internal/queue"
)

// blackHoleTimeout is the caller's timeout for a request that is never answered.
const blackHoleTimeout = 2 * time.Second

// blackHoleRun simulates urgent requests on backend servers, the first of which never answers.
type blackHoleRun struct {
	o    queueServer
	out  *outlier.Detector
	line events
	byID map[string]*arrival
	at   map[string]string
	lost int
	n    int
}

// BlackHoleLoss returns the fraction of urgent requests that are lost within a minute because one of
// 16 backend servers never answers. The parameter selects whether outliers are quarantined.
func BlackHoleLoss(quarantine bool) float64 {
	start := time.Unix(1_700_000_000, 0)
	load := UrgentLoad{Urgent: 0.45, For: time.Minute}
	all := load.arrivals(start)
	h := &blackHoleRun{o: newQueueServer(start), byID: map[string]*arrival{}, at: map[string]string{}}
	if quarantine {
		h.out = outlier.New(outlier.DefaultLimits)
		var names []string
		for i := range loadBackends {
			names = append(names, fmt.Sprintf("m%02d", i))
		}
		h.out.Step(start, outlier.ServersListed{Backends: names})
	}
	for i := range all {
		h.byID[all[i].id] = &all[i]
		h.line = append(h.line, event{at: all[i].at, order: i, arrive: &all[i]})
	}
	for at := start; at.Before(start.Add(load.For)); at = at.Add(loadTick) {
		h.line = append(h.line, event{at: at, order: -1})
	}
	heap.Init(&h.line)
	h.n = len(all)
	for len(h.line) > 0 {
		h.step(heap.Pop(&h.line).(event))
	}
	return float64(h.lost) / float64(len(all))
}

func (h *blackHoleRun) step(e event) {
	switch {
	case e.arrive != nil:
		h.send(e.at, h.o.q.Step(e.at, queue.Enqueue{
			ID: e.arrive.id, Row: queue.Row{Name: "scan", Class: cell.Urgent, Weight: 1}, Deadline: e.at.Add(blackHoleTimeout),
		}))
	case e.end != nil:
		h.end(e)
	default:
		h.watch(e.at, outlier.Tick{})
		h.send(e.at, h.o.q.Step(e.at, queue.Tick{}))
	}
}

func (h *blackHoleRun) end(e event) {
	result := outlier.Succeeded
	if h.neverAnswered(e.end.id) {
		h.lost++
		result = outlier.Failed
	}
	h.watch(e.at, outlier.Ended{ID: e.end.id, Result: result})
	h.send(e.at, h.o.q.Step(e.at, queue.Ended{ID: e.end.id, Took: e.end.took, Failed: result == outlier.Failed}))
}

func (h *blackHoleRun) neverAnswered(id string) bool { return h.at[id] == "m00" }

func (h *blackHoleRun) watch(now time.Time, ev outlier.Event) {
	if h.out == nil || len(h.out.Step(now, ev)) == 0 {
		return
	}
	var all []queue.Share
	for i := range loadBackends {
		name := fmt.Sprintf("m%02d", i)
		all = append(all, queue.Share{Backend: name, Slots: h.out.MaxSlots(name, loadSlots)})
	}
	h.send(now, h.o.q.Step(now, queue.Shares{All: all}))
}

func (h *blackHoleRun) send(now time.Time, acts []queue.Action) {
	for _, a := range acts {
		send, ok := a.(queue.Send)
		if !ok {
			continue
		}
		h.at[send.ID] = send.Backend
		if h.out != nil {
			h.out.Step(now, outlier.Sent{ID: send.ID, Backend: send.Backend, Row: "scan"})
		}
		took := h.byID[send.ID].took
		if h.neverAnswered(send.ID) {
			took = blackHoleTimeout
		}
		h.n++
		heap.Push(&h.line, event{at: now.Add(took), order: h.n, end: h.byID[send.ID]})
	}
}
