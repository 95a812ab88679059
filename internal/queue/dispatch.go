package queue

import (
	"slices"
	"time"

	"pollencroft/internal/cell"
)

// dispatch sends while there is a slot for the request whose turn it is.
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

// next sends or lends one request of a class; nil when there is none to send.
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

// lendable is the row that has the next slot of a peer. A row whose requests
// every peer has bounced is passed over until the peers tell their load again.
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

// tooLate tells that a request would be sent in vain: its caller is gone
// before an answer can come. Each refusal lowers the measure a little, so that
// one slow answer cannot keep a row from being tried for ever.
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
	r.drain.countSend(now)
	c.drain.countSend(now)
}
