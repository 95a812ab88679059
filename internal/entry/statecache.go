package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"
	"unique"

	"golang.org/x/sync/errgroup"

	"pollencroft/internal/finals"
	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

const (
	// statesReadInterval is the minimum time between two reads of the job states. While no host
	// leads, every host reads them, and the next leader has to read them as well.
	statesReadInterval = 500 * time.Millisecond
	// acceptedReadInterval is the same for reads of jobsTopic. Job specs are ten times as large
	// as states.
	acceptedReadInterval = time.Second
	// maxStateReads is how often the states are read for one query.
	maxStateReads = 2
	// maxFinalStates limits the final states that a host keeps.
	maxFinalStates = 50_000
)

// stateCache keeps final states, which never change, and reads other states from the store for
// callers when no leader reports them. All queries that arrive while a read is in progress share
// the next read.
type stateCache struct {
	h *Host

	mu sync.Mutex
	// ended holds the final states by job, and when each was learned.
	ended map[string]cachedState
	// term and position are how far the host has received the leader's list of final states: the
	// term and the sequence number to continue with.
	term     int64
	position int
	// next is the read that new queries join; nil if there is none. reading reports whether a
	// read is in progress or about to start.
	next    *stateRead
	reading bool
	// lastAcceptedRead is when jobsTopic was last read.
	lastAcceptedRead time.Time
	// stateShare and acceptedShare limit the reads of stateTopic and of jobsTopic.
	stateShare, acceptedShare store.ReadShare
}

type cachedState struct {
	finals.Status
	at time.Time
}

// stateRead is a read of the states of several jobs. Its results are valid once done is closed.
type stateRead struct {
	ids  map[string]bool
	done chan struct{}
	// waiting is the number of queries that wait for the read.
	waiting int
	// found holds the states of the jobs that were found, unreadable the jobs whose record cannot
	// be decoded. Any other job does not exist, unless err is set.
	found      map[string]finals.Status
	unreadable map[string]bool
	// err is why jobs that were not found may exist nevertheless.
	err error
}

func newStateCache(h *Host) *stateCache {
	return &stateCache{h: h, ended: map[string]cachedState{}, stateShare: store.NewReadShare(h.cfg.ReadRate), acceptedShare: store.NewReadShare(h.cfg.ReadRate)}
}

// add stores a final state.
func (s *stateCache) add(id string, st finals.Status) {
	if !st.State.Final() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(id, st)
}

// addLocked is like add, but mu is held.
func (s *stateCache) addLocked(id string, st finals.Status) {
	if _, ok := s.ended[id]; !ok && len(s.ended) < maxFinalStates {
		// Thousands of jobs share the name of their organisation.
		st.Organisation = unique.Make(st.Organisation).Value()
		s.ended[id] = cachedState{st, s.h.now()}
	}
}

// syncPosition returns how far the host has received the leader's list of final states.
func (s *stateCache) syncPosition() (term int64, next int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term, s.position
}

// addFromLeader stores the final states in a leader's sync reply.
func (s *stateCache) addFromLeader(r peer.SyncReply) {
	if !r.Lead {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range r.Ended {
		for _, id := range e.IDs {
			s.addLocked(id, finals.Status{State: flow.State(e.State), Organisation: e.Organisation})
		}
	}
	switch {
	case r.Term > s.term:
		s.term, s.position = r.Term, r.Endings
	case r.Term == s.term:
		s.position = max(s.position, r.Endings)
	}
}

// final returns the status of a job that is known to have ended.
func (s *stateCache) final(id string) (finals.Status, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.ended[id]
	return e.Status, ok
}

// drop removes final states after the time for which they have to be reported.
func (s *stateCache) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.ended, func(_ string, e cachedState) bool { return s.h.now().Sub(e.at) > time.Duration(s.h.cfg.Times.Keep) })
}

// read returns a job's status as the store contains it after the call, or false if there is no
// such job. While a part of the store cannot be read, it returns only states that the missing
// part cannot change. A failed read is repeated once as long as the store answers this host.
func (s *stateCache) read(ctx context.Context, id string) (finals.Status, bool, error) {
	for try := 1; ; try++ {
		if !s.h.store.AnsweredWithin(storeFreshness) {
			return finals.Status{}, false, &store.RefusedError{Op: store.Newest, Reason: "the store has not answered for a while"}
		}
		r := s.join(id)
		select {
		case <-r.done:
		case <-ctx.Done():
			s.leave(r)
			return finals.Status{}, false, &store.UnansweredError{Op: store.Newest, Cause: ctx.Err()}
		}
		st, ok := r.found[id]
		switch {
		case ok:
			return st, true, nil
		case r.unreadable[id]:
			return finals.Status{}, false, &UnreadableStateError{ID: id}
		case try == maxStateReads || !store.IsUnavailable(r.err):
			return finals.Status{}, false, r.err
		}
	}
}

// UnreadableStateError is returned if the store's record of a job cannot be decoded.
type UnreadableStateError struct{ ID string }

func (e *UnreadableStateError) Error() string { return "record of job " + e.ID + " cannot be read" }

// join adds a job to the next read.
func (s *stateCache) join(id string) *stateRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &stateRead{ids: map[string]bool{}, done: make(chan struct{}), found: map[string]finals.Status{}, unreadable: map[string]bool{}}
	}
	s.next.ids[id] = true
	s.next.waiting++
	if !s.reading {
		s.reading = true
		s.h.wg.Go(s.run)
	}
	return s.next
}

// leave records that a query no longer waits for a read.
func (s *stateCache) leave(r *stateRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.waiting--
}

