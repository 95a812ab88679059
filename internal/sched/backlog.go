package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollencroft/internal/admission"
	"pollencroft/internal/cell"
	"pollencroft/internal/drain"
	"pollencroft/internal/flow"
)

const (
	// drainWindow is how long starts are counted before the count updates the measured rate. Tasks
	// of a bulk step that began together end together, seconds apart from the next ones.
	drainWindow = time.Second
	// minMeasured is how long a backlog has to be measured before its wait is reported.
	minMeasured = time.Second
	// maxLoadGap is the longest time between two counts of the backlogs; after a longer one it is
	// not known whether they had ended in between, and the measurement starts again.
	maxLoadGap = 3 * time.Second
	// maxSlots bounds the tasks that are counted for one worker.
	maxSlots = 1 << 20
)

// backlogKey identifies what waits of an organisation in a queue. Without an organisation it is what
// waits in the whole queue.
type backlogKey struct{ queue, organisation string }

// backlog counts the waiting tasks that may start, and measures how fast they do.
type backlog struct {
	// since is when the backlog was first counted, first and last are when tasks of it started.
	since, first, last time.Time
	drain              drain.Meter
	started            int
	// jobs and tasks are the counts of the last snapshot, need is the least that a task needs in
	// each resource.
	jobs, tasks int
	need        cell.Size
}

// countDrained counts the start of a task of a job.
func (s *Sched) countDrained(j *flow.Job) {
	if len(s.backlogs) == 0 {
		return
	}
	for _, organisation := range [...]string{"", j.Spec.Organisation} {
		if b, ok := s.backlogs[backlogKey{j.Spec.Queue.Name, organisation}]; ok {
			if b.started == 0 {
				b.first = s.now
			}
			b.started, b.last = b.started+1, s.now
			b.drain.Count(s.now)
		}
		if j.Spec.Organisation == "" {
			return
		}
	}
}

// Load returns the loads because of which a job may be rejected, or nil if no organisation has a
// rate. It has to be called at least every maxLoadGap.
func (s *Sched) Load(now time.Time) *admission.Snapshot {
	if !s.rates.Limited() || !s.enabled(ReportLoad) {
		clear(s.backlogs)
		return nil
	}
	if now.Sub(s.loadAt) > maxLoadGap {
		clear(s.backlogs)
	}
	s.loadAt = now
	workers := s.workersByService()
	s.countBacklogs(now, workers)
	snap := &admission.Snapshot{Term: s.term}
	for _, k := range slices.SortedFunc(maps.Keys(s.backlogs), compareKeys) {
		b := s.backlogs[k]
		wait, ok := b.expectedWait(now)
		q, listed := s.queues[k.queue]
		switch {
		case !ok || !listed:
		case k.organisation == "":
			snap.Queues = append(snap.Queues, admission.QueueWait{Rank: q.Rank, Wait: wait})
		default:
			s.addLoad(snap, now, workers[q.Service], q, k, b, wait)
		}
	}
	return snap
}

func compareKeys(a, b backlogKey) int {
	return cmp.Or(cmp.Compare(a.queue, b.queue), cmp.Compare(a.organisation, b.organisation))
}

// addLoad adds the load of an organisation that is beyond its rate and for which nothing is free:
// what waits in the queue takes all free capacity, or what waits of the organisation takes the rest
// of its quota.
func (s *Sched) addLoad(snap *admission.Snapshot, now time.Time, workers serviceWorkers, q flow.Queue, k backlogKey, b *backlog, wait time.Duration) {
	limit, balance := s.rates.Rate(k.organisation), s.rates.Balance(now, k.organisation)
	if limit == 0 || balance >= 1 {
		return
	}
	free := s.slots(workers, q, b.need)
	queued := s.backlogs[backlogKey{queue: k.queue}].tasks
	if free >= int64(queued) && s.usage.Fits(k.organisation, b.need.Scale(float64(b.tasks))) {
		return
	}
	snap.Loads = append(snap.Loads, admission.Load{
		Queue: k.queue, Organisation: k.organisation, Jobs: b.jobs, Tasks: b.tasks, Wait: cell.Duration{Duration: wait.Round(time.Millisecond)},
		Rate: limit, Balance: balance, Need: b.need, Largest: workers.largest(), Times: s.runTimesOf(q),
	})
}

// countBacklogs counts the tasks that could start. Steps that are hopeless or starved do not count:
// a new job comes before them.
func (s *Sched) countBacklogs(now time.Time, workers map[string]serviceWorkers) {
	for _, b := range s.backlogs {
		b.jobs, b.tasks = 0, 0
	}
	for _, j := range s.openJobs {
		if j.State.Final() {
			continue
		}
		tasks, need := s.startable(j, workers[s.queue(j).Service])
		if tasks == 0 {
			continue
		}
		s.backlogOf(backlogKey{queue: j.Spec.Queue.Name}, now).add(tasks, need)
		if o := j.Spec.Organisation; o != "" {
			s.backlogOf(backlogKey{j.Spec.Queue.Name, o}, now).add(tasks, need)
		}
	}
	maps.DeleteFunc(s.backlogs, func(_ backlogKey, b *backlog) bool { return b.tasks == 0 })
}

