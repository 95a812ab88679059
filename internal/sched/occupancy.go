package sched

import (
	"pollencroft/internal/cell"
	"pollencroft/internal/flow"
	"pollencroft/internal/quota"
)

// stepKey identifies a step of one round of a job.
type stepKey struct {
	job         string
	round, step int
}

func stepOf(n flow.Name) stepKey { return stepKey{n.Job, n.Round, n.Step} }

// footprint is what one run takes on its worker.
type footprint struct {
	step  stepKey
	spec  flow.Step
	quota quota.Run
}

func footprintOf(j *flow.Job, n flow.Name) footprint {
	st := j.Spec.Steps[n.Step]
	return footprint{step: stepOf(n), spec: st, quota: quotaRun(j, st)}
}

// occupancy is what all runs take that may be on a worker, whether they are tracked or not.
type occupancy struct {
	// used is the capacity that the runs use.
	used cell.Size
	// bestEffortCPU is the processors of best-effort runs, which are not part of used.
	bestEffortCPU int64
	// steps counts the runs of each step.
	steps map[stepKey]int
	// usage is what the organisations have running on all workers.
	usage *quota.Usage
}

func newOccupancy(u *quota.Usage) occupancy {
	return occupancy{steps: map[stepKey]int{}, usage: u}
}

// book counts a run, and reports whether more runs of its step are booked than may be there.
func (o *occupancy) book(f footprint) (exceeded bool) {
	o.used = o.used.Add(f.spec.Demand())
	if f.spec.BestEffort {
		o.bestEffortCPU += f.spec.Size.CPU
	}
	o.usage.Add(f.quota)
	o.steps[f.step]++
	return f.spec.MaxPerWorker > 0 && o.steps[f.step] > f.spec.MaxPerWorker
}

// runsOf returns how many runs of a step may be on the worker.
func (o *occupancy) runsOf(st *flow.Stage) int { return o.steps[stepOf(st.Tasks[0].Name)] }

// release stops counting a run.
func (o *occupancy) release(f footprint) {
	o.used = o.used.Sub(f.spec.Demand())
	if f.spec.BestEffort {
		o.bestEffortCPU -= f.spec.Size.CPU
	}
	o.usage.Remove(f.quota)
	if o.steps[f.step]--; o.steps[f.step] == 0 {
		delete(o.steps, f.step)
	}
}
