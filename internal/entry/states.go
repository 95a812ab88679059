package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

const (
	// statesReadInterval is the least time between two reads of all states: while no host leads,
	// every host reads them, and the next lead has to.
	statesReadInterval = 500 * time.Millisecond
	// acceptedReadInterval is the same for where jobs are accepted: specs are ten times as large.
	acceptedReadInterval = time.Second
	// maxStateReads is how often the states are read for one question.
	maxStateReads = 2
	// maxFinalStates bounds how many final states a host keeps.
	maxFinalStates = 50_000
)

// stateCache knows final stateCache, which never change, and reads the others from the store for
// callers whom no lead tells them. All questions that come while a read is under way share
// the next one.
type stateCache struct {
	h *Host

	mu sync.Mutex
	// ended are final states by job, and when each was learned.
	ended map[string]cachedState
	// term and told are up to which final state of which term the lead told.
	term     int64
	position int
	// next is the read that questions join, nil without any; reading tells that one is
	// under way or about to be.
	next    *stateRead
	reading bool
	// lastAcceptedRead is when it was last looked where jobs are lastAcceptedRead.
	lastAcceptedRead time.Time
}

type cachedState struct {
	state flow.State
	at    time.Time
}

// stateRead is one read of the states of some jobs. What it found is there once done is closed.
type stateRead struct {
	ids  map[string]bool
	done chan struct{}
	// found are their states, unreadable those whose record cannot be read; any other job is
	// not there.
	found      map[string]flow.State
	unreadable map[string]bool
	// err is why jobs that were not found are not known not to be there.
	err error
}

func newStates(h *Host) *stateCache { return &stateCache{h: h, ended: map[string]cachedState{}} }

// add keeps a final state.
func (s *stateCache) add(id string, state flow.State) {
	if !state.Final() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(id, state)
}

// addLocked is learn; mu is held.
func (s *stateCache) addLocked(id string, state flow.State) {
	if _, ok := s.ended[id]; !ok && len(s.ended) < maxFinalStates {
		s.ended[id] = cachedState{state, s.h.now()}
	}
}

// syncPosition is up to where the lead told final states.
func (s *stateCache) syncPosition() (term int64, next int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.position
}

// addFromLeader keeps the final states that a lead tells.
func (s *stateCache) addFromLeader(r peer.SyncReply) {
	if !r.Lead {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for state, ids := range r.Ended {
		for _, id := range ids {
			s.addLocked(id, flow.State(state))
		}
	}
	switch {
	case r.Term > s.term:
		s.term, s.position = r.Term, r.Endings
	case r.Term == s.term:
		s.position = max(s.position, r.Endings)
	}
}

// final returns the state of a job that is known to have ended.
func (s *stateCache) final(id string) (flow.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.ended[id]
	return e.state, ok
}

// drop forgets states that were kept for as long as they have to be told.
func (s *stateCache) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.ended, func(_ string, e cachedState) bool { return s.h.now().Sub(e.at) > time.Duration(s.h.cfg.Times.Keep) })
}

// read returns a job's state as the store has it after the call; false if there is no such
// job. While a part of the store cannot be read, it returns only what the rest cannot change.
// A read that fails is made once more as long as the store answers this host.
func (s *stateCache) read(ctx context.Context, id string) (flow.State, bool, error) {
	for try := 1; ; try++ {
		if !s.h.store.AnsweredWithin(storeFreshness) {
			return "", false, &store.RefusedError{Op: store.Newest, Reason: "the store has not answered for a while"}
		}
		r := s.join(id)
		select {
		case <-r.done:
		case <-ctx.Done():
			return "", false, &store.UnansweredError{Op: store.Newest, Cause: ctx.Err()}
		}
		state, ok := r.found[id]
		switch {
		case ok:
			return state, true, nil
		case r.unreadable[id]:
			return "", false, &UnreadableStateError{ID: id}
		case try == maxStateReads || !store.IsUnavailable(r.err):
			return "", false, r.err
		}
	}
}

// UnreadableStateError tells that the store's record of a job cannot be read.
type UnreadableStateError struct{ ID string }

func (e *UnreadableStateError) Error() string { return "record of job " + e.ID + " cannot be read" }

// join adds a job to the next read.
func (s *stateCache) join(id string) *stateRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &stateRead{ids: map[string]bool{}, done: make(chan struct{}), found: map[string]flow.State{}, unreadable: map[string]bool{}}
	}
	s.next.ids[id] = true
	if !s.reading {
		s.reading = true
		s.h.wg.Go(s.run)
	}
	return s.next
}

// run makes one read after the other while there are questions.
func (s *stateCache) run() {
	for {
		s.mu.Lock()
		r := s.next
		s.next = nil
		s.reading = r != nil
		s.mu.Unlock()
		if r == nil {
			return
		}
		began := s.h.now()
		r.err = s.readAll(s.h.ctx, r)
		close(r.done)
		s.h.incCounter("state.read")
		s.h.observe("state.read.took", s.h.now().Sub(began))
		s.h.log.Info("state: read from the store.", "asked", len(r.ids), "found", len(r.found), "took", s.h.now().Sub(began), "err", r.err)
		sleep(s.h.ctx, statesReadInterval-s.h.now().Sub(began))
	}
}

