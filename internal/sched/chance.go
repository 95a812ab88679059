package sched

import (
	"cmp"
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
)

// deadlineClass tells which steps of equal rank go first.
type deadlineClass int

const (
	// onTime is work that can still end when its caller was promised, if it begins now.
	onTime deadlineClass = iota
	// late is work that ends too late whatever is done, but not by much.
	late
	// hopeless is work whose caller has most likely made do without it.
	hopeless
	// starved is work that has waited for so long that a part of the workers is left
	// to it.
	starved
)

const (
	// lateFactor is by how many times its objective a job may end late before it counts as
	// hopeless.
	lateFactor = 3
	// starvedFactor is after how many times its objective a job counts as starved, and
	// starvedShare the part of a service's workers that starved jobs may take before
	// others: one eighth is what a cell should have to spare at the load that it is
	// meant for, and newer work that is in time stays so.
	starvedFactor = 8
	starvedShare  = 0.125
)

// deadlineClassOf judges a step by what is left of its job. After an outage, or with more work
// than workers for a while, everybody is late if the oldest goes first: one waits for
// the other, each ends just too late, and so it goes on for as long as there is a queue.
// With those first that can still be in time, only as many are late as there is too much
// work for. Jobs that last have no end to be late for.
func (s *Sched) deadlineClassOf(j *flow.Job, r *flow.Round, st *flow.Stage, q flow.Queue) deadlineClass {
	if !s.enabled(OnTimeFirst) || st.Spec.Lasts {
		return onTime
	}
	objective := j.Objective(q)
	waited := s.waitedSince(j, r)
	ends := waited + j.Left(st)
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

// waitedSince is how long ago a job was accepted, or its round was due.
func (s *Sched) waitedSince(j *flow.Job, r *flow.Round) time.Duration {
	if r.Due.IsZero() {
		return s.now.Sub(j.Began)
	}
	return s.now.Sub(r.Due)
}

// promoteStarved lets the oldest of the starved steps go before others, as far as the starved
// ones that run leave of their share. Without it late work would wait for as long as
// newer work comes; without the share all that was late together would be first together
// and everybody else late again.
func (s *Sched) promoteStarved(steps []readyStep, pools map[string]*pool) {
	var waiting []*readyStep
	for i := range steps {
		if steps[i].class == starved {
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
		need := r.stage.Spec.Room().Times(float64(len(r.tasks)))
		if sum := taken[name].Add(need); taken[name] == (cell.Size{}) || sum.Share(p.total) <= starvedShare {
			taken[name] = sum
			r.class = onTime
			continue
		}
		// Smaller ones would pass it by for ever.
		full[name] = true
	}
}

// starvedUsage is by service the room that starved jobs take now.
func (s *Sched) starvedUsage() map[string]cell.Size {
	taken := map[string]cell.Size{}
	for _, w := range s.workers {
		for _, t := range w.tasks {
			q := s.queue(t.Job)
			r, ok := t.Job.Rounds[t.Name.Round]
			if ok && s.deadlineClassOf(t.Job, r, t.Step, q) == starved {
				taken[q.Service] = taken[q.Service].Add(t.Spec().Room())
			}
		}
	}
	return taken
}
