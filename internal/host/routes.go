package host

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/call"
	"pollencroft/internal/caller"
	"pollencroft/internal/cell"
	"pollencroft/internal/member"
	"pollencroft/internal/operator"
	"pollencroft/internal/outlier"
	"pollencroft/internal/peer"
)

func (h *Host) callerRoutes() http.Handler {
	r := chi.NewRouter()
	h.health(r)
	r.Group(func(r chi.Router) {
		r.Use(h.admit)
		caller.New(caller.Deps{
			Row: h.Row, Do: h.doIfServed, Submit: h.submitIfServed, Job: h.jobStatus, Cancel: h.cancelJob, Trail: h.explain,
			MaxBody: h.cfg.Limits.Body, MaxWait: h.cfg.Limits.Deadline, Clock: h.clock,
		}).Routes(r)
	})
	return h.countRequests(r)
}

// refusalReason returns why this failure domain does not accept a row's work, or an empty string
// if it does. A row that is confined to some failure domains may need resources that only they
// have.
func (h *Host) refusalReason(name string) string {
	row, _ := h.Row(name)
	if row.Serves(h.cfg.Domain) {
		return ""
	}
	return "row " + name + " runs only in " + strings.Join(row.Domains, ", ")
}

func (h *Host) doIfServed(ctx context.Context, req call.Request) call.Reply {
	if reason := h.refusalReason(req.Row); reason != "" {
		return call.Refuse(http.StatusMisdirectedRequest, reason, 0)
	}
	return h.relay.Do(ctx, req)
}

func (h *Host) submitIfServed(ctx context.Context, j caller.Job) peer.JobReply {
	if reason := h.refusalReason(j.Row); reason != "" {
		return peer.RefuseJob(http.StatusMisdirectedRequest, reason)
	}
	return h.submit(ctx, j)
}

func (h *Host) operatorRoutes() http.Handler {
	r := chi.NewRouter()
	h.health(r)
	r.Group(func(r chi.Router) {
		operator.New(operator.Deps{
			Token: h.cfg.Operator.Token, Table: operatorTable{h}, Status: h.tableStatus,
			Hosts: func() any { return h.hostsView() }, Workers: func() any { return h.leader.Held() },
			Trail: h.explain, Drain: h.stopInBackground,
		}).Routes(r)
	})
	return r
}

func (h *Host) health(r chi.Router) {
	r.Get("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(h.metrics, w)
	})
}

// countRequests keeps a counter for each outcome and the durations of all requests.
func (h *Host) countRequests(next http.Handler) http.Handler {
	times := metrics.GetOrRegisterTimer("caller.time", h.metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := h.clock()
		next.ServeHTTP(w, r)
		times.Update(h.clock().Sub(began))
		if o := w.Header().Get(caller.HeaderOutcome); o != "" {
			metrics.GetOrRegisterCounter("caller."+o, h.metrics).Inc(1)
		}
	})
}

type hostView struct {
	// Slots is how many slots of each backend server this host may use. Awaited lists the hosts
	// that have not freed their part of this host's slots yet.
	Slots   map[string]int `json:"slots,omitempty"`
	Awaited []string       `json:"awaited,omitempty"`
	// Aside lists the backend servers that are quarantined and get less than their slots.
	Aside map[string]outlier.State `json:"aside,omitempty"`
	Self  string                   `json:"self"`
	Live  []string                 `json:"live"`
	Next  int64                    `json:"next"`
	Seen  []member.Heartbeat       `json:"seen"`
}

func (h *Host) hostsView() hostView {
	aside := h.relay.Quarantined()
	h.mu.Lock()
	defer h.mu.Unlock()
	v := hostView{
		Self: h.cfg.Name, Live: h.members.Live(), Next: h.table.NextOffset(), Seen: h.members.Heartbeats(),
		Slots: map[string]int{}, Awaited: h.shares.AwaitedHosts(), Aside: aside,
	}
	for _, m := range h.machines {
		if m.Kind == cell.BackendHost && m.Domain == h.cfg.Domain {
			v.Slots[m.Name] = h.shares.UsableSlots(m.Name, m.Slots)
		}
	}
	return v
}

// tableStatus lists the table offset of each host, this host first.
func (h *Host) tableStatus() operator.TableStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := operator.TableStatus{Unknown: len(h.table.SkippedRecords())}
	s.Hosts = append(s.Hosts, operator.HostTable{Host: h.cfg.Name, Domain: h.cfg.Domain, Next: h.table.NextOffset(), Mark: uint32(h.table.Fingerprint()), Heard: h.clock()})
	for _, b := range h.members.Heartbeats() {
		s.Hosts = append(s.Hosts, operator.HostTable{Host: b.Name, Domain: b.Domain, Next: b.Next, Mark: b.Digest, Heard: b.ReceivedAt})
	}
	return s
}
