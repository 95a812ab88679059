// Package ledger remembers which keyed requests were sent and how they ended, so that a
// repeat of a request gets the first answer instead of a second run.
//
// A Ledger is the memory of one home, which is an entry host that holds keys. A Try is one
// try of a request at its entry host, which asks the homes of the key before it sends the
// request. A Plan chooses the homes of a key. All three decide without I/O.
package ledger

import (
	"container/list"
	"time"

	"pollencroft/internal/cell"
)

// Limits bound what one home remembers.
type Limits struct {
	// Retention is how long a key is remembered after its first try.
	Retention time.Duration
	// RepeatWindow is how long after its first try a load balancer may repeat a request.
	RepeatWindow time.Duration
	// MaxSkew is how far the time in a key may be ahead of a home's clock. The clocks of
	// two homes may differ by the same amount.
	MaxSkew time.Duration
	// MaxKeys is the largest number of remembered keys.
	MaxKeys int
	// MaxBytes bounds the total size of the stored answers.
	MaxBytes int64
}

// DefaultLimits are sized for a small entry host.
var DefaultLimits = Limits{
	Retention: 10 * time.Minute, RepeatWindow: 30 * time.Second, MaxSkew: time.Second, MaxKeys: 100_000, MaxBytes: 32 << 20,
}

// hostTimeout is how long an entry host may send no heartbeat before its running tries
// count as lost. If the host is alive after all, a repeat is answered with unknown, which
// is never false, and the real answer still replaces it when it arrives.
const hostTimeout = 1500 * time.Millisecond

// closeGrace is how long after the deadline of a try its Close may still arrive.
const closeGrace = time.Second

// maxInlineAnswer is the size in bytes of the largest answer that a Verdict carries. An
// Open has a short timeout, which the transfer of a larger answer would exceed, so that the
// home would count as silent. A key with a larger answer is reported as running: the Await
// that follows returns at once and may use all the time that the caller has.
const maxInlineAnswer = 16 << 10

type entry struct {
	key       string
	digest    uint64
	try       string
	host      string
	inc       int64
	opened    time.Time
	overdueAt time.Time
	answer    *Answer
	lost      bool
	waiters   []string
	// openedElem and answerElem are the elements of this entry in Ledger.opened and
	// Ledger.answers.
	openedElem, answerElem *list.Element
}

type waiter struct {
	key   string
	until time.Time
}

// Ledger is the state machine of one home.
type Ledger struct {
	limits  Limits
	since   time.Time
	keys    map[string]*entry
	opened  *list.List
	answers *list.List
	bytes   int64
	// running holds the running tries by entry host, so that the loss of a host costs only
	// as much as that host has running tries.
	running    map[string]map[string]*entry
	waiters    map[string]waiter
	heartbeats map[string]Heartbeat
}

// New returns an empty ledger that remembers keys from since on.
func New(limits Limits, since time.Time) *Ledger {
	return &Ledger{
		limits: limits, since: since, keys: map[string]*entry{}, opened: list.New(), answers: list.New(),
		running: map[string]map[string]*entry{}, waiters: map[string]waiter{}, heartbeats: map[string]Heartbeat{},
	}
}

// Step handles one event. An Open yields exactly one Verdict. An Await yields exactly one
// Woken, now or in a later step, unless a CancelAwait comes first.
func (l *Ledger) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Open:
		return []Action{l.open(now, ev)}
	case Close:
		return l.close(now, ev)
	case Await:
		return l.await(ev)
	case CancelAwait:
		l.removeWaiter(ev.ID)
	case HostHeartbeats:
		l.heartbeats = ev.Heartbeats
	case Tick:
		return l.tick(now)
	}
	return nil
}

func (l *Ledger) open(now time.Time, ev Open) Verdict {
	if e, ok := l.keys[ev.Key]; ok {
		return e.verdict(ev)
	}
	made, timed := cell.KeyTime(ev.Key)
	if timed && made.After(now.Add(l.limits.MaxSkew)) {
		return Verdict{Key: ev.Key, State: FutureKey}
	}
	if !l.canConfirm(now, ev, made) {
		return Verdict{Key: ev.Key, State: Unconfirmed}
	}
	e := l.add(now, ev.Key, ev.Digest)
	e.try, e.host, e.inc = ev.Try, ev.Host, ev.Incarnation
	if ev.Remaining.Duration > 0 {
		e.overdueAt = now.Add(ev.Remaining.Duration + closeGrace)
	}
	l.addRunning(e)
	return Verdict{Key: ev.Key, State: Fresh}
}

