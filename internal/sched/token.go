package sched

import "pollencroft/internal/incarnation"

// tokens are the fencing tokens of a term.
type tokens struct {
	// first is the token of orders to workers that have not restarted under this term, last the
	// highest one that the term may use.
	first, last int64
}

// workerToken is what the leader knows of the tokens of a worker's orders.
type workerToken struct {
	// token is the token of orders to this incarnation; zero means the term's first one.
	token int64
	// ordered means that an order was sent to this incarnation under this term.
	ordered bool
	// exposed means that orders to an earlier incarnation under the same ID may have the same token.
	// Without it, none of them is carried out any more once this incarnation has answered.
	exposed bool
}

// formerOrders is what the leader knows of the tokens of a worker that it has forgotten otherwise.
type formerOrders struct {
	name incarnation.Name
	workerToken
}

func (s *Sched) setTokens(ev Tokens) {
	s.tokens.first, s.tokens.last = max(s.tokens.first, ev.First), max(s.tokens.last, ev.Last)
}

// tokenOf returns the fencing token of orders to a worker.
func (s *Sched) tokenOf(w workerToken) int64 { return max(s.tokens.first, w.token) }

// tokenFor returns the fencing token of an order that is sent to a worker now.
func (s *Sched) tokenFor(w *worker) int64 {
	w.ordered = true
	return s.tokenOf(w.workerToken)
}

// raiseToken gives an incarnation a greater token than orders to the one before it under its ID, which
// it would carry out as its own. If the term may not use a greater one yet, such orders are guarded
// against by waiting.
func (s *Sched) raiseToken(next *worker, former workerToken) {
	next.token = former.token
	switch {
	case !former.ordered && !former.exposed:
	case s.tokenOf(former) < s.tokens.last:
		next.token = s.tokenOf(former) + 1
	default:
		next.exposed = true
	}
}

// recallToken gives a worker that was forgotten no lower token than it had, which it would refuse, and
// one that has restarted since a greater one.
func (s *Sched) recallToken(w *worker) {
	former, ok := s.forgotten[w.name.ID]
	switch {
	case !ok:
		return
	case w.name.Replaces(former.name):
		s.raiseToken(w, former.workerToken)
	default:
		w.workerToken = former.workerToken
	}
	delete(s.forgotten, w.name.ID)
}

// refusesFormerOrders reports whether a worker refuses all orders to earlier incarnations under its ID.
func (w *worker) refusesFormerOrders() bool { return w.fenced && !w.exposed }
