package store

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/uptime"
)

// Timing of the routes to the store.
const (
	// directTimeout is how long a call may go without an answer before it is made through a peer
	// as well. The store answers in 4 ms; a busy host takes some tens of milliseconds more.
	directTimeout = 450 * time.Millisecond
	// suspectTimeout replaces directTimeout while the direct route has recently not answered.
	suspectTimeout = 25 * time.Millisecond
	// cutAfter is how long the direct route may go without any answer before this host counts as
	// cut off. From then on, calls go through a peer at once and on the direct route at the same
	// time. The first direct answer after that repeats all calls that are still in progress. A
	// host that is cut off from the store stays so for seconds, and each call of a leader there,
	// three for a step of a job, would otherwise wait for suspectTimeout in vain.
	cutAfter = time.Second
	// latencyFactor is the ratio of the timeouts to the recent latency. A store that is slow is
	// slow for peers too, and asking twice would make it slower.
	latencyFactor = 2
	// refusedPause is how long the direct route to a partition is not used after it refused.
	refusedPause = 500 * time.Millisecond
	// callTimeout bounds one whole call, in addition to the time that the call asks the store to
	// wait.
	callTimeout = 2800 * time.Millisecond
	// latencyDecay is the factor by which the latency estimate shrinks with each further answer,
	// unless that answer took longer.
	latencyDecay = 0.8
)

// errAbandoned is the cause of the error for a call of which an earlier attempt was given up.
var errAbandoned = errors.New("an earlier attempt had no answer")

// Relay makes a call through a peer that the store may serve.
type Relay interface {
	// Peers lists the peers to ask, best first.
	Peers() []string
	// Do makes the call through the peer.
	Do(ctx context.Context, peer string, c Call) (Answer, error)
}

// Routed reaches the store directly or, while the store refuses this host, through a peer.
// Without that, a host that the store refuses would refuse its callers although the host next to
// it serves them, and single hosts would show refusals.
//
// A call without an answer is made on the other route as well. That is safe: an append is fenced
// by epoch and sequence, is conditional, or is keyed by its content, and all other calls only
// read or renew.
type Routed struct {
	direct Log
	relay  Relay
	now    func() time.Time
	uptime *uptime.Clock
	// onChange is called when the direct route starts to fail for a call's target, and when it
	// works again.
	onChange func(c Call, ok bool, err error)
	mu       sync.Mutex
	// targets holds the partitions and groups by name. The store may serve some and not others: a
	// refusal of one says nothing about the rest.
	targets map[string]*target
	// failed is set if the last direct call failed, whatever its target.
	failed bool
	// latency is an estimate of the store's recent latency in which the longest answer weighs
	// most.
	latency    time.Duration
	lastAnswer time.Time
	// lastServed is the uptime at which the newest call began that the store answered.
	lastServed time.Duration
	// lastDirect is when the direct route last answered.
	lastDirect time.Time
	// recovered is closed when the direct route answers after cutAfter without any answer.
	recovered chan struct{}
	// servedPeer is the peer that the store served last. failedPeers holds, for each peer that
	// the store does not serve, when that was seen last.
	servedPeer  string
	failedPeers map[string]time.Time
}

// target is the state of one partition or group on the direct route.
type target struct {
	// closedUntil is until when the target is not tried. Reads and other calls are separate,
	// because appends may be refused where reads are not.
	closedUntil closedTimes
	// lastAnswer is when the target last answered.
	lastAnswer time.Time
	// suspect is set if the last call failed or is overdue, silent if it had no answer.
	suspect, silent bool
}

// closedTimes holds until when reads and other calls are not tried.
type closedTimes struct{ reads, others time.Time }

func (c *closedTimes) of(op Op) *time.Time {
	if op.isRead() {
		return &c.reads
	}
	return &c.others
}

// NewRouted returns a log that uses the direct route and peers. The function onChange must not
// block.
func NewRouted(direct Log, relay Relay, now func() time.Time, up *uptime.Clock, onChange func(c Call, ok bool, err error)) *Routed {
	return &Routed{
		direct: direct, relay: relay, now: now, uptime: up, onChange: onChange,
		targets: map[string]*target{}, recovered: make(chan struct{}), failedPeers: map[string]time.Time{},
	}
}

