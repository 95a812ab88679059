package measure

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/place"
)

// Scan is the baseline for placement decisions. On every event it goes through the queue by class
// and age and scans all workers for each waiting task.
type Scan struct {
	names   []string
	free    []cell.Size
	taken   map[string]cell.Size
	on      map[string]int
	waiting [][]place.Request
	// firstFit selects the first worker on which a task fits, instead of the fullest one. With
	// singleQueue set, all classes share one queue, in which no task passes the first one.
	firstFit, singleQueue bool
}

// NewFirstFit returns the baseline for packing, which selects the first worker with enough free
// capacity for the declared size.
func NewFirstFit() *Scan {
	s := NewScan()
	s.firstFit = true
	return s
}

// NewFIFO returns the baseline for waiting times, a first-fit placement with one queue for all
// classes in order of arrival.
func NewFIFO() *Scan {
	s := NewFirstFit()
	s.singleQueue = true
	return s
}

// NewScan returns a Scan without workers.
func NewScan() *Scan {
	return &Scan{
		taken: map[string]cell.Size{}, on: map[string]int{},
		waiting: make([][]place.Request, len(cell.Classes)),
	}
}

// Step handles place.Up, place.Request and place.Freed as the placement state machine does, and
// ignores all other events.
func (s *Scan) Step(_ time.Time, ev place.Event) []place.Action {
	switch ev := ev.(type) {
	case place.Up:
		s.names = append(s.names, ev.Worker)
		s.free = append(s.free, ev.Size)
	case place.Request:
		c := ev.Class
		if s.singleQueue {
			c = cell.Urgent
		}
		s.waiting[c] = append(s.waiting[c], ev)
	case place.Freed:
		if i, ok := s.on[ev.Task]; ok {
			s.free[i] = s.free[i].Add(s.taken[ev.Task])
			delete(s.on, ev.Task)
			delete(s.taken, ev.Task)
			break
		}
		s.drop(ev.Task)
	default:
		return nil
	}
	return s.fill()
}

func (s *Scan) drop(task string) {
	for c := range s.waiting {
		s.waiting[c] = slices.DeleteFunc(s.waiting[c], func(w place.Request) bool { return w.Tasks[0] == task })
	}
}

func (s *Scan) fill() []place.Action {
	var acts []place.Action
	for c := range s.waiting {
		held := false
		s.waiting[c] = slices.DeleteFunc(s.waiting[c], func(w place.Request) bool {
			if held {
				return false
			}
			i := s.best(w.Size)
			if i < 0 {
				held = s.singleQueue
				return false
			}
			s.free[i] = s.free[i].Sub(w.Size)
			s.taken[w.Tasks[0]], s.on[w.Tasks[0]] = w.Size, i
			acts = append(acts, place.Assign{Task: w.Tasks[0], Worker: s.names[i]})
			return true
		})
	}
	return acts
}

func (s *Scan) best(size cell.Size) int {
	best, least := -1, 0.0
	for i, free := range s.free {
		if !size.Fits(free) {
			continue
		}
		if left := free.Sub(size).DominantShare(workerSize); best < 0 || left < least {
			best, least = i, left
		}
		if s.firstFit {
			break
		}
	}
	return best
}
