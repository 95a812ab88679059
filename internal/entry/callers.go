package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/access"
	"pollencroft/internal/admission"
	"pollencroft/internal/flow"
	"pollencroft/internal/store"
	"pollencroft/platform"
)

const (
	// deadlineHeader is the request header that says how long the caller waits, in milliseconds.
	deadlineHeader = "X-Deadline-Ms"
	// defaultDeadline applies to callers that send no deadline.
	defaultDeadline = 3 * time.Second
	// maxDeadlineMs bounds how long a request may be served, in milliseconds.
	maxDeadlineMs = 60_000
	// replyMargin is the part of the deadline that is reserved for sending the reply.
	replyMargin = 150 * time.Millisecond
	// defaultMaxBody limits the request body until the table sets a limit.
	defaultMaxBody = 256 << 10
)

func (h *Host) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.HandleFunc("/*", h.serveCaller)
	return r
}

func (h *Host) serveCaller(w http.ResponseWriter, r *http.Request) {
	if h.isLeaving() {
		// A caller that keeps its connection would lose its next request when this host exits.
		w.Header()["Connection"] = []string{"close"}
	}
	h.mu.Lock()
	t := h.table
	h.mu.Unlock()
	if t == nil {
		h.refuse(w, http.StatusServiceUnavailable, "", "no table yet")
		return
	}
	route, id, ok := t.Find(r.Host, r.URL.Path)
	if !ok {
		h.refuseUnknownQueue(w, t)
		return
	}
	organisation, ok := h.organisationOf(w, r, t, route)
	if !ok {
		return
	}
	q := route.Queue
	w = &requestWriter{ResponseWriter: w, method: cut(r.Method), queue: q.Name, organisation: organisation}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
	defer cancel()
	began := h.now()
	defer func() {
		if r.Context().Err() != nil {
			h.incCounter("caller.left")
			h.log.Info("caller: disconnected before the reply.", "id", cut(id), "method", cut(r.Method), "after", h.now().Sub(began), "deadline", deadline(r))
		}
	}()
	switch {
	case id == "" && r.Method == http.MethodGet:
		h.servePending(ctx, w, q)
	case !platform.IsJobID(id):
		h.refuse(w, http.StatusNotFound, id, "no job's id")
	case r.Method == http.MethodPost:
		h.submit(ctx, w, r, t, q, requestKey{id: id, organisation: organisation})
	case r.Method == http.MethodGet:
		h.serveState(ctx, w, id, organisation)
	case r.Method == http.MethodDelete:
		h.cancelJob(ctx, w, requestKey{id: id, organisation: organisation, cancels: true})
	default:
		h.refuse(w, http.StatusMethodNotAllowed, id, r.Method)
	}
}

// refuseUnknownQueue answers a request for which the table has no route. A host that could not read
// the table lately may lack a new one.
func (h *Host) refuseUnknownQueue(w http.ResponseWriter, t *platform.Table) {
	if age := h.tableAge(); age > provenAbsentAge {
		h.log.Info("caller: table may be out of date.", "table", t.Version, "age", age)
		h.refuse(w, http.StatusServiceUnavailable, "", "no such queue in a table that may be out of date")
		return
	}
	h.refuse(w, http.StatusNotFound, "", "no such queue")
}

// maxPendingAge is how old a reported number of pending jobs may be.
const maxPendingAge = 1800 * time.Millisecond

// servePending answers with the number of waiting jobs of a queue. A number that is too old is
// refreshed and never reported: its reader would believe that work has begun that is still
// waiting.
func (h *Host) servePending(ctx context.Context, w http.ResponseWriter, q flow.Queue) {
	if n, ok := h.cachedPending(q); ok {
		reply(w, http.StatusOK, platform.PendingBody(n))
		return
	}
	h.refreshPending(ctx)
	if n, ok := h.cachedPending(q); ok {
		reply(w, http.StatusOK, platform.PendingBody(n))
		return
	}
	h.refuse(w, http.StatusServiceUnavailable, q.Name, "no lead answers")
}

func (h *Host) cachedPending(q flow.Queue) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pending[q.Name], h.now().Sub(h.pendingAt) < maxPendingAge
}

func deadline(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(deadlineHeader))
	if err != nil || ms <= 0 {
		return defaultDeadline - replyMargin
	}
	return max(time.Duration(min(ms, maxDeadlineMs))*time.Millisecond-replyMargin, replyMargin)
}

func reply(w http.ResponseWriter, code int, body []byte) {
	w.Header()["Content-Type"] = []string{"application/json"}
	w.Header()["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(code)
	// If the caller has gone, the error does not matter.
	_, _ = w.Write(body)
}

// refuse answers with the reason and, if a retry makes sense, with Retry-After.
func (h *Host) refuse(w http.ResponseWriter, code int, id, reason string) {
	after := time.Duration(0)
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		after = admission.MinRetry
	}
	h.refuseFor(w, code, id, reason, after)
}

// maxShown is how many bytes of what a caller sent appear in an answer or a log line.
const maxShown = 200

// cut returns the beginning of a text.
func cut(s string) string {
	if len(s) <= maxShown {
		return s
	}
	return strings.ToValidUTF8(s[:maxShown], "") + "…"
}

