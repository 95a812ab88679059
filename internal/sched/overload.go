package sched

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/overload"
)

const (
	// selectInterval is the minimum time between two selections. Between them, new steps are
	// classified by themselves.
	selectInterval = 40 * time.Millisecond
	// initialUsableShare is the share of the workers' processors that jobs are expected to use until it
	// is measured: the rest is reserved for urgent tasks, too small for a task, or waits for tickets.
	// usableWindow is the time over which the measurement is averaged.
	initialUsableShare = 0.92
	usableWindow       = 5 * time.Second
	// maxUseGap is the longest time between two selections over which the use is averaged; after a
	// longer one it is not known whether jobs have waited in between.
	maxUseGap = time.Second
	// urgentUseWindow is the time over which the use by more urgent queues is averaged.
	urgentUseWindow = time.Second
	// selectionNoteInterval is the minimum time between two notes of a selection.
	selectionNoteInterval = time.Second
)

// prospect is what a selection decided about a round of a job.
type prospect struct {
	class deadlineClass
	// begun means that a part of it has run or is running, beyond that its organisation sent it beyond
	// its rate. latestStart is when the next step has to start for it to end in time for its class.
	begun, beyond bool
	latestStart   time.Time
}

// compareProspects orders rounds of the same class: first those whose earlier steps would have run in
// vain, last those that organisations sent beyond their rates, and each by its latest start.
func compareProspects(a, b prospect) int {
	switch {
	case a.begun != b.begun:
		return boolOrder(b.begun) - boolOrder(a.begun)
	case a.beyond != b.beyond:
		return boolOrder(a.beyond) - boolOrder(b.beyond)
	default:
		return a.latestStart.Compare(b.latestStart)
	}
}

func boolOrder(b bool) int {
	if b {
		return 1
	}
	return 0
}

// selection decides which jobs are to be on time. It holds nothing that must survive a change of
// leader: the next leader selects again from the jobs that it takes over.
type selection struct {
	at        time.Time
	prospects map[*flow.Round]prospect
	// urgentUse is the processors that the jobs of each rank use, averaged over urgentUseWindow.
	urgentUse map[poolRank]float64
	// usableShare is the measured share of the processors of each service that are in use while jobs
	// wait, and short that in the last selection not all jobs could be on time and more tasks waited
	// than there was free capacity for.
	usableShare map[string]float64
	short       map[string]bool
	// notedAt is when a selection was last noted.
	notedAt time.Time
}

func newSelection() selection {
	return selection{
		prospects: map[*flow.Round]prospect{}, urgentUse: map[poolRank]float64{},
		usableShare: map[string]float64{}, short: map[string]bool{},
	}
}

// poolRank is the queues of one rank on the workers of one service.
type poolRank struct {
	service string
	rank    int
}

func (a poolRank) compare(b poolRank) int {
	return cmp.Or(cmp.Compare(a.service, b.service), a.rank-b.rank)
}

// use is what jobs use of some capacity.
type use struct {
	// lasting is the processors of long-running tasks, waiting those that tasks could use now if they
	// were free, running those of other tasks by rank, and seconds these times the length of a task.
	lasting, waiting float64
	running, seconds map[int]float64
}

func newUse() *use { return &use{running: map[int]float64{}, seconds: map[int]float64{}} }

// add adds the active tasks of a step, of which each takes some time unless it lasts.
func (u *use) add(st flow.Step, rank, active int, each time.Duration) {
	cpu := float64(st.Demand().CPU) * float64(active)
	if st.LongRunning {
		u.lasting += cpu
		return
	}
	u.running[rank] += cpu
	u.seconds[rank] += cpu * each.Seconds()
}

// capacity returns what jobs of a rank can use of a number of processors.
func (u *use) capacity(total float64, rank int) overload.Capacity {
	c := overload.Capacity{Total: total - u.lasting}
	seconds := 0.0
	// Sums of floating-point numbers depend on the order.
	for _, r := range slices.Sorted(maps.Keys(u.running)) {
		if r > rank {
			c.Occupied += u.running[r]
			seconds += u.seconds[r]
		}
	}
	if c.Occupied > 0 {
		c.OccupiedFor = time.Duration(seconds / c.Occupied * float64(time.Second))
	}
	return c
}

