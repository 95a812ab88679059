package sched

import (
	"cmp"
	"math"
	"slices"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// urgentReserve is the share of a service's processors that only the most urgent queue may use. Its
// tasks last about a second, so the reserved capacity is reused many times while one bulk task
// runs.
const urgentReserve = 0.06

// readyStep is a step that may run and has waiting tasks.
type readyStep struct {
	stage *flow.Stage
	job   *flow.Job
	round *flow.Round
	queue flow.Queue
	tasks []*flow.Task
	// class is the deadline class of the step.
	class deadlineClass
	// prospect is what the last selection decided about the round, if jobs are selected.
	prospect prospect
}

// waitingSteps lists the steps up to a rank that may run, the most urgent first.
func (s *Sched) waitingSteps(pools map[string]*pool, maxRank int) []readyStep {
	var all []readyStep
	for _, j := range s.openJobs {
		q := s.queue(j)
		if j.State.Final() || q.Rank > maxRank {
			continue
		}
		for _, r := range j.Rounds {
			for _, st := range r.Stages {
				if !st.AnyWaiting() || !r.Ready(st) {
					continue
				}
				if tasks := startableTasks(st); len(tasks) > 0 {
					all = append(all, readyStep{stage: st, job: j, round: r, queue: q, tasks: tasks, class: s.deadlineClassOf(j, r, st, q)})
				}
			}
		}
	}
	s.selectJobs(pools)
	for i := range all {
		s.applySelection(&all[i])
	}
	s.promoteStarved(all, pools)
	slices.SortFunc(all, compareSteps)
	return all
}

// compareSteps orders steps by urgency, and equally urgent ones by their acceptance.
func compareSteps(a, b readyStep) int {
	if c := cmp.Or(a.queue.Rank-b.queue.Rank, int(a.class-b.class)); c != 0 {
		return c
	}
	if c := compareProspects(a.prospect, b.prospect); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.job.Number, b.job.Number), a.round.Index-b.round.Index, a.stage.Index-b.stage.Index)
}

// startableTasks lists the tasks of a step that may start; tasks that have to run alone come last.
func startableTasks(st *flow.Stage) []*flow.Task {
	var tasks, alone []*flow.Task
	for _, t := range st.Tasks {
		switch {
		case t.State != flow.Waiting || t.CrashSuspicions() >= maxCrashes:
		case t.CrashSuspicions() >= aloneAfter:
			alone = append(alone, t)
		default:
			tasks = append(tasks, t)
		}
	}
	return append(tasks, alone...)
}

// pool is the capacity of one service during one pass.
type pool struct {
	workers []*worker
	// open lists the workers that have capacity for one of the waiting steps at the beginning of the
	// pass. Capacity only shrinks during a pass.
	open []*worker
	// totalCPU is the processor capacity of all workers, freeCPU the part that is free now.
	totalCPU, freeCPU int64
	// total is the capacity of all workers in every resource. prefetched is the capacity needed by
	// steps that have tickets, or will have them, before there is free capacity.
	total, prefetched cell.Size
	// used is the capacity that tasks use, reserved the capacity that is held free for wide tasks.
	used, reserved cell.Size
	// unfit lists sizes for which no worker has capacity any more in this pass.
	unfit []cell.Size
}

// knownFull reports whether this pass has already found that no worker has that much free capacity.
func (p *pool) knownFull(demand cell.Size) bool {
	return slices.ContainsFunc(p.unfit, func(n cell.Size) bool { return n.Fits(demand) })
}

// keepsReserve reports whether the reserve of the most urgent queue stays free beside tasks that take
// that many processors.
func (p *pool) keepsReserve(cpu, reservedCPU int64) bool {
	return cpu == 0 || reservedCPU == 0 || p.freeCPU >= reservedCPU+cpu
}

func (s *Sched) pools() map[string]*pool {
	all := map[string]*pool{}
	// Most cells have one service.
	var p *pool
	service := ""
	for _, w := range s.sortedWorkers() {
		w.earmarked, w.reserved = cell.Size{}, cell.Size{}
		w.crashSuspects, w.trialStep = 0, nil
		if !w.usable(s.now) {
			continue
		}
		if p == nil || w.Service != service {
			service = w.Service
			if p = all[service]; p == nil {
				p = &pool{}
				all[service] = p
			}
		}
		p.workers = append(p.workers, w)
		p.totalCPU += w.Size.CPU
		p.total, p.used = p.total.Add(w.Size), p.used.Add(w.used)
		p.freeCPU += max(w.free().CPU, 0)
	}
	s.markSuspects()
	return all
}