// withoutFinalState lists the jobs of a read whose end is not known yet, in order.
func (s *stateCache) withoutFinalState(r *stateRead) []string {
	for id := range r.ids {
		if state, ok := s.final(id); ok {
			r.found[id] = state
		}
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(r.ids)), func(id string) bool { return r.found[id] != "" })
}

// readAll looks for jobs first where their progress lies, and for those without any where
// they were accepted. In this order a job that is forgotten meanwhile is found in neither.
func (s *stateCache) readAll(ctx context.Context, r *stateRead) error {
	ids := s.withoutFinalState(r)
	if len(ids) == 0 {
		return nil
	}
	progress, err := s.readProgress(ctx, ids)
	var unproved []string
	for _, id := range ids {
		b, ok := progress[id]
		state, began, readable := flow.RecordState(b)
		switch {
		case ok && !readable:
			s.h.log.Error("state: record cannot be read.", "id", id)
			r.unreadable[id] = true
		case state.Final(), ok && err == nil && !s.mayBeForgotten(began):
			r.found[id] = state
		default:
			unproved = append(unproved, id)
		}
	}
	if len(unproved) == 0 || err != nil {
		return err
	}
	if !sleep(ctx, acceptedReadInterval-s.h.now().Sub(s.lastAcceptedRead)) {
		return &store.UnansweredError{Op: store.Newest, Cause: ctx.Err()}
	}
	s.lastAcceptedRead = s.h.now()
	accepted, err := s.readAccepted(ctx, unproved)
	for id := range accepted {
		r.found[id] = flow.Queued
		if state, _, ok := flow.RecordState(progress[id]); ok {
			r.found[id] = state
		}
	}
	return err
}

// mayBeForgotten tells whether a job that was accepted then may have ended and been forgotten.
// One partition may keep an older record of it for a while.
func (s *stateCache) mayBeForgotten(began time.Time) bool {
	return s.h.now().Sub(began) > time.Duration(s.h.cfg.Times.Keep)
}

// readProgress reads the newest record of each job that is asked for, and keeps all final
// states that it meets.
func (s *stateCache) readProgress(ctx context.Context, ids []string) (map[string][]byte, error) {
	newest := map[string][]byte{}
	err := s.scan(ctx, stateTopic, s.h.stateParts(), ids, func(rec store.Record, asked bool) {
		if rec.Key == claimKey {
			return
		}
		if asked {
			newest[rec.Key] = flow.Newer(newest[rec.Key], rec.Value)
		}
		if state, _, ok := flow.RecordState(rec.Value); ok {
			s.add(rec.Key, state)
		}
	})
	return newest, err
}

// readAccepted returns which jobs lie where hosts accepted them.
func (s *stateCache) readAccepted(ctx context.Context, ids []string) (map[string]bool, error) {
	parts := make([]int, s.h.cfg.Parts)
	for i := range parts {
		parts[i] = i
	}
	accepted := map[string]bool{}
	err := s.scan(ctx, jobsTopic, parts, ids, func(rec store.Record, asked bool) {
		if asked {
			accepted[rec.Key] = true
		}
	})
	return accepted, err
}

// scan reads the pages of a topic on which jobs would stand, and hands on each record with
// whether its job is asked for. Partitions that can be read are read whatever becomes of the
// others; the error is that of the first that cannot. A whole topic takes a host with a small
// share of a processor and a slow link seconds.
func (s *stateCache) scan(ctx context.Context, topic string, parts []int, ids []string, visit func(rec store.Record, asked bool)) error {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxConcurrentPolls)
	for _, part := range parts {
		g.Go(func() error {
			return s.scanPart(ctx, topic, part, ids, func(all []store.Record) {
				mu.Lock()
				defer mu.Unlock()
				for _, rec := range all {
					_, asked := slices.BinarySearch(ids, rec.Key)
					if len(rec.Value) > 0 {
						visit(rec, asked)
					}
				}
			})
		})
	}
	return g.Wait()
}

// scanPart reads the pages of one partition; ids are sorted.
func (s *stateCache) scanPart(ctx context.Context, topic string, part int, ids []string, visit func([]store.Record)) error {
	last := ""
	for _, id := range ids {
		if id <= last {
			continue
		}
		a, err := s.h.store.Do(ctx, store.Call{Op: store.Newest, Topic: topic, Part: part, After: keyBefore(id)})
		if err != nil {
			return err
		}
		visit(a.Records)
		if !a.More || len(a.Records) == 0 {
			return nil
		}
		last = a.Records[len(a.Records)-1].Key
	}
	return nil
}

// keyBefore is a key that sorts keyBefore that of a job and after all jobs keyBefore it.
func keyBefore(id string) string { return id[:len(id)-1] + string(id[len(id)-1]-1) + "~" }
