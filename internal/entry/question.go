package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
)

const (
	// storeAfter is how long the lead may take before the store is read beside. A host that is
	// short of processor hears its answer late, and pages of states would make it later.
	storeAfter = time.Second
	// leadLook is how often a question looks whether another host leads by now, and whether
	// this one has learned the job's end.
	leadLook = 200 * time.Millisecond
	// mostLeads is how many leads one question is put to.
	mostLeads = 4
)

// UntoldError tells why nobody told a job's state.
type UntoldError struct {
	ID string
	// Lead is why the lead did not, Store why it cannot be read from the store.
	Lead, Store error
}

func (e *UntoldError) Error() string {
	return "no lead answers: " + e.Lead.Error() + "; not read from the store: " + e.Store.Error()
}

// Unwrap returns both failures.
func (e *UntoldError) Unwrap() []error { return []error{e.Lead, e.Store} }

// question is one question for a job's state. It is put to the lead, to the next one if the
// lead changes, and to the store if there is no answer soon. The first answer counts: the
// store holds what any lead tells.
type question struct {
	h       *Host
	ctx     context.Context
	id      string
	answers chan told
	// lead and term are those that were asked last, leads how many were.
	lead  string
	term  int64
	leads int
	// open is how many leads have not answered, reading tells that the store is being read.
	open    int
	reading bool
	// leadErr and storeErr are why there was no answer.
	leadErr, storeErr error
}

type told struct {
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
	q := &question{h: h, ctx: ctx, id: id, answers: make(chan told, mostLeads+1), leadErr: &LateError{Host: h.cfg.Name}}
	a := q.run()
	return a.state, a.known, a.err
}

func (q *question) run() told {
	q.askLead()
	patience := time.NewTimer(q.patience())
	defer patience.Stop()
	look := time.NewTicker(leadLook)
	defer look.Stop()
	for !q.vain() {
		select {
		case a := <-q.answers:
			if a.err == nil {
				q.h.states.learn(q.id, a.state)
				return a
			}
			q.failed(a)
		case <-patience.C:
			q.readStore()
		case <-look.C:
			if state, ok := q.h.states.final(q.id); ok {
				return told{state: state, known: true}
			}
			q.askNewLead()
		case <-q.ctx.Done():
			if q.storeErr == nil {
				q.storeErr = errors.Wrap(q.ctx.Err(), "wait for the store")
			}
			return q.untold()
		}
	}
	return q.untold()
}

// patience is how long the lead is waited for alone: half of the caller's time at most.
func (q *question) patience() time.Duration {
	if at, ok := q.ctx.Deadline(); ok {
		return min(storeAfter, time.Until(at)/2)
	}
	return storeAfter
}

// vain tells whether no more answer is to be expected: a host that the store does not answer
// while its lead is late is cut off.
func (q *question) vain() bool {
	return q.storeErr != nil && (q.open == 0 || !q.h.store.Fresh(storeFreshness))
}

func (q *question) untold() told {
	return told{err: &UntoldError{ID: q.id, Lead: q.leadErr, Store: q.storeErr}}
}

// failed takes note of a way that told nothing.
func (q *question) failed(a told) {
	if a.stored {
		q.storeErr = a.err
		return
	}
	q.open--
	q.leadErr = a.err
	if q.open == 0 {
		q.readStore()
	}
}

// askNewLead puts the question to whoever leads now, if that is not who was asked last. A host
// that has claimed is followed before its term is known.
func (q *question) askNewLead() {
	lead, _ := q.h.currentLeader()
	if lead != q.lead || q.h.currentTerm() != q.term {
		q.askLead()
	}
}

// askLead puts the question to whoever leads now.
func (q *question) askLead() {
	if q.leads == mostLeads {
		return
	}
	q.leads++
	q.open++
	q.lead, _ = q.h.currentLeader()
	q.term = q.h.currentTerm()
	go func() {
		state, known, err := q.h.askState(q.ctx, q.id)
		q.answers <- told{state: state, known: known, err: err}
	}()
}

func (q *question) readStore() {
	if q.reading {
		return
	}
	q.reading = true
	go func() {
		state, known, err := q.h.states.read(q.ctx, q.id)
		q.answers <- told{state: state, known: known, err: err, stored: true}
	}()
}

// toldBefore is what this host was told of a job, if it has ended, or what the lead tells
// within the time of a question to a host.
func (h *Host) toldBefore(ctx context.Context, id string) (flow.State, bool, error) {
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
	lead, term, leading := h.leader, h.term, h.ownTerm != nil
	h.mu.Unlock()
	began := h.now()
	var r peer.StateReply
	var err error
	switch {
	case leading:
		r, err = h.ownState(ctx, id)
	case lead == "" || lead == h.cfg.Name:
		err = &NoLeaderError{}
	default:
		err = h.peers.Ask(ctx, lead, peer.AskState{ID: id}, &r)
	}
	state, known, err := known(id, r, err)
	if err != nil {
		h.incCounter("state.untold")
		h.log.Info("state: the lead did not tell.", "id", id, "lead", lead, "term", term, "waited", h.now().Sub(began), "err", err)
	}
	return state, known, err
}

// known reads a lead's answer.
func known(id string, r peer.StateReply, err error) (flow.State, bool, error) {
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

// ownState tells a state as the lead, if its core lets go of it in time.
func (h *Host) ownState(ctx context.Context, id string) (peer.StateReply, error) {
	began := h.now()
	told := make(chan peer.StateReply, 1)
	go func() { told <- h.localState(id) }()
	select {
	case r := <-told:
		return r, nil
	case <-ctx.Done():
		return peer.StateReply{}, &LateError{Host: h.cfg.Name, After: h.now().Sub(began)}
	}
}
