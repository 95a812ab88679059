package sched

import (
	"maps"
	"slices"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// placeGang places all tasks of a step or none. A partly started gang would hold its capacity while
// it waits for the other members, and then end with EndAlone.
func (s *Sched) placeGang(r readyStep, p *pool, reservedCPU int64) {
	tasks := r.stage.Tasks
	if len(r.tasks) < len(tasks) {
		// Members of the last run are still being stopped.
		return
	}
	need := r.stage.Spec.Demand().CPU * int64(len(tasks))
	if !s.quotaAllows(r) {
		return
	}
	if !p.keepsReserve(need, reservedCPU) {
		return
	}
	var placed []*worker
	if s.hasTicket(r) {
		placed = s.findGangWorkers(r, s.allowedWorkers(r, p))
	}
	if placed == nil {
		if r.queue.Advice != nil {
			s.maybeQuery(r, p, len(tasks))
		}
		s.reserveCapacity(r, p, len(tasks))
		return
	}
	run, saved := 0, ""
	for _, t := range tasks {
		run, saved = max(run, t.Run), max(saved, t.Checkpoint)
	}
	for i, t := range tasks {
		// The members share one checkpoint.
		t.Checkpoint = saved
		s.assign(t, placed[i], run+1)
	}
	p.freeCPU -= need
}

// findGangWorkers finds a worker for each member, or returns nil if there isn't enough capacity for
// all.
func (s *Sched) findGangWorkers(r readyStep, workers []*worker) []*worker {
	if r.stage.Spec.SameRack {
		racks := map[string][]*worker{}
		for _, w := range workers {
			racks[w.Rack] = append(racks[w.Rack], w)
		}
		for _, name := range slices.Sorted(maps.Keys(racks)) {
			if placed := s.fitGang(r, racks[name]); placed != nil {
				return placed
			}
		}
	}
	return s.fitGang(r, workers)
}

func (s *Sched) fitGang(r readyStep, workers []*worker) []*worker {
	st := r.stage.Spec
	freeCapacity, unclaimed := make(map[*worker]cell.Size, len(workers)), map[*worker]int64{}
	count := map[*worker]int{}
	var able []*worker
	for _, w := range workers {
		if _, ok := s.ticket(r.tasks[0], w); ok && s.fits(r, r.tasks[0], w) {
			able = append(able, w)
			freeCapacity[w], unclaimed[w] = w.available(), w.unclaimedCPU()
		}
	}
	slices.SortStableFunc(able, func(a, b *worker) int { return int(freeCapacity[b].CPU - freeCapacity[a].CPU) })
	placed := make([]*worker, 0, len(r.stage.Tasks))
	for range r.stage.Tasks {
		if st.BestEffort {
			slices.SortStableFunc(able, func(a, b *worker) int { return int(unclaimed[b] - unclaimed[a]) })
		}
		i := slices.IndexFunc(able, func(w *worker) bool {
			return st.Demand().FitCount(freeCapacity[w]) > 0 && (st.MaxPerWorker == 0 || w.runsOf(r.stage)+count[w] < st.MaxPerWorker)
		})
		if i < 0 {
			return nil
		}
		w := able[i]
		freeCapacity[w] = freeCapacity[w].Sub(st.Demand())
		unclaimed[w] -= st.Size.CPU
		count[w]++
		placed = append(placed, w)
	}
	return placed
}

// breakGang stops the remaining members of a gang's run after one has ended. All members have to be
// placed again for the next run.
func (s *Sched) breakGang(gone *flow.Task) {
	for _, m := range gone.Step.Tasks {
		switch m.State {
		case flow.Assigned:
			s.releaseTask(m)
			m.Transition(flow.Gone, s.now)
		case flow.Starting, flow.Running, flow.Inherited:
			s.stopRun(m, "its gang is broken")
		}
	}
}
