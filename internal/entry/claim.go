package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/flow"
	"pollencroft/internal/sched"
	"pollencroft/internal/store"
)

// stateTopic holds the progress of jobs under their ids and is written only by the leader.
// claimKey is the key of the record that begins a term. It sorts before all ids, so that the
// first page contains the newest claim.
const (
	stateTopic = "state"
	claimKey   = "!"
)

// claimTimeout limits one attempt to begin a term. It allows for five calls to a store that
// answers as late as it may without counting as unavailable.
const claimTimeout = 8 * time.Second

// LostClaimError is returned if another host began the same term.
type LostClaimError struct{ Term int64 }

func (e *LostClaimError) Error() string {
	return "term " + strconv.FormatInt(e.Term, 10) + " is another host's"
}

// claim tries to begin a term.
func (h *Host) claim(why string) {
	if !h.claimMu.TryLock() {
		return
	}
	defer h.claimMu.Unlock()
	h.mu.Lock()
	busy := h.ownTerm != nil || h.leaving
	h.claiming = !busy
	if !busy {
		h.successor = ""
	}
	h.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		h.mu.Lock()
		h.claiming = false
		h.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(h.ctx, claimTimeout)
	defer cancel()
	h.mu.Lock()
	h.abortClaim = cancel
	h.mu.Unlock()
	began := h.now()
	t, err := h.beginTerm(ctx)
	if err != nil {
		h.incCounter("lead.claim.failed")
		h.log.Warn("lead: claim failed.", "why", why, "err", err)
		return
	}
	h.incCounter("lead.claimed")
	h.observe("lead.takeover", h.now().Sub(began))
	h.log.Info(
		"lead: term begins.", "term", t.number, "why", why, "jobs", t.jobs, "open", t.open,
		"fencing", t.readAt.Sub(began), "reading", t.beganAt.Sub(t.readAt), "restoring", h.now().Sub(t.beganAt),
	)
	h.announce(t)
}

// beginTerm fences off all previous leaders and reads the state that they left.
//
// The term is the epoch of the appends to stateTopic. It is one more than the end offset of the
// log, which only rises, so it is greater than all previous terms. Two hosts that saw the same
// end offset would use the same term, so each reads back whose claim was stored. A slow store
// takes a third of a second for a call, and nothing is scheduled in the meantime. Therefore only
// three calls are made one after the other.
func (h *Host) beginTerm(ctx context.Context) (*term, error) {
	a, err := h.store.Do(ctx, store.Call{Op: store.Newest, Topic: stateTopic})
	if err != nil {
		return nil, errors.Wrap(err, "read the log's end")
	}
	if other, busy := h.claimant(a.Records); busy {
		return nil, &LeaderExistsError{Host: other}
	}
	number := a.End + 1
	before := claimIn(a.Records)
	mine := h.newClaim(number, before)
	first, err := h.fence(ctx, number, mine)
	if err != nil {
		return nil, errors.Wrap(err, "begin a term")
	}
	if first.Offset != a.End {
		// What was stored since may be another claim.
		before = h.lastClaim(ctx, before, a.End, first.Offset)
	}
	// Records that are stored from here on may be missing in what is read.
	read := h.moment()
	states, requests, next, err := h.readAll(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read what the former lead left")
	}
	if !holdsNewestClaim(states[0], mine) {
		return nil, &LostClaimError{Term: number}
	}
	return h.newTerm(newTermID(number, first), mine, before, slices.Concat(states...), requests, next, read), nil
}

// stateParts lists the partitions of stateTopic. The first one decides who leads.
func (h *Host) stateParts() []int { return store.PartsFrom(0, h.cfg.Parts) }

// fence stores the claim in all partitions of stateTopic. If a partition were read before it is
// fenced, the previous leader could still store progress there afterwards, and a task would be
// started a second time. Two hosts that claim at the same time may fence different partitions
// first. The first partition decides which of them leads, and the other one's fence there does
// not end a later term. It returns the answer of the first partition.
func (h *Host) fence(ctx context.Context, number int64, mine string) (first store.Answer, err error) {
	g, ctx := errgroup.WithContext(ctx)
	for i, part := range h.stateParts() {
		g.Go(func() error {
			a, err := h.store.Do(ctx, store.Call{
				Op: store.Append, Topic: stateTopic, Part: part, Keyed: true, Epoch: number, Records: []store.Record{{Key: claimKey, Value: []byte(mine)}},
			})
			if i == 0 {
				first = a
			}
			return errors.Wrapf(err, "fence partition %d", part)
		})
	}
	err = g.Wait()
	return first, err
}

// LeaderExistsError is returned if another host leads or is about to.
type LeaderExistsError struct{ Host string }

func (e *LeaderExistsError) Error() string { return "host " + e.Host + " leads or is about to" }

