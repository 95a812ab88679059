// Package platform accesses the platform's append-only log and host list.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
)

// Entry is one record of a stream. Offsets start at 1.
type Entry struct {
	Offset int64  `json:"offset"`
	Body   []byte `json:"body"`
}

// HostEntry is one entry of the platform's host list, which may be out of date.
type HostEntry struct {
	Name    string         `json:"name"`
	Kind    cell.Kind      `json:"kind"`
	Domain  string         `json:"domain"`
	Rack    string         `json:"rack,omitempty"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving,omitempty"`
	Size    cell.Size      `json:"size,omitzero"`
	Slots   int            `json:"slots,omitempty"`
	Conns   int            `json:"conns,omitempty"`
}

// NotWrittenError means that an append did not reach the log or that the log refused it: nothing
// was written.
type NotWrittenError struct {
	// Status is zero if the log was not reached.
	Status int
	Cause  error
}

func (e *NotWrittenError) Error() string {
	if e.Cause != nil {
		return "log not reached: " + e.Cause.Error()
	}
	return fmt.Sprintf("log refused the append: status %d", e.Status)
}

// Unwrap returns the transport's error, if any.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// UnsureError means that the answer to an append was lost: the record may have been written.
type UnsureError struct{ Cause error }

func (e *UnsureError) Error() string { return "log append has no answer: " + e.Cause.Error() }

// Unwrap returns the transport's error.
func (e *UnsureError) Unwrap() error { return e.Cause }

// TrimmedError means that the records from the requested offset on were trimmed.
type TrimmedError struct{ Oldest int64 }

func (e *TrimmedError) Error() string { return fmt.Sprintf("log is trimmed up to %d", e.Oldest) }

// DownError means that the platform could not be reached or did not give a valid answer.
type DownError struct{ Reason string }

func (e *DownError) Error() string { return "platform is down: " + e.Reason }

// Client sends requests to one platform address. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a client. The requests use the transport rt, or the default transport if rt is nil.
func New(addr netip.AddrPort, rt http.RoundTripper) *Client {
	return &Client{base: "http://" + addr.String(), http: &http.Client{Transport: rt}}
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
}

// Append writes one record and returns its offset. The error is a NotWrittenError if nothing was
// written, otherwise an UnsureError.
func (c *Client) Append(ctx context.Context, stream string, body []byte) (int64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/log/"+stream, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "make append")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, appendError(err)
	}
	defer resp.Body.Close()
	if isRefusal(resp.StatusCode) {
		return 0, &NotWrittenError{Status: resp.StatusCode}
	}
	var a appendAnswer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return 0, &UnsureError{Cause: err}
	}
	return a.Offset, nil
}

// appendError distinguishes an append that never left this host, because no connection was made,
// from one that may have arrived.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotWrittenError{Cause: err}
	}
	return &UnsureError{Cause: err}
}

// isRefusal reports whether a status proves that nothing was written. Other 5xx codes may come
// from an intermediary that lost the log's answer.
func isRefusal(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// Page is a sequence of records and the oldest offset that the log still has.
type Page struct {
	Entries []Entry `json:"entries"`
	Oldest  int64   `json:"oldest"`
	Next    int64   `json:"next"`
}

// Read returns records from an offset on, and waits up to wait for the first.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error) {
	q := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait": {wait.String()}}
	var p Page
	status, err := c.get(ctx, "/log/"+stream+"?"+q.Encode(), &p)
	if status == http.StatusGone {
		return p, &TrimmedError{Oldest: p.Oldest}
	}
	return p, err
}

// Hosts returns the current host list as the platform sees it, and the list's tag. Given the tag
// of the last answer it returns nothing if the list has not changed: the whole list twice a
// second would cost more than all other control traffic together.
func (c *Client) Hosts(ctx context.Context, tag string) (all []HostEntry, now string, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/hosts", nil)
	if err != nil {
		return nil, "", errors.Wrap(err, "make read")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, "", &DownError{Reason: err.Error()}
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil, tag, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, "", &DownError{Reason: resp.Status}
	}
	if err := json.NewDecoder(resp.Body).Decode(&all); err != nil {
		return nil, "", &DownError{Reason: err.Error()}
	}
	return all, resp.Header.Get("ETag"), nil
}

func (c *Client) get(ctx context.Context, path string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return 0, errors.Wrap(err, "make read")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, &DownError{Reason: err.Error()}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, &DownError{Reason: err.Error()}
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, &DownError{Reason: resp.Status}
	}
	if err := json.Unmarshal(b, into); err != nil {
		return resp.StatusCode, &DownError{Reason: err.Error()}
	}
	return resp.StatusCode, nil
}
