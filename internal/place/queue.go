package place

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// BlockReason says why waiting tasks cannot be placed.
type BlockReason int

// Block reasons. Ready tasks have not been tried since the last change that concerns them.
const (
	Ready BlockReason = iota
	NoCapacity
	GangTooLarge
	RowTaskLimit
	RowSizeLimit
	OrganisationQuota
	ReservedForUrgent
)

// isLimit reports whether the reason is a limit set in the table. Reserving capacity does not help
// against those.
func (b BlockReason) isLimit() bool {
	return b == RowTaskLimit || b == RowSizeLimit || b == OrganisationQuota
}

// entry is one placement request with the tasks of a job that still wait.
type entry struct {
	Request
	seq      int64
	shape    *shape
	pending  int
	reserved []*worker
}

func (e *entry) waiting() bool { return e.pending > 0 }

// tasksToPlace returns how many tasks have to be placed at once.
func (e *entry) tasksToPlace() int64 {
	if e.Gang {
		return int64(e.pending)
	}
	return 1
}

// shape groups waiting entries of one row that have the same size and run time. They are tried and
// blocked together, and a blocked shape does not hold up the shapes behind it.
type shape struct {
	lane    *lane
	size    cell.Size
	time    time.Duration
	blocked BlockReason
	// lastRetry is the step in which the shape was last retried.
	lastRetry int64
	// returnAt is when the entry may next return to workers where its tasks have failed; zero if the
	// shape does not wait for that.
	returnAt time.Time
	entries  []*entry
}

// head returns the oldest entry that still has waiting tasks.
func (s *shape) head() *entry {
	for len(s.entries) > 0 && !s.entries[0].waiting() {
		s.entries = s.entries[1:]
	}
	if len(s.entries) == 0 {
		return nil
	}
	return s.entries[0]
}

// lane holds the waiting entries of one row in one class.
type lane struct {
	class             cell.Class
	row, organisation string
	weight            int64
	shapes            []*shape
	// ready lists the shapes that have not been tried since the last change that concerns them.
	ready []*shape
}

type laneKey struct {
	class             cell.Class
	row, organisation string
}

type shapeKey struct {
	laneKey
	size cell.Size
	time time.Duration
}

// queue holds all waiting entries by class, row and shape.
type queue struct {
	seq    int64
	lanes  map[laneKey]*lane
	order  [][]*lane
	shapes map[shapeKey]*shape
	tasks  map[string]*entry
	// turn is the position among the blocked shapes at which wakeInTurn continues.
	turn int
}

func newQueue() queue {
	return queue{
		lanes: map[laneKey]*lane{}, order: make([][]*lane, len(cell.Classes)), shapes: map[shapeKey]*shape{}, tasks: map[string]*entry{},
	}
}

func (q *queue) lane(w Request) *lane {
	key := laneKey{class: w.Class, row: w.Row, organisation: w.Organisation}
	l, ok := q.lanes[key]
	if !ok {
		l = &lane{class: w.Class, row: w.Row, organisation: w.Organisation}
		q.lanes[key] = l
		q.order[w.Class] = append(q.order[w.Class], l)
	}
	l.weight = w.Weight
	return l
}

func (q *queue) add(now time.Time, w Request) {
	q.seq++
	if w.Since.IsZero() {
		w.Since = now
	}
	e := &entry{Request: w, seq: q.seq}
	for _, task := range w.Tasks {
		if _, ok := q.tasks[task]; !ok {
			q.tasks[task] = e
			e.pending++
		}
	}
	l := q.lane(w)
	key := shapeKey{laneKey: laneKey{class: w.Class, row: w.Row, organisation: w.Organisation}, size: w.Size, time: w.RunTime}
	// Entries that cannot be tried together with others get a shape of their own.
	own := w.Gang || w.Spread || len(w.Avoid) > 0
	s, ok := q.shapes[key]
	if own || !ok {
		s = &shape{lane: l, size: w.Size, time: w.RunTime}
		l.shapes = append(l.shapes, s)
		l.ready = append(l.ready, s)
	}
	if !own {
		q.shapes[key] = s
	}
	e.shape = s
	s.entries = append(s.entries, e)
}

// drop removes a waiting task. It returns false if the task is not waiting. The cost does not
// depend on the length of the queue, so cancelling many jobs takes linear time.
func (q *queue) drop(task string) bool {
	e, ok := q.tasks[task]
	if !ok {
		return false
	}
	delete(q.tasks, task)
	e.pending--
	return true
}

