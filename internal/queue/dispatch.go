package queue

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// dispatch sends requests, the most urgent class first, as long as there are slots for them.
func (q *Queue) dispatch(now time.Time) []Action {
	var acts []Action
	for _, c := range cell.Classes {
		for {
			act := q.next(now, q.classes[c], c)
			if act == nil {
				break
			}
			acts = append(acts, act)
		}
	}
	return acts
}

// next sends or lends one request of a class. It returns nil if none can be sent.
func (q *Queue) next(now time.Time, c *class, of cell.Class) Action {
	if r := c.ready.first(); r != nil && q.mayUse(of) {
		return q.send(now, c, r)
	}
	if q.peers.free == 0 {
		return nil
	}
	if r := q.lendable(c); r != nil {
		return q.lend(now, c, r)
	}
	return nil
}

// lendable returns the row that gets the next free slot of a peer. It skips a row whose
// requests all peers have rejected, until the peers announce their load again.
func (q *Queue) lendable(c *class) *row {
	var best *row
	for _, rows := range []*indexedHeap[*row]{c.ready, c.blocked} {
		for _, r := range rows.items {
			if (best == nil || lessUsage(r, best)) && q.pickPeer(r) != nil {
				best = r
			}
		}
	}
	return best
}

func (q *Queue) pickPeer(r *row) *backend {
	if r.waiting.first().FromPeer {
		return nil
	}
	return q.peers.pick(func(name string) bool { return r.rejectedBy[name] })
}

func (q *Queue) send(now time.Time, c *class, r *row) Action {
	req := r.waiting.first()
	if q.tooLate(now, r, req) {
		return q.refuseWaiting(now, req, TooLate)
	}
	m := q.local.pick(func(name string) bool { return slices.Contains(req.Avoid, name) })
	if m == nil {
		m = q.local.byFree.first()
	}
	req.backend = m.name
	q.local.acquire(m)
	r.busy++
	if r.Class == cell.Urgent {
		q.reserved.observe(now.Sub(req.since), r.meanTime, q.maxReserve())
	}
	q.account(now, c, req)
	return Send{ID: req.ID, Backend: m.name}
}

// tooLate reports whether it is pointless to send a request, because its caller will be gone
// before an answer can be expected. Each refusal lowers the row's mean time a little, so that
// one slow answer cannot block the row forever.
func (q *Queue) tooLate(now time.Time, r *row, req *request) bool {
	if req.Deadline.Sub(now) >= r.meanTime/2 {
		return false
	}
	r.meanTime = r.meanTime * 7 / 8
	return true
}

func (q *Queue) lend(now time.Time, c *class, r *row) Action {
	req, m := r.waiting.first(), q.pickPeer(r)
	req.peer = m.name
	q.peers.acquire(m)
	q.account(now, c, req)
	return Lend{ID: req.ID, Peer: m.name}
}

func (q *Queue) account(now time.Time, c *class, req *request) {
	r := req.row
	q.remove(req)
	q.sent[req.ID] = req
	c.virtualTime = r.usage
	r.usage += r.cost()
	c.reindex(r)
	r.drain.Count(now)
	c.drain.Count(now)
}
