package sched

import "time"

func (s *Sched) setWorkers(ev Workers) {
	listed := make(map[string]bool, len(ev.All))
	for _, l := range ev.All {
		listed[l.Life] = true
		w, ok := s.workers[l.Life]
		if !ok {
			w = newWorker(l)
			s.workers[l.Life] = w
			s.do(Note{ID: l.Life, What: "worker listed", Worker: l.Life, Detail: l.Domain})
		}
		if !w.Addr.IsValid() {
			w.know(l)
		}
		w.listed, w.unlisted = true, time.Time{}
		if l.Draining && !w.draining {
			s.drain(w, l.Left)
		}
		s.keepHolding(w)
	}
	for _, w := range s.lives() {
		life := w.Life
		if !listed[life] && w.listed {
			w.listed, w.unlisted = false, s.now
			s.do(Note{ID: life, What: "worker not listed", Worker: life})
		}
	}
}

// know takes over what the platform says of a worker of which only the life was
// known, from a former lead's records.
func (w *worker) know(l Worker) {
	w.Worker = l
}

// drain moves what would not end in time; nothing more starts there.
func (s *Sched) drain(w *worker, left time.Duration) {
	w.draining = true
	w.leaves = s.now.Add(left)
	s.do(Note{ID: w.Life, What: "worker leaves", Worker: w.Life, Detail: left.String()})
}
