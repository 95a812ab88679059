// Package operator implements the HTTP interface for operators, which has its
// own listener and checks operators' certificates or a bearer token.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"pollencroft/internal/keys"
	"pollencroft/internal/table"
	"pollencroft/internal/trail"
)

// Deps holds the data and functions that the operators' handler depends on.
type Deps struct {
	Token   string
	Table   Table
	Status  func() TableStatus
	Hosts   func() any
	Workers func() any
	// Trail returns the history of decisions on a request or job.
	Trail func(ctx context.Context, id string) []trail.Note
	Drain func()
}

// Table gives operators access to the table: its rows, quotas and history.
type Table interface {
	Lines() []table.Line
	Quotas() []table.Quota
	History() []table.HistoryEntry
	// Verdict returns the result of an edit, and false if the edit has not been
	// read from the log yet.
	Verdict(id string) (table.Verdict, bool)
	// Preview checks an edit without writing it. It returns a cell.ValueError if
	// the edit cannot be accepted, whatever version of the row it is based on.
	Preview(e table.Edit) error
	// Edit and EditQuota write an edit and wait for its verdict. The error is an
	// UnsureError if the edit may have been written but has no verdict yet.
	Edit(ctx context.Context, e table.Edit) (table.Verdict, error)
	EditQuota(ctx context.Context, e table.QuotaEdit) (table.Verdict, error)
	// ConfirmShare writes the confirmation that a failure domain applies its share of a quota.
	ConfirmShare(ctx context.Context, s table.ShareConfirmation) error
}

// TableStatus reports up to which offset each host has applied the table's log.
// Unknown counts the records that this host's version does not understand.
type TableStatus struct {
	Hosts   []HostTable `json:"hosts"`
	Unknown int         `json:"unknown"`
}

// HostTable reports up to which offset a host has applied the table's log, and
// when that was last heard. Hosts with the same Next must have the same Mark.
type HostTable struct {
	Host   string    `json:"host"`
	Domain string    `json:"domain"`
	Next   int64     `json:"next"`
	Mark   uint32    `json:"mark"`
	Heard  time.Time `json:"heard"`
}

// Handler is the operators' HTTP handler.
type Handler struct{ Deps }

// New returns a handler with these dependencies. Routes adds it to a router.
func New(d Deps) *Handler { return &Handler{d} }

// Routes adds the operators' routes.
func (h *Handler) Routes(r chi.Router) {
	r.Use(h.allowed)
	r.Get("/table", h.table)
	r.Get("/table/{row}", h.row)
	r.Put("/table/{row}", h.putRow)
	r.Delete("/table/{row}", h.deleteRow)
	r.Get("/edits/{id}", h.verdict)
	r.Get("/log", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, h.Table.History()) })
	r.Get("/status", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, h.Status()) })
	r.Get("/quotas", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, h.Table.Quotas()) })
	r.Put("/quotas/{organisation}", h.putQuota)
	r.Post("/quotas/{organisation}/settle/{domain}", h.confirmShare)
	r.Get("/hosts", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, h.Hosts()) })
	r.Get("/workers", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, h.Workers()) })
	r.Get("/explain/{id}", h.explain)
	r.Post("/drain", h.drain)
}

func (h *Handler) allowed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if keys.IsOperator(r.TLS) {
			next.ServeHTTP(w, r)
			return
		}
		if h.Token == "" && r.TLS != nil {
			fail(w, http.StatusUnauthorized, "an operator's certificate is missing")
			return
		}
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if h.Token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(h.Token)) != 1 {
			fail(w, http.StatusUnauthorized, "token is wrong or missing")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

type failure struct {
	Error string `json:"error"`
	State string `json:"state,omitempty"`
	ID    string `json:"id,omitempty"`
	Row   any    `json:"row,omitempty"`
}

func fail(w http.ResponseWriter, status int, reason string) {
	write(w, status, failure{Error: reason})
}

func (h *Handler) table(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.Table.Lines())
}

func (h *Handler) find(name string) *table.Line {
	for _, l := range h.Table.Lines() {
		if l.Name == name {
			return &l
		}
	}
	return nil
}

func etag(version int64) string { return strconv.Quote(strconv.FormatInt(version, 10)) }

func (h *Handler) row(w http.ResponseWriter, r *http.Request) {
	line := h.find(chi.URLParam(r, "row"))
	if line == nil {
		fail(w, http.StatusNotFound, "no such row")
		return
	}
	w.Header().Set("ETag", etag(line.Version))
	write(w, http.StatusOK, line)
}

// maxEdit is the maximum size of an edit's body in bytes.
const maxEdit = 64 << 10

func (h *Handler) putRow(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxEdit))
	if err != nil {
		fail(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("body is larger than %d bytes", maxEdit))
		return
	}
	h.edit(w, r, table.Edit{Fields: body})
}

func (h *Handler) deleteRow(w http.ResponseWriter, r *http.Request) {
	h.edit(w, r, table.Edit{Drop: true})
}

func (h *Handler) edit(w http.ResponseWriter, r *http.Request, e table.Edit) {
	var err error
	if e.ID, err = editID(r); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	e.Row = chi.URLParam(r, "row")
	e.Author = r.Header.Get("Pollencroft-Who")
	line := h.find(e.Row)
	if line != nil {
		e.Base = line.Version
	}
	if e.Drop && line == nil {
		fail(w, http.StatusNotFound, "no such row")
		return
	}
	if want := r.Header.Get("If-Match"); want != "" && want != etag(e.Base) {
		write(w, http.StatusPreconditionFailed, failure{Error: "row has another version", Row: line})
		return
	}
	if err := h.Table.Preview(e); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	if r.URL.Query().Has("try") {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	h.writeEdit(w, r, e)
}

// UnsureError means that it is not known yet whether an edit was written.
type UnsureError struct{ ID string }

func (err *UnsureError) Error() string { return "edit " + err.ID + " has no verdict yet" }

func (h *Handler) writeEdit(w http.ResponseWriter, r *http.Request, e table.Edit) {
	j, err := h.Table.Edit(r.Context(), e)
	if !answerUnlessAccepted(w, e.ID, j, err, func() any { return h.find(e.Row) }) {
		return
	}
	if e.Drop {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	line := h.find(e.Row)
	if line == nil {
		fail(w, http.StatusPreconditionFailed, "row was dropped meanwhile")
		return
	}
	w.Header().Set("ETag", etag(line.Version))
	write(w, http.StatusOK, line)
}

// answerUnlessAccepted reports whether an edit was accepted. If it was not, it
// writes the answer: with the current row or quota if another edit came first, and
// with the id under which to ask for the edit's state if the result is not known yet.
func answerUnlessAccepted(w http.ResponseWriter, id string, j table.Verdict, err error, now func() any) bool {
	var unsure *UnsureError
	switch {
	case errors.As(err, &unsure):
		write(w, http.StatusGatewayTimeout, failure{Error: err.Error(), State: stateUnknown, ID: id})
	case err != nil:
		write(w, http.StatusServiceUnavailable, failure{Error: "not accepted: " + err.Error(), State: stateVoid, ID: id})
	case !j.Accepted:
		write(w, http.StatusPreconditionFailed, failure{Error: j.Reason, State: stateVoid, ID: id, Row: now()})
	default:
		return true
	}
	return false
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	write(w, http.StatusOK, h.Trail(r.Context(), chi.URLParam(r, "id")))
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.Drain()
	w.WriteHeader(http.StatusAccepted)
}
