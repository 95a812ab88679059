package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a worker that restarts under its ID and is taken for the one before: ends that are
// never read, runs that are waited for until their leases have lapsed, and orders that name more than
// the ID. Orders also go through agents. Guards against orders to the former incarnation that the next
// one does not refuse because their fencing token is not lower, under one leader and after it was killed.
func TestWorkersRestartUnderTheirIDs(t *testing.T) {
	for _, workersPerCore := range []float64{0, 0.5} {
		t.Run(fmt.Sprint(workersPerCore), func(t *testing.T) {
			c := startCluster(t, 3, 3, 600*time.Millisecond, workersPerCore)
			put := func(i int) {
				w := c.workers[i]
				c.log.Put("servers", w.ID, w.Entry("pass", fmt.Sprintf("zone%d", i)))
			}
			for i, w := range c.workers {
				w.ReportBorn()
				put(i)
			}
			h := c.leader()
			for round := range 3 {
				require.Equal(t, http.StatusOK, c.submit(h, 2*round).code)
				c.waitCompleted(h, 2*round+1)
				require.Equal(t, http.StatusOK, c.submit(h, 2*round+1).code)
				require.Eventually(t, func() bool { return c.workers[0].Running()+c.workers[1].Running()+c.workers[2].Running() > 0 }, waitTimeout, 5*time.Millisecond)
				former := make([]int64, len(c.workers))
				for i, w := range c.workers {
					former[i] = w.Fence()
					w.Restart()
					if i > 0 {
						put(i)
					}
				}
				// The list names the former incarnation of one worker for a while.
				time.Sleep(700 * time.Millisecond)
				put(0)
				c.waitCompleted(h, 2*round+2)
				for i, w := range c.workers {
					require.Eventually(t, func() bool { return w.Fence() > former[i] }, waitTimeout, 5*time.Millisecond, "worker %d", i)
				}
			}
			raised := c.workers[0].Fence()
			h.Kill()
			c.start(h.cfg.Name)
			c.waitReady()
			require.Eventually(t, func() bool { return c.workers[0].Fence() > raised }, waitTimeout, 5*time.Millisecond)
			require.Contains(t, c.logs.String(), "worker restarted under its id")
			require.Empty(t, c.checker.Violations())
		})
	}
}

// Guards against an entry of a former incarnation, or of a writer that does not know the start of the
// worker, that takes the place of the worker's own, and against a log line for each time it is read.
func TestEntriesThatMustNotReplaceAWorkersOwn(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	w, h := c.workers[0], c.leader()
	// The leader's first read would skip entries that are replaced before it.
	require.Eventually(t, func() bool { return strings.Contains(c.logs.String(), "worker listed") }, waitTimeout, 5*time.Millisecond, c.logs)
	plain := w.Entry("pass", "zone0")
	w.ReportBorn()
	own := w.Entry("pass", "zone0")
	c.log.Put("servers", w.ID, own)
	for _, former := range []string{strings.Replace(string(own), `"born":1`, `"born":`, 1), string(plain)} {
		c.log.Put("servers", w.ID, []byte(former))
		c.log.Put("servers", "other", []byte(former[:len(former)-1]))
	}
	require.Eventually(t, func() bool { return strings.Count(c.logs.String(), "entry passed over") == 4 }, waitTimeout, 20*time.Millisecond, c.logs)
	c.log.Put("servers", w.ID, own)
	require.Equal(t, http.StatusOK, c.submit(h, 0).code)
	c.waitCompleted(h, 1)
	require.Equal(t, 4, strings.Count(c.logs.String(), "entry passed over"))
	require.Empty(t, c.checker.Violations())
}

// Guards against a leader whose orders workers refuse, or whose predecessor's orders they do not refuse,
// since that one has raised its fencing token after the number of the new term was chosen.
func TestFirstTokenOfATermIsGreaterThanThoseOfFormerLeaders(t *testing.T) {
	c := newCluster(t, 1, 1, 50*time.Millisecond)
	number, token := c.leader().FenceBehind(t, 5)
	require.Equal(t, number+5, token)
}
