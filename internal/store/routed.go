package store

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Ways to the store.
const (
	// directTimeout is how long a call goes without an answer before it is made
	// through a peer as well. The store answers in 4 ms; a busy host takes some
	// tens more.
	directTimeout = 450 * time.Millisecond
	// suspectTimeout is the same while the direct way did not answer lately.
	suspectTimeout = 25 * time.Millisecond
	// cutAfter is how long the direct way goes without any answer before calls are made
	// through a peer at once, and only beside that on the direct way; an answer after that
	// has all calls made again that are still under way. A host that is cut
	// off from the store stays so for seconds, and each call of a lead there, three for
	// a step of a job, would wait for suspicion in vain.
	cutAfter = time.Second
	// latencyFactor is by how much patience exceeds the answers of late: a store that is
	// slow is slow for peers too, and asking twice would make it latencyFactor.
	latencyFactor = 2
	// refusedPause is how long the direct way to a partition is left alone after it refused.
	refusedPause = 500 * time.Millisecond
	// callTimeout bounds one call in all, besides the time it asks the store to wait.
	callTimeout = 2800 * time.Millisecond
	// latencyDecay is what is left of the longest answer's weight with each next one.
	latencyDecay = 0.8
)

// Relay makes a call at a peer that may be served by the store.
type Relay interface {
	// Peers lists the peers to ask, best first.
	Peers() []string
	// Do has the peer make the call.
	Do(ctx context.Context, peer string, c Call) (Answer, error)
}

// Routed reaches the store directly or, while it turns this host away, through
// a peer. A host that the store refuses would otherwise refuse callers whom the
// host beside it serves; it would be seen in refusals at single hosts.
//
// A call without an answer is made on the other way as well. That is safe: an
// append is fenced by epoch and sequence, is conditional, or is keyed by what it
// says, and all other calls only read or renew.
type Routed struct {
	direct Log
	relay  Relay
	now    func() time.Time
	// onChange is told when the direct way of a call fails and comes back.
	onChange func(c Call, ok bool, err error)
	mu       sync.Mutex
	// targets are the partitions and groups by name. The store may serve some and
	// not others: a refusal of one says nothing of the rest.
	targets map[string]*target
	// failed tells that the last direct call failed, to whichever target.
	failed bool
	// latency is about how long latency took lately, the longest counting most.
	latency    time.Duration
	lastAnswer time.Time
	// lastDirect is when the direct way answered last.
	lastDirect time.Time
	// recovered is closed when it answers after cutAfter without any answer.
	recovered chan struct{}
	// lastServed is the peer that was lastServed last, away when those failed that were not.
	lastServed  string
	failedPeers map[string]time.Time
}

// target is one partition or group on the direct way.
type target struct {
	// closedUntil is until when it is not tried: appends may be refused where reads are not.
	closedUntil closedTimes
	// lastAnswer is when it answered last.
	lastAnswer time.Time
	// suspect tells that its last call failed or is overdue, silent that it had no answer.
	suspect, silent bool
}

// closedTimes is until when calls of a kind are not tried.
type closedTimes struct{ reads, others time.Time }

func (c *closedTimes) of(op Op) *time.Time {
	if op.isRead() {
		return &c.reads
	}
	return &c.others
}

// NewRouted returns a log that knows both ways; lost may not wait.
func NewRouted(direct Log, relay Relay, now func() time.Time, lost func(c Call, ok bool, err error)) *Routed {
	return &Routed{
		direct: direct, relay: relay, now: now, onChange: lost,
		targets: map[string]*target{}, recovered: make(chan struct{}), failedPeers: map[string]time.Time{},
	}
}

// target returns what is known of what a call is for; mu is held.
func (r *Routed) target(c Call) *target {
	name := c.Topic + "/" + strconv.Itoa(c.Part)
	if c.Group != "" {
		name = c.Group
	}
	t, ok := r.targets[name]
	if !ok {
		t = &target{}
		r.targets[name] = t
	}
	return t
}