// selects reports whether jobs are selected: organisations have weights, their shares when there is
// not enough for all. Without OnTimeFirst no job is ever starved, so dropped jobs would wait forever.
func (s *Sched) selects() bool {
	return s.enabled(SelectOnTime) && s.enabled(OnTimeFirst) && s.rates.Limited()
}

// selectJobs decides which jobs are to be on time, unless it did so a moment ago.
func (s *Sched) selectJobs(pools map[string]*pool) {
	sel := &s.selection
	passed := s.now.Sub(sel.at)
	if !s.selects() || passed < selectInterval {
		return
	}
	sel.at = s.now
	clear(sel.prospects)
	for service, p := range pools {
		sel.measureUse(service, p, passed)
	}
	clear(sel.short)
	byRank, byService, byOrganisation := s.collectJobs()
	keys := make([]poolRank, 0, len(byRank))
	for k := range byRank {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, poolRank.compare)
	moreUrgent := map[string]float64{}
	for _, k := range keys {
		p, ok := pools[k.service]
		if !ok {
			continue
		}
		c := byService[k.service].capacity(sel.usableShare[k.service]*s.effectiveCPU(p), k.rank)
		c.Total -= moreUrgent[k.service]
		s.selectRank(k, byRank[k], c, s.quotaCapacities(byOrganisation, k.rank))
		sel.urgentUse[k] += min(passed.Seconds()/urgentUseWindow.Seconds(), 1) * (byService[k.service].running[k.rank] - sel.urgentUse[k])
		moreUrgent[k.service] += sel.urgentUse[k]
	}
	maps.DeleteFunc(sel.short, func(service string, _ bool) bool {
		return byService[service].waiting <= float64(pools[service].freeCPU)
	})
}

// measureUse measures the share of a service's processors that is in use while jobs wait.
func (sel *selection) measureUse(service string, p *pool, passed time.Duration) {
	share, ok := sel.usableShare[service]
	if !ok {
		share = initialUsableShare
	}
	if sel.short[service] && p.totalCPU > 0 && passed <= maxUseGap {
		used := min(float64(p.used.CPU)/float64(p.totalCPU), 1)
		share += min(passed.Seconds()/usableWindow.Seconds(), 1) * (used - share)
	}
	sel.usableShare[service] = share
}

// effectiveCPU returns the processors of a pool as the fastest kind would need them for the same work.
func (s *Sched) effectiveCPU(p *pool) float64 {
	sum := 0.0
	for _, w := range p.workers {
		sum += float64(w.Size.CPU) / s.kindFactor(w)
	}
	return sum
}

func (s *Sched) quotaCapacities(byOrganisation map[string]*use, rank int) map[string]overload.Capacity {
	all := map[string]overload.Capacity{}
	for name, u := range byOrganisation {
		if q := s.usage.Quota(name); q.CPU > 0 {
			all[name] = u.capacity(float64(q.CPU), rank)
		}
	}
	return all
}

// roundJob is a round of a job under selection.
type roundJob struct {
	overload.Job
	round *flow.Round
}

// collectJobs lists the rounds that have not ended, by service and rank, and what services and
// organisations use.
func (s *Sched) collectJobs() (byRank map[poolRank][]roundJob, byService, byOrganisation map[string]*use) {
	byRank, byService, byOrganisation = map[poolRank][]roundJob{}, map[string]*use{}, map[string]*use{}
	for _, j := range s.sortedOpenJobs() {
		q := s.queue(j)
		uses := []*use{getUse(byService, q.Service), getUse(byOrganisation, j.Spec.Organisation)}
		for _, i := range slices.Sorted(maps.Keys(j.Rounds)) {
			r := j.Rounds[i]
			x, lasts := s.roundJob(j, r, q, uses)
			if !lasts && x.Objective > 0 && !j.State.Final() {
				k := poolRank{q.Service, q.Rank}
				byRank[k] = append(byRank[k], x)
			}
		}
	}
	return byRank, byService, byOrganisation
}

