package host

import (
	"context"
	"net/http"
	"slices"

	"pollencroft/internal/cell"
	"pollencroft/internal/peer"
	"pollencroft/internal/table"
	"pollencroft/internal/trail"
)

// explain returns the history of a request or job. The history of a job is kept by its leader,
// so the leader is asked; without its answer this host's own notes about the job are returned.
func (h *Host) explain(ctx context.Context, id string) []trail.Note {
	if _, err := cell.ParseHome(id); err != nil {
		return h.history.ByID(id)
	}
	reply := h.askLeader(ctx, id, peer.AskTrail{ID: id})
	if reply.Code == 0 {
		return reply.Notes
	}
	note := trail.Note{At: h.clock(), ID: id, Component: "host", Message: "its lead tells nothing: " + reply.Reason}
	return append(h.leader.Explain(id), note)
}

// localHistory returns the history of a job that this host leads. A host that has inherited a
// job and waits for its inventory has an almost empty history, so it refuses.
func (h *Host) localHistory(id string) peer.JobReply {
	if !h.leader.Leads(id) {
		return peer.RefuseJob(http.StatusNotFound, "job "+id+" is not led here")
	}
	return peer.JobReply{Notes: h.leader.Explain(id)}
}

// rowShares returns what a row and its organisation may use in this failure domain.
func (h *Host) rowShares(row table.Row) (own, organisation table.Share) {
	open := table.Share{Capacity: cell.Size{CPU: table.NoLimit, Mem: table.NoLimit, Accel: table.NoLimit}, Tasks: table.NoLimit}
	h.mu.Lock()
	defer h.mu.Unlock()
	domains := []string{h.cfg.Domain}
	for _, m := range h.machines {
		if !slices.Contains(domains, m.Domain) {
			domains = append(domains, m.Domain)
		}
	}
	own, _ = row.RowShare(h.cfg.Domain, domains)
	organisation, ok := h.table.OrganisationShare(row.Organisation, h.cfg.Domain)
	if !ok {
		organisation = open
	}
	return own, organisation
}
