package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"pollencroft/internal/cell"
	"pollencroft/internal/peer"
)

// Job is a job as a caller submits it.
type Job struct {
	Row   string
	Tasks int
	Size  cell.Size
	Time  time.Duration
	Gang  bool
	Key   string
}

type jobBody struct {
	Workload string    `json:"workload"`
	Tasks    int       `json:"tasks"`
	Size     cell.Size `json:"size"`
	// Time is the declared run time of a task in seconds.
	Time float64 `json:"time"`
	Gang bool    `json:"gang"`
	Key  string  `json:"key"`
}

// maxJobBody is the maximum size of a submitted job's body in bytes.
const maxJobBody = 64 << 10

func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	job, status, err := h.readJob(w, r)
	if err != nil {
		refuse(w, status, err.Error())
		return
	}
	writeJob(w, http.StatusCreated, h.Submit(r.Context(), job))
}

func (h *Handler) readJob(w http.ResponseWriter, r *http.Request) (Job, int, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxJobBody))
	if err != nil {
		return Job{}, bodyStatus(err), &cell.ValueError{Field: "body", Found: err.Error(), Allowed: fmt.Sprintf("at most %d bytes", maxJobBody)}
	}
	b := jobBody{Tasks: 1}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return Job{}, http.StatusBadRequest, jsonError(err)
	}
	if _, version := h.Row(b.Workload); version == 0 {
		return Job{}, http.StatusNotFound, &cell.ValueError{Field: "workload", Found: b.Workload, Allowed: "a row of the table"}
	}
	const most = 365 * 24 * 3600
	if b.Time <= 0 || b.Time > most {
		return Job{}, http.StatusBadRequest, &cell.ValueError{Field: "time", Found: fmt.Sprint(b.Time), Allowed: "seconds above 0, up to a year"}
	}
	return Job{
		Row: b.Workload, Tasks: b.Tasks, Size: b.Size, Gang: b.Gang, Key: b.Key,
		Time: time.Duration(b.Time * float64(time.Second)),
	}, 0, nil
}

func jsonError(err error) error {
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return &cell.ValueError{Field: typ.Field, Found: typ.Value, Allowed: typ.Type.String()}
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return &cell.ValueError{Field: strings.Trim(name, `"`), Found: "an unknown field", Allowed: "a field of a job"}
	}
	return &cell.ValueError{Field: "body", Found: err.Error(), Allowed: "a JSON object"}
}

func (h *Handler) job(w http.ResponseWriter, r *http.Request) {
	writeJob(w, http.StatusOK, h.Job(r.Context(), chi.URLParam(r, "id")))
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	writeJob(w, http.StatusOK, h.Cancel(r.Context(), chi.URLParam(r, "id")))
}

func (h *Handler) trail(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.Trail(r.Context(), chi.URLParam(r, "id")))
}

type jobAnswer struct {
	ID      string         `json:"id"`
	State   string         `json:"state"`
	Kept    string         `json:"kept,omitempty"`
	Outcome string         `json:"outcome"`
	Tasks   map[string]int `json:"tasks,omitempty"`
	Wait    cell.Duration  `json:"wait"`
	Reason  string         `json:"reason,omitempty"`
}

func writeJob(w http.ResponseWriter, status int, reply peer.JobReply) {
	if reply.Code != 0 {
		refuseJob(w, reply)
		return
	}
	s := reply.Status
	writeJSON(w, status, jobAnswer{
		ID: s.ID, State: s.State, Kept: reply.Kept, Outcome: jobOutcome(s.State, s.Ran), Tasks: s.Tasks, Wait: s.Wait, Reason: s.Reason,
	})
}

func refuseJob(w http.ResponseWriter, reply peer.JobReply) {
	w.Header().Set(HeaderOutcome, string(reply.Outcome))
	w.Header().Set("Retry-After", "1")
	writeJSON(w, reply.Code, refusalBody{
		Error: http.StatusText(reply.Code), Outcome: reply.Outcome, Reason: reply.Reason, Again: 1, ID: reply.Status.ID,
	})
}

// jobOutcome returns the outcome of a job that is reported to its caller. It is
// "not run" only if no start was ever sent.
func jobOutcome(state string, ran bool) string {
	switch {
	case state == "cancelled" && !ran:
		return "not run"
	case state == "cancelled":
		return "stopped"
	case state == "stopping":
		return "unknown"
	default:
		return state
	}
}
