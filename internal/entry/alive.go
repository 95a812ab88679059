package entry

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"pollencroft/internal/peer"
	"pollencroft/internal/store"
)

// A lead that is short of processor answers late. Taken for dead it is fenced off, and the
// next one has to catch up with all that was open, answers later still, and is fenced off in
// turn: one would see a term begin every few seconds, and hardly a start between. So a late
// answer says that the lead is slow. That it is gone is believed of a lead that stores nothing
// either, or that this host has not heard for unheard.

// maxSilence is how long a lead that goes on storing may leave a host's questions unanswered. Slow
// ones fell behind by a second or two; one that only the store can reach has to be succeeded
// well within what callers allow for a recovery.
const maxSilence = 4 * time.Second

// storeCheckDelay is how long the lead may take to answer before a look is taken at what it stores:
// longer than a calm one takes, and so early that the look costs no time.
const storeCheckDelay = 50 * time.Millisecond

// lateReplyValidity is for how long a late answer shows that the lead is alive: a lead that is always late
// is asked, left alone for muteFor and asked again within that.
const lateReplyValidity = 1500 * time.Millisecond

const (
	// leaderChangeWindow is for how long a change of the lead makes hosts more patient with the next
	// one: several times what it takes to catch up after it.
	leaderChangeWindow = time.Minute
	// progressTimeoutFactor is by how much, mostPatience the bound: less than unheard, after which no
	// sign of life counts.
	progressTimeoutFactor = 4
	maxProgressTimeout    = 3 * time.Second
	// returnWindow is how soon after a change the former lead answers if it was only slow.
	returnWindow = 1500 * time.Millisecond
	// returnPollInterval is the pause before it is asked again.
	returnPollInterval = 300 * time.Millisecond
)

// maxKey sorts after every key of stateTopic.
const maxKey = "~"

// logEnds are where the partitions of stateTopic ended at some moment.
type logEnds struct {
	at      time.Time
	offsets []int64
}

// isLeaderAlive tells whether the lead, which did not answer in time, is slow and not gone: it answered
// late just now, or it stores something while this host watches, and has not been unheard for too
// long. before is where its partitions ended when the question was put.
func (h *Host) isLeaderAlive(before <-chan logEnds) bool {
	h.mu.Lock()
	leader, unresponsive, silence := h.leader, h.unresponsive == h.leader, time.Duration(0)
	if !h.unansweredSince.IsZero() {
		silence = h.now().Sub(h.unansweredSince)
	}
	h.mu.Unlock()
	if !unresponsive {
		// It says that it does not lead.
		return false
	}
	reach := h.tryConnect(leader)
	if reach == peer.Refused {
		return false
	}
	if h.repliedLate(leader) {
		return true
	}
	if silence > maxSilence {
		h.log.Warn("lead: is not heard any more.", "host", leader, "for", silence)
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
				h.log.Info("lead: is slow, and works.", "host", leader, "part", h.stateParts()[part], "from", was.offsets[part], "to", is.offsets[part], "unheard", silence)
				return true
			case h.cfg.Name:
				h.log.Info("lead: was fenced off by this host.", "host", leader, "unheard", silence)
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
			h.log.Warn("lead: stores nothing either.", "host", leader, "ends", is.offsets, "unheard", silence, "patience", timeout)
			return false
		}
	}
	return false
}

// progressAuthor tells whose work the growth of a partition of stateTopic is while lead is doubted; empty
// if it is that of a lead that has left. A host that has claimed since is followed: its term
// cannot be known yet, nor that it ever begins, but the one before is fenced off.
func (h *Host) progressAuthor(leader string, part int) string {
	a, err := h.store.Do(h.ctx, store.Call{Op: store.Newest, Topic: stateTopic, Part: part})
	if err != nil {
		// Nobody could take over while that cannot be read.
		return leader
	}
	name, seen, ok := newestClaim(a.Records)
	switch {
	case !ok:
		return leader
	case name == leader || name == h.cfg.Name:
		return name
	}
	h.peers.Set(name, seen.addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.leader != leader:
		// It was announced meanwhile, or another one was.
		return name
	case name == h.previousLeader:
		return ""
	}
	h.switchLeader(name)
	return name
}

// tryConnect tries a new connection to a host.
func (h *Host) tryConnect(name string) peer.Reach {
	ctx, cancel := context.WithTimeout(h.ctx, goneTimeout)
	defer cancel()
	return h.peers.Reach(ctx, name)
}

// repliedLate tells whether the lead has answered late just now.
func (h *Host) repliedLate(leader string) bool {
	h.mu.Lock()
	late := h.now().Sub(h.lastLateReply)
	h.mu.Unlock()
	if late >= lateReplyValidity {
		return false
	}
	h.incCounter("lead.slow")
	h.log.Info("lead: is slow, and answers.", "host", leader, "ago", late)
	return true
}

// progressTimeout is how long the lead may store nothing. It grows with each change of late that
// nobody had told of and that may have been a mistake: that it was is the likelier, and costs the
// more, the more there were. A host that takes no connection is off or cut off, and not slow.
func (h *Host) progressTimeout(reach peer.Reach) time.Duration {
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

// verifyLeaderChange asks the former lead after a change that nobody had told of. If it stays silent,
// the change was right and is no reason to be more patient.
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
	h.log.Info("lead: change was right.", "host", previous, "silent", h.now().Sub(at))
}

// recentLeaderChanges are the changes of the lead that count still; mu is held. The caller keeps them as h.changes.
func (h *Host) recentLeaderChanges() []time.Time {
	return slices.DeleteFunc(h.leaderChanges, func(at time.Time) bool { return h.now().Sub(at) > leaderChangeWindow })
}

// firstGrown is the first of the partitions that have firstGrown, -1 if none has.
func firstGrown(was, is logEnds) int {
	for i := range min(len(was.offsets), len(is.offsets)) {
		if is.offsets[i] > was.offsets[i] {
			return i
		}
	}
	return -1
}

// stateLogEnds returns where the partitions of stateTopic end; nothing if one cannot be read,
// as then nobody can take over anyway.
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
		h.log.Warn("lead: what it stores cannot be seen.", "err", err)
		return logEnds{at: e.at}
	}
	return e
}

// checkLeader asks the lead whether it leads. While there is no answer, or if it is no, it also
// looks at what the lead stores.
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

// noteLeaderReply notes an answer of the lead, also a late one.
func (h *Host) noteLeaderReply(name string, r peer.SyncReply, late bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name != h.leader || !r.Lead && !r.Leading {
		// One that the store does not serve leads on, and is heard.
		return
	}
	h.unansweredSince = time.Time{}
	if late {
		h.lastLateReply = h.now()
	}
}

// noteLeaderRequest notes a question to the lead.
func (h *Host) noteLeaderRequest(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if name == h.leader && h.unansweredSince.IsZero() {
		h.unansweredSince = h.now()
	}
}

// requestSync asks a host whether it leads, for patience; an answer that comes later than that
// is only noted.
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
