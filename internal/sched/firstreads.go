package sched

// maxFirstReads is how many workers are read for the first time at once. A new leader of thousands of
// workers that reads all of them together has no time left for its hosts, and takes those that send
// its orders for dead.
const maxFirstReads = 300

// firstReads limits how many workers are read for the first time at once. Workers on which a task may
// be running don't wait for their turn.
type firstReads struct {
	inFlight map[*worker]bool
	// waiting are the workers whose turn has not come, in order.
	waiting []*worker
}

// mayRead reports whether the worker may be read now; otherwise it is read in its turn.
func (s *Sched) mayRead(w *worker) bool {
	if w.fenced || len(w.tasks) > 0 || len(w.lostRuns) > 0 {
		return true
	}
	if len(s.firstReads.inFlight) >= maxFirstReads {
		if !w.awaitsRead {
			w.awaitsRead = true
			s.firstReads.waiting = append(s.firstReads.waiting, w)
		}
		return false
	}
	s.firstReads.inFlight[w] = true
	return true
}

// readWaiting reads the workers whose turn has come.
func (s *Sched) readWaiting() {
	for len(s.firstReads.waiting) > 0 && len(s.firstReads.inFlight) < maxFirstReads {
		next := s.firstReads.waiting[0]
		s.firstReads.waiting = s.firstReads.waiting[1:]
		next.awaitsRead = false
		if s.workers[next.Incarnation] == next {
			s.ensureHold(next)
		}
	}
}