// refuseFor answers with the reason and when to retry; zero means that a retry makes no sense.
func (h *Host) refuseFor(w http.ResponseWriter, code int, id, reason string, after time.Duration, attrs ...any) {
	h.incCounter("caller.refused." + strconv.Itoa(code))
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(after.Seconds())))
	}
	id, reason = cut(id), cut(reason)
	line := append([]any{"id", id, "code", code, "reason", reason}, requestAttrs(w)...)
	h.log.Info("caller: refused.", append(line, attrs...)...)
	b, err := json.Marshal(map[string]string{"error": reason})
	if err != nil {
		h.log.Error("caller: reason cannot be encoded.", "err", err)
	}
	reply(w, code, b)
}

// submit stores a job. It reports a refusal only if the store certainly did nothing.
func (h *Host) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, t *platform.Table, q flow.Queue, k requestKey) {
	id := k.id
	spec, err := h.bodies.read(ctx, r, h.maxBody(), id, q)
	if err != nil {
		h.refuseBody(w, k, err)
		return
	}
	spec.Organisation = k.organisation
	if h.ownedByOther(id, k.organisation) {
		h.refuse(w, http.StatusConflict, id, "the id is taken")
		return
	}
	if err := checkQuota(t, spec); err != nil {
		h.refuse(w, http.StatusUnprocessableEntity, id, err.Error())
		return
	}
	if err := h.checkLoad(ctx, k, spec); err != nil {
		h.refuseOverload(w, id, err)
		return
	}
	b, err := spec.Encode()
	if err != nil {
		h.refuse(w, http.StatusBadRequest, id, err.Error())
		return
	}
	record := store.Record{Key: k.String(), Value: b}
	if !store.Fits(record) {
		h.refuse(w, http.StatusRequestEntityTooLarge, id, "job is too large to be stored")
		return
	}
	began := h.now()
	err = h.inbox.append(ctx, record)
	h.observe("caller.store", h.now().Sub(began))
	switch {
	case err == nil:
		h.incCounter("caller.accepted")
		h.noteStored(k)
		h.log.Info("caller: accepted.", "id", id, "queue", q.Name, "organisation", k.organisation)
		reply(w, http.StatusOK, []byte("{}"))
	case store.NotDone(err):
		h.refuseUnstored(w, id, err)
	default:
		h.refuseUnsure(w, id, err)
	}
}

func (h *Host) maxBody() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table != nil && h.table.MaxBody > 0 {
		return h.table.MaxBody
	}
	return defaultMaxBody
}

// noteStored notes that a submission is stored, also if its caller has left.
func (h *Host) noteStored(k requestKey) {
	h.mu.Lock()
	h.accepted[k.id] = acceptance{at: h.now(), organisation: k.organisation}
	h.mu.Unlock()
}

// acceptedRecently reports whether this host stored the job recently.
func (h *Host) acceptedRecently(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.accepted[id]
	return ok
}

// serveState answers with a job's state. A job of another organisation is reported as unknown, so
// that nobody learns that it exists.
func (h *Host) serveState(ctx context.Context, w http.ResponseWriter, id, organisation string) {
	began := h.now()
	if h.ownedByOther(id, organisation) {
		h.refuse(w, http.StatusGone, id, "no such job")
		return
	}
	st, known, err := h.statusOf(ctx, id)
	if err == nil && known {
		h.log.Info("caller: state reported.", "id", id, "state", st.State, "term", h.currentTerm(), "took", h.now().Sub(began))
	}
	switch {
	case err == nil && known && !access.Owns(organisation, st.Organisation):
		h.refuse(w, http.StatusGone, id, "no such job")
	case err == nil && !known && h.acceptedRecently(id):
		// The leader does not know the job yet, so none of its tasks has started.
		reply(w, http.StatusOK, platform.StateBody(flow.Queued))
	case err != nil:
		h.refuse(w, http.StatusServiceUnavailable, id, err.Error())
	case !known && h.submissionUnsure(requestKey{id: id, organisation: organisation}):
		h.refuse(w, http.StatusServiceUnavailable, id, "not known yet whether the job is stored")
	case !known:
		h.refuse(w, http.StatusGone, id, "no such job")
	default:
		reply(w, http.StatusOK, platform.StateBody(st.State))
	}
}

// readyFreshness is how long ago the store may have answered a host that is ready. The store is
// called at least every joinInterval. The load balancer needs two more seconds until the callers
// of a failure domain that is cut off are served elsewhere.
const readyFreshness = time.Second

// ready reports whether this host serves callers. A host without a route to the store cannot
// accept jobs, so its callers are better served by another host.
func (h *Host) ready() bool {
	h.mu.Lock()
	table, leaving, leader, was := h.table != nil, h.leaving, h.leader, h.wasReady
	served := h.store.AnsweredWithin(readyFreshness)
	is := table && !leaving && leader != "" && served
	h.wasReady = is
	h.mu.Unlock()
	if is != was {
		h.log.Info("entry: readiness changes.", "ready", is, "table", table, "leaving", leaving, "lead", leader, "store", served)
	}
	return is
}

func (h *Host) readyHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/*", func(w http.ResponseWriter, _ *http.Request) {
		if h.ready() {
			reply(w, http.StatusOK, []byte("{}"))
			return
		}
		reply(w, http.StatusServiceUnavailable, []byte("{}"))
	})
	return r
}

func (h *Host) metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		h.countOmittedLines()
		metrics.WriteOnce(h.metrics, w)
	})
	return r
}