// startable counts a job's tasks that wait for capacity, and returns the least that one needs in
// each resource. Tasks that may wait beside free capacity do not count, since a new job would not wait
// behind them: those that need a label or the other members of a gang, that are too large for every
// worker, or that exceed the limit per worker.
func (s *Sched) startable(j *flow.Job, workers serviceWorkers) (tasks int, need cell.Size) {
	q := s.queue(j)
	for _, r := range j.Rounds {
		for _, st := range r.Stages {
			if !st.AnyWaiting() || !r.Ready(st) || s.deadlineClassOf(j, r, st, q) >= hopeless {
				continue
			}
			demand, waiting := st.Spec.Demand(), st.Waiting()
			if st.Spec.MaxPerWorker > 0 {
				running := len(st.Tasks) - st.Done - waiting
				waiting = min(waiting, st.Spec.MaxPerWorker*len(workers.all)-running)
			}
			if st.Spec.Label != "" || st.Spec.Gang || waiting <= 0 || !workers.anyHas(demand) {
				continue
			}
			if tasks == 0 {
				need = demand
			}
			need = smallest(need, demand)
			tasks += waiting
		}
	}
	return tasks, need
}

func smallest(a, b cell.Size) cell.Size {
	return cell.Size{CPU: min(a.CPU, b.CPU), Mem: min(a.Mem, b.Mem), Accel: min(a.Accel, b.Accel)}
}

func (s *Sched) backlogOf(k backlogKey, now time.Time) *backlog {
	b, ok := s.backlogs[k]
	if !ok {
		b = &backlog{since: now, drain: drain.Meter{Window: drainWindow}}
		b.drain.Restart(now)
		s.backlogs[k] = b
	}
	return b
}

func (b *backlog) add(tasks int, need cell.Size) {
	if b.tasks == 0 {
		b.need = need
	}
	b.need = smallest(b.need, need)
	b.jobs++
	b.tasks += tasks
}

// expectedWait returns how long the next job is expected to wait, or false if that is not known yet.
// It is the shorter of the waits by the recent rate and by that from the first start to the last one:
// tasks that end together make the recent rate of a small backlog uneven.
func (b *backlog) expectedWait(now time.Time) (time.Duration, bool) {
	if now.Sub(b.since) < minMeasured || b.started < 2 {
		return 0, false
	}
	per := b.last.Sub(b.first) / time.Duration(b.started-1)
	if recent := b.drain.Interval(now); recent > 0 {
		per = min(per, recent)
	}
	return per * time.Duration(b.tasks), true
}

// serviceWorkers is the workers of one service that may start tasks.
type serviceWorkers struct {
	all []*worker
	// sizes holds each of their sizes once.
	sizes []cell.Size
}

// workersByService lists the usable workers. Those that have just missed a reply count: they may
// return at once.
func (s *Sched) workersByService() map[string]serviceWorkers {
	services := map[string]serviceWorkers{}
	for _, w := range s.sortedWorkers() {
		if !w.usable(s.now) && !w.mayReturn(s.now) {
			continue
		}
		v := services[w.Service]
		v.all = append(v.all, w)
		if !slices.Contains(v.sizes, w.Size) {
			v.sizes = append(v.sizes, w.Size)
		}
		services[w.Service] = v
	}
	return services
}

// anyHas reports whether one of the workers is as large as a task needs.
func (v serviceWorkers) anyHas(demand cell.Size) bool {
	return slices.ContainsFunc(v.sizes, demand.Fits)
}

// largest returns the most that one of the workers has in each resource.
func (v serviceWorkers) largest() cell.Size {
	var most cell.Size
	for _, size := range v.sizes {
		most = cell.Size{CPU: max(most.CPU, size.CPU), Mem: max(most.Mem, size.Mem), Accel: max(most.Accel, size.Accel)}
	}
	return most
}

// slots returns how many tasks of a queue that need that much could start now.
func (s *Sched) slots(workers serviceWorkers, q flow.Queue, need cell.Size) int64 {
	slots, total, freeCPU := int64(0), int64(0), int64(0)
	for _, w := range workers.all {
		left := w.free()
		slots += min(need.FitCount(left), maxSlots)
		total, freeCPU = total+w.Size.CPU, freeCPU+max(left.CPU, 0)
	}
	if q.Rank > s.topRank() && need.CPU > 0 {
		slots = min(slots, max(freeCPU-int64(urgentReserve*float64(total)), 0)/need.CPU)
	}
	return slots
}
