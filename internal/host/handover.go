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

// handoverTimeout limits one handover.
const handoverTimeout = time.Second

// outgoingJob is a job that is being handed over to another leader. This host does not lead it
// meanwhile, since the other host may have it already.
type outgoingJob struct {
	snapshot job.Snapshot
	target   string
	// epoch is the leader's epoch in which this host led the job.
	epoch int64
	// unconfirmed reports whether the job was sent and no answer came.
	unconfirmed bool
}

// handOverJobs sends jobs whose rack has a new live leader to that host, with all their state,
// so that it need not wait for any lease.
func (h *Host) handOverJobs() {
	h.collectOutgoing()
	h.sendOutgoing()
}

// collectOutgoing stops leading the jobs that another live host should lead. It must run before
// the workers are released: a host that loses its last worker has to assume that others took it
// for dead, and discards what it knows about its jobs.
//
// Only one call runs at a time. Otherwise a planned stop could find the jobs already removed
// from the leader but not yet recorded as outgoing, and end the host without handing them over.
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

// stopLeading stops leading some jobs and records them as outgoing.
func (h *Host) stopLeading(to string, ids []string) {
	h.jobs.transferMu.Lock()
	defer h.jobs.transferMu.Unlock()
	snapshots, epoch := h.leader.HandOver(ids)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range snapshots {
		h.jobs.outgoing[c.Spec.ID] = &outgoingJob{snapshot: c, target: to, epoch: epoch}
	}
}

// nextLeader returns the host that a job should go to. A host that stops before it has heard
// from any peer, for instance right after its start, offers its jobs to a peer that the settings
// name. Otherwise their state would be lost, and they would have to wait for an inventory.
func (h *Host) nextLeader(id string) string {
	name := h.leaderOf(id)
	if h.Ready() || name != "" && name != h.cfg.Name {
		return name
	}
	near, _ := h.peersByDomain()
	first, _ := member.Rank(id, near)
	return first
}

// sendOutgoing offers jobs to their next leaders. Only one call runs at a time: of two handovers
// from one host to another only the later one counts.
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

// dropStaleOutgoing forgets outgoing jobs from before this host lost all its workers. Another
// host may have completed an inventory for them since.
func (h *Host) dropStaleOutgoing() {
	epoch := h.leader.Epoch()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, one := range h.jobs.outgoing {
		if one.epoch != epoch {
			h.log.Warn("host: job waits for an inventory.", "id", id, "epoch", epoch, "handed", one.epoch)
			delete(h.jobs.outgoing, id)
		}
	}
}

// sendOutgoingTo sends jobs to their next leader until it confirms them. If its answer is lost
// it may lead them already, so they remain outgoing and are sent again; the receiver ignores
// jobs that it has.
func (h *Host) sendOutgoingTo(name string, all []*outgoingJob) {
	err := h.transferJobs(name, all)
	var refused *peer.RefusedError
	var unreached *peer.UnreachableError
	rejected := errors.As(err, &refused) || errors.As(err, &unreached)
	switch {
	case err == nil:
		h.removeOutgoing(all)
	case errors.As(err, new(*lead.StaleHandoverError)):
		h.log.Info("host: a newer handover replaced this one, sending it again.", "to", name, "jobs", len(all))
	case rejected && h.Ready(), !h.isLive(name):
		h.log.Warn("host: jobs not handed over.", "to", name, "jobs", len(all), "err", err)
		h.abortHandover(all)
	default:
		// The next leader may not hold a worker before this host has released its own.
		h.log.Info("host: jobs wait for their next leader.", "to", name, "jobs", len(all), "err", err)
	}
}

// transferJobs hands jobs over to a peer after the peer has confirmed that it expects them.
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

// abortHandover ends the handover of jobs that the next leader does not accept. This host leads
// them again, or offers them to another host if it is leaving. Jobs that the next leader may
// have accepted nevertheless need an inventory.
func (h *Host) abortHandover(all []*outgoingJob) {
	h.jobs.transferMu.Lock()
	defer h.jobs.transferMu.Unlock()
	for _, one := range all {
		id := one.snapshot.Spec.ID
		switch {
		case one.unconfirmed:
			h.log.Warn("host: job waits for an inventory.", "id", id, "to", one.target)
		case h.Ready():
			if err := h.leader.TakeBack([]job.Snapshot{one.snapshot}, one.epoch); err != nil {
				h.log.Warn("host: job waits for an inventory.", "id", id, "err", err)
			}
		default:
			one.target = h.nextLeader(id)
			continue
		}
		h.removeOutgoing([]*outgoingJob{one})
	}
}

// finalHandover offers the remaining jobs of a leaving host to the hosts that hold its workers
// by now. Jobs that no host accepts in time need an inventory.
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

// Limits on the notes that are sent along with jobs: a few for each job, and few enough in total
// that reading them does not delay the handover.
const (
	notesPerJob      = 8
	maxHandoverNotes = 400
)

func (h *Host) handoverNotes(snapshots []job.Snapshot) []trail.Note {
	var all []trail.Note
	for _, c := range snapshots {
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
		// The job may have come back meanwhile and be outgoing again.
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

// adoptJobs accepts jobs that a live leader hands over.
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
		h.log.Warn("host: handover is out of date.", "from", m.From, "jobs", len(m.Jobs))
		return peer.HandoverReply{Stale: true}, nil
	}
	if err != nil {
		return peer.HandoverReply{}, err
	}
	h.history.Merge(m.Notes)
	return peer.HandoverReply{}, nil
}
