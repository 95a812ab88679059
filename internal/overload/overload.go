// Package overload decides which jobs are to end in time while not all of them can.
//
// In a cell that is short of capacity, any order that looks at waiting jobs one by one makes most
// of them late: in order of acceptance each job starts when it has no time to spare, and the work of
// its first steps is lost when a later one misses the objective. Select instead chooses a set of jobs
// that fit into the capacity together until their latest ends, and gives up on the rest early: an
// admission test for earliest-deadline-first scheduling, made again as jobs end and arrive.
package overload

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// LateFactor is the multiple of its objective up to which a job that is late is still of use to
// its caller.
const LateFactor = 3

// Job is a job of one queue rank that has not ended.
type Job struct {
	// Number orders jobs by acceptance.
	Number       int64
	Organisation string
	// Begun means that a part of the job has run or is running.
	Begun bool
	// BeyondRate means that its organisation sent it beyond its rate.
	BeyondRate bool
	// Work is what is left to do, in units of capacity times seconds.
	Work float64
	// Left is the shortest time in which the rest can run.
	Left time.Duration
	// Waited is the time since the job was accepted, Objective that in which it should have ended.
	Waited, Objective time.Duration
}

// Class is a job's prospect.
type Class int

// The classes, in the order in which jobs are served.
const (
	// OnTime is a job that can end within its objective beside all others of this class.
	OnTime Class = iota
	// Late is a job that can end within LateFactor times its objective beside all others of this
	// class and of OnTime.
	Late
	// Hopeless is any other job.
	Hopeless
)

// Capacity is what a set of jobs can use.
type Capacity struct {
	// Total is the capacity that the jobs have once less urgent tasks have ended, Occupied the part of
	// it that less urgent tasks use now, and OccupiedFor how long one of them takes.
	Total, Occupied float64
	OccupiedFor     time.Duration
}

// until returns how much work can be done within d. Less urgent tasks that run are at a random point
// of their time, so what they use becomes available evenly over it.
func (c Capacity) until(d time.Duration) float64 {
	total, seconds := max(c.Total, 0), max(d.Seconds(), 0)
	occupied, each := min(c.Occupied, total), c.OccupiedFor.Seconds()
	if occupied <= 0 || each <= 0 {
		return total * seconds
	}
	part := min(seconds, each)
	return (total-occupied)*seconds + occupied*(part*part/(2*each)+seconds-part)
}

// candidate is a job under selection.
type candidate struct {
	Job
	class Class
	// due is the time until its latest end in its class.
	due     time.Duration
	dropped bool
}

// Select returns the class of each job. quotas holds the capacity of the organisations whose quota
// limits them; it may be nil.
func Select(jobs []Job, c Capacity, quotas map[string]Capacity) []Class {
	all := make([]*candidate, len(jobs))
	for i, j := range jobs {
		all[i] = &candidate{Job: j, class: soonest(j)}
	}
	for _, class := range []Class{OnTime, Late} {
		selectClass(all, class, c, quotas)
	}
	classes := make([]Class, len(jobs))
	for i, x := range all {
		classes[i] = x.class
	}
	return classes
}

// soonest returns the class that a job would have without the others.
func soonest(j Job) Class {
	switch ends := j.Waited + j.Left; {
	case ends <= j.Objective:
		return OnTime
	case ends <= LateFactor*j.Objective:
		return Late
	default:
		return Hopeless
	}
}

// selectClass moves the jobs of a class that do not fit beside the others to a later one.
func selectClass(all []*candidate, class Class, c Capacity, quotas map[string]Capacity) {
	set := make([]*candidate, 0, len(all))
	for _, x := range all {
		if x.class > class {
			continue
		}
		x.due = x.Objective - x.Waited
		if x.class == Late {
			x.due = LateFactor*x.Objective - x.Waited
		}
		set = append(set, x)
	}
	slices.SortFunc(set, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.Number, b.Number))
	})
	for name, own := range byOrganisation(set, quotas) {
		dropExcess(own, class, quotas[name])
	}
	set = slices.DeleteFunc(set, func(x *candidate) bool { return x.dropped })
	dropExcess(set, class, c)
	for _, x := range all {
		if !x.dropped {
			continue
		}
		x.dropped = false
		if x.class++; x.BeyondRate {
			// What others are owed comes first, also when they are late.
			x.class = Hopeless
		}
	}
}

// byOrganisation divides the jobs by the organisations that have a quota.
func byOrganisation(set []*candidate, quotas map[string]Capacity) map[string][]*candidate {
	all := make(map[string][]*candidate, len(quotas))
	for _, x := range set {
		if _, ok := quotas[x.Organisation]; ok {
			all[x.Organisation] = append(all[x.Organisation], x)
		}
	}
	return all
}

// dropExcess goes through jobs in the order of their latest ends, and whenever those so far need more
// capacity than there is until then, marks one of the class as dropped. Jobs of earlier classes stay,
// and so does a job that has begun and can be on time, since its work would be lost. No others are
// dropped for a job that needs more than there is even by itself: that would not save it.
func dropExcess(set []*candidate, class Class, c Capacity) {
	work := 0.0
	var victims victimHeap
	for _, x := range set {
		tooLarge, droppable := x.Work > c.until(x.due), x.class == class && (!x.Begun || class != OnTime)
		if tooLarge && droppable {
			x.dropped = true
			continue
		}
		work += x.Work
		if droppable {
			heap.Push(&victims, x)
		}
		for !tooLarge && work > c.until(x.due) && len(victims) > 0 {
			v := heap.Pop(&victims).(*candidate)
			v.dropped = true
			work -= v.Work
		}
	}
}

// victimHeap has the job that is dropped next at its top: one that has not begun before one that has,
// one beyond its organisation's rate before others, and among equal ones the newest. The newest has
// lost the least by waiting, and among jobs large and small no size is starved.
type victimHeap []*candidate

func (h victimHeap) Len() int { return len(h) }

func (h victimHeap) Less(i, j int) bool {
	switch a, b := h[i], h[j]; {
	case a.Begun != b.Begun:
		return b.Begun
	case a.BeyondRate != b.BeyondRate:
		return a.BeyondRate
	default:
		return a.Number > b.Number
	}
}

func (h victimHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *victimHeap) Push(x any) { *h = append(*h, x.(*candidate)) }

func (h *victimHeap) Pop() any {
	all := *h
	last := all[len(all)-1]
	*h = all[:len(all)-1]
	return last
}
