package entry

import (
	"context"
	"time"

	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

const (
	// proofInterval is how often a leader checks whether its claim has to be proved, and proofAge how
	// old the last proof may be by then. A leader that stores progress proves it by that.
	proofInterval = sched.StoreTimeout / 8
	proofAge      = sched.StoreTimeout / 4
	// proofTimeout limits the read of one partition. Another one is read next.
	proofTimeout = sched.StoreTimeout / 4
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
// none.
func (t *term) proveClaim() {
	for failed := 0; sleep(t.ctx, proofInterval); {
		if t.sinceProof() < proofAge {
			failed = 0
			continue
		}
		began := t.h.uptime.Now()
		if t.claimIsNewest(t.proofPart(failed)) {
			t.noteProof(began)
			continue
		}
		failed++
		t.mayGoOn()
	}
}

// proofPart returns the partition to read after so many reads have proved nothing. The others may have
// the claim of a host that has lost the first one to this host.
func (t *term) proofPart(failed int) int {
	parts := t.h.stateParts()
	if others := parts[1:]; failed%2 == 1 && len(others) > 0 {
		return others[failed/2%len(others)]
	}
	return parts[0]
}

// claimIsNewest reports whether a partition certainly has no newer claim than this term's.
func (t *term) claimIsNewest(part int) bool {
	ctx, cancel := context.WithTimeout(t.ctx, proofTimeout)
	defer cancel()
	a, err := t.h.store.Do(ctx, store.Call{Op: store.Newest, Topic: stateTopic, Part: part})
	if err != nil {
		t.h.log.Warn("lead: claim cannot be read.", "term", t.number, "part", part, "proved", t.sinceProof(), "err", err)
		return false
	}
	if holdsNewestClaim(a.Records, t.claim) {
		return true
	}
	other, _, _ := newestClaim(a.Records)
	t.h.log.Warn("lead: another claim is newer.", "term", t.number, "part", part, "proved", t.sinceProof(), "host", other)
	return false
}
