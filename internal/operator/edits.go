package operator

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"pollencroft/internal/cell"
	"pollencroft/internal/table"
)

// States of an edit as reported to operators.
const (
	stateAccepted = "accepted"
	stateVoid     = "void"
	stateUnknown  = "unknown"
)

// HeaderEdit carries the id that an operator assigns to an edit. An id generated
// by the host is lost if the host dies before it answers. The operator could
// then not ask for the state of the edit, and sending it again could create a
// second edit.
const HeaderEdit = "Pollencroft-Edit"

// maxID is the maximum length of an edit's id in bytes.
const maxID = 64

func editID(r *http.Request) (string, error) {
	id := r.Header.Get(HeaderEdit)
	if len(id) > maxID {
		return "", &cell.ValueError{Field: HeaderEdit, Found: fmt.Sprintf("%d bytes", len(id)), Allowed: fmt.Sprintf("at most %d", maxID)}
	}
	if id == "" {
		id = cell.NewID()
	}
	return id, nil
}

type editState struct {
	ID     string `json:"id"`
	State  string `json:"state"`
	Reason string `json:"reason,omitempty"`
}

// verdict reports the state of an edit whose answer was lost. A state of unknown
// may still become accepted, because the append may still be in flight.
func (h *Handler) verdict(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	j, ok := h.Table.Verdict(id)
	s := editState{ID: id, State: stateUnknown, Reason: j.Reason}
	switch {
	case !ok:
		s.Reason = "not read from the log yet"
	case j.Accepted:
		s.State = stateAccepted
	default:
		s.State = stateVoid
	}
	write(w, http.StatusOK, s)
}

type quotaBody struct {
	Room    cell.Size        `json:"room"`
	Tasks   int64            `json:"tasks"`
	Domains map[string]int64 `json:"domains"`
}

func (h *Handler) findQuota(organisation string) *table.Quota {
	for _, q := range h.Table.Quotas() {
		if q.Organisation == organisation {
			return &q
		}
	}
	return nil
}

func (h *Handler) putQuota(w http.ResponseWriter, r *http.Request) {
	var body quotaBody
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEdit))
	d.DisallowUnknownFields()
	if err := d.Decode(&body); err != nil {
		fail(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	e := table.QuotaEdit{
		Organisation: chi.URLParam(r, "organisation"), Capacity: body.Room, Tasks: body.Tasks, Domains: body.Domains,
		Author: r.Header.Get("Pollencroft-Who"),
	}
	var err error
	if e.ID, err = editID(r); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	old := h.findQuota(e.Organisation)
	if old != nil {
		e.Base = old.Version
	}
	if want := r.Header.Get("If-Match"); want != "" && want != etag(e.Base) {
		write(w, http.StatusPreconditionFailed, failure{Error: "quota has another version", Row: old})
		return
	}
	if err := e.Check(); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	var j table.Verdict
	j, err = h.Table.EditQuota(r.Context(), e)
	if answerUnlessAccepted(w, e.ID, j, err, func() any { return h.findQuota(e.Organisation) }) {
		write(w, http.StatusOK, h.findQuota(e.Organisation))
	}
}

// confirmShare confirms a quota's smaller share on behalf of a failure domain that is
// permanently gone, since no host there will report that it applies the share.
func (h *Handler) confirmShare(w http.ResponseWriter, r *http.Request) {
	q := h.findQuota(chi.URLParam(r, "organisation"))
	if q == nil {
		fail(w, http.StatusNotFound, "no such quota")
		return
	}
	s := table.ShareConfirmation{Organisation: q.Organisation, Version: q.Version, Domain: chi.URLParam(r, "domain")}
	if err := h.Table.ConfirmShare(r.Context(), s); err != nil {
		fail(w, http.StatusServiceUnavailable, fmt.Sprintf("may not be written: %s", err))
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
