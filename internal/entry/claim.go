package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"pollencroft/internal/flow"
	"pollencroft/internal/store"
)

// stateTopic holds the progress of jobs under their ids, written by the lead
// alone, and claimKey, under which a term begins. It sorts before all ids, so
// that the first page tells of the newest claim.
const (
	stateTopic = "state"
	claimKey   = "!"
)

// claimTimeout bounds one try to lead: five calls at a store that answers as late as
// it may without counting as away.
const claimTimeout = 8 * time.Second

// LostClaimError tells that another host began the same term.
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

// beginTerm fences off all former leads and reads what they left.
//
// The term is the epoch of the appends to stateTopic. It is one more than the
// log's end, which only rises, so it is above all former ones; two hosts that
// saw the same end would share it, and each reads back whose claim was stored.
// A slow store takes a third of a second for a call, and nothing is led
// meanwhile: there are three calls one after the other, and no more.
func (h *Host) beginTerm(ctx context.Context) (*term, error) {
	a, err := h.store.Do(ctx, store.Call{Op: store.Newest, Topic: stateTopic})
	if err != nil {
		return nil, errors.Wrap(err, "read the log's end")
	}
	if other, busy := h.claimant(a.Records); busy {
		return nil, &LeaderExistsError{Host: other}
	}
	number := a.End + 1
	mine := h.memberName() + " " + strconv.FormatInt(h.now().UnixNano(), 36)
	if err := h.fence(ctx, number, mine); err != nil {
		return nil, errors.Wrap(err, "begin a term")
	}
	// What is stored from here on may be missing in what is read.
	read := h.now()
	states, requests, next, err := h.readAll(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read what the former lead left")
	}
	if !holdsNewestClaim(states[0], mine) {
		return nil, &LostClaimError{Term: number}
	}
	return h.newTerm(number, slices.Concat(states...), requests, next, read), nil
}

// stateParts lists the partitions of stateTopic. The first decides who leads.
func (h *Host) stateParts() []int { return partsFrom(0, h.cfg.Parts) }

// fence stores the claim in all partitions of stateTopic. Read before it is fenced,
// a partition might lack what a former lead stores there after that, and a run would
// begin a second time. Two hosts that claim at once may fence different partitions
// first; the first partition tells which of them leads, and the other one's fence
// there ends no term that is later.
func (h *Host) fence(ctx context.Context, number int64, mine string) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, part := range h.stateParts() {
		g.Go(func() error {
			_, err := h.store.Do(ctx, store.Call{
				Op: store.Append, Topic: stateTopic, Part: part, Keyed: true, Epoch: number, Records: []store.Record{{Key: claimKey, Value: []byte(mine)}},
			})
			return errors.Wrapf(err, "fence partition %d", part)
		})
	}
	return g.Wait()
}

// LeaderExistsError tells that another host leads or is about to.
type LeaderExistsError struct{ Host string }

func (e *LeaderExistsError) Error() string { return "host " + e.Host + " leads or is about to" }

// claimant returns the host of the newest claim, and whether it leads or is
// about to. A claim takes a weak host a second to read what it takes over, and
// the group may name another host in that time; two that claim by turns fence
// each other off for ever, and nothing is led.
func (h *Host) claimant(records []store.Record) (string, bool) {
	name, seen, ok := newestClaim(records)
	if !ok || name == h.cfg.Name {
		return name, false
	}
	h.peers.Set(name, seen.addr)
	r, err := h.askWhetherLeads(name)
	if err == nil && r.Lead {
		// Its announcement may be lost. Everybody would leave the lead to it, and
		// nobody would know it; callers would be told for ever that no host leads.
		h.setLeader(leaderRecord{Name: name, Addr: seen.addr, Term: r.Term})
	}
	return name, err == nil && (r.Lead || r.Claiming)
}

// newestClaim returns the host of the claim among the records of a partition; false if there is none.
func newestClaim(records []store.Record) (string, hostInfo, bool) {
	i := slices.IndexFunc(records, func(r store.Record) bool { return r.Key == claimKey })
	if i < 0 {
		return "", hostInfo{}, false
	}
	return parseMember(string(records[i].Value))
}

// holdsNewestClaim tells whether the newest claim is the host's own.
func holdsNewestClaim(states []store.Record, mine string) bool {
	return slices.ContainsFunc(states, func(r store.Record) bool { return r.Key == claimKey && string(r.Value) == mine })
}

// readAll reads progress and jobs at once, and where to go on in each partition
// of the jobs.
func (h *Host) readAll(ctx context.Context) (states, requests [][]store.Record, next []int64, err error) {
	parts := h.stateParts()
	states = make([][]store.Record, len(parts))
	g, ctx := errgroup.WithContext(ctx)
	for i, p := range parts {
		g.Go(func() error {
			var err error
			states[i], _, err = store.Table(ctx, h.store, stateTopic, p)
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

// readJobs reads all partitions of jobsTopic at once, and where to go on.
func (h *Host) readJobs(ctx context.Context) ([][]store.Record, []int64, error) {
	parts := make([][]store.Record, h.cfg.Parts)
	next := make([]int64, h.cfg.Parts)
	g, ctx := errgroup.WithContext(ctx)
	for i := range parts {
		g.Go(func() error {
			var err error
			parts[i], next[i], err = store.Table(ctx, h.store, jobsTopic, i)
			return err
		})
	}
	err := g.Wait()
	return parts, next, err
}

// restored is what the store says of all jobs.
type restored struct {
	jobs       []*flow.Job
	notStarted []flow.Spec
	cancels    []string
	// unreadable are those that cannot be read.
	unreadable []string
}

// restore puts specs and progress together. A record that cannot be read is
// told and left: its job cannot be guessed.
func (h *Host) restore(states []store.Record, requests [][]store.Record) restored {
	var r restored
	progress := map[string][]byte{}
	// A job that was handed in at several hosts lies in several partitions.
	had := map[string]bool{}
	for _, s := range states {
		if s.Key != claimKey && len(s.Value) > 0 {
			progress[s.Key] = flow.Newer(progress[s.Key], s.Value)
		}
	}
	for _, a := range slices.Concat(requests...) {
		if len(a.Value) == 0 {
			continue
		}
		if id, ok := strings.CutSuffix(a.Key, cancelMark); ok {
			r.cancels = append(r.cancels, id)
			continue
		}
		if had[a.Key] {
			continue
		}
		b, ok := progress[a.Key]
		if j, ended := flow.RestoreEnded(a.Key, b); ended {
			had[a.Key] = true
			r.jobs = append(r.jobs, j)
			continue
		}
		var spec flow.Spec
		if err := json.Unmarshal(a.Value, &spec); err != nil {
			h.log.Error("lead: job cannot be read.", "id", a.Key, "offset", a.Offset, "err", err)
			r.unreadable = append(r.unreadable, a.Key)
			continue
		}
		had[a.Key] = true
		if !ok {
			r.notStarted = append(r.notStarted, spec)
			continue
		}
		j, err := flow.Restore(spec, b, h.now())
		if err != nil {
			h.log.Error("lead: progress cannot be read.", "id", a.Key, "err", err)
			r.unreadable = append(r.unreadable, a.Key)
			continue
		}
		r.jobs = append(r.jobs, j)
	}
	return r
}