// pop removes and returns the next waiting task of an entry.
func (q *queue) pop(e *entry) string {
	for {
		task := e.Tasks[0]
		e.Tasks = e.Tasks[1:]
		if q.tasks[task] == e {
			q.drop(task)
			return task
		}
	}
}

func (q *queue) block(s *shape, why BlockReason) {
	s.blocked = why
	if i := slices.Index(s.lane.ready, s); i >= 0 {
		s.lane.ready = slices.Delete(s.lane.ready, i, i+1)
	}
}

func (q *queue) markReady(s *shape) {
	if s.blocked != Ready {
		s.blocked = Ready
		s.lane.ready = append(s.lane.ready, s)
	}
}

// wake makes those blocked shapes ready for which passed returns true, and removes empty shapes.
func (q *queue) wake(passed func(*shape) bool) {
	for _, lanes := range q.order {
		for _, l := range lanes {
			l.shapes = slices.DeleteFunc(l.shapes, func(s *shape) bool {
				if s.head() == nil {
					q.deleteShape(s)
					return true
				}
				if s.blocked != Ready && passed(s) {
					q.markReady(s)
				}
				return false
			})
		}
	}
}

// waitingEntries lists the entries with waiting tasks.
func (q *queue) waitingEntries() []*entry {
	var all []*entry
	for _, lanes := range q.order {
		for _, l := range lanes {
			for _, s := range l.shapes {
				for _, e := range s.entries {
					if e.waiting() {
						all = append(all, e)
					}
				}
			}
		}
	}
	return all
}

// wakeReturning makes the blocked shapes ready whose tasks may return to workers where they have failed.
func (q *queue) wakeReturning(now time.Time) {
	q.wake(func(s *shape) bool { return !s.returnAt.IsZero() && !s.returnAt.After(now) })
}

// wakeInTurn makes up to n blocked shapes ready, in each call the next ones.
func (q *queue) wakeInTurn(n int) {
	blocked, i := 0, 0
	q.wake(func(*shape) bool { blocked++; return false })
	if blocked == 0 {
		return
	}
	first := q.turn % blocked
	q.wake(func(*shape) bool {
		i++
		return (i-1+blocked-first)%blocked < n
	})
	q.turn = first + n
}

// usageFunc returns what a lane's organisation and row already use. Lanes of one class are sorted by it.
type usageFunc func(*lane) (organisation, row float64)

// next returns the first ready entry: by class, then by the usage of the lane, then by age.
func (q *queue) next(of usageFunc) *entry { return q.firstInOrder(of, q.firstReady) }

// nextBlocked returns, in the order of next, the first entry of the blocked shapes for which passed
// returns true.
func (q *queue) nextBlocked(of usageFunc, passed func(*shape) bool) *entry {
	return q.firstInOrder(of, func(l *lane) *entry {
		var first *entry
		for _, s := range l.shapes {
			if s.blocked == Ready || !passed(s) {
				continue
			}
			if e := s.head(); e != nil && (first == nil || e.seq < first.seq) {
				first = e
			}
		}
		return first
	})
}

func (q *queue) firstInOrder(of usageFunc, in func(*lane) *entry) *entry {
	for _, lanes := range q.order {
		var first *entry
		var firstOrganisation, firstRow float64
		for _, l := range lanes {
			e := in(l)
			if e == nil {
				continue
			}
			organisation, row := of(l)
			if first == nil || organisation < firstOrganisation || organisation == firstOrganisation && (row < firstRow || row == firstRow && e.seq < first.seq) {
				first, firstOrganisation, firstRow = e, organisation, row
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

func (q *queue) firstReady(l *lane) *entry {
	var first *entry
	l.ready = slices.DeleteFunc(l.ready, func(s *shape) bool {
		e := s.head()
		if e != nil && (first == nil || e.seq < first.seq) {
			first = e
		}
		if e == nil {
			q.deleteShape(s)
		}
		return e == nil
	})
	return first
}

func (q *queue) deleteShape(s *shape) {
	key := shapeKey{laneKey: laneKey{class: s.lane.class, row: s.lane.row, organisation: s.lane.organisation}, size: s.size, time: s.time}
	if q.shapes[key] == s {
		delete(q.shapes, key)
	}
}

// applyRule applies a changed rule to the entries that already wait. Without this, an accepted edit
// of the table would apply only to new jobs.
func (q *queue) applyRule(ev RuleChanged) {
	for key, l := range q.lanes {
		if key.row != ev.Row {
			continue
		}
		l.weight = ev.Weight
		for _, s := range l.shapes {
			for _, e := range s.entries {
				e.Rule = ev.Rule
			}
			if s.blocked.isLimit() {
				q.markReady(s)
			}
		}
	}
}
