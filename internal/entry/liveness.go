package entry

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

// A leader that is short of CPU time answers late. If the other hosts took it for dead, they
// would fence it off, and the next leader would have to catch up with all open work, answer even
// later and be fenced off in turn: a term would begin every few seconds, and hardly any task
// would start in between. A late reply therefore means that the leader is slow. The leader counts
// as dead only if it also stores nothing, or if this host has not heard from it for maxSilence.

// maxSilence is how long a leader that continues to store progress may leave a host's requests
// unanswered. Slow leaders fell behind by a second or two. A leader that only the store can reach
// has to be replaced well within the time that callers allow for a recovery.
const maxSilence = 4 * time.Second

// storeCheckDelay is how long the leader may take to answer before this host reads how far the
// leader's log has grown. It is longer than an idle leader takes to answer, and short enough that
// the read costs no extra time.
const storeCheckDelay = 50 * time.Millisecond

// lateReplyValidity is how long a late reply proves that the leader is alive. A leader that
// always answers late is asked, left alone for unresponsivePeriod, and asked again within this
// time.
const lateReplyValidity = 1500 * time.Millisecond

const (
	// leaderChangeWindow is how long a leader change makes hosts wait longer before the next one.
	// It is several times what a new leader needs to catch up.
	leaderChangeWindow = time.Minute
	// progressTimeoutFactor is the factor by which each recent leader change extends the progress
	// timeout, maxProgressTimeout the upper limit. The limit is below maxSilence, after which no
	// evidence of progress counts.
	progressTimeoutFactor = 4
	maxProgressTimeout    = 3 * time.Second
	// returnWindow is how soon after a change the previous leader answers if it was only slow.
	returnWindow = 1500 * time.Millisecond
	// returnPollInterval is the pause before the previous leader is asked again.
	returnPollInterval = 300 * time.Millisecond
)

// maxKey sorts after every key of stateTopic.
const maxKey = "~"

// logEnds holds the end offsets of the partitions of stateTopic at a point in time.
type logEnds struct {
	at      time.Time
	offsets []int64
}

// isLeaderAlive reports whether the leader, which did not answer in time, is slow rather than
// dead. It is alive if it answered late a moment ago, or if it stores something while this host
// watches and has not been silent for more than maxSilence. The channel before returns the end
// offsets of its partitions when it was asked.
func (h *Host) isLeaderAlive(before <-chan logEnds) bool {
	h.mu.Lock()
	leader, unresponsive, silence := h.leader, h.unresponsive == h.leader, time.Duration(0)
	if !h.unansweredSince.IsZero() {
		silence = h.now().Sub(h.unansweredSince)
	}
	h.mu.Unlock()
	if !unresponsive {
		// The leader answered that it does not lead.
		return false
	}
	reach := h.tryConnect(leader)
	if reach == peer.ConnRefused {
		return false
	}
	if h.repliedLate(leader) {
		return true
	}
	if silence > maxSilence {
		h.log.Warn("lead: silent for too long.", "host", leader, "for", silence)
		return false
	}
	was := <-before
	pause := claimGrace - h.now().Sub(was.at)
	for timeout := h.progressTimeout(reach); sleep(h.ctx, pause); pause = claimGrace {
		is := h.stateLogEnds()
		if part := firstGrown(was, is); part >= 0 {
			switch by := h.progressAuthor(leader, h.stateParts()[part]); by {
			case leader:
				h.incCounter("lead.slow")
				h.log.Info("lead: slow, still stores progress.", "host", leader, "part", h.stateParts()[part], "from", was.offsets[part], "to", is.offsets[part], "unheard", silence)
				return true
			case h.cfg.Name:
				h.log.Info("lead: fenced off by this host.", "host", leader, "unheard", silence)
				return false
			case "":
			default:
				h.log.Info("lead: another host claimed.", "host", by, "instead", leader, "unheard", silence)
				return true
			}
		}
		if h.repliedLate(leader) {
			return true
		}
		if h.now().Sub(was.at) >= timeout {
			h.log.Warn("lead: does not answer and stores no progress.", "host", leader, "ends", is.offsets, "unheard", silence, "patience", timeout)
			return false
		}
	}
	return false
}

// progressAuthor returns the host whose append made a partition of stateTopic grow while leader
// is under suspicion. It returns "" if that was a leader that has stepped down. If another host
// has claimed leadership since, this host follows it: its term is not known yet and may never
// begin, but the previous leader is fenced off.
func (h *Host) progressAuthor(leader string, part int) string {
	a, err := h.store.Do(h.ctx, store.Call{Op: store.Newest, Topic: stateTopic, Part: part})
	if err != nil {
		// While the partition cannot be read, no host could take over.
		return leader
	}
	name, seen, ok := newestClaim(a.Records)
	switch {
	case !ok:
		return leader
	case name == leader || name == h.cfg.Name:
		return name
	}
	h.peers.SetAddr(name, seen.addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.leader != leader:
		// The claimant, or yet another host, was announced as leader in the meantime.
		return name
	case name == h.previousLeader:
		return ""
	}
	h.switchLeader(name)
	return name
}

// tryConnect opens a new connection to a host and reports the result.
func (h *Host) tryConnect(name string) peer.Reachability {
	ctx, cancel := context.WithTimeout(h.ctx, processCheckTimeout)
	defer cancel()
	return h.peers.CheckReach(ctx, name)
}

