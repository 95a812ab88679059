// Package backend is the HTTP client for backend servers. It returns an answer
// only if the answer is complete and carries the id of the request.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/call"
)

// Headers that are sent with a request.
const (
	HeaderID  = "Pollencroft-Request"
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline is the time left until the deadline. It is a duration
	// rather than an instant because the backend server's clock may differ.
	HeaderDeadline = "Pollencroft-Deadline"
	// HeaderTrace is the W3C trace context.
	HeaderTrace = "Traceparent"
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	http    *http.Client
	maxBody int64
	// dropped counts attempts that failed, after which their connection was closed.
	dropped atomic.Int64
}

// New returns a client that accepts answers with bodies of up to maxBody bytes.
func New(rt http.RoundTripper, maxBody int64) *Client {
	return &Client{http: &http.Client{Transport: rt, CheckRedirect: keepRedirect}, maxBody: maxBody}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Dropped returns the number of attempts that ended without a complete answer
// to their request, so that their connection was closed.
func (c *Client) Dropped() int64 { return c.dropped.Load() }

// Answer is a complete answer from a backend server.
type Answer struct {
	Status int
	Header map[string]string
	Body   []byte
}

// maxAttempts is how often a request is attempted when each attempt finds its
// idle connection closed before any byte is sent. It allows every idle
// connection to be closed and one more attempt.
const maxAttempts = idleConns + 1

// Do sends a request and waits for the complete answer. The type of the error
// says whether the request may have run: NotSentError and LeavingError mean
// that it did not, all others that it may have.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, r call.Request) (Answer, error) {
	for n := 1; ; n++ {
		var u assignedConn
		answer, err := c.attempt(ctx, addr, r, &u)
		if err == nil {
			return answer, nil
		}
		u.drop()
		c.dropped.Add(1)
		switch {
		case u.unsent() && n < maxAttempts && ctx.Err() == nil:
			continue
		case u.unsent():
			return Answer{}, &NotSentError{Cause: err}
		default:
			return Answer{}, err
		}
	}
}

func (c *Client) attempt(ctx context.Context, addr netip.AddrPort, r call.Request, u *assignedConn) (Answer, error) {
	trace := httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { u.got(info.Conn) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), r.Method, "http://"+addr.String()+r.Path, nil)
	if err != nil {
		return Answer{}, &NotSentError{Cause: err}
	}
	setHeader(req, r)
	return c.exchange(req, r.ID)
}

func (c *Client) exchange(req *http.Request, id string) (Answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, sendError(err)
	}
	defer resp.Body.Close()
	return c.read(resp, id)
}

func setHeader(req *http.Request, r call.Request) {
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	req.Header.Set(HeaderID, r.ID)
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
	}
	if d, ok := req.Context().Deadline(); ok {
		req.Header.Set(HeaderDeadline, time.Until(d).Round(time.Millisecond).String())
	}
	if r.Trace != "" {
		req.Header.Set(HeaderTrace, r.Trace)
	}
	// If an idle connection proves to be dead, the transport automatically
	// resends requests that it considers replayable (without a body, or with a
	// body that it can read again). Resending a scan would use up a pass twice,
	// so every request has a body that can be read only once.
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	req.ContentLength = int64(len(r.Body))
}

func sendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &NotSentError{Cause: err}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return &NotSentError{Cause: err}
	}
	return &NoAnswerError{Cause: err}
}

func (c *Client) read(resp *http.Response, id string) (Answer, error) {
	if err := checkRequestID(resp, id); err != nil {
		return Answer{}, err
	}
	// The library reads an answer without a length until the connection ends, so
	// a truncated answer would look complete.
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return Answer{}, &UnboundedError{}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if err != nil {
		return Answer{}, &NoAnswerError{Cause: err}
	}
	if int64(len(body)) > c.maxBody {
		return Answer{}, &LargeError{Most: c.maxBody}
	}
	return Answer{Status: resp.StatusCode, Header: callerHeaders(resp.Header), Body: body}, nil
}

// checkRequestID returns an error unless the answer is for the request with this id.
// The refusal of a server that is leaving carries no id. It is accepted as such
// only if it is the last answer on its connection; otherwise a late refusal
// could be taken for the answer to the next request.
func checkRequestID(resp *http.Response, id string) error {
	ids := resp.Header.Values(HeaderID)
	switch {
	case len(ids) == 1 && ids[0] == id:
		return nil
	case len(ids) == 1:
		return &CrossedError{Want: id, Got: ids[0]}
	case len(ids) == 0 && resp.StatusCode == http.StatusServiceUnavailable && resp.Close:
		return &LeavingError{}
	default:
		return &UnlabelledError{Status: resp.StatusCode, IDs: len(ids)}
	}
}

// callerHeaders returns the headers of the answer that are passed on to the caller.
func callerHeaders(h http.Header) map[string]string {
	out := map[string]string{}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Etag", "Location", "Cache-Control"} {
		if v := h.Get(name); v != "" {
			out[name] = v
		}
	}
	return out
}
