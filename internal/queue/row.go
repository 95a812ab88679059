package queue

import (
	"container/list"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/drain"
)

// bucketWidth is the resolution at which waiting requests are counted by deadline.
const bucketWidth = 250 * time.Millisecond

type request struct {
	Enqueue
	row *row
	// backend or peer is where the request was sent.
	backend, peer string
	element       *list.Element
	since         time.Time
}

// row holds the requests of one row.
type row struct {
	Row
	waiting *indexedHeap[*request]
	// order holds the waiting requests by arrival, the newest last.
	order *list.List
	// dueCounts counts the waiting requests by deadline bucket.
	dueCounts map[int64]int
	// busy is how many requests hold a slot of this host.
	busy int64
	// usage is the slot time that the row has been charged, divided by its weight.
	usage float64
	// meanTime is the moving average of the time that the row's successful requests took.
	meanTime time.Duration
	// rejectedBy holds the peers that have had no slot for the row since they last announced
	// their load.
	rejectedBy map[string]bool
	drain      drain.Meter
}

func newRow(of Row) *row {
	return &row{
		Row: of, waiting: newIndexedHeap(earlier), order: list.New(), dueCounts: map[int64]int{}, rejectedBy: map[string]bool{}, drain: newDrain(),
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

// ahead returns how many waiting requests are due no later than a deadline, to the resolution
// of bucketWidth.
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

// load returns the number of the row's waiting requests divided by its weight.
func (r *row) load() float64 { return float64(len(r.waiting.items)) / float64(max(r.Weight, 1)) }

// cost returns the usage that one request of the row is charged.
func (r *row) cost() float64 {
	took := r.meanTime
	if took == 0 {
		took = initialInterval
	}
	return took.Seconds() / float64(max(r.Weight, 1))
}

// class holds the rows of one class that have waiting requests.
type class struct {
	// ready holds the rows whose requests may be sent, blocked those at their limit on this
	// host.
	ready, blocked *indexedHeap[*row]
	waiting        int
	// virtualTime is the usage of the row that was served last. A row that was idle starts
	// from there: if it could use up at once what it left unused, its burst would hold up
	// every other row of the class.
	virtualTime float64
	drain       drain.Meter
}

func newClasses() map[cell.Class]*class {
	all := map[cell.Class]*class{}
	for _, c := range cell.Classes {
		all[c] = &class{ready: newIndexedHeap(lessUsage), blocked: newIndexedHeap(lessUsage), drain: newDrain()}
	}
	return all
}

func lessUsage(a, b *row) bool {
	if a.usage != b.usage {
		return a.usage < b.usage
	}
	return a.Name < b.Name
}

// reindex moves a row into the right heap, and to the right position in it, after a change.
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
