// Package caller implements the HTTP interface for callers: requests to backend
// servers and jobs on workers.
package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"pollencroft/internal/call"
	"pollencroft/internal/cell"
	"pollencroft/internal/peer"
	"pollencroft/internal/spans"
	"pollencroft/internal/table"
	"pollencroft/internal/trail"
)

// Headers of the interface for callers.
const (
	HeaderOutcome  = "Pollencroft-Outcome"
	HeaderAttempt  = "Pollencroft-Attempt"
	HeaderDeadline = "Pollencroft-Deadline"
	HeaderKey      = "Idempotency-Key"
)

// maxKey is the maximum length of an idempotency key in bytes.
const maxKey = 128

// Deps holds the functions and limits that the callers' handler depends on.
type Deps struct {
	Row    func(name string) (table.Row, int64)
	Do     func(ctx context.Context, r call.Request) call.Reply
	Submit func(ctx context.Context, j Job) peer.JobReply
	Job    func(ctx context.Context, id string) peer.JobReply
	Cancel func(ctx context.Context, id string) peer.JobReply
	// Trail returns the history of decisions on a request or job.
	Trail func(ctx context.Context, id string) []trail.Note
	// MaxBody is the maximum size of a request's body in bytes, MaxWait the longest
	// time that a caller may wait.
	MaxBody int64
	MaxWait time.Duration
	Clock   func() time.Time
}

// Handler is the callers' HTTP handler.
type Handler struct{ Deps }

// New returns a handler with these dependencies. Routes adds it to a router.
func New(d Deps) *Handler { return &Handler{d} }

// Routes adds the callers' routes.
func (h *Handler) Routes(r chi.Router) {
	r.HandleFunc("/do/{workload}", h.do)
	r.HandleFunc("/do/{workload}/*", h.do)
	r.Post("/jobs", h.submit)
	r.Get("/jobs/{id}", h.job)
	r.Delete("/jobs/{id}", h.cancel)
	r.Get("/jobs/{id}/trail", h.trail)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, http.StatusNotFound, "path "+r.URL.Path+" is not known")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		refuse(w, http.StatusMethodNotAllowed, "method "+r.Method+" is not allowed")
	})
}

type refusalBody struct {
	Error   string       `json:"error"`
	Outcome cell.Outcome `json:"outcome"`
	Reason  string       `json:"reason"`
	Again   float64      `json:"again"`
	ID      string       `json:"id,omitempty"`
}

func refuse(w http.ResponseWriter, status int, reason string) {
	write(w, call.Refuse(status, reason, 0))
}

// write sends a reply: the backend server's status, headers and body if the
// outcome is done, otherwise the reason of the failure and how long to wait
// before the next attempt.
func write(w http.ResponseWriter, reply call.Reply) {
	w.Header().Set(HeaderOutcome, string(reply.Outcome))
	if reply.Outcome == cell.Done {
		for name, value := range reply.Header {
			w.Header().Set(name, value)
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
		w.WriteHeader(reply.Status)
		_, _ = w.Write(reply.Body)
		return
	}
	again := reply.RetryAfter.Seconds()
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(again))))
	writeJSON(w, reply.Status, refusalBody{
		Error: http.StatusText(reply.Status), Outcome: reply.Outcome, Reason: reply.Reason, Again: again,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (h *Handler) do(w http.ResponseWriter, r *http.Request) {
	req, status, err := h.read(w, r)
	if err != nil {
		refuse(w, status, err.Error())
		return
	}
	ctx, end := spans.Start(spans.ContinueTrace(r.Context(), r.Header.Get("Traceparent")), "caller", req.ID)
	defer end()
	write(w, h.Do(ctx, req))
}

func (h *Handler) read(w http.ResponseWriter, r *http.Request) (call.Request, int, error) {
	req := call.Request{ID: cell.NewID(), Row: chi.URLParam(r, "workload"), Method: r.Method, Attempt: 1}
	row, version := h.Row(req.Row)
	if version == 0 {
		return req, http.StatusNotFound, &cell.ValueError{Field: "workload", Found: req.Row, Allowed: "a row of the table"}
	}
	var err error
	if req.Key, err = readKey(r); err != nil {
		return req, http.StatusBadRequest, err
	}
	if req.Attempt, err = readAttempt(r); err != nil {
		return req, http.StatusBadRequest, err
	}
	if req.Deadline, err = h.readDeadline(r, row); err != nil {
		return req, http.StatusBadRequest, err
	}
	if req.Body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody)); err != nil {
		return req, bodyStatus(err), &cell.ValueError{Field: "body", Found: err.Error(), Allowed: fmt.Sprintf("at most %d bytes", h.MaxBody)}
	}
	req.Path = "/" + chi.URLParam(r, "*")
	if r.URL.RawQuery != "" {
		req.Path += "?" + r.URL.RawQuery
	}
	req.Header = forwardedHeaders(r.Header)
	return req, 0, nil
}

