package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"pollencroft/internal/platform"
)

// maxRecord is the maximum size of a log record in bytes; the real service has the same limit.
const maxRecord = 256 << 10

// PlatformFaults are the faults that the platform simulates; tests set them with PUT /faults.
type PlatformFaults struct {
	// Down answers every request with status 503.
	Down bool `json:"down"`
	// Slow delays each answer.
	Slow time.Duration `json:"slow"`
	// LoseAnswers is the number of appends that are written and whose connection is then closed
	// without an answer.
	LoseAnswers int `json:"lose"`
	// Retain is the number of newest records to keep in each stream; zero keeps all.
	Retain int `json:"retain"`
	// FreezeHosts keeps serving the host list as it was when this fault was switched on.
	FreezeHosts bool `json:"freeze"`
	// Deaf answers reads of the log, and only these, with status 503.
	Deaf bool `json:"deaf"`
	// Hole is the offset of a record that is left out of every page.
	Hole int64 `json:"hole"`
	// Stale is an offset before which the log appears to end; zero shows the whole log.
	Stale int64 `json:"stale"`
}

type stream struct {
	first   int64
	records [][]byte
	grown   chan struct{}
}

// Platform simulates the platform's log service and host list.
type Platform struct {
	mu      sync.Mutex
	streams map[string]*stream
	hosts   []platform.HostEntry
	frozen  []platform.HostEntry
	faults  PlatformFaults
	appends int64
}

// NewPlatform returns a platform with an empty log and an empty host list.
func NewPlatform() *Platform { return &Platform{streams: map[string]*stream{}} }

// SetHosts replaces the host list.
func (p *Platform) SetHosts(all []platform.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(all)
}

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.FreezeHosts && !p.faults.FreezeHosts {
		p.frozen = slices.Clone(p.hosts)
	}
	p.faults = f
}

// Appends returns the number of records written so far.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.appends
}

// Handler returns the handler for the log, the host list and the faults.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/faults", putFaults(p.SetFaults))
	r.Group(func(r chi.Router) {
		r.Use(p.applyFaults)
		r.Post("/log/{stream}", p.append)
		r.Get("/log/{stream}", p.read)
		r.Get("/hosts", p.list)
		r.Put("/hosts", p.putHosts)
	})
	return r
}

func putFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		set(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		if f.Slow > 0 {
			pause(r.Context(), f.Slow)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{first: 1, grown: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	s := p.stream(chi.URLParam(r, "stream"))
	s.records = append(s.records, body)
	offset := s.first + int64(len(s.records)) - 1
	s.trim(p.faults.Retain)
	close(s.grown)
	s.grown = make(chan struct{})
	p.appends++
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		hangUp(w)
		return
	}
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset})
}

func (s *stream) trim(retain int) {
	if over := len(s.records) - retain; retain > 0 && over > 0 {
		s.records = slices.Clone(s.records[over:])
		s.first += int64(over)
	}
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil || from < 1 {
		http.Error(w, "from must be an offset", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	deaf := p.faults.Deaf
	p.mu.Unlock()
	if deaf {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	page, grown := p.page(chi.URLParam(r, "stream"), from)
	if len(page.Entries) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-r.Context().Done():
		case <-time.After(wait):
		}
		page, _ = p.page(chi.URLParam(r, "stream"), from)
	}
	status := http.StatusOK
	if from < page.Oldest {
		status = http.StatusGone
	}
	writeJSON(w, status, page)
}

// pageRecords is the maximum number of records in one answer.
const pageRecords = 512

func (p *Platform) page(name string, from int64) (platform.Page, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page := platform.Page{Entries: []platform.Entry{}, Oldest: s.first, Next: s.first + int64(len(s.records))}
	if p.faults.Stale > 0 {
		page.Next = min(page.Next, p.faults.Stale)
	}
	if from < s.first {
		return page, s.grown
	}
	for o := from; o < page.Next && len(page.Entries) < pageRecords; o++ {
		if o != p.faults.Hole {
			page.Entries = append(page.Entries, platform.Entry{Offset: o, Body: s.records[o-s.first]})
		}
	}
	return page, s.grown
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	all := p.hosts
	if p.faults.FreezeHosts {
		all = p.frozen
	}
	p.mu.Unlock()
	text, err := json.Marshal(all)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(text), 36))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (p *Platform) putHosts(w http.ResponseWriter, r *http.Request) {
	var all []platform.HostEntry
	if err := json.NewDecoder(r.Body).Decode(&all); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(all)
	w.WriteHeader(http.StatusNoContent)
}
