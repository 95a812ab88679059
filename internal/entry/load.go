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

// loadInterval is how often a lead tells what it is busy with.
const loadInterval = 5 * time.Second

// loadCounterPrefixes are the counters of what a lead's processor goes to, as prefixes of their names.
var loadCounterPrefixes = []string{"start.", "stop.", "pace.", "hold.", "peer."}

// reportLoad tells every loadEvery, and at the end of the term, what the lead did and what processor
// time the process took. A lead that is short of processor answers late, is taken for gone and
// fenced off; from these lines one sees which work it was short for.
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

// loadCounts are the counters of loadParts now.
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

// processorTime is what this process has used so far.
func processorTime() time.Duration {
	u := usage()
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// peakMemory is the most memory that this process has had, in MiB.
func peakMemory() int64 { return usage().Maxrss >> 10 }

// usage is what the system tells of this process; zero if it does not.
func usage() syscall.Rusage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u
}
