// Package attempts tracks the outcomes of attempts to carry out a request. A request that is sent
// again after its first attempt had no answer may be refused although the first attempt was carried
// out.
package attempts

import (
	"sync"
	"time"
)

// Outcome is how an attempt ended, or what all attempts together show about a request.
type Outcome int

// NotDone means that the request was certainly not carried out, Unknown that it may have been or may
// still be, and Done that it was.
const (
	NotDone Outcome = iota
	Unknown
	Done
)

// Tracker holds the outcomes of the attempts of each request, by key. It is safe for concurrent use.
type Tracker struct {
	keep  time.Duration
	limit int
	now   func() time.Time

	mu   sync.Mutex
	reqs map[string]*request
	// ended lists the keys of attempts that may have been carried out, the oldest first.
	ended []endedAttempt
}

// request is what is known of one request.
type request struct {
	// open counts the attempts without an outcome, kept the entries in ended.
	open, kept int
	// outcome is that of the ended attempts, unknownAt when the last one ended whose outcome is unknown.
	outcome   Outcome
	unknownAt time.Time
}

type endedAttempt struct {
	key string
	at  time.Time
}

// New returns a tracker that remembers an attempt for the duration keep after its end, and at most
// limit ended attempts.
func New(keep time.Duration, limit int, now func() time.Time) *Tracker {
	return &Tracker{keep: keep, limit: limit, now: now, reqs: map[string]*request{}}
}

// Begin records that an attempt begins. End has to follow.
func (t *Tracker) Begin(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.reqs[key]
	if !ok {
		r = &request{}
		t.reqs[key] = r
	}
	r.open++
}

// End records the outcome of an attempt, and returns what is known of the request after it.
func (t *Tracker) End(key string, o Outcome) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.reqs[key]
	r.open--
	r.outcome = max(r.outcome, o)
	if o == Unknown {
		r.unknownAt = t.now()
	}
	if o != NotDone {
		r.kept++
		t.ended = append(t.ended, endedAttempt{key: key, at: t.now()})
	}
	t.expire()
	return t.known(key)
}

// Known returns what is known of a request: NotDone only if no attempt is open and every ended one that
// is remembered was not carried out.
func (t *Tracker) Known(key string) Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	return t.known(key)
}

// Unresolved reports whether an attempt is open, or one ended with an unknown outcome less than within
// ago and none was carried out.
func (t *Tracker) Unresolved(key string, within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	switch t.known(key) {
	case Unknown:
		r := t.reqs[key]
		return r.open > 0 || t.now().Sub(r.unknownAt) < within
	default:
		return false
	}
}

func (t *Tracker) known(key string) Outcome {
	r, ok := t.reqs[key]
	switch {
	case !ok:
		return NotDone
	case r.open > 0:
		return max(r.outcome, Unknown)
	case r.outcome == NotDone:
		delete(t.reqs, key)
	}
	return r.outcome
}

// expire forgets the oldest attempts. The caller holds mu.
func (t *Tracker) expire() {
	n := 0
	for n < len(t.ended) && (len(t.ended)-n > t.limit || t.now().Sub(t.ended[n].at) >= t.keep) {
		r := t.reqs[t.ended[n].key]
		r.kept--
		if r.kept == 0 {
			r.outcome = NotDone
		}
		if r.kept == 0 && r.open == 0 {
			delete(t.reqs, t.ended[n].key)
		}
		n++
	}
	t.ended = t.ended[n:]
}
