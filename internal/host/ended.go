package host

import (
	"context"
	"time"

	"pollencroft/internal/job"
	"pollencroft/internal/peer"
)

// endedJobTimeout bounds the question to a lead about a job whose end is in the log.
const endedJobTimeout = 400 * time.Millisecond

// jobStatus asks the lead, which knows most of a job. If the log has the job's end, that is told
// when the lead does not answer soon.
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

// loggedEnd tells a job's end from the log.
func (h *Host) loggedEnd(id string) (peer.JobReply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end, ok := h.jobs.log.End(id)
	spec, _ := h.jobs.log.Spec(id)
	return peer.JobReply{Status: job.Status{ID: id, Row: spec.Row, State: end.State, Ran: end.Ran, Reason: end.Reason}}, ok
}
