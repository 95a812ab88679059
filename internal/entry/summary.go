package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/logs"
	"pollencroft/internal/sched"
)

// requestWriter is the response of a caller's request, with what the log line of a rejection says
// about the request.
type requestWriter struct {
	http.ResponseWriter
	method, queue, organisation string
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *requestWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// requestAttrs returns the log attributes of the request that w answers. Requests that were rejected
// before their queue and organisation were known have none.
func requestAttrs(w http.ResponseWriter) []any {
	r, ok := w.(*requestWriter)
	if !ok {
		return nil
	}
	return []any{"method", r.method, "queue", r.queue, "organisation", r.organisation, "retry", w.Header().Get("Retry-After")}
}

// note logs a decision of the scheduler core.
func (t *term) note(a sched.Note) {
	attrs := []any{"id", a.ID, "worker", a.Worker, "run", a.Run, "term", t.number, "detail", a.Detail}
	if a.Queue != "" {
		attrs = append(attrs, "queue", a.Queue, "organisation", a.Organisation)
	}
	if a.Reason != "" {
		attrs = append(attrs, "reason", a.Reason)
	}
	if a.Silent > 0 {
		attrs = append(attrs, "silent", a.Silent)
	}
	if a.Left > 0 {
		attrs = append(attrs, "left", a.Left)
	}
	switch a.What {
	case "stop":
		t.h.incCounter("run.stopped")
	case "run began in the next incarnation":
		t.h.incCounter("run.carried")
	}
	t.h.log.Info("sched: "+a.What+".", attrs...)
}

// observeRestart counts how long nothing of a task ran, and logs it for long-running tasks: they are
// to run all the time.
func (t *term) observeRestart(a sched.Restarted) {
	t.h.observe("run.restart.held", a.Held)
	t.h.observe("run.restart.waited", a.Waited)
	if !a.LongRunning {
		return
	}
	t.h.observe("run.restart.lasting", a.Held+a.Waited)
	t.h.log.Info("sched: task runs again.", "id", a.Task.String(), "worker", a.Worker, "run", a.Run, "term", t.number, "held", a.Held, "waited", a.Waited)
}

// logEnded logs and counts a final state. A record that is stored again is not counted again.
func (t *term) logEnded(a sched.JobEnded) {
	attrs := []any{
		"id", a.ID, "term", t.number, "detail", a.State, "queue", a.Queue, "organisation", a.Organisation, "rank", a.Rank,
		"took", a.Took, "objective", a.Objective,
	}
	for r, d := range a.Waits {
		if d > 0 {
			attrs = append(attrs, "wait-"+sched.WaitReason(r).String(), d)
		}
	}
	attrs = append(attrs, "phase-store", a.Phases.Store, "phase-order", a.Phases.Order, "phase-run", a.Phases.Run)
	t.h.log.Info("sched: ended.", attrs...)
	if a.Repeated {
		return
	}
	t.h.incCounter("job.ended." + string(a.State))
	if a.Late() {
		t.h.incCounter(fmt.Sprintf("job.late.rank%d", a.Rank))
	}
}

// noteLoad logs a load summary and publishes it as gauges.
func (t *term) noteLoad(a sched.LoadSummary) {
	t.h.log.Info("sched: load.", "term", t.number, "waiting", a.Waiting, "used", a.UsedCPU, "free", a.FreeCPU, "queries", a.Queries)
	values := map[string]int64{"load.cpu.used": a.UsedCPU, "load.cpu.free": a.FreeCPU, "load.queries": int64(a.Queries)}
	for _, w := range a.Waiting {
		values[fmt.Sprintf("load.steps.rank%d.%s", w.Rank, w.Reason)] = int64(w.Steps)
		values[fmt.Sprintf("load.cpu.rank%d.%s", w.Rank, w.Reason)] = w.CPU
	}
	t.h.loadGauges.set(t.ctx, values)
}

// countOmittedLines brings the counter of log lines that were left out up to date.
func (h *Host) countOmittedLines() {
	if l, ok := h.log.Handler().(*logs.Handler); ok {
		c := metrics.GetOrRegisterCounter("log.omitted", h.metrics)
		c.Inc(l.Omitted() - c.Count())
	}
}

// loadGauges are gauges of which each summary sets some. The others become zero: what was waiting
// once must not be shown forever.
type loadGauges struct {
	registry metrics.Registry

	mu    sync.Mutex
	names map[string]bool
}

// set sets the gauges, unless the context of their term has ended.
func (g *loadGauges) set(ctx context.Context, values map[string]int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	if g.names == nil {
		g.names = map[string]bool{}
	}
	for name := range values {
		g.names[name] = true
	}
	for name := range g.names {
		metrics.GetOrRegisterGauge(name, g.registry).Update(values[name])
	}
}

// clear sets all gauges to zero. The context of their term has ended before that.
func (g *loadGauges) clear() { g.set(context.Background(), nil) }