// target returns the state of the target of a call. The caller holds mu.
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

// LastAnswer returns when the store last answered this host, on any route.
func (r *Routed) LastAnswer() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastAnswer
}

// LastServed returns the uptime at which the newest call began that the store answered, on any route.
// An answer may arrive long after the store gave it, and after what others have done there since.
func (r *Routed) LastServed() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastServed
}

func (r *Routed) noteServed(began time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastServed = max(r.lastServed, began)
}

// RecentLatency returns an estimate of the store's recent latency in which the longest answer
// weighs most.
func (r *Routed) RecentLatency() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latency
}

// AnsweredWithin reports whether the store answered this host within d, or within a time that
// follows from the recent latency if that is longer.
func (r *Routed) AnsweredWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.lastAnswer) < max(d, latencyFactor*r.latency+d/2)
}

// Direct makes a call for a peer, on the direct route only. While this host is cut off it refuses
// at once, because the peer would wait for an answer that does not come.
func (r *Routed) Direct(ctx context.Context, c Call) (Answer, error) {
	if r.isClosed(c) || r.isCut(c) {
		return Answer{}, &RefusedError{Op: c.Op, Reason: "this host is turned away as well"}
	}
	// The peer has given up by then, because its own calls are bounded by the same timeout.
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.callDirect(ctx, c)
}

// Do makes the call. A read that waits for records uses the direct route. If that has no answer
// in time or had none before, the read is made on all routes and without waiting for records.
func (r *Routed) Do(ctx context.Context, c Call) (Answer, error) {
	if c.Op == Append {
		c.Records = packAll(c.Records)
	}
	a, err := r.do(ctx, c)
	if c.Op.isRead() {
		a.Records = unpackAll(a.Records)
	}
	return a, err
}

func (r *Routed) do(ctx context.Context, c Call) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+c.Wait)
	defer cancel()
	if c.Wait > 0 && !r.isSuspect(c) {
		if got, ok := r.longPoll(ctx, c); ok {
			return got.answer, got.err
		}
	}
	c.Wait = 0
	if c.Bulk {
		return r.oneAfterTheOther(ctx, c)
	}
	return newRace(r, c).run(ctx)
}

// oneAfterTheOther makes a call on the direct route, and through one peer if the store refuses it
// there. A host that the store does not serve asks a peer at once.
func (r *Routed) oneAfterTheOther(ctx context.Context, c Call) (Answer, error) {
	var failed error = &RefusedError{Op: c.Op, Reason: "no way to the store"}
	if !r.isClosed(c) && !r.isCut(c) {
		a, err := r.callDirect(ctx, c)
		if !NotDone(err) {
			return a, err
		}
		failed = err
	}
	peers := r.peers()
	if len(peers) == 0 {
		return Answer{}, failed
	}
	a, err := r.callPeer(ctx, peers[0], c)
	return a, CombineErrors(failed, err)
}

