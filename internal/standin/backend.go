package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// BackendFaults are the faults that a backend server simulates; tests set them with PUT /faults.
type BackendFaults struct {
	// Slow is added to the service time of each request.
	Slow time.Duration `json:"slow"`
	// Fail is the number of requests in each hundred that are answered with status 500.
	Fail int `json:"fail"`
	// Hole accepts requests and never answers them.
	Hole bool `json:"hole"`
	// Silent is the number of requests that are accepted and never answered. Only the
	// connections of these requests are affected.
	Silent int `json:"silent"`
	// Short is the number of answers that are sent with a truncated body.
	Short int `json:"short"`
	// Cross is the number of answers that carry the id of another request.
	Cross int `json:"cross"`
	// Lose is the number of requests that are run and whose connection is then closed without
	// an answer.
	Lose int `json:"lose"`
	// Leaving answers every request with status 503 and "Connection: close".
	Leaving bool `json:"leaving"`
}

// Headers of the protocol between hosts and backend servers.
const (
	// HeaderID carries the request id. The backend server echoes it.
	HeaderID = "Pollencroft-Request"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderCost sets the service time that the stand-in simulates for the request.
	HeaderCost = "Standin-Cost"
)

// BackendRecord counts what a backend server observed.
type BackendRecord struct {
	// Ran counts the runs by idempotency key, or by request id if the request has no key.
	Ran map[string]int `json:"ran"`
	// Most is the largest number of requests that ran at the same time.
	Most int `json:"most"`
	// Over counts the requests that arrived while all slots were in use.
	Over int `json:"over"`
	// Busy is the sum of all service times.
	Busy time.Duration `json:"busy"`
}

// Backend simulates one backend server.
type Backend struct {
	slots  int
	mu     sync.Mutex
	faults BackendFaults
	now    int
	seen   int
	record BackendRecord
}

// NewBackend returns a backend server with the given number of slots.
func NewBackend(slots int) *Backend {
	return &Backend{slots: slots, record: BackendRecord{Ran: map[string]int{}}}
}

// SetFaults replaces the active faults.
func (m *Backend) SetFaults(f BackendFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
}

// Record returns a copy of the record.
func (m *Backend) Record() BackendRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.record
	r.Ran = make(map[string]int, len(m.record.Ran))
	for k, n := range m.record.Ran {
		r.Ran[k] = n
	}
	return r
}

// Handler returns the handler for /record, /faults and, on any other path, requests.
func (m *Backend) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/faults", putFaults(m.SetFaults))
	r.Get("/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, m.Record()) })
	r.HandleFunc("/*", m.serve)
	return r
}

func (m *Backend) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, leaving := m.begin(r)
	if leaving {
		w.Header().Set("Connection", "close")
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	defer m.end()
	cost, _ := time.ParseDuration(r.Header.Get(HeaderCost))
	m.work(r.Context(), cost+f.Slow)
	m.answer(w, r, f, body)
}

func (m *Backend) begin(r *http.Request) (BackendFaults, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults
	if f.Leaving {
		return f, true
	}
	m.faults.Silent = max(0, f.Silent-1)
	m.faults.Short = max(0, f.Short-1)
	m.faults.Cross = max(0, f.Cross-1)
	m.faults.Lose = max(0, f.Lose-1)
	m.now++
	m.seen++
	m.record.Most = max(m.record.Most, m.now)
	if m.now > m.slots {
		m.record.Over++
	}
	key := r.Header.Get(HeaderKey)
	if key == "" {
		key = r.Header.Get(HeaderID)
	}
	m.record.Ran[key]++
	return f, false
}

func (m *Backend) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now--
}

func (m *Backend) work(ctx context.Context, cost time.Duration) {
	pause(ctx, cost)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.Busy += cost
}

func (m *Backend) answer(w http.ResponseWriter, r *http.Request, f BackendFaults, body []byte) {
	id := r.Header.Get(HeaderID)
	switch {
	case f.Hole, f.Silent > 0:
		<-r.Context().Done()
		return
	case f.Lose > 0:
		hangUp(w)
		return
	case f.Cross > 0:
		id += "-other"
	case f.Fail > 0 && m.shouldFail(f.Fail):
		w.Header().Set(HeaderID, id)
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	answer := fmt.Sprintf("%s %s %s %s", r.Method, r.URL.Path, id, body)
	w.Header().Set(HeaderID, id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if f.Short > 0 {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		hangUp(w)
		return
	}
	_, _ = io.WriteString(w, answer)
}

func (m *Backend) shouldFail(share int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.seen%100 < share
}