// repliedLate reports whether a late reply of the leader arrived within lateReplyValidity.
func (h *Host) repliedLate(leader string) bool {
	h.mu.Lock()
	late := h.now().Sub(h.lastLateReply)
	h.mu.Unlock()
	if late >= lateReplyValidity {
		return false
	}
	h.incCounter("lead.slow")
	h.log.Info("lead: slow, answered late.", "host", leader, "ago", late)
	return true
}

// progressTimeout returns how long the leader may store nothing before it counts as dead. The
// timeout grows with each recent leader change that was not announced and that may have been a
// mistake: the more changes there were, the likelier is a mistake and the more it costs. A host
// that accepts no connection is down or cut off rather than slow, so its timeout does not grow.
func (h *Host) progressTimeout(reach peer.Reachability) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	timeout := claimGrace
	if reach == peer.NoAnswer {
		return timeout
	}
	h.leaderChanges = h.recentLeaderChanges()
	for range h.leaderChanges {
		timeout = min(progressTimeoutFactor*timeout, maxProgressTimeout)
	}
	return timeout
}

// verifyLeaderChange asks the previous leader after an unannounced change whether it is alive. If
// it does not answer, the change was right and does not extend the progress timeout.
func (h *Host) verifyLeaderChange(at time.Time, previous string) {
	ctx, cancel := context.WithTimeout(h.ctx, returnWindow)
	defer cancel()
	for {
		if err := h.peers.Ask(ctx, previous, h.syncMessage(), new(peer.SyncReply)); err == nil {
			return
		}
		if !sleep(ctx, returnPollInterval) {
			break
		}
	}
	if h.ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	h.leaderChanges = slices.DeleteFunc(h.leaderChanges, func(c time.Time) bool { return c.Equal(at) })
	h.mu.Unlock()
	h.log.Info("lead: change confirmed, previous leader does not answer.", "host", previous, "silent", h.now().Sub(at))
}

// recentLeaderChanges returns the leader changes that still count. The caller stores the result
// in h.leaderChanges. mu is held.
func (h *Host) recentLeaderChanges() []time.Time {
	return slices.DeleteFunc(h.leaderChanges, func(at time.Time) bool { return h.now().Sub(at) > leaderChangeWindow })
}

// firstGrown returns the index of the first partition that has grown, or -1.
func firstGrown(was, is logEnds) int {
	for i := range min(len(was.offsets), len(is.offsets)) {
		if is.offsets[i] > was.offsets[i] {
			return i
		}
	}
	return -1
}

// stateLogEnds returns the end offsets of the partitions of stateTopic. It returns no offsets if
// one of them cannot be read, because no host could take over then anyway.
func (h *Host) stateLogEnds() logEnds {
	parts := h.stateParts()
	e := logEnds{at: h.now(), offsets: make([]int64, len(parts))}
	g, ctx := errgroup.WithContext(h.ctx)
	for i, part := range parts {
		g.Go(func() error {
			a, err := h.store.Do(ctx, store.Call{Op: store.Newest, Topic: stateTopic, Part: part, After: maxKey})
			e.offsets[i] = a.End
			return err
		})
	}
	if err := g.Wait(); err != nil {
		h.log.Warn("lead: end of its log cannot be read.", "err", err)
		return logEnds{at: e.at}
	}
	return e
}

// checkLeader asks the leader whether it leads. If the answer is late or negative, it also reads
// how far the leader's log has grown, and returns the result in before.
func (h *Host) checkLeader(leader string) (leads bool, before <-chan logEnds) {
	got, yes, no := make(chan logEnds, 1), make(chan struct{}), make(chan struct{})
	h.wg.Go(func() {
		t := time.NewTimer(storeCheckDelay)
		defer t.Stop()
		defer close(got)
		select {
		case <-yes:
			return
		case <-no:
		case <-t.C:
		}
		got <- h.stateLogEnds()
	})
	if h.isLeaderOrClaiming(leader) {
		close(yes)
		return true, got
	}
	close(no)
	return false, got
}

// noteLeaderReply records a reply of the leader, also a late one.
func (h *Host) noteLeaderReply(name string, r peer.SyncReply, late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name != h.leader || !r.Lead && !r.Leading {
		// A leader that the store does not serve still leads, and its replies count.
		return
	}
	h.unansweredSince = time.Time{}
	if late {
		h.lastLateReply = h.now()
	}
}

// noteLeaderRequest records that a request was sent to the leader.
func (h *Host) noteLeaderRequest(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name == h.leader && h.unansweredSince.IsZero() {
		h.unansweredSince = h.now()
	}
}

// requestSync asks a host whether it leads and waits for at most timeout. A reply that arrives
// later is only recorded.
func (h *Host) requestSync(name string, timeout time.Duration) (peer.SyncReply, error) {
	type result struct {
		reply peer.SyncReply
		err   error
	}
	answered := make(chan result, 1)
	sent := h.now()
	h.noteLeaderRequest(name)
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, maxSilence)
		defer cancel()
		var got result
		got.err = h.peers.Ask(ctx, name, h.syncMessage(), &got.reply)
		if got.err == nil {
			h.states.addFromLeader(got.reply)
			h.noteLeaderReply(name, got.reply, h.now().Sub(sent) > timeout)
		}
		answered <- got
	})
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case got := <-answered:
		return got.reply, got.err
	case <-t.C:
		return peer.SyncReply{}, &LateError{Host: name, After: timeout}
	}
}
