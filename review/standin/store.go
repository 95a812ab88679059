package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"pollencroft/internal/standin/users"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// fault is what the store does with a call.
type fault int

const (
	// served means that the call is carried out and answered.
	served fault = iota
	// busy means that the call is refused with 503, and nothing is done.
	busy
	// silent means that nothing is done and nothing answered.
	silent
	// lost means that the call is carried out and not answered.
	lost
)

// front serves the project's stand-in of the platform's log to one host, with the faults of a case.
type front struct {
	host   string
	log    http.Handler
	rec    *record
	server *httptest.Server
	rule   *rule
}

// ruling decides about one call.
type ruling func(r *http.Request, body []byte) fault

// rule is the ruling in force; nil means that all calls are served.
type rule struct {
	mu sync.Mutex
	of ruling
}

func (u *rule) set(of ruling) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.of = of
}

func (u *rule) decide(r *http.Request, body []byte) fault {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.of == nil {
		return served
	}
	return u.of(r, body)
}

func newFront(host string, log *users.Log, rec *record, u *rule) *front {
	f := &front{host: host, log: log.Handler(func(*http.Request) string { return host }), rec: rec, rule: u}
	f.server = httptest.NewServer(f)
	return f
}

func (f *front) addr() string { return strings.TrimPrefix(f.server.URL, "http://") }

func (f *front) close() {
	f.server.CloseClientConnections()
	f.server.Close()
}

func isAppend(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/log-append") }

func isTopic(r *http.Request, name string) bool { return r.URL.Query().Get("topic") == "keyed."+name }

// ServeHTTP serves one call.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	does := f.rule.decide(r, body)
	if isAppend(r) && does != served {
		f.rec.add("store: append of %s to %s/%s is %s", f.host, r.URL.Query().Get("topic"), r.URL.Query().Get("part"), does)
	}
	switch does {
	case served:
		f.serve(w, r, body)
		return
	case busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case lost:
		f.carryOut(r, body)
	case silent:
	}
	leaveOpen(r)
}

// leaveOpen returns nothing on a channel until the caller gives it up.
func leaveOpen(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// serve carries a call out and answers it, unless the store has stopped answering meanwhile.
func (f *front) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	time.Sleep(answerTime)
	r.Body = io.NopCloser(bytes.NewReader(body))
	got := httptest.NewRecorder()
	f.log.ServeHTTP(got, r)
	if !isAppend(r) {
		if f.rule.decide(r, body) == silent {
			leaveOpen(r)
		}
	}
	for k, v := range got.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(got.Code)
	_, _ = w.Write(got.Body.Bytes())
}

// carryOut carries out a call whose answer nobody receives.
func (f *front) carryOut(r *http.Request, body []byte) {
	again, err := http.NewRequestWithContext(context.Background(), r.Method, r.URL.String(), bytes.NewReader(body))
	if err != nil {
		return
	}
	got := httptest.NewRecorder()
	f.log.ServeHTTP(got, again)
	f.rec.add("store: call of %s, %s %s, carried out without an answer: %d", f.host, r.URL.Path, r.URL.Query().Get("topic"), got.Code)
}

func (d fault) String() string {
	return [...]string{"served", "refused with 503", "left alone", "carried out, not answered"}[d]
}
