package sched

import (
	"cmp"
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/overload"
)

// deadlineClass orders steps of equal rank by their chance to meet their deadline.
type deadlineClass int

const (
	// onTime is work that still meets its objective if it begins now.
	onTime deadlineClass = iota
	// late is work that misses its objective in any case, but not by much.
	late
	// hopeless is work so late that its caller has most likely stopped waiting for it.
	hopeless
	// starved is work that has waited for so long that a share of the workers is reserved for it.
	starved
)

const (
	// lateFactor is the multiple of its objective after which a job's expected end counts as
	// hopeless.
	lateFactor = overload.LateFactor
	// starvedFactor is the multiple of its objective after which a waiting job counts as starved,
	// and starvedShare the share of a service's workers that starved jobs may take before others. A
	// cell should have one eighth to spare at its design load, so newer work that is on time stays
	// on time.
	starvedFactor = 8
	starvedShare  = 0.125
)

// deadlineClassOf classifies a step by the remaining work of its job. After an outage, or after a
// period of overload, strictly oldest-first order makes every job late: each waits for the one
// before and ends just too late, for as long as there is a queue. With the jobs first that can
// still be on time, only as many are late as exceed the cell's capacity. Long-running jobs have no
// deadline.
func (s *Sched) deadlineClassOf(j *flow.Job, r *flow.Round, st *flow.Stage, q flow.Queue) deadlineClass {
	if !s.enabled(OnTimeFirst) || st.Spec.LongRunning {
		return onTime
	}
	objective := s.objective(j, q)
	waited := s.waitTime(j, r)
	ends := waited + s.remainingTime(j, st, q)
	switch {
	case objective <= 0, ends <= objective:
		return onTime
	case waited > starvedFactor*objective:
		return starved
	case ends <= lateFactor*objective:
		return late
	default:
		return hopeless
	}
}

// waitTime returns the time since the job was accepted, or since its round was due.
func (s *Sched) waitTime(j *flow.Job, r *flow.Round) time.Duration {
	if r.Due.IsZero() {
		return s.now.Sub(j.Accepted)
	}
	return s.now.Sub(r.Due)
}

// promoteStarved moves the oldest starved steps ahead of others, within the share that running
// starved steps leave free. Without it late work would wait for as long as newer work arrives;
// without the limit all jobs that became late together would be promoted together and make
// everything else late again.
func (s *Sched) promoteStarved(steps []readyStep, pools map[string]*pool) {
	var waiting []*readyStep
	for i := range steps {
		if steps[i].class == starved && s.quotaAllows(steps[i]) {
			waiting = append(waiting, &steps[i])
		}
	}
	if len(waiting) == 0 {
		return
	}
	taken, full := s.starvedUsage(), map[string]bool{}
	slices.SortFunc(waiting, func(a, b *readyStep) int { return cmp.Compare(a.job.Number, b.job.Number) })
	for _, r := range waiting {
		name := r.queue.Service
		p, ok := pools[name]
		if !ok || full[name] {
			continue
		}
		need := r.stage.Spec.Demand().Scale(float64(len(r.tasks)))
		if sum := taken[name].Add(need); taken[name] == (cell.Size{}) || sum.DominantShare(p.total) <= starvedShare {
			taken[name] = sum
			r.class = onTime
			continue
		}
		// If smaller steps behind it were promoted, this step would wait forever.
		full[name] = true
	}
}

// starvedUsage returns the capacity that starved jobs use now, by service.
func (s *Sched) starvedUsage() map[string]cell.Size {
	taken := map[string]cell.Size{}
	for _, w := range s.workers {
		for _, t := range w.tasks {
			q := s.queue(t.Job)
			r, ok := t.Job.Rounds[t.Name.Round]
			if ok && s.deadlineClassOf(t.Job, r, t.Step, q) == starved {
				taken[q.Service] = taken[q.Service].Add(t.Spec().Demand())
			}
		}
	}
	return taken
}
