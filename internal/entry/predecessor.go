package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// A new leader waits for the leases on workers that it does not reach, which a former leader may
// still renew. The shorter that wait is, the sooner their tasks run elsewhere. The host of the
// claim before the leader's own can be asked whether it has stopped. That says nothing about the
// leaders before that claim: they stop in time after it.

// claim is the record that begins a term. The zero value is a claim of which nothing is known.
type claim struct {
	// none means that no claim was ever made.
	none bool
	host string
	// at is the time of day of the claim, and term its number; both are zero for claims of older
	// builds.
	at   time.Time
	term int64
	// lease is how long leases last after the last proof of the term; zero for claims of older builds,
	// whose leases do not end with it. olderUntil is the time of day until which leases may last that
	// leaders of older builds have given before; zero if there are none.
	lease      time.Duration
	olderUntil time.Time
}

// newClaim returns the text of this host's claim to a term, which follows another one. It differs from
// all others.
func (h *Host) newClaim(number int64, before claim) string {
	now := h.now()
	older := int64(0)
	if until := before.olderLeases(now); until.After(now) {
		older = until.UnixNano()
	}
	return strings.Join([]string{
		h.memberName(), strconv.FormatInt(now.UnixNano(), incarnationBase), strconv.FormatInt(number, 10),
		strconv.FormatInt(h.limits().Lease.Milliseconds(), 10), strconv.FormatInt(older, incarnationBase),
	}, " ")
}

// olderLeases returns until when leases may last that leaders of older builds gave before a claim that is
// made after this one, by the time of day.
func (c claim) olderLeases(now time.Time) time.Time {
	if c.none || c.lease > 0 {
		return c.olderUntil
	}
	return now.Add(claimTimeout + sched.OlderLeases)
}

// formerLeases returns what is known about the leases of former leaders, given the claim before this
// host's own and what the topic of the jobs' progress has. It returns false if that is nothing.
func (h *Host) formerLeases(before claim, states []store.Record) (sched.FormerLeases, bool) {
	lease := h.limits().Lease
	switch {
	case before.none:
		return sched.FormerLeases{Lease: lease}, true
	case before.lease == 0:
		return sched.FormerLeases{}, false
	}
	l := sched.FormerLeases{Lease: max(before.lease, lease), Bounds: sched.DecodeBounds(newestBounds(states), before.term)}
	if !before.olderUntil.IsZero() {
		l.Older = max(before.olderUntil.Add(sched.MaxClockSkew).Sub(h.now()), 0)
	}
	return l, true
}

// newestBounds returns the newest record of the bounds of leases, or nil if there is none.
func newestBounds(states []store.Record) []byte {
	var newest []byte
	for _, r := range states {
		if r.Key == sched.BoundsKey && len(r.Value) > 0 {
			newest = flow.NewerRecord(newest, r.Value)
		}
	}
	return newest
}

// lastClaim returns the last claim before an offset of the first partition, given the one before an earlier
// offset.
func (h *Host) lastClaim(ctx context.Context, before claim, from, until int64) claim {
	a, err := h.store.Do(ctx, store.Call{Op: store.Read, Topic: stateTopic, Part: h.stateParts()[0], From: from})
	if err != nil || from+int64(len(a.Records)) < until {
		h.log.Warn("lead: records before the claim cannot be read.", "from", from, "until", until, "records", len(a.Records), "err", err)
		return claim{}
	}
	for _, r := range a.Records[:until-from] {
		if r.Key == claimKey {
			before = parseClaim(string(r.Value))
		}
	}
	return before
}

// claimIn returns the claim among the records of a partition.
func claimIn(records []store.Record) claim {
	for _, r := range records {
		if r.Key == claimKey {
			return parseClaim(string(r.Value))
		}
	}
	return claim{none: true}
}

func parseClaim(s string) claim {
	name, _, ok := parseMember(s)
	fields := strings.Fields(s)
	if !ok || len(fields) < 6 {
		return claim{}
	}
	at, err := strconv.ParseInt(fields[4], incarnationBase, 64)
	if err != nil {
		return claim{}
	}
	term, err := strconv.ParseInt(fields[5], 10, 64)
	if err != nil {
		return claim{}
	}
	c := claim{host: name, at: time.Unix(0, at), term: term}
	if len(fields) < 8 {
		return c
	}
	lease, err := strconv.ParseInt(fields[6], 10, 64)
	older, olderErr := strconv.ParseInt(fields[7], incarnationBase, 64)
	if err != nil || olderErr != nil || lease <= 0 || lease > maxClaimedLease.Milliseconds() {
		return c
	}
	c.lease = time.Duration(lease) * time.Millisecond
	if older > 0 {
		c.olderUntil = time.Unix(0, older)
	}
	return c
}

// maxClaimedLease is the longest lease that a claim may name.
const maxClaimedLease = time.Minute

// awaitPreviousLeader waits until the previous leader certainly holds no leases: it has handed over,
// it has answered that it does not lead, or it was this host.
func (t *term) awaitPreviousLeader(previous claim) {
	t.h.mu.Lock()
	over := sched.PredecessorStopped{Since: t.h.handoverBoundsAt, ClaimedAt: previous.at}
	if previous.term != 0 && previous.term == t.h.handoverTerm {
		over.LeaseBounds = t.h.handoverBounds
	}
	known := t.h.previousLeader
	t.h.handoverBounds = nil
	t.h.mu.Unlock()
	if known != previous.host {
		// The host of the claim may never have led.
		t.h.wg.Go(func() { t.awaitStopped(known) })
	}
	how := "it was this host"
	switch {
	case previous.none:
		how = "there was none"
	case over.LeaseBounds != nil:
		how = "it has handed over"
	case previous.host == "":
		return
	case previous.host != t.h.cfg.Name:
		// Its address is known since it was asked whether it leads.
		if !t.awaitStopped(previous.host) {
			return
		}
		how = "it says so"
	}
	t.h.log.Info("lead: previous leader has stopped.", "host", previous.host, "term", t.number, "before", previous.term, "claimed", previous.at, "detail", how)
	t.step(over)
}

// awaitStopped waits until a host answers that it does not lead. The answer contains the ends that
// it could not store. It returns false if this term ends before.
func (t *term) awaitStopped(name string) bool {
	if name == "" || name == t.h.cfg.Name {
		return true
	}
	for {
		ctx, cancel := context.WithTimeout(t.ctx, askTimeout)
		var r peer.SyncReply
		m := t.h.syncMessage()
		m.Succeeds = true
		err := t.h.peers.Ask(ctx, name, m, &r)
		cancel()
		if err == nil && !r.Leading && !r.Claiming {
			t.step(decodeUnstoredEnds(r.UnstoredEnds))
			return true
		}
		if !sleep(t.ctx, syncInterval) {
			return false
		}
	}
}
