package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/job"
	"pollencroft/internal/joblog"
	"pollencroft/internal/lead"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/trail"
)

// handoverTimeout bounds one hand-over.
const handoverTimeout = time.Second

// outgoingJob is a job on its way to another lead. It is not led here meanwhile:
// the other may have it already.
type outgoingJob struct {
	snapshot job.Snapshot
	target   string
	// epoch is the one in which the job was led here.
	epoch int64
	// unconfirmed tells that it was sent and has no answer.
	unconfirmed bool
}

// handOverJobs gives jobs whose rack has another live lead to that host, with all
// that is known of them, so that it need not wait for any lease.
func (h *Host) handOverJobs() {
	h.collectOutgoing()
	h.sendOutgoing()
}

// collectOutgoing stops leading the jobs that another live host should lead. It comes
// before the workers are given up: a host that loses its last worker has to
// take it that others took it for dead, and knows nothing of its jobs any more.
//
// One collects at a time: a planned stop that found the jobs already taken off
// the lead, but not yet noted as handed, would end the host under them.
func (h *Host) collectOutgoing() {
	h.jobs.collectMu.Lock()
	defer h.jobs.collectMu.Unlock()
	to := map[string][]string{}
	for _, s := range h.leader.OpenJobs() {
		if name := h.nextLeader(s.ID); name != "" && name != h.cfg.Name {
			to[name] = append(to[name], s.ID)
		}
	}
	for name, ids := range to {
		h.stopLeading(name, ids)
	}
}

// stopLeading stops leading some jobs and notes where they go.
func (h *Host) stopLeading(to string, ids []string) {
	h.jobs.transferMu.Lock()
	defer h.jobs.transferMu.Unlock()
	carries, epoch := h.leader.HandOver(ids)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range carries {
		h.jobs.outgoing[c.Spec.ID] = &outgoingJob{snapshot: c, target: to, epoch: epoch}
	}
}

// nextLeader is the host that a job goes to. A host that stops before it has heard
// of any peer, as right after its start, offers its jobs to one that the settings
// name: with it would go all that is known of them, and they would have to wait
// for a census.
func (h *Host) nextLeader(id string) string {
	name := h.leaderOf(id)
	if h.Ready() || name != "" && name != h.cfg.Name {
		return name
	}
	near, _ := h.peersByDomain()
	first, _ := member.Rank(id, near)
	return first
}

// sendOutgoing offers jobs to their next leads. One sends at a time: of two hand-overs from one
// host to another only the later counts.
func (h *Host) sendOutgoing() {
	h.jobs.sendMu.Lock()
	defer h.jobs.sendMu.Unlock()
	h.dropStaleOutgoing()
	to := map[string][]*outgoingJob{}
	h.mu.Lock()
	for _, one := range h.jobs.outgoing {
		to[one.target] = append(to[one.target], one)
	}
	h.mu.Unlock()
	for name, all := range to {
		h.sendOutgoingTo(name, all)
	}
	if !h.Ready() && len(to) > 0 && h.outgoingCount() == 0 {
		h.updateShares()
	}
}

// dropStaleOutgoing forgets jobs that were handed over before this host lost all its workers. Another
// may have completed a census for them since.
func (h *Host) dropStaleOutgoing() {
	epoch := h.leader.Epoch()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, one := range h.jobs.outgoing {
		if one.epoch != epoch {
			h.log.Warn("host: job waits for a census.", "id", id, "epoch", epoch, "handed", one.epoch)
			delete(h.jobs.outgoing, id)
		}
	}
}

// sendOutgoingTo sends jobs to their next lead until it confirms. With its answer lost it may lead them
// already, so they stay put and are sent again: it passes over what it has.
func (h *Host) sendOutgoingTo(name string, all []*outgoingJob) {
	err := h.transferJobs(name, all)
	var refused *peer.RefusedError
	var unreached *peer.UnreachableError
	rejected := errors.As(err, &refused) || errors.As(err, &unreached)
	switch {
	case err == nil:
		h.removeOutgoing(all)
	case errors.As(err, new(*lead.StaleHandoverError)):
		h.log.Info("host: hand-over was overtaken, it is sent again.", "to", name, "jobs", len(all))
	case rejected && h.Ready(), !h.isLive(name):
		h.log.Warn("host: jobs not handed over.", "to", name, "jobs", len(all), "err", err)
		h.abortHandover(all)
	default:
		// The next lead may hold no worker before this host has given up its own.
		h.log.Info("host: jobs wait for their next lead.", "to", name, "jobs", len(all), "err", err)
	}
}

