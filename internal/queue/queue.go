// Package queue decides which request is sent to which backend server, and when. Urgent
// requests go first and have a reserve of slots. Within a class, rows share the slots by
// weight; within a row, the request with the earliest deadline goes first. Requests that
// cannot be answered in time are refused early, bulk requests first.
package queue

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// Limits bounds the queue of one host.
type Limits struct {
	// Length is how many requests may wait in total.
	Length int
	// Reserve is the maximum share of the slots that is kept free from bulk requests.
	Reserve float64
}

// DefaultLimits is suitable for a small entry host.
var DefaultLimits = Limits{Length: 4096, Reserve: 0.25}

// Queue is the state machine of one host's request queue.
type Queue struct {
	limits   Limits
	rows     map[string]*row
	classes  map[cell.Class]*class
	waiting  map[string]*request
	sent     map[string]*request
	due      *indexedHeap[*request]
	local    *pool
	peers    *pool
	reserved reserveEstimate
}

// New returns an empty queue without backend servers.
func New(limits Limits) *Queue {
	return &Queue{
		limits: limits, rows: map[string]*row{}, classes: newClasses(), waiting: map[string]*request{},
		sent: map[string]*request{}, due: newIndexedHeap(earlier), local: newPool(), peers: newPool(),
		reserved: reserveEstimate{level: initialReserve},
	}
}

// Step handles one event and returns the resulting actions in order.
func (q *Queue) Step(now time.Time, ev Event) []Action {
	var acts []Action
	switch ev := ev.(type) {
	case Enqueue:
		acts = q.enqueue(now, ev)
	case Ended:
		q.ended(ev)
	case LendRejected:
		q.lendRejected(now, ev.ID)
	case Cancelled:
		q.remove(q.waiting[ev.ID])
	case Shares:
		q.local.replace(ev.All)
	case Peers:
		q.setPeers(ev.All)
	case RowChanged:
		q.updateRow(now, ev.Row)
	case Tick:
		acts = q.refuseHopeless(now)
	}
	q.reserved.decay(now)
	acts = append(acts, q.expire(now)...)
	acts = append(acts, q.dispatch(now)...)
	if ask, ok := ev.(Enqueue); ok && ask.FromPeer && q.waiting[ask.ID] != nil {
		acts = append(acts, q.refuseWaiting(now, q.waiting[ask.ID], Busy))
	}
	return acts
}

func (q *Queue) enqueue(now time.Time, a Enqueue) []Action {
	r := q.updateRow(now, a.Row)
	ahead := r.ahead(a.Deadline)
	var acts []Action
	switch {
	case a.FromPeer:
	case !a.Deadline.After(now), ahead > 0 && q.wouldMissDeadline(now, r, ahead, a.Deadline):
		return []Action{q.refuse(now, r, a.ID, TooLate)}
	case a.Row.MaxQueued > 0 && int64(len(r.waiting.items)) >= a.Row.MaxQueued:
		return []Action{q.refuse(now, r, a.ID, Full)}
	case len(q.waiting) >= q.limits.Length:
		victim := q.victim(r)
		if victim == nil {
			return []Action{q.refuse(now, r, a.ID, Full)}
		}
		acts = append(acts, q.refuseWaiting(now, victim, Full))
	}
	q.add(now, &request{Enqueue: a, row: r})
	return acts
}

// victim returns the request to refuse in favor of a new one of row asks when the queue is
// full: the newest request of the most loaded row in the least urgent class that has waiting
// requests. It returns nil if that class is more urgent than the new request's, or is the
// same and none of its rows has a higher load than asks would have.
func (q *Queue) victim(asks *row) *request {
	for _, c := range slices.Backward(cell.Classes) {
		if c < asks.Class {
			return nil
		}
		var worst *row
		for _, rows := range []*indexedHeap[*row]{q.classes[c].ready, q.classes[c].blocked} {
			for _, r := range rows.items {
				if worst == nil || r.load() > worst.load() || r.load() == worst.load() && r.Name < worst.Name {
					worst = r
				}
			}
		}
		if worst != nil && (c > asks.Class || worst.load() > asks.load()+1/float64(max(asks.Weight, 1))) {
			return worst.order.Back().Value.(*request)
		}
	}
	return nil
}

// updateRow applies a row's new limits, also to the requests that already wait.
func (q *Queue) updateRow(now time.Time, to Row) *row {
	r, ok := q.rows[to.Name]
	if !ok {
		r = newRow(to)
		q.rows[to.Name] = r
	}
	if r.Class != to.Class {
		q.changeClass(now, r, to.Class)
	}
	r.Row = to
	q.classes[r.Class].reindex(r)
	return r
}

func (q *Queue) changeClass(now time.Time, r *row, to cell.Class) {
	from, into, n := q.classes[r.Class], q.classes[to], len(r.waiting.items)
	from.ready.drop(r)
	from.blocked.drop(r)
	from.waiting -= n
	if into.waiting == 0 {
		into.drain.Restart(now)
	}
	into.waiting += n
	r.usage = into.virtualTime
	r.Class = to
}