// placeSteps assigns waiting tasks to workers, in order of urgency, and queries the policy service
// about steps that could start.
func (s *Sched) placeSteps(kind passKind) {
	if len(s.openJobs) == 0 {
		return
	}
	top, maxRank := s.topRank(), math.MaxInt
	if kind == urgentPass {
		maxRank = top
	}
	pools := s.pools()
	steps, held := s.splitHeld(s.waitingSteps(pools, maxRank))
	if len(steps) > 0 {
		s.placeInOrder(steps, pools, top)
	}
	s.accountWaits(steps, held)
}

// placeInOrder places steps that are in order of urgency. top is the rank of the most urgent queues.
func (s *Sched) placeInOrder(steps []readyStep, pools map[string]*pool, top int) {
	top = min(top, steps[0].queue.Rank)
	s.listOpenWorkers(pools, steps)
	s.hosts.BeginPass()
	for _, r := range steps {
		p, ok := pools[r.queue.Service]
		if !ok {
			continue
		}
		reservedCPU := int64(0)
		if r.queue.Rank > top {
			reservedCPU = int64(urgentReserve * float64(p.totalCPU))
		}
		s.placeStep(r, p, reservedCPU)
	}
	for _, r := range steps {
		if p, ok := pools[r.queue.Service]; ok && s.quotaAllows(r) {
			s.prefetchTickets(r, p)
		}
	}
}

// topRank returns the rank of the most urgent queues of the table.
func (s *Sched) topRank() int { return s.top }

// listOpenWorkers lists the workers of each pool that have capacity for any of the steps. In a full
// cell they are few, and hundreds of steps look for one.
func (s *Sched) listOpenWorkers(pools map[string]*pool, steps []readyStep) {
	least := map[string]int64{}
	for _, r := range steps {
		cpu := r.stage.Spec.Demand().CPU
		if known, ok := least[r.queue.Service]; !ok || cpu < known {
			least[r.queue.Service] = cpu
		}
	}
	for service, cpu := range least {
		p, ok := pools[service]
		if !ok {
			continue
		}
		for _, w := range p.workers {
			if w.available().CPU >= cpu {
				p.open = append(p.open, w)
			}
		}
	}
}

// placeStep places as many tasks of a step as possible.
func (s *Sched) placeStep(r readyStep, p *pool, reservedCPU int64) {
	if r.stage.Spec.Gang {
		s.placeGang(r, p, reservedCPU)
		return
	}
	need := r.stage.Spec.Demand().CPU
	left, skipped, allowed := r.tasks, []*flow.Task(nil), []*worker(nil)
	if s.hasTicket(r) {
		allowed = s.allowedWorkers(r, p)
	}
	// Without a ticket no worker may run the step: a backlog of such steps is skipped without
	// checking a single worker.
	for len(left) > 0 && p.keepsReserve(need, reservedCPU) && s.quotaAllows(r) {
		w := s.bestWorker(r, left[0], allowed)
		if w == nil && (left[0].CrashSuspicions() >= aloneAfter || s.avoidsFreeWorker(left[0], allowed)) {
			skipped, left = append(skipped, left[0]), left[1:]
			continue
		}
		if w == nil {
			break
		}
		s.assign(left[0], w, left[0].Run+1)
		s.noteSlowPlacement(r, left[0], w)
		p.freeCPU -= need
		left = left[1:]
	}
	if n := len(left) + len(skipped); n > 0 && s.quotaAllows(r) {
		s.seekCapacity(r, p, n, reservedCPU)
	}
}

// seekCapacity looks for capacity for n tasks of a step that could not start.
func (s *Sched) seekCapacity(r readyStep, p *pool, n int, reservedCPU int64) {
	if cpu := r.stage.Spec.Demand().CPU; r.queue.Advice != nil && (cpu == 0 || p.freeCPU-reservedCPU >= cpu) {
		s.maybeQuery(r, p, n)
	}
	s.preempt(r, p, n)
	s.reserveCapacity(r, p, n)
}

