// Package quota counts what each organisation has running, and decides what more it may start.
package quota

import (
	"fmt"
	"maps"

	"pollencroft/internal/cell"
)

// Usage is what organisations have running. Every run counts that may exist, whether it is known
// to or not. It is not safe for concurrent use.
type Usage struct {
	// quotas are nil until they are known.
	quotas map[string]cell.Size
	// all is what an organisation has running, lasting the part of it that does not end by itself.
	all, lasting map[string]cell.Size
}

// New returns a usage without runs. Until quotas are set, no organisation may start anything.
func New() *Usage {
	return &Usage{all: map[string]cell.Size{}, lasting: map[string]cell.Size{}}
}

// Run is what one run uses of its organisation's quota.
type Run struct {
	// Organisation is empty for runs that no quota limits.
	Organisation string
	Size         cell.Size
	// Lasts means that the run does not end by itself.
	Lasts bool
}

// SetQuotas replaces the quotas, by organisation. A resource of which the quota is zero is not
// limited; an organisation with a negative one may start nothing.
func (u *Usage) SetQuotas(all map[string]cell.Size) {
	u.quotas = map[string]cell.Size{}
	maps.Copy(u.quotas, all)
}

// Add counts a run.
func (u *Usage) Add(r Run) { u.change(r, 1) }

// Remove stops counting a run.
func (u *Usage) Remove(r Run) { u.change(r, -1) }

func (u *Usage) change(r Run, sign int64) {
	if r.Organisation == "" {
		return
	}
	add(u.all, r, sign)
	if r.Lasts {
		add(u.lasting, r, sign)
	}
}

func add(to map[string]cell.Size, r Run, sign int64) {
	s := to[r.Organisation]
	s = cell.Size{CPU: s.CPU + sign*r.Size.CPU, Mem: s.Mem + sign*r.Size.Mem, Accel: s.Accel + sign*r.Size.Accel}
	if s == (cell.Size{}) {
		delete(to, r.Organisation)
		return
	}
	to[r.Organisation] = s
}

// Fits reports whether an organisation may start runs of that size in total.
func (u *Usage) Fits(organisation string, size cell.Size) bool {
	return u.within(organisation, u.all[organisation].Add(size))
}

// FitsBesideLasting is like Fits once everything has ended that ends by itself.
func (u *Usage) FitsBesideLasting(organisation string, size cell.Size) bool {
	return u.within(organisation, u.lasting[organisation].Add(size))
}

func (u *Usage) within(organisation string, size cell.Size) bool {
	if organisation == "" {
		return true
	}
	q, ok := u.quotas[organisation]
	return u.quotas != nil && (!ok || size.Exceeds(q) == "")
}

// Share returns the largest share of its quota that an organisation uses; zero without a quota.
func (u *Usage) Share(organisation string) float64 {
	return u.all[organisation].DominantShare(u.quotas[organisation])
}

// Limits reports whether the organisation has a quota.
func (u *Usage) Limits(organisation string) bool { return u.quotas[organisation] != cell.Size{} }

// Quota returns the organisation's quota.
func (u *Usage) Quota(organisation string) cell.Size { return u.quotas[organisation] }

// Describe returns what an organisation uses of its quota, for logs.
func (u *Usage) Describe(organisation string) string {
	used, q := u.all[organisation], u.quotas[organisation]
	return fmt.Sprintf("%s uses cpu %d of %d, mem %d of %d, accel %d of %d", organisation, used.CPU, q.CPU, used.Mem, q.Mem, used.Accel, q.Accel)
}
