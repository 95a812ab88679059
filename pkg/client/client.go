// Package client is a Go client for callers and operators of pollencroft.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Outcomes of a request, as the host reports them.
const (
	Done    = "done"
	Refused = "refused"
	Unknown = "unknown"
)

// Client sends requests to one entry host. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the host at addr. Only operators need a token. If rt is nil, the client
// uses http.DefaultTransport.
func New(addr netip.AddrPort, token string, rt http.RoundTripper) *Client {
	return &Client{base: "http://" + addr.String(), token: token, http: &http.Client{Transport: rt}}
}

// NewTLS returns a client that connects to a host's operator listener with TLS. cfg contains the
// trusted certificate authorities and, if the operator has no token, the operator's certificate.
// Its ServerName is "host.domain" of the host.
func NewTLS(addr netip.AddrPort, token string, cfg *tls.Config) *Client {
	rt := &http.Transport{TLSClientConfig: cfg}
	return &Client{base: "https://" + addr.String(), token: token, http: &http.Client{Transport: rt}}
}

// Request is one request to a backend server.
type Request struct {
	Workload string
	Method   string
	Path     string
	Key      string
	Attempt  int
	Deadline time.Duration
	Header   http.Header
	Body     []byte
}

// Reply is a reply that was received completely.
type Reply struct {
	Outcome string
	Status  int
	Body    []byte
	// Again is how long the caller should wait before it retries the request.
	Again time.Duration
}

// NoReplyError reports that no complete reply was received from the host. It is unknown whether
// the request ran.
type NoReplyError struct{ Cause error }

func (e *NoReplyError) Error() string { return "no whole reply: " + e.Cause.Error() }

// Unwrap returns the error of the transport.
func (e *NoReplyError) Unwrap() error { return e.Cause }

// StatusError reports a refused request and the reason. Outcome is empty for requests to the
// operator listener and for replies that do not come from a host.
type StatusError struct {
	Status  int
	Outcome string
	Reason  string
}

func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Reason) }

// RaceError reports that an edit was rejected because of a concurrent edit. Row is the current row
// in JSON, or null if there is none.
type RaceError struct {
	Reason string
	Row    json.RawMessage
}

func (e *RaceError) Error() string { return "lost the race: " + e.Reason }

// UnsureError reports that it is not yet known whether an edit was written. GET /edits/ID returns
// the outcome once it is known.
type UnsureError struct {
	ID string
	// Cause is the reason why there is no reply. It is nil if the host replied that it does not
	// know the outcome.
	Cause error
}

func (e *UnsureError) Error() string {
	return "unknown whether the edit was written; ask for edit " + e.ID
}

// Unwrap returns the reason why there is no reply.
func (e *UnsureError) Unwrap() error { return e.Cause }

// Do sends a request to a backend server through the host.
func (c *Client) Do(ctx context.Context, r Request) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, c.base+"/do/"+r.Workload+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, errors.Wrap(err, "make request")
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
		req.Header.Set("Pollencroft-Attempt", strconv.Itoa(max(1, r.Attempt)))
	}
	if r.Deadline > 0 {
		req.Header.Set("Pollencroft-Deadline", r.Deadline.String())
	}
	req.GetBody = nil
	return c.reply(req)
}

func (c *Client) reply(req *http.Request) (Reply, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{Outcome: Unknown}, &NoReplyError{Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Reply{Outcome: Unknown}, &NoReplyError{Cause: err}
	}
	again, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return Reply{
		Outcome: resp.Header.Get("Pollencroft-Outcome"), Status: resp.StatusCode, Body: body,
		Again: time.Duration(again) * time.Second,
	}, nil
}

// Size is the resource request of a task: CPU in millicores, memory in bytes and the number of
// accelerators.
type Size struct {
	CPU   int64 `json:"cpu"`
	Mem   int64 `json:"mem"`
	Accel int64 `json:"accel"`
}

// Job describes a job to run. Time is the declared run time of one task in seconds.
type Job struct {
	Workload string  `json:"workload"`
	Tasks    int     `json:"tasks"`
	Size     Size    `json:"size"`
	Time     float64 `json:"time"`
	Gang     bool    `json:"gang,omitempty"`
	Key      string  `json:"key,omitempty"`
}

