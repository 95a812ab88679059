package entry

import (
	"log/slog"
	"maps"
	runtimemetrics "runtime/metrics"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// loadInterval is how often a leader logs its workload.
const loadInterval = 5 * time.Second

// loadCounterPrefixes are the name prefixes of the counters that show what a leader spends CPU
// time on.
var loadCounterPrefixes = []string{"start.", "stop.", "pace.", "hold.", "peer.", "orders."}

// reportLoad logs, every loadInterval and at the end of the term, what the leader did and how
// much CPU time the process used. A leader that is short of CPU time answers late, is taken for
// dead and is fenced off; these lines show which work used the CPU time.
func (t *term) reportLoad() {
	was, at, cpu, gc := t.h.loadCounts(), t.h.now(), processorTime(), collectorTime()
	for more := true; more; {
		more = sleep(t.ctx, loadInterval)
		is, now, used, collected := t.h.loadCounts(), t.h.now(), processorTime(), collectorTime()
		t.mu.Lock()
		late := t.maxTickDelay
		t.maxTickDelay = 0
		t.mu.Unlock()
		attrs := []any{"term", t.number, "for", now.Sub(at), "processor", used - cpu, "collector", collected - gc, "late", late, "peak-mib", peakMemory()}
		for _, a := range t.dispatcher.TakeDelays() {
			attrs = append(attrs, a)
		}
		for _, name := range slices.Sorted(maps.Keys(is)) {
			if n := is[name] - was[name]; n > 0 {
				attrs = append(attrs, slog.Int64(name, n))
			}
		}
		t.h.log.Info("lead: load.", attrs...)
		was, at, cpu, gc = is, now, used, collected
	}
}

// loadCounts returns the current values of the counters in loadCounterPrefixes.
func (h *Host) loadCounts() map[string]int64 {
	all := map[string]int64{}
	h.metrics.Each(func(name string, m any) {
		c, ok := m.(metrics.Counter)
		if ok && slices.ContainsFunc(loadCounterPrefixes, func(p string) bool { return strings.HasPrefix(name, p) }) {
			all[name] = c.Count()
		}
	})
	return all
}

// processorTime returns the CPU time that this process has used so far.
func processorTime() time.Duration {
	u := usage()
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// collectorTime returns the CPU time that the garbage collector has used so far, in the runtime's own
// estimate.
func collectorTime() time.Duration {
	s := []runtimemetrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}}
	runtimemetrics.Read(s)
	if s[0].Value.Kind() != runtimemetrics.KindFloat64 {
		return 0
	}
	return time.Duration(s[0].Value.Float64() * float64(time.Second))
}

// peakMemory returns the peak memory use of this process, in MiB.
func peakMemory() int64 { return usage().Maxrss >> 10 }

// usage returns the resource usage of this process; zero if the system does not report it.
func usage() syscall.Rusage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u
}
