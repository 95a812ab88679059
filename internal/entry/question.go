package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
)

const (
	// storeReadDelay is how long the lead may take before the store is read beside. A host that is
	// short of processor hears its answer late, and pages of states would make it later.
	storeReadDelay = time.Second
	// recheckInterval is how often a question looks whether another host leads by now, and whether
	// this one has learned the job's end.
	recheckInterval = 200 * time.Millisecond
	// maxLeadersAsked is how many leads one question is put to.
	maxLeadersAsked = 4
)

// StateUnavailableError tells why nobody told a job's state.
type StateUnavailableError struct {
	ID string
	// LeaderErr is why the lead did not, StoreErr why it cannot be read from the store.
	LeaderErr, StoreErr error
}

func (e *StateUnavailableError) Error() string {
	return "no lead answers: " + e.LeaderErr.Error() + "; not read from the store: " + e.StoreErr.Error()
}

// Unwrap returns both failures.
func (e *StateUnavailableError) Unwrap() []error { return []error{e.LeaderErr, e.StoreErr} }

// stateQuery is one stateQuery for a job's state. It is put to the lead, to the next one if the
// lead changes, and to the store if there is no answer soon. The first answer counts: the
// store holds what any lead tells.
type stateQuery struct {
	h       *Host
	ctx     context.Context
	id      string
	answers chan stateAnswer
	// leader and term are those that were asked last, leads how many were.
	leader string
	term   int64
	asked  int
	// unanswered is how many leads have not answered, reading tells that the store is being read.
	unanswered   int
	readingStore bool
	// leaderErr and storeErr are why there was no answer.
	leaderErr, storeErr error
}

type stateAnswer struct {
	state flow.State
	known bool
	err   error
	// stored tells that it was read from the store.
	stored bool
}

// stateOf returns a job's state, false if there is no such job.
func (h *Host) stateOf(ctx context.Context, id string) (flow.State, bool, error) {
	if state, ok := h.states.final(id); ok {
		return state, true, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := &stateQuery{h: h, ctx: ctx, id: id, answers: make(chan stateAnswer, maxLeadersAsked+1), leaderErr: &LateError{Host: h.cfg.Name}}
	a := q.run()
	return a.state, a.known, a.err
}

func (q *stateQuery) run() stateAnswer {
	q.askLeader()
	timer := time.NewTimer(q.leaderPatience())
	defer timer.Stop()
	look := time.NewTicker(recheckInterval)
	defer look.Stop()
	for !q.isExhausted() {
		select {
		case a := <-q.answers:
			if a.err == nil {
				q.h.states.add(q.id, a.state)
				return a
			}
			q.noteFailure(a)
		case <-timer.C:
			q.readStore()
		case <-look.C:
			if state, ok := q.h.states.final(q.id); ok {
				return stateAnswer{state: state, known: true}
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

// leaderPatience is how long the lead is waited for alone: half of the caller's time at most.
func (q *stateQuery) leaderPatience() time.Duration {
	if at, ok := q.ctx.Deadline(); ok {
		return min(storeReadDelay, time.Until(at)/2)
	}
	return storeReadDelay
}

// isExhausted tells whether no more answer is to be expected: a host that the store does not answer
// while its lead is late is cut off.
func (q *stateQuery) isExhausted() bool {
	return q.storeErr != nil && (q.unanswered == 0 || !q.h.store.Fresh(storeFreshness))
}

func (q *stateQuery) unavailable() stateAnswer {
	return stateAnswer{err: &StateUnavailableError{ID: q.id, LeaderErr: q.leaderErr, StoreErr: q.storeErr}}
}

// noteFailure takes note of a way that told nothing.
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

// askNewLeader puts the question to whoever leads now, if that is not who was asked last. A host
// that has claimed is followed before its term is known.
func (q *stateQuery) askNewLeader() {
	leader, _ := q.h.currentLeader()
	if leader != q.leader || q.h.currentTerm() != q.term {
		q.askLeader()
	}
}

// askLeader puts the question to whoever leads now.
func (q *stateQuery) askLeader() {
	if q.asked == maxLeadersAsked {
		return
	}
	q.asked++
	q.unanswered++
	q.leader, _ = q.h.currentLeader()
	q.term = q.h.currentTerm()
	go func() {
		state, known, err := q.h.askState(q.ctx, q.id)
		q.answers <- stateAnswer{state: state, known: known, err: err}
	}()
}

func (q *stateQuery) readStore() {
	if q.readingStore {
		return
	}
	q.readingStore = true
	go func() {
		state, known, err := q.h.states.read(q.ctx, q.id)
		q.answers <- stateAnswer{state: state, known: known, err: err, stored: true}
	}()
}

// finalOrLeaderState is what this host was told of a job, if it has ended, or what the lead tells
// within the time of a question to a host.
func (h *Host) finalOrLeaderState(ctx context.Context, id string) (flow.State, bool, error) {
	if state, ok := h.states.final(id); ok {
		return state, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return h.askState(ctx, id)
}

// askState asks the lead for a job's state.
func (h *Host) askState(ctx context.Context, id string) (flow.State, bool, error) {
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
	state, known, err := parseStateReply(id, r, err)
	if err != nil {
		h.incCounter("state.untold")
		h.log.Info("state: the lead did not tell.", "id", id, "lead", leader, "term", term, "waited", h.now().Sub(began), "err", err)
	}
	return state, known, err
}

// parseStateReply reads a lead's answer.
func parseStateReply(id string, r peer.StateReply, err error) (flow.State, bool, error) {
	switch {
	case err != nil:
		return "", false, err
	case !r.Lead:
		return "", false, &NoLeaderError{}
	case r.Unsure:
		return "", false, &UncertainError{ID: id}
	default:
		return flow.State(r.State), r.Known, nil
	}
}

// localStateInTime tells a state as the lead, if its core lets go of it in time.
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