// JobStatus is the status of a job as reported by the host.
type JobStatus struct {
	ID      string         `json:"id"`
	State   string         `json:"state"`
	Kept    string         `json:"kept"`
	Outcome string         `json:"outcome"`
	Tasks   map[string]int `json:"tasks"`
	Wait    string         `json:"wait"`
	// Reason is why the job was abandoned. It is empty if the job was not abandoned.
	Reason string `json:"reason"`
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, j Job) (JobStatus, error) {
	var s JobStatus
	return s, c.json(ctx, http.MethodPost, "/jobs", nil, j, &s)
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id string) (JobStatus, error) {
	var s JobStatus
	return s, c.json(ctx, http.MethodGet, "/jobs/"+id, nil, nil, &s)
}

// Cancel requests that a job be stopped.
func (c *Client) Cancel(ctx context.Context, id string) (JobStatus, error) {
	var s JobStatus
	return s, c.json(ctx, http.MethodDelete, "/jobs/"+id, nil, nil, &s)
}

// SetRow changes fields of a row. version is the version on which the edit is based, or empty for
// an unconditional edit. The error is a RaceError if a concurrent edit was written first, and an
// UnsureError if the outcome of the edit is unknown.
func (c *Client) SetRow(ctx context.Context, row, version string, fields any) error {
	return c.Put(ctx, "/table/"+row, version, fields, nil)
}

// DropRow deletes a row. The version and the errors are the same as for SetRow.
func (c *Client) DropRow(ctx context.Context, row, version string) error {
	return c.json(ctx, http.MethodDelete, "/table/"+row, ifMatch(version), nil, nil)
}

// Put sends an edit to a path of the host's operator listener and decodes the new state into the
// value that into points to. into may be nil. The version and the errors are the same as for SetRow.
func (c *Client) Put(ctx context.Context, path, version string, body, into any) error {
	return c.json(ctx, http.MethodPut, path, ifMatch(version), body, into)
}

// ifMatch returns the headers of an edit: the expected version, if any, a fresh edit ID and the
// author.
func ifMatch(version string) http.Header {
	h := http.Header{}
	if version != "" {
		h.Set("If-Match", strconv.Quote(version))
	}
	h.Set("Pollencroft-Edit", uuid.Must(uuid.NewV7()).String())
	if who := os.Getenv("USER"); who != "" {
		h.Set("Pollencroft-Who", who)
	}
	return h
}

// Get fetches a path of the host's operator listener and decodes the reply into the value that into
// points to.
func (c *Client) Get(ctx context.Context, path string, into any) error {
	return c.json(ctx, http.MethodGet, path, nil, nil, into)
}

// Post requests an operator action, such as /drain.
func (c *Client) Post(ctx context.Context, path string) error {
	return c.json(ctx, http.MethodPost, path, nil, nil, nil)
}

func (c *Client) json(ctx context.Context, method, path string, h http.Header, body, into any) error {
	var text []byte
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		text = b
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(text))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	for name, values := range h {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	reply, err := c.reply(req)
	if id := h.Get("Pollencroft-Edit"); err != nil && id != "" {
		return &UnsureError{ID: id, Cause: err}
	}
	if err != nil {
		return err
	}
	if err := editError(reply); err != nil {
		return err
	}
	if reply.Status >= http.StatusBadRequest {
		return &StatusError{Status: reply.Status, Outcome: reply.Outcome, Reason: string(bytes.TrimSpace(reply.Body))}
	}
	if into == nil || len(reply.Body) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(reply.Body, into), "read reply")
}

type editFailure struct {
	Error string          `json:"error"`
	State string          `json:"state"`
	ID    string          `json:"id"`
	Row   json.RawMessage `json:"row"`
}

// editError returns a RaceError or an UnsureError if the reply to an edit reports one, and nil
// otherwise.
func editError(reply Reply) error {
	var f editFailure
	if reply.Status < http.StatusBadRequest || json.Unmarshal(reply.Body, &f) != nil {
		return nil
	}
	switch {
	case reply.Status == http.StatusPreconditionFailed:
		return &RaceError{Reason: f.Error, Row: f.Row}
	case f.State == Unknown:
		return &UnsureError{ID: f.ID}
	default:
		return nil
	}
}
