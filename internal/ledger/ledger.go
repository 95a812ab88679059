// Package ledger remembers which keyed requests were sent and how they ended,
// so that a repeat gets the first answer instead of a second run.
//
// Ledger is the memory of one home, Run the entry host's side that asks the
// homes, and Plan names the homes of a key. All three decide without I/O.
package ledger

import (
	"container/list"
	"time"

	"pollencroft/internal/cell"
)

// Limits bound one home's memory of keys.
type Limits struct {
	// Retention is how long a key is remembered after its first try.
	Retention time.Duration
	// RepeatWindow is how long after its first try a balancer may repeat a request.
	RepeatWindow time.Duration
	// MaxSkew is how far a key's own time may be ahead of a home's clock. Clocks
	// of two homes may differ by as much again.
	MaxSkew time.Duration
	// MaxKeys is the largest number of keys.
	MaxKeys int
	// MaxBytes is the largest sum of the stored answers' sizes.
	MaxBytes int64
}

// DefaultLimits suit a small entry host.
var DefaultLimits = Limits{
	Retention: 10 * time.Minute, RepeatWindow: 30 * time.Second, MaxSkew: time.Second, MaxKeys: 100_000, MaxBytes: 32 << 20,
}

// hostTimeout is how long an entry host may give no sign of life before its
// running tries count as lost. A wrong guess tells a repeat unknown, which is
// never false; the answer still replaces it when it comes after all.
const hostTimeout = 1500 * time.Millisecond

// closeGrace is how long after a try's deadline its end may still arrive.
const closeGrace = time.Second

// maxInlineAnswer is the largest answer, in bytes, that comes with a verdict. A question
// to a home is bounded tightly, and a large answer would take longer than a
// silent home is waited for. Such a key counts as running: the wait for its end
// is over at once and has all the time that the caller has.
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
	// openedElem and answerElem are the places in the orders of opening and of answers.
	openedElem, answerElem *list.Element
}

type waiter struct {
	key   string
	until time.Time
}

// Ledger is the key ledger core of one home.
type Ledger struct {
	limits  Limits
	since   time.Time
	keys    map[string]*entry
	opened  *list.List
	answers *list.List
	bytes   int64
	// running holds the open tries by entry host, so that a host's death costs
	// as much as it has tries open.
	running    map[string]map[string]*entry
	waiters    map[string]waiter
	heartbeats map[string]Heartbeat
}

// New returns an empty ledger that remembers from since on.
func New(limits Limits, since time.Time) *Ledger {
	return &Ledger{
		limits: limits, since: since, keys: map[string]*entry{}, opened: list.New(), answers: list.New(),
		running: map[string]map[string]*entry{}, waiters: map[string]waiter{}, heartbeats: map[string]Heartbeat{},
	}
}

// Step takes one event. An Open is answered by exactly one Verdict, an Await
// by exactly one Woken now or later, unless a Forget ends it.
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
		// A home may belong to two groups of the same try.
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

// canConfirm tells whether this home would know the key had it been used. A home
// that started after the key's first try may have lost it with its
// predecessor's memory, or forgotten it to stay within its limits; taking it
// as fresh would run the request twice. A key's own time proves that it is
// younger than the memory: no home takes a key that is more than Skew ahead
// of its clock, and clocks of homes differ by Skew at most. Else only the
// balancer's repeats of a first try are to be feared, and they come within the
// repeat window.
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

// evict forgets the oldest key. From then on this home vouches only for keys
// that are younger, else the forgotten key would be taken as fresh.
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
		// It provably did not run, so the next try is a fresh one.
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

// storeAnswer keeps an answer; the oldest ones make room. What is left of such an
// answer is that the request ran, so its repeat is told unknown.
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

// Len returns how many keys are kept.
func (l *Ledger) Len() int { return len(l.keys) }

// Bytes returns the sum of the stored answers' sizes.
func (l *Ledger) Bytes() int64 { return l.bytes }

// Since returns the time from which on this home knows every key it was asked
// for. It moves on as keys are forgotten.
func (l *Ledger) Since() time.Time { return l.since }