func (e *entry) verdict(ev Open) Verdict {
	switch {
	case e.digest != ev.Digest:
		return Verdict{Key: ev.Key, State: Mismatch}
	case ev.Try != "" && ev.Try == e.try && e.answer == nil:
		// A home may belong to two groups that the same try asks.
		return Verdict{Key: ev.Key, State: Fresh}
	case e.answer != nil && e.answer.size() > maxInlineAnswer:
		return Verdict{Key: ev.Key, State: Running}
	default:
		return e.state()
	}
}

func (e *entry) state() Verdict {
	switch {
	case e.answer != nil:
		return Verdict{Key: e.key, State: Answered, Answer: e.answer}
	case e.lost:
		return Verdict{Key: e.key, State: Lost}
	default:
		return Verdict{Key: e.key, State: Running}
	}
}

// canConfirm reports whether this home would know the key if it had been used before. A
// home that started after the first try of the key may have lost it with the memory of its
// previous incarnation, or may have forgotten it to stay within its limits; to report it as
// fresh would run the request twice.
//
// The time in a key can prove that the key is newer than this home's memory: no home
// accepts a key that is more than MaxSkew ahead of its clock, and the clocks of homes
// differ by MaxSkew at most. For all other keys, the only repeats that look like first
// tries come from the load balancer, within the repeat window.
func (l *Ledger) canConfirm(now time.Time, ev Open, made time.Time) bool {
	if made.After(l.since.Add(2 * l.limits.MaxSkew)) {
		return true
	}
	return ev.Attempt == 1 && now.Sub(l.since) > l.limits.RepeatWindow
}

func (l *Ledger) add(now time.Time, key string, digest uint64) *entry {
	for l.opened.Len() >= max(1, l.limits.MaxKeys) {
		l.evict()
	}
	e := &entry{key: key, digest: digest, opened: now}
	e.openedElem = l.opened.PushBack(e)
	l.keys[key] = e
	return e
}

// evict forgets the oldest key. From then on this home confirms only keys that are newer,
// because the forgotten key would otherwise be taken as fresh.
func (l *Ledger) evict() {
	e := l.opened.Front().Value.(*entry)
	if e.opened.After(l.since) {
		l.since = e.opened
	}
	l.remove(e)
}

func (l *Ledger) remove(e *entry) {
	l.removeRunning(e)
	l.opened.Remove(e.openedElem)
	l.dropAnswer(e)
	delete(l.keys, e.key)
}

func (l *Ledger) addRunning(e *entry) {
	if l.running[e.host] == nil {
		l.running[e.host] = map[string]*entry{}
	}
	l.running[e.host][e.key] = e
}

func (l *Ledger) removeRunning(e *entry) {
	delete(l.running[e.host], e.key)
	if len(l.running[e.host]) == 0 {
		delete(l.running, e.host)
	}
}

func (l *Ledger) close(now time.Time, ev Close) []Action {
	e, ok := l.keys[ev.Key]
	if ev.Answer.Outcome == cell.Refused {
		if !ok || e.try != ev.Try || e.answer != nil {
			return nil
		}
		// The request certainly did not run, so the next try is a fresh one.
		woken := l.notifyWaiters(e, Verdict{Key: e.key, State: Released})
		l.remove(e)
		return woken
	}
	if !ok {
		e = l.add(now, ev.Key, ev.Digest)
	}
	if e.answer != nil && (e.answer.Outcome == cell.Done || ev.Answer.Outcome != cell.Done) {
		return nil
	}
	l.storeAnswer(e, ev.Answer)
	return l.notifyWaiters(e, e.state())
}

// storeAnswer stores an answer and drops the oldest answers that exceed MaxBytes. For a
// dropped answer the ledger still knows that the request ran, so its repeat is answered
// with unknown.
func (l *Ledger) storeAnswer(e *entry, a Answer) {
	l.removeRunning(e)
	l.dropAnswer(e)
	e.answer = &a
	e.answerElem = l.answers.PushBack(e)
	l.bytes += a.size()
	for l.bytes > l.limits.MaxBytes && l.answers.Len() > 0 {
		old := l.answers.Front().Value.(*entry)
		l.dropAnswer(old)
		old.answer = &Answer{Outcome: cell.Unknown, Reason: "the answer is no longer kept"}
	}
}

func (l *Ledger) dropAnswer(e *entry) {
	if e.answerElem == nil {
		return
	}
	l.bytes -= e.answer.size()
	l.answers.Remove(e.answerElem)
	e.answerElem = nil
}

// Len returns the number of remembered keys.
func (l *Ledger) Len() int { return len(l.keys) }

// Bytes returns the total size of the stored answers.
func (l *Ledger) Bytes() int64 { return l.bytes }

// Since returns the time from which on this home knows every key that it was asked about.
// It advances as keys are forgotten.
func (l *Ledger) Since() time.Time { return l.since }
