package entry

import (
	"context"
	"slices"
	"time"

	"pollencroft/internal/store"
)

const (
	// proofInterval is how often a leader checks whether its claim has to be proved, and proofAge how
	// old the last proof may be by then: leases end a fixed time after it. A leader that stores progress
	// proves its claim by that.
	proofInterval = 200 * time.Millisecond
	proofAge      = 300 * time.Millisecond
	// proofTimeout limits the read of one partition. Another one is read next.
	proofTimeout = time.Second
)

// noteProof records that at an uptime no other host's claim was stored in all partitions.
func (t *term) noteProof(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.provedAt = max(t.provedAt, at)
}

// sinceProof returns how long ago the term was last proved to go on.
func (t *term) sinceProof() time.Duration {
	now := t.h.uptime.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.provedAt
}

// proveClaim reads whether this host's claim is still the newest one while the term stores nothing. Any
// answer of the store would not do: the calls that would show a later claim may be those that fail. A
// later claim is stored in all partitions before its term begins, so one partition proves that there is
// none. The partition that proved it last is read first.
func (t *term) proveClaim() {
	parts := t.h.stateParts()
	for proven, failed := 0, 0; sleep(t.ctx, proofInterval); {
		if t.sinceProof() < proofAge {
			failed = 0
			continue
		}
		began := t.h.uptime.Now()
		i := (proven + failed) % len(parts)
		if t.claimIsNewest(parts[i]) {
			proven, failed = i, 0
			t.noteProof(began)
			continue
		}
		failed++
		t.mayGoOn()
	}
}

// claimIsNewest reports whether a partition certainly has no newer claim than this term's. The
// partitions other than the first may have the claim of a host that has lost the first one to this host.
func (t *term) claimIsNewest(part int) bool {
	ctx, cancel := context.WithTimeout(t.ctx, proofTimeout)
	defer cancel()
	if part == t.h.stateParts()[0] {
		return t.noClaimSince(ctx, part, max(t.journal.firstEnd(), t.token))
	}
	a, err := t.h.store.Do(ctx, store.Call{Op: store.Newest, Topic: stateTopic, Part: part})
	if err != nil {
		t.logUnproved(part, err)
		return false
	}
	if holdsNewestClaim(a.Records, t.claim) {
		return true
	}
	other, _, _ := newestClaim(a.Records)
	t.logNewerClaim(part, other)
	return false
}

// noClaimSince reports whether a partition certainly has no claim from an offset on, which is at or before the
// end that the partition had when the term last stored something there.
func (t *term) noClaimSince(ctx context.Context, part int, from int64) bool {
	a, err := t.h.store.Do(ctx, store.Call{Op: store.Read, Topic: stateTopic, Part: part, From: from})
	if err != nil {
		t.logUnproved(part, err)
		return false
	}
	if i := slices.IndexFunc(a.Records, func(r store.Record) bool { return r.Key == claimKey }); i >= 0 {
		t.logNewerClaim(part, claimIn(a.Records[i:]).host)
		return false
	}
	return from+int64(len(a.Records)) >= a.End
}

func (t *term) logUnproved(part int, err error) {
	t.h.log.Warn("lead: claim cannot be read.", "term", t.number, "part", part, "proved", t.sinceProof(), "err", err)
}

func (t *term) logNewerClaim(part int, other string) {
	t.h.log.Warn("lead: another claim is newer.", "term", t.number, "part", part, "proved", t.sinceProof(), "host", other)
}
