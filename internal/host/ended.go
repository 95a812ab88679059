package host

import (
	"context"
	"time"

	"pollencroft/internal/job"
	"pollencroft/internal/peer"
)

// endedJobTimeout limits how long the leader of a job is waited for if the log already contains
// the job's end.
const endedJobTimeout = 400 * time.Millisecond

// jobStatus asks the job's leader, which knows most about the job. If the leader does not answer
// in time and the log contains the job's end, the answer comes from the log.
func (h *Host) jobStatus(ctx context.Context, id string) peer.JobReply {
	if !h.endLogged(id) {
		return h.askLeader(ctx, id, peer.AskJob{ID: id})
	}
	ctx, cancel := context.WithTimeout(ctx, endedJobTimeout)
	defer cancel()
	reply := h.askLeader(ctx, id, peer.AskJob{ID: id})
	if end, ok := h.loggedEnd(id); ok && reply.Code != 0 {
		return end
	}
	return reply
}

// loggedEnd returns a job's final state from the log.
func (h *Host) loggedEnd(id string) (peer.JobReply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end, ok := h.jobs.log.End(id)
	spec, _ := h.jobs.log.Spec(id)
	return peer.JobReply{Status: job.Status{ID: id, Row: spec.Row, State: end.State, Ran: end.Ran, Reason: end.Reason}}, ok
}