func getUse(all map[string]*use, name string) *use {
	u, ok := all[name]
	if !ok {
		u = newUse()
		all[name] = u
	}
	return u
}

// roundJob returns what is left of a round, and adds what it uses now.
func (s *Sched) roundJob(j *flow.Job, r *flow.Round, q flow.Queue, uses []*use) (x roundJob, lasts bool) {
	x = roundJob{round: r, Job: overload.Job{
		Number: j.Number, Organisation: j.Spec.Organisation, BeyondRate: j.BeyondRate,
		Waited: s.waitTime(j, r), Objective: s.objective(j, q),
	}}
	for _, st := range r.Stages {
		waiting := st.Waiting()
		active := len(st.Tasks) - st.Done - waiting
		each := s.taskTime(j, st, q)
		ready := waiting > 0 && r.Ready(st) && s.usage.Fits(j.Spec.Organisation, st.Spec.QuotaNeed())
		for _, u := range uses {
			u.add(st.Spec, q.Rank, active, each)
			if ready && !st.Spec.LongRunning {
				u.waiting += float64(st.Spec.Demand().CPU) * float64(waiting)
			}
		}
		lasts = lasts || st.Spec.LongRunning
		x.Begun = x.Begun || st.Done > 0 || active > 0
		// A task that runs is half done on average.
		x.Work += float64(st.Spec.Demand().CPU) * each.Seconds() * (float64(waiting) + float64(active)/2)
		if !st.Finished() && r.Ready(st) {
			left := s.remainingTime(j, st, q)
			if waiting == 0 {
				left -= each / 2
			}
			x.Left = max(x.Left, left)
		}
	}
	return x, lasts
}

// selectRank selects among the jobs of one rank and service.
func (s *Sched) selectRank(k poolRank, all []roundJob, c overload.Capacity, quotas map[string]overload.Capacity) {
	jobs := make([]overload.Job, len(all))
	for i, x := range all {
		jobs[i] = x.Job
	}
	var counts [overload.Hopeless + 1]int
	for i, class := range overload.Select(jobs, c, quotas) {
		j := jobs[i]
		counts[class]++
		allowed := j.Objective
		if class != overload.OnTime {
			allowed *= overload.LateFactor
		}
		s.selection.prospects[all[i].round] = prospect{
			class: deadlineClass(class), begun: j.Begun, beyond: j.BeyondRate, latestStart: s.now.Add(allowed - j.Waited - j.Left),
		}
	}
	short := counts[overload.Late]+counts[overload.Hopeless] > 0
	s.selection.short[k.service] = s.selection.short[k.service] || short
	if short && s.now.Sub(s.selection.notedAt) >= selectionNoteInterval {
		s.selection.notedAt = s.now
		s.emit(Note{What: "not all jobs can be on time", Detail: fmt.Sprintf("rank %d of %s: %d on time, %d late, %d hopeless, %.0f processors",
			k.rank, k.service, counts[overload.OnTime], counts[overload.Late], counts[overload.Hopeless], math.Max(c.Total, 0)/1000)})
	}
	s.emit(Selected{Rank: k.rank, OnTime: counts[overload.OnTime], Late: counts[overload.Late], Hopeless: counts[overload.Hopeless]})
}

// applySelection replaces the class of a step by what the last selection decided. Jobs that arrived
// after it, starved ones and those without an objective keep theirs.
func (s *Sched) applySelection(r *readyStep) {
	if r.stage.Spec.LongRunning || r.class == starved || !s.selects() {
		return
	}
	if p, ok := s.selection.prospects[r.round]; ok {
		r.class, r.prospect = p.class, p
		return
	}
	objective := s.objective(r.job, r.queue)
	if objective <= 0 {
		return
	}
	left := objective - s.waitTime(r.job, r.round) - s.remainingTime(r.job, r.stage, r.queue)
	r.prospect = prospect{class: r.class, beyond: r.job.BeyondRate, latestStart: s.now.Add(left)}
}
