package entry

import (
	"log/slog"
	"maps"
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
	was, at, cpu := t.h.loadCounts(), t.h.now(), processorTime()
	for more := true; more; {
		more = sleep(t.ctx, loadInterval)
		is, now, used := t.h.loadCounts(), t.h.now(), processorTime()
		t.mu.Lock()
		late := t.maxTickDelay
		t.maxTickDelay = 0
		t.mu.Unlock()
		attrs := []any{"term", t.number, "for", now.Sub(at), "processor", used - cpu, "late", late, "peak-mib", peakMemory()}
		for _, name := range slices.Sorted(maps.Keys(is)) {
			if n := is[name] - was[name]; n > 0 {
				attrs = append(attrs, slog.Int64(name, n))
			}
		}
		t.h.log.Info("lead: load.", attrs...)
		was, at, cpu = is, now, used
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

// peakMemory returns the peak memory use of this process, in MiB.
func peakMemory() int64 { return usage().Maxrss >> 10 }

// usage returns the resource usage of this process; zero if the system does not report it.
func usage() syscall.Rusage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u
}