// LastAnswer is when the store answered this host last, on whichever way.
func (r *Routed) LastAnswer() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAnswer
}

// RecentLatency is about how long the store's answers took lately, the longest counting most.
func (r *Routed) RecentLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency
}

// AnsweredWithin tells whether the store answered this host within d, or within what its
// answers take of late if that is longer.
func (r *Routed) AnsweredWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.lastAnswer) < max(d, latencyFactor*r.latency+d/2)
}

// Direct makes the call on the direct way only, for a peer. While this host is cut off it
// does nothing: the peer would wait for an answer that does not come.
func (r *Routed) Direct(ctx context.Context, c Call) (Answer, error) {
	if r.isClosed(c) || r.isCut(c) {
		return Answer{}, &RefusedError{Op: c.Op, Reason: "this host is turned away as well"}
	}
	// The peer has given up long before: its own calls end within the same time.
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.callDirect(ctx, c)
}

// Do makes the call. A read that waits for records does so on the direct way; if that has
// no answer in time or had none before, the read is made on all ways and waits nowhere.
func (r *Routed) Do(ctx context.Context, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+c.Wait)
	defer cancel()
	if c.Wait > 0 && !r.isSuspect(c) {
		if got, ok := r.longPoll(ctx, c); ok {
			return got.answer, got.err
		}
	}
	c.Wait = 0
	return newRace(r, c).run(ctx)
}

// longPoll makes a read that waits; false if it has no answer in time. One that fails at once is
// made again soon: a peer's time is not for that.
func (r *Routed) longPoll(ctx context.Context, c Call) (result, bool) {
	ctx, cancel := context.WithTimeout(ctx, c.Wait+r.retryDelay())
	defer cancel()
	a, err := r.callDirect(ctx, c)
	return result{a, err}, !IsUnavailable(err) || ctx.Err() == nil
}

// CombineErrors joins the failures of two tries: only if both refused was nothing done.
func CombineErrors(a, b error) error {
	switch {
	case b == nil:
		return nil
	case a == nil || NotDone(a) && NotDone(b) || !IsUnavailable(b):
		return b
	case NotDone(b):
		return a
	default:
		return b
	}
}

// peers lists the peers to ask: first the one that was served last, then those that never
// failed, then whoever failed longest ago. The hosts of a failure domain that is cut off
// stand together in the list; asked again and again, they would be all that are asked.
func (r *Routed) peers() []string {
	all := slices.Clone(r.relay.Peers())
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(all, func(a, b string) int { return r.failedPeers[a].Compare(r.failedPeers[b]) })
	if i := slices.Index(all, r.lastServed); i > 0 {
		all = slices.Insert(slices.Delete(all, i, i+1), 0, r.lastServed)
	}
	return all[:min(len(all), maxPeers)]
}

// recordPeer notes whether a peer was served.
func (r *Routed) recordPeer(p string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !IsUnavailable(err) {
		r.lastServed = p
		delete(r.failedPeers, p)
		return
	}
	r.failedPeers[p] = r.now()
	if r.lastServed == p {
		r.lastServed = ""
	}
}

func (r *Routed) callPeer(ctx context.Context, p string, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*r.directDelay(c)+directTimeout)
	defer cancel()
	a, err := r.relay.Do(ctx, p, c)
	r.recordPeer(p, err)
	if !IsUnavailable(err) {
		r.mu.Lock()
		r.lastAnswer = r.now()
		r.mu.Unlock()
	}
	return a, err
}

// isCut tells whether no direct call has had an answer for so long that none is expected.
func (r *Routed) isCut(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCutLocked(c)
}

// isCutLocked is isCut; mu is held.
func (r *Routed) isCutLocked(c Call) bool {
	return r.failed && r.target(c).suspect && r.now().Sub(r.lastDirect) > max(cutAfter, latencyFactor*r.latency)
}

func (r *Routed) isClosed(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Before(*r.target(c).closedUntil.of(c.Op))
}

