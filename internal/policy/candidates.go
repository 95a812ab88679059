package policy

import (
	"cmp"
	"slices"
)

// Candidate is a worker that may be named in a query.
type Candidate struct {
	Worker string
	// Tasks is how many tasks the worker has capacity for. Known means that it was allowed before.
	Tasks int
	Known bool
	Cost  float64
}

func (c Candidate) compare(o Candidate) int {
	switch {
	case c.Known && !o.Known:
		return -1
	case !c.Known && o.Known:
		return 1
	default:
		return cmp.Compare(c.Cost, o.Cost)
	}
}

// Best keeps the best candidates in order, at most a given number. Of equal ones those that were
// added first come first. A query names a few of a thousand workers, so sorting all of them would be
// most of its cost.
type Best struct {
	All  []Candidate
	Most int
}

// Add adds a candidate, unless there are better ones enough.
func (b *Best) Add(c Candidate) {
	if len(b.All) >= b.Most && (b.Most <= 0 || c.compare(b.All[len(b.All)-1]) >= 0) {
		return
	}
	i, _ := slices.BinarySearchFunc(b.All, c, func(kept, c Candidate) int {
		if kept.compare(c) <= 0 {
			return -1
		}
		return 1
	})
	if len(b.All) >= b.Most {
		b.All = b.All[:len(b.All)-1]
	}
	b.All = slices.Insert(b.All, i, c)
}
