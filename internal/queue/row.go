package queue

import (
	"container/list"
	"time"

	"pollencroft/internal/cell"
)

// bucketWidth is how finely waiting requests are counted by deadline.
const bucketWidth = 250 * time.Millisecond

type request struct {
	Enqueue
	row *row
	// backend or peer holds the request after it was sent.
	backend, peer string
	element       *list.Element
	since         time.Time
}

// row keeps the requests of one row.
type row struct {
	Row
	waiting *indexedHeap[*request]
	// order is by arrival, newest last.
	order *list.List
	// dueCounts counts waiting requests by deadline.
	dueCounts map[int64]int
	// busy is how many hold a slot of this host.
	busy int64
	// usage is the slot time that the row had, divided by its weight.
	usage    float64
	meanTime time.Duration
	// rejectedBy are the peers that had no room for the row since they last told
	// their load.
	rejectedBy map[string]bool
	drain      drain
}

func newRow(of Row) *row {
	return &row{
		Row: of, waiting: newIndexedHeap(earlier), order: list.New(), dueCounts: map[int64]int{}, rejectedBy: map[string]bool{},
	}
}

func earlier(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}

func bucket(t time.Time) int64 { return t.UnixNano() / int64(bucketWidth) }

func (r *row) add(req *request) {
	r.waiting.set(req)
	req.element = r.order.PushBack(req)
	r.dueCounts[bucket(req.Deadline)]++
}

func (r *row) remove(req *request) {
	r.waiting.drop(req)
	r.order.Remove(req.element)
	b := bucket(req.Deadline)
	if r.dueCounts[b]--; r.dueCounts[b] == 0 {
		delete(r.dueCounts, b)
	}
}

// ahead is how many waiting requests are due no later than a deadline.
func (r *row) ahead(deadline time.Time) int {
	if last := bucket(deadline); len(r.dueCounts) > 0 {
		n := 0
		for b, count := range r.dueCounts {
			if b <= last {
				n += count
			}
		}
		return n
	}
	return 0
}

func (r *row) atLimit() bool { return r.Slots != 0 && r.busy >= r.Slots }

// load is the row's part of the queue for its weight.
func (r *row) load() float64 { return float64(len(r.waiting.items)) / float64(max(r.Weight, 1)) }

// cost is what one request of the row is charged.
func (r *row) cost() float64 {
	took := r.meanTime
	if took == 0 {
		took = initialInterval
	}
	return took.Seconds() / float64(max(r.Weight, 1))
}

// class keeps the rows of one class that have something waiting.
type class struct {
	// ready rows may be sent, blocked ones are at their limit on this host.
	ready, blocked *indexedHeap[*row]
	waiting        int
	// virtualTime is the charge of the row that was served last. A row that was idle
	// starts from there: it must not spend at once what it left unused, or its
	// burst would hold up every other row of the class.
	virtualTime float64
	drain       drain
}

func newClasses() map[cell.Class]*class {
	all := map[cell.Class]*class{}
	for _, c := range cell.Classes {
		all[c] = &class{ready: newIndexedHeap(lessUsage), blocked: newIndexedHeap(lessUsage)}
	}
	return all
}

func lessUsage(a, b *row) bool {
	if a.usage != b.usage {
		return a.usage < b.usage
	}
	return a.Name < b.Name
}

// reindex puts a row where it belongs after any change.
func (c *class) reindex(r *row) {
	switch {
	case len(r.waiting.items) == 0:
		c.ready.drop(r)
		c.blocked.drop(r)
	case r.atLimit():
		c.ready.drop(r)
		c.blocked.set(r)
	default:
		c.blocked.drop(r)
		c.ready.set(r)
	}
}