// run makes one read after the other until there are no more queries. Queries that arrive while it
// waits for its turn share the read.
func (s *stateCache) run() {
	for {
		sleep(s.h.ctx, s.turn(&s.stateShare))
		r := s.take()
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

// take returns the next read, or nil if no query waits for one.
func (s *stateCache) take() *stateRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.next
	s.next = nil
	if r != nil && r.waiting == 0 {
		close(r.done)
		r = nil
	}
	s.reading = r != nil
	return r
}

// turn returns how long this host waits until it may read. A host that has just started learns from
// the store how many others there are; after a power failure all of them have just started.
func (s *stateCache) turn(share *store.ReadShare) time.Duration {
	if !s.h.knowsHosts() {
		s.h.readHosts()
	}
	rank, hosts := s.h.rank()
	return share.Wait(s.h.now(), rank, hosts)
}

// withoutFinalState lists, in order, the jobs of a read whose final state is not known yet.
func (s *stateCache) withoutFinalState(r *stateRead) []string {
	for id := range r.ids {
		if st, ok := s.final(id); ok {
			r.found[id] = st
		}
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(r.ids)), func(id string) bool { return r.found[id].State != "" })
}

// readAll looks for the jobs first in stateTopic, and for those that have no progress there in
// jobsTopic. In this order a job that is deleted in the meantime is found in neither.
func (s *stateCache) readAll(ctx context.Context, r *stateRead) error {
	ids := s.withoutFinalState(r)
	if len(ids) == 0 {
		return nil
	}
	progress, err := s.readProgress(ctx, ids)
	var unproved []string
	for _, id := range ids {
		b, ok := progress[id]
		sum, readable := flow.Summarize(b)
		switch {
		case ok && !readable:
			s.h.log.Error("state: record cannot be decoded.", "id", id)
			r.unreadable[id] = true
		case sum.State.Final(), ok && err == nil && !s.mayBeForgotten(sum.Accepted):
			r.found[id] = finals.Status{State: sum.State, Organisation: sum.Organisation}
		default:
			unproved = append(unproved, id)
		}
	}
	if len(unproved) == 0 || err != nil {
		return err
	}
	if !sleep(ctx, max(acceptedReadInterval-s.h.now().Sub(s.lastAcceptedRead), s.turn(&s.acceptedShare))) {
		return &store.UnansweredError{Op: store.Newest, Cause: ctx.Err()}
	}
	s.lastAcceptedRead = s.h.now()
	accepted, err := s.readAccepted(ctx, unproved)
	for id, organisation := range accepted {
		r.found[id] = finals.Status{State: flow.Queued, Organisation: organisation}
		if sum, ok := flow.Summarize(progress[id]); ok {
			r.found[id] = finals.Status{State: sum.State, Organisation: sum.Organisation}
		}
	}
	return err
}

// mayBeForgotten reports whether a job that was accepted at that time may have ended and been
// deleted. One partition may keep an older record of it for a while.
func (s *stateCache) mayBeForgotten(began time.Time) bool {
	return s.h.now().Sub(began) > time.Duration(s.h.cfg.Times.Keep)
}

// readProgress reads the newest record of each requested job, and stores all final states that it
// comes across.
func (s *stateCache) readProgress(ctx context.Context, ids []string) (map[string][]byte, error) {
	newest, bytes := map[string][]byte{}, 0
	defer func() { s.stateShare.Record(s.h.now(), bytes) }()
	err := s.scan(ctx, stateTopic, s.h.stateParts(), ids, func(rec store.Record, asked bool) {
		bytes += len(rec.Value)
		if rec.Key == claimKey {
			return
		}
		if asked {
			newest[rec.Key] = flow.NewerRecord(newest[rec.Key], rec.Value)
		}
		if sum, ok := flow.Summarize(rec.Value); ok {
			s.add(rec.Key, finals.Status{State: sum.State, Organisation: sum.Organisation})
		}
	})
	return newest, err
}

// readAccepted returns which of the jobs are in jobsTopic, with their organisations.
func (s *stateCache) readAccepted(ctx context.Context, ids []string) (map[string]string, error) {
	parts := make([]int, s.h.cfg.Parts)
	for i := range parts {
		parts[i] = i
	}
	accepted, bytes := map[string]string{}, 0
	defer func() { s.acceptedShare.Record(s.h.now(), bytes) }()
	err := s.scan(ctx, jobsTopic, parts, ids, func(rec store.Record, asked bool) {
		bytes += len(rec.Value)
		if k := parseRequestKey(rec.Key); asked && !k.cancels {
			accepted[k.id] = k.organisation
		}
	})
	return accepted, err
}

// scan reads the pages of a topic on which the jobs would be. It calls visit for each record,
// with whether its job was requested. If some partitions cannot be read, the others are read
// nevertheless, and the error of the first failure is returned. Only these pages are read because
// reading a whole topic takes seconds on a host with a small share of a CPU and a slow link.
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
					_, asked := slices.BinarySearch(ids, parseRequestKey(rec.Key).id)
					if len(rec.Value) > 0 {
						visit(rec, asked)
					}
				}
			})
		})
	}
	return g.Wait()
}

// scanPart reads the pages of one partition. ids are sorted.
func (s *stateCache) scanPart(ctx context.Context, topic string, part int, ids []string, visit func([]store.Record)) error {
	last := ""
	for _, id := range ids {
		if id <= last {
			continue
		}
		a, err := s.h.store.Do(ctx, store.Call{Op: store.Newest, Topic: topic, Part: part, After: keyBefore(id), Bulk: true})
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

// keyBefore returns a key that sorts before the key of a job and after all jobs before it.
func keyBefore(id string) string { return id[:len(id)-1] + string(id[len(id)-1]-1) + "~" }