func bodyStatus(err error) int {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// singleHeader returns the value of a header that may be given only once, and false if
// it is absent. If two values were accepted, one would be silently ignored, and
// the request could run under a key that its caller does not use again.
func singleHeader(r *http.Request, name string) (string, bool, error) {
	values := r.Header.Values(name)
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	default:
		return "", true, &cell.ValueError{Field: name, Found: fmt.Sprintf("given %d times", len(values)), Allowed: "one value"}
	}
}

func readKey(r *http.Request) (string, error) {
	key, given, err := singleHeader(r, HeaderKey)
	if err != nil || !given {
		return "", err
	}
	if len(key) == 0 || len(key) > maxKey {
		return "", &cell.ValueError{Field: HeaderKey, Found: fmt.Sprintf("%d bytes", len(key)), Allowed: fmt.Sprintf("1 to %d bytes", maxKey)}
	}
	if !utf8.ValidString(key) || strings.ContainsFunc(key, unicode.IsControl) {
		return "", &cell.ValueError{Field: HeaderKey, Found: "not text or a control character", Allowed: "printable characters"}
	}
	return key, nil
}

func readAttempt(r *http.Request) (int, error) {
	text, given, err := singleHeader(r, HeaderAttempt)
	if err != nil || !given {
		return 1, err
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		return 0, &cell.ValueError{Field: HeaderAttempt, Found: text, Allowed: "a whole number from 1"}
	}
	return n, nil
}

// readDeadline returns the instant until which the caller waits. The header
// holds a duration such as 800ms or an instant in RFC 3339. Without the header
// the row's deadline applies.
func (h *Handler) readDeadline(r *http.Request, row table.Row) (time.Time, error) {
	now := h.Clock()
	text, given, err := singleHeader(r, HeaderDeadline)
	if err != nil {
		return now, err
	}
	if !given {
		return now.Add(min(row.Deadline.Duration, h.MaxWait)), nil
	}
	at, err := time.Parse(time.RFC3339Nano, text)
	if d, derr := time.ParseDuration(text); derr == nil {
		at, err = now.Add(d), nil
	}
	if err != nil || !at.After(now) {
		return at, &cell.ValueError{Field: HeaderDeadline, Found: text, Allowed: "a time to come"}
	}
	if most := now.Add(h.MaxWait); at.After(most) {
		return most, nil
	}
	return at, nil
}

// valueSeparator returns the separator between the values of a header that is given more than once.
func valueSeparator(name string) string {
	if name == "Cookie" {
		return "; "
	}
	return ", "
}

// forwardedHeaders returns the headers to send on. It omits those that apply to one
// connection only and those that pollencroft itself reads or sets.
func forwardedHeaders(h http.Header) map[string]string {
	out := map[string]string{}
	for name := range h {
		switch name {
		case "Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
			"Proxy-Authorization", "Proxy-Authenticate", HeaderKey, HeaderAttempt, HeaderDeadline, "Traceparent", "Accept-Encoding":
		default:
			out[name] = strings.Join(h.Values(name), valueSeparator(name))
		}
	}
	return out
}