// claimant returns the host of the newest claim, and whether it leads or is about to. A weak host
// takes a second to read the state that it takes over, and the candidate group may name another
// host in that time. Two hosts that claim in turn would fence each other off forever, and nothing
// would be scheduled.
func (h *Host) claimant(records []store.Record) (string, bool) {
	name, seen, ok := newestClaim(records)
	if !ok || name == h.cfg.Name {
		return name, false
	}
	h.peers.SetAddr(name, seen.addr)
	r, err := h.askWhetherLeads(name)
	if err == nil && r.Lead {
		// The announcement of that leader may be lost. All hosts would then leave leadership to
		// it without knowing it, and callers would be told forever that no host leads.
		h.setLeader(leaderRecord{Name: name, Addr: seen.addr, Term: r.Term})
	}
	return name, err == nil && (r.Lead || r.Claiming)
}

// newestClaim returns the host of the claim among the records of a partition. It returns false if
// there is no claim.
func newestClaim(records []store.Record) (string, hostInfo, bool) {
	i := slices.IndexFunc(records, func(r store.Record) bool { return r.Key == claimKey })
	if i < 0 {
		return "", hostInfo{}, false
	}
	return parseMember(string(records[i].Value))
}

// holdsNewestClaim reports whether the newest claim is this host's own.
func holdsNewestClaim(states []store.Record, mine string) bool {
	return slices.ContainsFunc(states, func(r store.Record) bool { return r.Key == claimKey && string(r.Value) == mine })
}

// readAll reads the progress and the jobs concurrently. It also returns the next offset to read
// in each partition of jobsTopic.
func (h *Host) readAll(ctx context.Context) (states, requests [][]store.Record, next []int64, err error) {
	parts := h.stateParts()
	states = make([][]store.Record, len(parts))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range parts {
		g.Go(func() error {
			var err error
			states[i], _, err = store.ReadLatest(ctx, h.store, stateTopic, p)
			return err
		})
	}
	g.Go(func() error {
		var err error
		requests, next, err = h.readJobs(ctx)
		return err
	})
	err = g.Wait()
	return states, requests, next, err
}

// readJobs reads all partitions of jobsTopic concurrently, and returns the next offset to read in
// each.
func (h *Host) readJobs(ctx context.Context) ([][]store.Record, []int64, error) {
	parts := make([][]store.Record, h.cfg.Parts)
	next := make([]int64, h.cfg.Parts)
	g, ctx := errgroup.WithContext(ctx)
	for i := range parts {
		g.Go(func() error {
			var err error
			parts[i], next[i], err = store.ReadLatest(ctx, h.store, jobsTopic, i)
			return err
		})
	}
	err := g.Wait()
	return parts, next, err
}

// restored is what the store contains about all jobs.
type restored struct {
	jobs       []*flow.Job
	notStarted []flow.Spec
	cancels    []sched.Cancel
	// unreadable are the ids of jobs whose records cannot be decoded.
	unreadable []string
}

// isOtherOrganisation reports whether the job whose progress is b was submitted by another
// organisation than the request with the key.
func isOtherOrganisation(k requestKey, b []byte) bool {
	sum, ok := flow.Summarize(b)
	return ok && sum.Organisation != k.organisation
}

// restore combines job specs and progress. A record that cannot be decoded is logged and skipped,
// because its content cannot be guessed.
func (h *Host) restore(states []store.Record, requests [][]store.Record) restored {
	var r restored
	progress := map[string][]byte{}
	// A job that was submitted to several hosts is stored in several partitions.
	had := map[string]bool{}
	for _, s := range states {
		if s.Key != claimKey && s.Key != sched.BoundsKey && len(s.Value) > 0 {
			progress[s.Key] = flow.NewerRecord(progress[s.Key], s.Value)
		}
	}
	for _, a := range slices.Concat(requests...) {
		if len(a.Value) == 0 {
			continue
		}
		k := parseRequestKey(a.Key)
		if k.cancels {
			r.cancels = append(r.cancels, cancelEvent(k, a.Value))
			continue
		}
		b, ok := progress[k.id]
		if had[k.id] || ok && isOtherOrganisation(k, b) {
			continue
		}
		if j, ended := flow.RestoreEnded(k.id, b); ended {
			had[k.id] = true
			r.jobs = append(r.jobs, j)
			continue
		}
		var spec flow.Spec
		if err := json.Unmarshal(a.Value, &spec); err != nil {
			h.log.Error("lead: job cannot be decoded.", "id", a.Key, "offset", a.Offset, "err", err)
			r.unreadable = append(r.unreadable, k.id)
			continue
		}
		had[k.id] = true
		if !ok {
			r.notStarted = append(r.notStarted, spec)
			continue
		}
		j, err := flow.Restore(spec, b, h.now())
		if err != nil {
			h.log.Error("lead: progress cannot be decoded.", "id", k.id, "err", err)
			r.unreadable = append(r.unreadable, k.id)
			continue
		}
		r.jobs = append(r.jobs, j)
	}
	return r
}