func (r *Routed) isSuspect(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target(c).suspect
}

// directDelay is how long to wait for the direct way before a peer is asked.
func (r *Routed) directDelay(c Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := max(directTimeout, latencyFactor*r.latency)
	switch {
	case r.isCutLocked(c):
		return 0
	case r.failed || r.target(c).suspect:
		wait = max(suspectTimeout, latencyFactor*r.latency)
	}
	if c.Op.isRead() {
		return min(wait, maxReadWait)
	}
	return wait
}

// retryDelay is how long a read is waited for on the direct way before it is made again.
func (r *Routed) retryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(directTimeout, latencyFactor*r.latency), maxReadWait)
}

// peerDelay is how long a peer is waited for before the next one is asked as well.
func (r *Routed) peerDelay(c Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Op.isRead() {
		return min(max(readPeerDelay, latencyFactor*r.latency), maxReadWait)
	}
	return max(directTimeout, latencyFactor*r.latency)
}

// markSilent notes that the direct way has not answered for longer than usual.
func (r *Routed) markSilent(c Call) {
	r.mu.Lock()
	was := r.target(c).suspect
	r.target(c).suspect, r.failed = true, true
	r.target(c).silent = true
	r.mu.Unlock()
	if !was {
		r.onChange(c, false, &UnansweredError{Op: c.Op, Cause: context.DeadlineExceeded})
	}
}

// callDirect makes the call on the direct way, and again when the store answers after it was
// silent. What was sent into the silence is never answered, and would be waited for to
// the end of its time: a lead stored nothing for 1.6 s after the store was back, and
// nothing began or was told as completed. That it is made twice is safe, as above.
func (r *Routed) callDirect(ctx context.Context, c Call) (Answer, error) {
	for {
		began, revival := r.now(), r.recovery()
		call := c
		call.NewConn = r.isSilent(c)
		attempt, cancel := context.WithCancel(ctx)
		done := make(chan result, 1)
		go func() {
			a, err := r.direct.Do(attempt, call)
			done <- result{a, err}
		}()
		select {
		case got := <-done:
			cancel()
			if !errors.Is(ctx.Err(), context.Canceled) {
				// Otherwise the caller left, which says nothing of the store.
				r.recordDirect(c, began, got.err)
			}
			return got.answer, got.err
		case <-revival:
			cancel()
		}
	}
}

// recovery is closed when the store answers after it was silent.
func (r *Routed) recovery() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovered
}

// isSilent tells whether the last direct call to the same target had no answer.
func (r *Routed) isSilent(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target(c).silent
}

// recordDirect takes note of how a direct call went. A failure of a call that began before the last
// answer says nothing any more.
func (r *Routed) recordDirect(c Call, began time.Time, err error) {
	now := r.now()
	r.mu.Lock()
	t := r.target(c)
	if IsUnavailable(err) && t.lastAnswer.After(began) {
		r.mu.Unlock()
		return
	}
	was := t.suspect
	r.failed = IsUnavailable(err)
	switch {
	case !r.failed:
		if now.Sub(r.lastDirect) > max(cutAfter, latencyFactor*r.latency) {
			close(r.recovered)
			r.recovered = make(chan struct{})
		}
		*t = target{lastAnswer: now}
		r.lastAnswer, r.lastDirect = now, now
		if c.Wait == 0 {
			r.latency = max(time.Duration(latencyDecay*float64(r.latency)), now.Sub(began))
		}
	default:
		t.suspect, t.silent = true, !NotDone(err)
		if NotDone(err) {
			*t.closedUntil.of(c.Op) = now.Add(refusedPause)
		}
	}
	is := t.suspect
	r.mu.Unlock()
	if was != is {
		r.onChange(c, !is, err)
	}
}

// IsUnavailable tells whether the store did not serve this host at all.
func IsUnavailable(err error) bool {
	var unanswered *UnansweredError
	return NotDone(err) || errors.As(err, &unanswered)
}