// longPoll makes a read that waits for records. It returns false if there is no answer in time. A
// read that fails at once is not made through a peer, since the caller soon repeats it.
func (r *Routed) longPoll(ctx context.Context, c Call) (result, bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var arrives arrival
	c.OnReply = func() { arrives.begin(r.now()) }
	late := time.AfterFunc(c.Wait+r.retryDelay(), func() {
		if at := arrives.began(); !at.IsZero() {
			sleep(ctx, at.Add(arrivalTimeout).Sub(r.now()))
		}
		cancel(context.DeadlineExceeded)
	})
	defer late.Stop()
	a, err := r.callDirect(ctx, c)
	return result{a, err}, !IsUnavailable(err) || ctx.Err() == nil
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// CombineErrors combines the failures of two attempts: only if both were refused is it certain
// that nothing was done.
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

// peers lists the peers to ask: first the one that was served last, then those that never failed,
// then the others, the one whose failure is oldest first. The hosts of a failure domain that is
// cut off are adjacent in the list. If failed peers kept their place, only those would be asked,
// again and again.
func (r *Routed) peers() []string {
	all := slices.Clone(r.relay.Peers())
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(all, func(a, b string) int { return r.failedPeers[a].Compare(r.failedPeers[b]) })
	if i := slices.Index(all, r.servedPeer); i > 0 {
		all = slices.Insert(slices.Delete(all, i, i+1), 0, r.servedPeer)
	}
	return all[:min(len(all), maxPeers)]
}

// recordPeer records whether the store served a peer.
func (r *Routed) recordPeer(p string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !IsUnavailable(err) {
		r.servedPeer = p
		delete(r.failedPeers, p)
		return
	}
	r.failedPeers[p] = r.now()
	if r.servedPeer == p {
		r.servedPeer = ""
	}
}

func (r *Routed) callPeer(ctx context.Context, p string, c Call) (Answer, error) {
	timeout := 2*r.directDelay(c) + directTimeout
	if c.Op.isRead() && !c.Bulk {
		// A peer sends its answer when it is complete, and the next peer is asked meanwhile.
		timeout = max(timeout, arrivalTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := r.uptime.Now()
	a, err := r.relay.Do(ctx, p, c)
	r.recordPeer(p, err)
	if !IsUnavailable(err) {
		r.noteServed(began)
		r.mu.Lock()
		r.lastAnswer = r.now()
		r.mu.Unlock()
	}
	return a, err
}

// isCut reports whether direct calls have gone without an answer for so long that none is
// expected.
func (r *Routed) isCut(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isCutLocked(c)
}

// isCutLocked is isCut for callers that hold mu.
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

// directDelay returns how long to wait for the direct route before a peer is asked.
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

// retryDelay returns how long to wait for a read on the direct route before it is repeated.
func (r *Routed) retryDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(directTimeout, latencyFactor*r.latency), maxReadWait)
}

// peerDelay returns how long to wait for a peer before the next one is asked as well.
func (r *Routed) peerDelay(c Call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Op.isRead() {
		return min(max(readPeerDelay, latencyFactor*r.latency), maxReadWait)
	}
	return max(directTimeout, latencyFactor*r.latency)
}

// markSilent records that the direct route has not answered for longer than usual.
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

// callDirect makes the call on the direct route, and repeats it when the store answers after it
// was silent. A call that was sent while the store was silent is never answered, and would be
// waited for until its timeout: a leader stored nothing for 1.6 s after the store was back, and
// in that time no task was started and no job was reported as completed. Making the call twice is
// safe, see Routed. The outcome of the attempt that was given up remains unknown: if a later attempt
// is refused, a write is reported as unanswered.
func (r *Routed) callDirect(ctx context.Context, c Call) (Answer, error) {
	var abandoned error
	for {
		began, recovered := r.now(), r.recovery()
		call := c
		call.NewConn = r.isSilent(c)
		var arrives arrival
		call.OnReply = func() {
			arrives.begin(r.now())
			if c.OnReply != nil {
				c.OnReply()
			}
		}
		attempt, cancel := context.WithCancel(ctx)
		done := make(chan result, 1)
		go func() {
			began := r.uptime.Now()
			a, err := r.direct.Do(attempt, call)
			if !IsUnavailable(err) {
				r.noteServed(began)
			}
			done <- result{a, err}
		}()
		select {
		case got := <-done:
			cancel()
			if !errors.Is(context.Cause(ctx), context.Canceled) {
				// Otherwise the caller gave up, which says nothing about the store.
				r.recordDirect(c, began, arrives.began(), got.err)
			}
			return got.answer, CombineErrors(abandoned, got.err)
		case <-recovered:
			cancel()
			if !c.Op.isRead() {
				abandoned = &UnansweredError{Op: c.Op, Cause: errAbandoned}
			}
		}
	}
}

// recovery returns a channel that is closed when the store answers after it was silent.
func (r *Routed) recovery() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recovered
}

// isSilent reports whether the last direct call to the same target had no answer.
func (r *Routed) isSilent(c Call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target(c).silent
}

// recordDirect records the result of a direct call whose answer began to arrive at that time, if
// that is known. The failure of a call that began before the last answer is out of date and is
// ignored.
func (r *Routed) recordDirect(c Call, began, arrived time.Time, err error) {
	now := r.now()
	if arrived.IsZero() {
		arrived = now
	}
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
			r.latency = max(time.Duration(latencyDecay*float64(r.latency)), arrived.Sub(began))
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

// IsUnavailable reports whether the store did not serve this host at all.
func IsUnavailable(err error) bool {
	var unanswered *UnansweredError
	return NotDone(err) || errors.As(err, &unanswered)
}