// bestWorker returns the worker that suits a task best, or nil if none may run it.
func (s *Sched) bestWorker(r readyStep, t *flow.Task, workers []*worker) *worker {
	var best *worker
	var least float64
	for _, w := range workers {
		if !s.fits(r, t, w) {
			continue
		}
		if _, ok := s.ticket(t, w); !ok {
			continue
		}
		c := s.cost(r, w)
		if w.crashSuspects > 0 && t.CrashSuspicions() > 0 {
			c += crashSuspectCost
		}
		if best == nil || c < least {
			best, least = w, c
		}
	}
	return best
}

// fits reports whether a worker has capacity for a task and may run it, apart from tickets.
func (s *Sched) fits(r readyStep, t *flow.Task, w *worker) bool {
	return w.hasRoom(r.stage.Spec.Demand(), w.reserved) && s.suits(r, t, w)
}

// avoidsFreeWorker reports whether a task avoids a worker that has capacity for it.
func (s *Sched) avoidsFreeWorker(t *flow.Task, workers []*worker) bool {
	return t.AvoidsAny(s.now) && slices.ContainsFunc(workers, func(w *worker) bool {
		return t.Avoids(w.Incarnation, s.now) && w.hasRoom(t.Spec().Demand(), w.reserved)
	})
}

// suitsAny reports whether a worker may run a task of a step once it has capacity, apart from
// tickets. The tasks differ in the workers that they avoid.
func (s *Sched) suitsAny(r readyStep, w *worker) bool {
	if r.stage.Spec.Gang {
		return s.suits(r, r.tasks[0], w)
	}
	i := slices.IndexFunc(r.tasks, func(t *flow.Task) bool { return !t.Avoids(w.Incarnation, s.now) })
	return i >= 0 && s.suits(r, r.tasks[i], w)
}

// Weights for choosing between workers that suit a task, in shares of a worker's size.
const (
	// farCost makes a task prefer the rack of its data without waiting for it.
	farCost = 2
	// serveCost keeps best-effort tasks and serving tasks apart while there is other capacity.
	serveCost = 1
	// domainCost keeps a job in one failure domain, and togetherCost keeps it on few workers: a job
	// is late if its last task is late. With 6 tasks spread over 3 failure domains, a network cut
	// of one domain affects 9 jobs in 10; with each job in a single domain, 1 in 3.
	domainCost   = 0.6
	togetherCost = 0.3
	// unclaimedWeight sends best-effort tasks where the most processors are unused. shortageCost is
	// that of a worker on which nothing is left of them. Best-effort tasks may start there, since they
	// take no processors, but stand still until other tasks end.
	unclaimedWeight = 2
	shortageCost    = 3
	// suspectCost prefers workers without recent failures.
	suspectCost = 0.5
)

// cost returns the placement cost of a task on a worker. It is lower for workers that the task
// leaves fuller, so that large free capacities stay whole.
func (s *Sched) cost(r readyStep, w *worker) float64 {
	st := r.stage.Spec
	left := w.free().Sub(st.Demand())
	c := left.DominantShare(cell.Size{CPU: w.Size.CPU, Mem: w.Size.Mem, Accel: max(w.Size.Accel, 1)})
	if st.NearRack != "" && w.Rack != st.NearRack {
		c += farCost
	}
	if st.BestEffort && w.runsServing() || st.LatencyTarget > 0 && w.bestEffortCPU > 0 {
		c += serveCost
	}
	if st.BestEffort {
		c += shortageCost*w.shortage(st.Size.CPU) - unclaimedWeight*float64(w.unclaimedCPU())/float64(w.Size.CPU)
	}
	if r.job.Domain != "" && w.Domain != r.job.Domain {
		c += domainCost
	}
	if !st.LongRunning && w.runsTaskOf(r.job) {
		c -= togetherCost
	}
	if w.speed < slowSpeed {
		c += slowCost * (1 - w.speed)
	}
	c += s.speedCost(r, w)
	return c + suspectCost*float64(w.health.Failures())
}

// runsTaskOf reports whether a task of the job is on the worker.
func (w *worker) runsTaskOf(j *flow.Job) bool { return w.jobs[j] > 0 }

// runsServing reports whether the worker has a task with a response-time target.
func (w *worker) runsServing() bool {
	for _, t := range w.tasks {
		if t.Spec().LatencyTarget > 0 {
			return true
		}
	}
	return false
}