// transferJobs hands jobs over to a peer that has just said that it expects them.
func (h *Host) transferJobs(name string, all []*outgoingJob) error {
	ctx, cancel := context.WithTimeout(h.ctx, handoverTimeout)
	defer cancel()
	var expected peer.TokenReply
	if err := h.peers.Ask(ctx, name, peer.AskToken{From: h.cfg.Name}, &expected); err != nil {
		return err
	}
	m := peer.Handover{From: h.cfg.Name, Token: expected.Token}
	for _, one := range all {
		m.Jobs = append(m.Jobs, one.snapshot)
	}
	m.Notes = h.handoverNotes(m.Jobs)
	var reply peer.HandoverReply
	err := h.peers.Ask(ctx, name, m, &reply)
	if errors.As(err, new(*peer.NoAnswerError)) {
		for _, one := range all {
			one.unconfirmed = true
		}
	}
	if err == nil && reply.Stale {
		return &lead.StaleHandoverError{From: h.cfg.Name}
	}
	return err
}

// abortHandover ends the hand-over of jobs whose next lead does not take them. This host leads them
// again, or offers them to another when it leaves; those that the next lead may have taken all
// the same need a census.
func (h *Host) abortHandover(all []*outgoingJob) {
	h.jobs.transferMu.Lock()
	defer h.jobs.transferMu.Unlock()
	for _, one := range all {
		id := one.snapshot.Spec.ID
		switch {
		case one.unconfirmed:
			h.log.Warn("host: job waits for a census.", "id", id, "to", one.target)
		case h.Ready():
			if err := h.leader.TakeBack([]job.Snapshot{one.snapshot}, one.epoch); err != nil {
				h.log.Warn("host: job waits for a census.", "id", id, "err", err)
			}
		default:
			one.target = h.nextLeader(id)
			continue
		}
		h.removeOutgoing([]*outgoingJob{one})
	}
}

// finalHandover offers what a leaving host still has to the hosts that hold its
// workers by now. What nobody takes in time needs a census.
func (h *Host) finalHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*handoverTimeout)
	defer cancel()
	for h.outgoingCount() > 0 && ctx.Err() == nil {
		h.sendOutgoing()
		h.pause(repairInterval / 5)
	}
}

func (h *Host) outgoingCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.jobs.outgoing)
}

// Notes that go along with jobs that are handed over: a few a job, and not so
// many in all that looking them up holds up the hand-over.
const (
	notesPerJob      = 8
	maxHandoverNotes = 400
)

func (h *Host) handoverNotes(carries []job.Snapshot) []trail.Note {
	var all []trail.Note
	for _, c := range carries {
		if len(all) < maxHandoverNotes {
			all = append(all, h.history.Excerpt(c.Spec.ID, notesPerJob)...)
		}
	}
	return all
}

func (h *Host) removeOutgoing(all []*outgoingJob) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range all {
		// The job may have come back meanwhile and be on its way again.
		if id := one.snapshot.Spec.ID; h.jobs.outgoing[id] == one {
			delete(h.jobs.outgoing, id)
		}
	}
}

func (h *Host) isLive(name string) bool {
	for _, n := range h.domainPeers() {
		if n == name {
			return true
		}
	}
	return false
}

// adoptJobs takes jobs that a live lead hands over.
func (h *Host) adoptJobs(m peer.Handover) (peer.HandoverReply, error) {
	h.mu.Lock()
	for _, c := range m.Jobs {
		if !h.jobs.log.Written(c.Spec.ID) {
			rec := joblog.Record{ID: c.Spec.ID, Spec: &c.Spec}
			h.jobs.log.Remember(rec)
			h.jobs.unwritten[rec.ID] = rec.Merge(h.jobs.unwritten[rec.ID])
		}
	}
	h.mu.Unlock()
	err := h.leader.Adopt(m.From, m.Token, m.Jobs)
	if errors.As(err, new(*lead.StaleHandoverError)) {
		h.log.Warn("host: hand-over is out of date.", "from", m.From, "jobs", len(m.Jobs))
		return peer.HandoverReply{Stale: true}, nil
	}
	if err != nil {
		return peer.HandoverReply{}, err
	}
	h.history.Merge(m.Notes)
	return peer.HandoverReply{}, nil
}
