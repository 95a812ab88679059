package sched

import (
	"cmp"
	"slices"

	"pollencroft/internal/flow"
)

// candidate is a worker that may be named in a question.
type candidate struct {
	life string
	// tasks is how many it has room for, known that it was allowed before.
	tasks int
	known bool
	cost  float64
}

func (c candidate) compare(o candidate) int {
	switch {
	case c.known && !o.known:
		return -1
	case !c.known && o.known:
		return 1
	default:
		return cmp.Compare(c.cost, o.cost)
	}
}

// naming is whom a question about a step may name.
type naming struct {
	// now have room, later are other workers that nobody asked about yet.
	now, later []candidate
	// most is how many tasks could start if all were allowed.
	most int
}

// worthNaming lists workers that have room for n tasks of the step and may be allowed, the
// best first, and as many as the tasks need; then others of which an answer tells more
// than it costs. It lists none if nothing could start whatever the answer is.
func (s *Sched) worthNaming(r ready, a *advice, p *pool, n int) []string {
	all := s.naming(r, a, p)
	if len(all.now) == 0 || r.stage.Spec.Gang && all.most < n {
		return nil
	}
	rate, more := s.rate(r.queue), s.mostMore(r.queue.Advice)
	want := float64(n) * spare
	var named []string
	for _, c := range append(all.now, all.later...) {
		if want <= 0 && len(named) >= more || len(named) == mostNamed {
			break
		}
		named = append(named, c.life)
		part := rate
		if c.known {
			part = 1
		}
		want -= part * float64(c.tasks)
	}
	return named
}

// naming sorts the workers of a pool by what a question about them would tell.
func (s *Sched) naming(r ready, a *advice, p *pool) naming {
	var all naming
	room, some := r.stage.Spec.Room(), false
	for _, w := range p.workers {
		got, known := a.good[w.Life]
		fits := room.Fits(w.open().Sub(w.booked))
		some = some || fits
		switch {
		case a.bad[w.Life] || !room.Fits(w.Size) || !s.suits(r, r.tasks[0], w):
		case !fits:
			if !known {
				all.later = append(all.later, candidate{life: w.Life, cost: s.cost(r, w)})
			}
		default:
			hold := r.hold(w)
			all.most += hold
			if !known || !s.now.Before(got.until) {
				// One with a ticket was passed over for another reason.
				all.now = append(all.now, candidate{life: w.Life, tasks: hold, known: known, cost: s.cost(r, w)})
			}
		}
	}
	if !some {
		p.none = append(p.none, room)
	}
	slices.SortStableFunc(all.now, candidate.compare)
	slices.SortStableFunc(all.later, candidate.compare)
	return all
}

// mostMore is how many workers a question may name without taking much longer.
func (s *Sched) mostMore(a *flow.Advice) int {
	switch {
	case !s.on(NameMore):
		return 0
	case a.Each <= 0:
		return mostNamed
	}
	return int(moreCost * float64(a.Base) / float64(a.Each))
}

// hold is how many of the step's tasks a worker has room for.
func (r ready) hold(w *worker) int {
	st := r.stage.Spec
	n := min(int64(len(r.tasks)), st.Room().Into(w.free()))
	if st.Apart > 0 {
		n = min(n, int64(st.Apart-w.count(r.stage)))
	}
	return int(max(n, 1))
}
