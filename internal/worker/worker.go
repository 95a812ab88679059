// Package worker is the client for workers: it acquires their anchors, renews
// leases and starts and stops tasks.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/lease"
)

// HeldError means that another holder has the anchor. Its lease runs for another Remaining.
type HeldError struct {
	Holder    string
	Remaining time.Duration
	// Sent is when the refused request was sent.
	Sent time.Time
	// Incarnation is the worker's incarnation.
	Incarnation string
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("anchor is held by %s for another %s", e.Holder, e.Remaining)
}

// LateError means that a start reached the worker after its deadline and was not carried out.
type LateError struct{}

func (e *LateError) Error() string { return "start arrived after its deadline and was not carried out" }

// UnknownTaskError means that the worker has no task with this ID.
type UnknownTaskError struct{ ID string }

func (e *UnknownTaskError) Error() string { return "worker has no task " + e.ID }

// StatusError means that a worker answered with an unexpected HTTP status, from
// which the result of the request cannot be told.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("worker answered with status %d", e.Status) }

// NoAnswerError means that no valid answer came, so that it is unknown whether
// the worker carried out the request.
type NoAnswerError struct{ Cause error }

func (e *NoAnswerError) Error() string { return "worker did not answer: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// UnreachableError means that no connection to the worker could be opened, so that
// the request certainly did not reach it.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string { return "no connection to worker: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Client sends requests to workers on behalf of one holder. It is safe for concurrent use.
type Client struct {
	holder string
	term   int64
	http   *http.Client
	clock  func() time.Time
}

// New returns a client for a holder whose incarnation is term. The holder name
// sent to workers contains both: a host that replaces another under the same
// name waits for its predecessor's lease to run out as any other host does,
// because a start sent by the predecessor may still be in flight.
func New(holder string, term int64, rt http.RoundTripper, clock func() time.Time) *Client {
	return &Client{holder: fmt.Sprintf("%s#%x", holder, term), term: term, http: &http.Client{Transport: rt}, clock: clock}
}

type requestBody struct {
	Holder   string    `json:"holder,omitempty"`
	Term     int64     `json:"term,omitempty"`
	TTL      int64     `json:"ttl,omitempty"`
	ID       string    `json:"id,omitempty"`
	Row      string    `json:"row,omitempty"`
	Job      string    `json:"job,omitempty"`
	Size     cell.Size `json:"size,omitzero"`
	Asked    cell.Size `json:"asked,omitzero"`
	Run      int64     `json:"run,omitempty"`
	Deadline int64     `json:"deadline,omitempty"`
	Forget   []string  `json:"forget,omitempty"`
	Keep     int64     `json:"keep,omitempty"`
	Since    int64     `json:"since,omitempty"`
	Lease    string    `json:"lease,omitempty"`
	Share    float64   `json:"share,omitempty"`
}

type responseBody struct {
	Clock  int64      `json:"clock"`
	Holder string     `json:"holder"`
	Left   int64      `json:"left"`
	Lease  string     `json:"lease"`
	Life   string     `json:"life"`
	Mark   int64      `json:"mark"`
	Whole  bool       `json:"whole"`
	Tasks  []taskBody `json:"tasks"`
	Gone   []string   `json:"gone"`
}

type taskBody struct {
	ID    string    `json:"id"`
	Lease string    `json:"lease"`
	Job   string    `json:"job"`
	Row   string    `json:"row"`
	State string    `json:"state"`
	Size  cell.Size `json:"size"`
	Use   cell.Size `json:"use"`
}

func (s responseBody) reading(sent time.Time) lease.Reading {
	r := lease.Reading{
		Sent: sent, Clock: time.UnixMilli(s.Clock), Remaining: time.Duration(s.Left) * time.Millisecond,
		Lease: s.Lease, Incarnation: s.Life, Cursor: s.Mark, Full: s.Whole, Removed: s.Gone,
	}
	for _, t := range s.Tasks {
		r.Tasks = append(r.Tasks, lease.Task{ID: t.ID, Lease: t.Lease, Job: t.Job, Row: t.Row, State: t.State, Size: t.Size, Use: t.Use})
	}
	return r
}

// Acquire takes the worker's anchor for ttl. The error is a HeldError, a
// NoAnswerError or an UnreachableError.
func (c *Client) Acquire(ctx context.Context, addr netip.AddrPort, ttl time.Duration) (lease.Reading, error) {
	return c.lease(ctx, addr, "/anchor", requestBody{TTL: ttl.Milliseconds()})
}

// Renew extends the anchor's lease by TTL and the leases of all tasks by
// TaskTTL. The worker may discard the ended starts whose leases are in forget.
// The errors are those of Acquire.
func (c *Client) Renew(ctx context.Context, addr netip.AddrPort, a lease.Renew, forget []string) (lease.Reading, error) {
	return c.lease(ctx, addr, "/renew", requestBody{TTL: a.TTL.Milliseconds(), Keep: a.TaskTTL.Milliseconds(), Since: a.Since, Forget: forget})
}

func (c *Client) lease(ctx context.Context, addr netip.AddrPort, path string, request requestBody) (lease.Reading, error) {
	sent := c.clock()
	status, answer, err := c.do(ctx, http.MethodPost, addr, path, request)
	switch {
	case err != nil:
		return lease.Reading{}, err
	case status == http.StatusConflict:
		return lease.Reading{}, &HeldError{Holder: answer.Holder, Remaining: time.Duration(answer.Left) * time.Millisecond, Sent: sent, Incarnation: answer.Life}
	case status != http.StatusOK:
		return lease.Reading{}, &NoAnswerError{Cause: &StatusError{Status: status}}
	default:
		return answer.reading(sent), nil
	}
}

// Incarnation returns a worker's incarnation.
func (c *Client) Incarnation(ctx context.Context, addr netip.AddrPort) (string, error) {
	status, answer, err := c.do(ctx, http.MethodGet, addr, "/tasks", requestBody{})
	if err != nil {
		return "", err
	}
	if status != http.StatusOK {
		return "", &StatusError{Status: status}
	}
	return answer.Life, nil
}

// Release gives up the anchor that was held under the named lease.
func (c *Client) Release(ctx context.Context, addr netip.AddrPort, name string) error {
	_, _, err := c.do(ctx, http.MethodDelete, addr, "/anchor", requestBody{Lease: name})
	return err
}

// Start describes a task to start. Deadline is in the worker's own clock.
type Start struct {
	ID, Row, Job string
	// Size is the capacity that the task gets, Asked the size that its caller declared.
	Size, Asked cell.Size
	Run         time.Duration
	TTL         time.Duration
	Deadline    time.Time
}

// Start asks the worker to start a task. A LateError means that the worker did
// not carry out this start, an UnreachableError that the request did not arrive,
// and a NoAnswerError that the result is unknown.
func (c *Client) Start(ctx context.Context, addr netip.AddrPort, s Start) error {
	status, _, err := c.do(ctx, http.MethodPost, addr, "/tasks", requestBody{
		ID: s.ID, Row: s.Row, Job: s.Job, Size: s.Size, Asked: s.Asked, Run: s.Run.Milliseconds(),
		TTL: s.TTL.Milliseconds(), Deadline: s.Deadline.UnixMilli(),
	})
	switch {
	case err != nil:
		return err
	case status == http.StatusGone:
		return &LateError{}
	case status != http.StatusOK:
		return &NoAnswerError{Cause: &StatusError{Status: status}}
	default:
		return nil
	}
}

// Stop stops a task. A nil error means that the task no longer runs, an
// UnknownTaskError that the worker does not have the task or has already discarded it.
func (c *Client) Stop(ctx context.Context, addr netip.AddrPort, id string) error {
	return c.onTask(ctx, addr, "/stop", requestBody{ID: id})
}

// Checkpoint saves a task's progress so that the task can be stopped without losing it.
func (c *Client) Checkpoint(ctx context.Context, addr netip.AddrPort, id string) error {
	return c.onTask(ctx, addr, "/checkpoint", requestBody{ID: id})
}

// Throttle limits a task to a share of its size.
func (c *Client) Throttle(ctx context.Context, addr netip.AddrPort, id string, share float64) error {
	return c.onTask(ctx, addr, "/throttle", requestBody{ID: id, Share: share})
}

func (c *Client) onTask(ctx context.Context, addr netip.AddrPort, path string, request requestBody) error {
	status, _, err := c.do(ctx, http.MethodPost, addr, path, request)
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return &UnknownTaskError{ID: request.ID}
	case status != http.StatusOK:
		return &NoAnswerError{Cause: &StatusError{Status: status}}
	default:
		return nil
	}
}

func (c *Client) do(ctx context.Context, method string, addr netip.AddrPort, path string, request requestBody) (int, responseBody, error) {
	var answer responseBody
	request.Holder, request.Term = c.holder, c.term
	b, err := json.Marshal(request)
	if err != nil {
		return 0, answer, errors.Wrap(err, "encode request to worker")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(b))
	if err != nil {
		return 0, answer, errors.Wrap(err, "create request to worker")
	}
	// An empty value omits the header, which makes every renewal of every worker shorter.
	req.Header.Set("User-Agent", "")
	resp, err := c.http.Do(req)
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return 0, answer, &UnreachableError{Cause: err}
	case err != nil:
		return 0, answer, &NoAnswerError{Cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, answer, &NoAnswerError{Cause: err}
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, answer, &NoAnswerError{Cause: err}
	}
	return resp.StatusCode, answer, nil
}
