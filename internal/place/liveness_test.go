package place_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// room is the free capacity that a request is checked against.
type room struct {
	// free has the workers that may get tasks.
	free              map[string]cell.Size
	total, left       cell.Size
	row, organisation map[string]cell.Size
	rowTasks          map[string]int64
	urgent            cell.Size
}

// room returns what is free beside the running tasks for which stays returns true. If trials is set,
// that includes quarantined workers.
func (h *history) room(trials bool, stays func(*run) bool) room {
	m := room{free: map[string]cell.Size{}, row: map[string]cell.Size{}, organisation: map[string]cell.Size{}, rowTasks: map[string]int64{}}
	all := map[string]cell.Size{}
	for name, w := range h.hosts {
		all[name], m.total, m.left = w.size, m.total.Add(w.size), m.left.Add(w.size)
	}
	for _, r := range h.running {
		if !stays(r) {
			continue
		}
		q := r.request
		all[r.worker], m.left = all[r.worker].Sub(r.size), m.left.Sub(r.size)
		m.row[q.Row], m.organisation[q.Organisation] = m.row[q.Row].Add(r.size), m.organisation[q.Organisation].Add(r.size)
		m.rowTasks[q.Row]++
		if q.Class == cell.Urgent {
			m.urgent = m.urgent.Add(r.size)
		}
	}
	for name, w := range h.hosts {
		if !w.quarantined || trials {
			m.free[name] = all[name]
		}
	}
	return m
}

func (h *history) roomNow() room { return h.room(false, func(*run) bool { return true }) }

// roomThen returns what is free when all tasks whose end is known have ended and all trials are
// open.
func (h *history) roomThen() room { return h.room(true, func(r *run) bool { return r.end.IsZero() }) }

func times(size cell.Size, n int64) cell.Size {
	return cell.Size{CPU: n * size.CPU, Mem: n * size.Mem, Accel: n * size.Accel}
}

// within reports whether size keeps a limit of which zero means unlimited.
func within(size, limit cell.Size) bool {
	return (limit.CPU == 0 || size.CPU <= limit.CPU) && (limit.Mem == 0 || size.Mem <= limit.Mem)
}

func (m room) keepsReserve(size cell.Size) bool {
	return m.left.Sub(size).MinShare(m.total) >= livenessLimits.UrgentReserve
}

// allows reports whether limits, quota and reserve allow the request with that task size.
func (m room) allows(r *request, size cell.Size) bool {
	n := r.count()
	all := times(size, n)
	return (r.MaxTasks == 0 || m.rowTasks[r.Row]+n <= r.MaxTasks) && within(m.row[r.Row].Add(all), r.Limit) &&
		within(m.organisation[r.Organisation].Add(all), r.Quota) && (r.Class != cell.Bulk || m.keepsReserve(all))
}

// holds reports whether the workers for which usable returns true hold the request.
func (m room) holds(r *request, size cell.Size, usable func(worker string) bool) bool {
	need := r.count()
	for name, free := range m.free {
		if usable(name) {
			need -= size.FitCount(free)
		}
	}
	return need <= 0
}

func anyWorker(string) bool { return true }

func (m room) fits(r *request) bool {
	return m.allows(r, r.declared()) && m.holds(r, r.declared(), anyWorker)
}

func (h *history) overdue(r *request) bool {
	return h.at.Sub(r.Since) > h.limits.OverdueAfter[r.Class]
}

// mayWaitFor reports whether a request that fits may wait because capacity is kept for an overdue
// one that starts once the tasks end whose end is known. That allows it to wait only for workers
// that the overdue one can use then, or for the reserve that an overdue bulk request needs.
func (h *history) mayWaitFor(old, r *request) bool {
	free, then := h.roomNow(), h.roomThen()
	if old == r || !h.overdue(old) || free.fits(old) || !then.fits(old) {
		return false
	}
	size := r.declared()
	if before := free.urgent.Add(times(size, r.count()-1)); r.Class == cell.Urgent && before.DominantShare(free.total) < h.limits.UrgentCap {
		return false
	}
	if old.Class == cell.Bulk && r.Class != cell.Urgent && !free.keepsReserve(times(size, r.count()).Add(old.Size)) {
		return true
	}
	return !free.holds(r, size, func(name string) bool { return !old.declared().Fits(then.free[name]) })
}

// noteStartable notes since when each waiting request could start at its current size on workers
// that it does not avoid, while no capacity is reserved for another one.
func (h *history) noteStartable() {
	free := h.roomNow()
	for _, r := range h.waiting {
		reserved := slices.ContainsFunc(h.waiting, func(o *request) bool { return o != r && (o.Class == cell.Urgent || h.overdue(o)) })
		preferred := func(name string) bool { return !slices.Contains(r.Avoid, name) }
		switch {
		case reserved || !free.allows(r, r.Size) || !free.holds(r, r.Size, preferred):
			r.startable = time.Time{}
		case r.startable.IsZero():
			r.startable = h.at
		}
	}
}

func (h *history) describe(r *request) string {
	text := fmt.Sprintf("%+v\nrules %+v\n", r.Request, h.rules[r.Row])
	for _, o := range h.waiting {
		why, _ := h.p.ExplainWait(slices.Sorted(maps.Keys(o.waiting))[0])
		text += o.Job + ": " + why + "\n"
	}
	for name, w := range h.hosts {
		text += fmt.Sprintf("%s %+v\n", name, *w)
	}
	for name, o := range h.running {
		text += fmt.Sprintf("%s on %s %+v until %v\n", name, o.worker, o.size, o.end)
	}
	return text
}

// Requests, failures and changes of workers and limits come in any order, then nothing arrives any
// more. Guards against an entry that waits for good beside capacity that it may use.
func TestNoEntryWaitsBesideFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, livenessLimits)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			h.at = h.at.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			randomEvents[rapid.SampledFrom(eventNames).Draw(t, "event")](h)
		}
		h.quiet(rapid.Bool().Draw(t, "ending"))
		for _, r := range h.waiting {
			if h.roomNow().fits(r) {
				exempt := slices.ContainsFunc(h.waiting, func(old *request) bool { return h.mayWaitFor(old, r) })
				require.True(t, exempt, "%s waits beside free capacity: %s", r.Job, h.describe(r))
			}
		}
	})
}

// Guards against a missing wake-up: an entry could start at once and is not tried again.
func TestStartableEntryIsNotLeftWaiting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t, place.DefaultLimits)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			h.pass(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second)
			for _, r := range h.waiting {
				require.True(t, r.startable.IsZero() || h.at.Sub(r.startable) < wakeTime, "%s could have started: %s", r.Job, h.describe(r))
			}
			randomEvents[rapid.SampledFrom(eventNames).Draw(t, "event")](h)
		}
	})
}
