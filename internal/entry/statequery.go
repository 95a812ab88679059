package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/finals"
	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
)

const (
	// storeReadDelay is how long the leader may take before the store is read as well. A host
	// that is short of CPU time processes the leader's answer late, and reading pages of states
	// would delay it further.
	storeReadDelay = time.Second
	// recheckInterval is how often a query checks whether another host leads by now, and whether
	// this host has learned the job's final state.
	recheckInterval = 200 * time.Millisecond
	// maxLeadersAsked limits the leaders that one query is sent to.
	maxLeadersAsked = 4
)

// StateUnavailableError is returned if a job's state could not be determined.
type StateUnavailableError struct {
	ID string
	// LeaderErr is why the leader did not report it, StoreErr why it was not read from the store.
	LeaderErr, StoreErr error
}

func (e *StateUnavailableError) Error() string {
	return "no lead answers: " + e.LeaderErr.Error() + "; not read from the store: " + e.StoreErr.Error()
}

// Unwrap returns both errors.
func (e *StateUnavailableError) Unwrap() []error { return []error{e.LeaderErr, e.StoreErr} }

// stateQuery is a query for a job's state. It is sent to the leader, to the next leader if the
// leader changes, and to the store if there is no answer soon. The first answer counts, because
// the store contains everything that a leader reports.
type stateQuery struct {
	h       *Host
	ctx     context.Context
	id      string
	answers chan stateAnswer
	// leader and term are those that were asked last. asked is the number of leaders asked.
	leader string
	term   int64
	asked  int
	// unanswered is the number of leaders that have not answered. readingStore reports whether
	// the store is being read.
	unanswered   int
	readingStore bool
	// leaderErr and storeErr are why there was no answer.
	leaderErr, storeErr error
}

type stateAnswer struct {
	status finals.Status
	known  bool
	err    error
	// stored reports whether the answer was read from the store.
	stored bool
}

// statusOf returns a job's status, or false if there is no such job.
func (h *Host) statusOf(ctx context.Context, id string) (finals.Status, bool, error) {
	if st, ok := h.states.final(id); ok {
		return st, true, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := &stateQuery{h: h, ctx: ctx, id: id, answers: make(chan stateAnswer, maxLeadersAsked+1), leaderErr: &LateError{Host: h.cfg.Name}}
	a := q.run()
	return a.status, a.known, a.err
}

func (q *stateQuery) run() stateAnswer {
	q.askLeader()
	timer := time.NewTimer(q.leaderWait())
	defer timer.Stop()
	recheck := time.NewTicker(recheckInterval)
	defer recheck.Stop()
	for !q.isExhausted() {
		select {
		case a := <-q.answers:
			if a.err == nil {
				q.h.states.add(q.id, a.status)
				return a
			}
			q.noteFailure(a)
		case <-timer.C:
			q.readStore()
		case <-recheck.C:
			if st, ok := q.h.states.final(q.id); ok {
				return stateAnswer{status: st, known: true}
			}
			q.askNewLeader()
		case <-q.ctx.Done():
			if q.storeErr == nil {
				q.storeErr = errors.Wrap(q.ctx.Err(), "wait for the store")
			}
			return q.unavailable()
		}
	}
	return q.unavailable()
}

// leaderWait is how long the query waits for the leader alone: at most half of the caller's
// time.
func (q *stateQuery) leaderWait() time.Duration {
	if at, ok := q.ctx.Deadline(); ok {
		return min(storeReadDelay, time.Until(at)/2)
	}
	return storeReadDelay
}

// isExhausted reports whether no further answer is to be expected. A host that gets no answer
// from the store while the leader is late is cut off.
func (q *stateQuery) isExhausted() bool {
	return q.storeErr != nil && (q.unanswered == 0 || !q.h.store.AnsweredWithin(storeFreshness))
}

func (q *stateQuery) unavailable() stateAnswer {
	return stateAnswer{err: &StateUnavailableError{ID: q.id, LeaderErr: q.leaderErr, StoreErr: q.storeErr}}
}

// noteFailure records an answer without a state.
func (q *stateQuery) noteFailure(a stateAnswer) {
	if a.stored {
		q.storeErr = a.err
		return
	}
	q.unanswered--
	q.leaderErr = a.err
	if q.unanswered == 0 {
		q.readStore()
	}
}

// askNewLeader asks the current leader if it is not the one that was asked last. A host that has
// claimed is followed before its term is known.
func (q *stateQuery) askNewLeader() {
	leader, _ := q.h.currentLeader()
	if leader != q.leader || q.h.currentTerm() != q.term {
		q.askLeader()
	}
}

// askLeader asks the current leader.
func (q *stateQuery) askLeader() {
	if q.asked == maxLeadersAsked {
		return
	}
	q.asked++
	q.unanswered++
	q.leader, _ = q.h.currentLeader()
	q.term = q.h.currentTerm()
	go func() {
		st, known, err := q.h.askStatus(q.ctx, q.id)
		q.answers <- stateAnswer{status: st, known: known, err: err}
	}()
}

func (q *stateQuery) readStore() {
	if q.readingStore {
		return
	}
	q.readingStore = true
	go func() {
		st, known, err := q.h.states.read(q.ctx, q.id)
		q.answers <- stateAnswer{status: st, known: known, err: err, stored: true}
	}()
}

// finalOrLeaderStatus returns a job's status if this host knows that it has ended. Otherwise it
// returns the status that the leader reports within askTimeout.
func (h *Host) finalOrLeaderStatus(ctx context.Context, id string) (finals.Status, bool, error) {
	if st, ok := h.states.final(id); ok {
		return st, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return h.askStatus(ctx, id)
}

// askStatus asks the leader for a job's status.
func (h *Host) askStatus(ctx context.Context, id string) (finals.Status, bool, error) {
	h.mu.Lock()
	leader, term, leading := h.leader, h.term, h.ownTerm != nil
	h.mu.Unlock()
	began := h.now()
	var r peer.StateReply
	var err error
	switch {
	case leading:
		r, err = h.localStateInTime(ctx, id)
	case leader == "" || leader == h.cfg.Name:
		err = &NoLeaderError{}
	default:
		err = h.peers.Ask(ctx, leader, peer.AskState{ID: id}, &r)
	}
	st, known, err := parseStateReply(id, r, err)
	if err != nil {
		h.incCounter("state.untold")
		h.log.Info("state: no answer from the leader.", "id", id, "lead", leader, "term", term, "waited", h.now().Sub(began), "err", err)
	}
	return st, known, err
}

// parseStateReply interprets a leader's answer.
func parseStateReply(id string, r peer.StateReply, err error) (finals.Status, bool, error) {
	switch {
	case err != nil:
		return finals.Status{}, false, err
	case !r.Lead:
		return finals.Status{}, false, &NoLeaderError{}
	case r.Unsure:
		return finals.Status{}, false, &UncertainError{ID: id}
	default:
		return finals.Status{State: flow.State(r.State), Organisation: r.Organisation}, r.Known, nil
	}
}

// localStateInTime returns localState, unless the scheduler core is busy until ctx ends.
func (h *Host) localStateInTime(ctx context.Context, id string) (peer.StateReply, error) {
	began := h.now()
	reported := make(chan peer.StateReply, 1)
	go func() { reported <- h.localState(id) }()
	select {
	case r := <-reported:
		return r, nil
	case <-ctx.Done():
		return peer.StateReply{}, &LateError{Host: h.cfg.Name, After: h.now().Sub(began)}
	}
}
