package entry_test

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/report"
)

// Guards against log lines that the report of operators cannot read any more: it is made from the
// hosts' lines as they write them.
func TestReportReadsTheLinesOfHosts(t *testing.T) {
	c := &cluster{t: t, jsonLogs: &logBuffer{}}
	c.startAll(2, 3, 50*time.Millisecond)
	for n := range 4 {
		require.Equal(t, http.StatusOK, c.submit(c.follower(), n).code)
	}
	bad := c.call(c.follower().cfg.Listen.Caller, http.MethodPost, prefix+jobID(9), "{")
	require.Equal(t, http.StatusBadRequest, bad.code)
	c.waitCompleted(c.follower(), 4)
	leader := c.leader()
	r, err := report.Read(strings.NewReader(c.jsonLogs.String()), report.Options{Window: time.Hour * 24 * 365, By: report.Dimensions, Jobs: 10})
	require.NoError(t, err)
	var b strings.Builder
	require.NoError(t, r.Write(&b))
	require.Regexp(t, `(?m)^\S+ +scan +- +zone0 +4 +1 +0 +4 +0 +`, b.String())
	require.Regexp(t, `(?m)^\S+ +scan +- +zone0 +400 +job cannot be read +- +1 `, b.String())
	require.Contains(t, b.String(), "Leader (mean; processors)")
	require.NotContains(t, b.String(), "!")

	_, text := c.get(leader.cfg.Listen.Metrics, "/metrics")
	require.Regexp(t, `counter job.ended.completed\n +count: +4\n`, text)
	// An idle leader writes one last summary.
	idle := regexp.MustCompile(`gauge load.cpu.used\n +value: +0\n`)
	require.Eventually(t, func() bool {
		_, text = c.get(leader.cfg.Listen.Metrics, "/metrics")
		return idle.MatchString(text)
	}, waitTimeout, 20*time.Millisecond, text)
}