func (q *Queue) add(now time.Time, req *request) {
	r := req.row
	c := q.classes[r.Class]
	if len(r.waiting.items) == 0 {
		r.drain.Restart(now)
		if r.busy == 0 {
			r.usage = max(r.usage, c.virtualTime)
		}
	}
	if c.waiting == 0 {
		c.drain.Restart(now)
	}
	c.waiting++
	req.since = now
	r.add(req)
	q.waiting[req.ID] = req
	q.due.set(req)
	c.reindex(r)
}

func (q *Queue) remove(req *request) {
	if req == nil {
		return
	}
	c := q.classes[req.row.Class]
	c.waiting--
	req.row.remove(req)
	delete(q.waiting, req.ID)
	q.due.drop(req)
	c.reindex(req.row)
}

func (q *Queue) refuse(now time.Time, r *row, id string, why Reason) Refuse {
	return Refuse{ID: id, Reason: why, RetryAfter: q.retryAfter(now, r)}
}

func (q *Queue) refuseWaiting(now time.Time, req *request, why Reason) Refuse {
	refusal := q.refuse(now, req.row, req.ID, why)
	q.remove(req)
	return refusal
}

// expire refuses the requests whose deadline has passed.
func (q *Queue) expire(now time.Time) []Action {
	var acts []Action
	for req := q.due.first(); req != nil && !req.Deadline.After(now); req = q.due.first() {
		acts = append(acts, q.refuseWaiting(now, req, TooLate))
	}
	return acts
}

// refuseHopeless refuses the newest requests of each row that can no longer be sent in time,
// so that their callers learn of it now rather than at the deadline.
func (q *Queue) refuseHopeless(now time.Time) []Action {
	var acts []Action
	for _, c := range slices.Backward(cell.Classes) {
		for _, rows := range []*indexedHeap[*row]{q.classes[c].ready, q.classes[c].blocked} {
			for _, r := range slices.Clone(rows.items) {
				acts = append(acts, q.refuseNewest(now, r)...)
			}
		}
	}
	return acts
}

func (q *Queue) refuseNewest(now time.Time, r *row) []Action {
	var acts []Action
	for n := len(r.waiting.items); n > 1; n-- {
		newest := r.order.Back().Value.(*request)
		if !q.wouldMissDeadline(now, r, r.ahead(newest.Deadline)-1, newest.Deadline) {
			break
		}
		acts = append(acts, q.refuseWaiting(now, newest, TooLate))
	}
	return acts
}

func (q *Queue) ended(ev Ended) {
	req, ok := q.sent[ev.ID]
	if !ok {
		return
	}
	r := req.row
	q.release(req)
	if ev.Took > 0 && !ev.Failed {
		if r.meanTime == 0 {
			r.meanTime = ev.Took
		}
		r.meanTime = (r.meanTime*7 + ev.Took) / 8
	}
	q.classes[r.Class].reindex(r)
}

// release frees the slot that a sent request held.
func (q *Queue) release(req *request) {
	delete(q.sent, req.ID)
	if req.peer != "" {
		q.peers.release(req.peer)
		return
	}
	q.local.release(req.backend)
	req.row.busy--
}

// lendRejected puts a request back into its row. Since the row is ordered by deadline, the
// request gets its former position.
func (q *Queue) lendRejected(now time.Time, id string) {
	req, ok := q.sent[id]
	if !ok || req.peer == "" {
		return
	}
	q.release(req)
	req.row.rejectedBy[req.peer] = true
	req.peer = ""
	q.add(now, req)
}

// setPeers sets the peers' free slots. The announced numbers already exclude the slots that
// requests of this host hold there, so these are added again.
func (q *Queue) setPeers(all []Peer) {
	shares := make([]Share, 0, len(all))
	for _, p := range all {
		busy := 0
		if m, ok := q.peers.all[p.Name]; ok {
			busy = m.busy
		}
		shares = append(shares, Share{Backend: p.Name, Slots: p.Free + busy})
	}
	q.peers.replace(shares)
	for _, r := range q.rows {
		clear(r.rejectedBy)
	}
}

// Overcommitted reports whether a backend server has more requests of this host than this
// host's current share of its slots.
func (q *Queue) Overcommitted() bool {
	for _, m := range q.local.all {
		if m.busy > m.slots {
			return true
		}
	}
	return false
}

// Load returns how many slots are free and how many requests wait.
func (q *Queue) Load() (free, waiting int) { return q.local.free, len(q.waiting) }

// WaitingRows lists the rows that have waiting requests.
func (q *Queue) WaitingRows() []string {
	var names []string
	for _, c := range q.classes {
		for _, rows := range []*indexedHeap[*row]{c.ready, c.blocked} {
			for _, r := range rows.items {
				names = append(names, r.Name)
			}
		}
	}
	return names
}
