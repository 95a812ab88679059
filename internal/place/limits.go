package place

import (
	"fmt"

	"pollencroft/internal/cell"
)

// checkLimits returns the limit that forbids one more of the entry's tasks (all of them for a
// gang) with that size, or Ready.
func (p *Placer) checkLimits(e *entry, one cell.Size) BlockReason {
	n := e.tasksToPlace()
	size := multiply(one, n)
	row, organisation := p.rowUsage[e.Row], p.organisationUsage[e.Organisation]
	switch {
	case e.MaxTasks != 0 && row.tasks+n > e.MaxTasks:
		return RowTaskLimit
	case row.size.Add(size).Exceeds(e.Limit) != "":
		return RowSizeLimit
	case e.QuotaTasks != 0 && organisation.tasks+n > e.QuotaTasks, organisation.size.Add(size).Exceeds(e.Quota) != "":
		return OrganisationQuota
	case e.Class == cell.Bulk && !p.keepsUrgentReserve(size), p.delaysOverdueBulk(e, size):
		return ReservedForUrgent
	default:
		return Ready
	}
}

// keepsUrgentReserve reports whether the urgent reserve stays free if bulk tasks get that much
// more. Without the reserve, the bulk tasks of a night would use the last free capacity, and an
// urgent task would have to wait for a preemption.
func (p *Placer) keepsUrgentReserve(size cell.Size) bool {
	return p.free.Sub(size).MinShare(p.total) >= p.limits.UrgentReserve
}

// delaysOverdueBulk reports whether an entry would use capacity that an overdue bulk job waits for.
// Only bulk jobs have to leave the urgent reserve free, so other jobs that use all capacity as it
// is freed would block the bulk job forever.
func (p *Placer) delaysOverdueBulk(e *entry, size cell.Size) bool {
	old := p.overdue
	if old == nil || old == e || e.Class == cell.Urgent || old.Class != cell.Bulk || !old.waiting() {
		return false
	}
	return !p.keepsUrgentReserve(size.Add(old.Size))
}

// multiply returns n times size. Resources that overflow are set to maxPart, which fits nowhere.
func multiply(size cell.Size, n int64) cell.Size {
	return cell.Size{CPU: multiplyPart(size.CPU, n), Mem: multiplyPart(size.Mem, n), Accel: multiplyPart(size.Accel, n)}
}

const maxPart = int64(1)<<62 - 1

func multiplyPart(v, n int64) int64 {
	if v > 0 && n > maxPart/v {
		return maxPart
	}
	return v * n
}

// InfeasibleError reports that a job can never run. It names the most relevant limit, how much of
// it the job needs and how much there is.
type InfeasibleError struct {
	Limit             string
	Needed, Available int64
}

func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("can never run: needs %d of %s, there is %d", e.Needed, e.Limit, e.Available)
}

// CheckFeasible returns an InfeasibleError for a job that could not run even if all other tasks
// ended, and nil for a job that can run or about which nothing is known yet because no worker is
// up.
func (p *Placer) CheckFeasible(w Request) error {
	n := int64(len(w.Tasks))
	if !w.Gang {
		n = 1
	}
	for _, l := range []struct {
		name string
		has  int64
	}{{"the row's tasks at a time", w.MaxTasks}, {"the organisation's tasks at a time", w.QuotaTasks}} {
		if l.has != 0 && n > l.has {
			return &InfeasibleError{Limit: l.name, Needed: n, Available: max(l.has, 0)}
		}
	}
	total := multiply(w.Size, n)
	for _, l := range []struct {
		name string
		size cell.Size
	}{{"the row's room", w.Limit}, {"the organisation's quota", w.Quota}} {
		if part := total.Exceeds(l.size); part != "" {
			return infeasible(l.name, part, total, l.size)
		}
	}
	return p.checkWorkers(w, n)
}

func (p *Placer) checkWorkers(w Request, n int64) error {
	if len(p.workers) == 0 {
		return nil
	}
	holds, fits := int64(0), false
	for _, k := range p.workers {
		if w.Size.Fits(k.size) {
			fits = true
			holds += countFitting(k.size, w.Size)
		}
	}
	if !fits {
		part := lackingPart(w.Size, p.index.largest)
		return infeasible("the largest worker", part, w.Size, p.index.largest)
	}
	if w.Gang && holds < n {
		return &InfeasibleError{Limit: "tasks that all workers hold at once", Needed: n, Available: holds}
	}
	return nil
}

// lackingPart names the first resource of which even the largest worker has too little. If each
// resource alone is available, no single worker has all of them together.
func lackingPart(size, largest cell.Size) string {
	if part := size.Exceeds(cell.Size{CPU: max(largest.CPU, 1), Mem: max(largest.Mem, 1)}); part != "" {
		return part
	}
	if size.Accel > largest.Accel {
		return "accel"
	}
	return "cpu with mem and accel"
}

func infeasible(limit, part string, needed, has cell.Size) error {
	parts := map[string][2]int64{"cpu": {needed.CPU, has.CPU}, "mem": {needed.Mem, has.Mem}, "accel": {needed.Accel, has.Accel}}
	v := parts[part]
	return &InfeasibleError{Limit: part + " of " + limit, Needed: v[0], Available: v[1]}
}

// countFitting returns how many tasks of that size fit into capacity.
func countFitting(capacity, size cell.Size) int64 {
	n := maxPart
	for _, part := range [][2]int64{{capacity.CPU, size.CPU}, {capacity.Mem, size.Mem}, {capacity.Accel, size.Accel}} {
		if part[1] > 0 {
			n = min(n, max(part[0], 0)/part[1])
		}
	}
	return n
}
