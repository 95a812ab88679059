package host_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/host"
	"pollencroft/internal/operator"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

var local = netip.MustParseAddrPort("127.0.0.1:0")

// testHosts is a simulated platform and some entry hosts in one process.
type testHosts struct {
	t        *testing.T
	platform *standin.Platform
	addr     netip.AddrPort
	settings []settings.Settings
	sockets  []host.Listeners
	hosts    []*host.Host
}

// newTestHosts opens the sockets of n hosts that know each other and starts none of them.
func newTestHosts(t *testing.T, n int) *testHosts {
	c := &testHosts{t: t, platform: standin.NewPlatform(), hosts: make([]*host.Host, n)}
	srv := httptest.NewServer(c.platform.Handler())
	t.Cleanup(srv.Close)
	c.addr = netip.MustParseAddrPort(srv.Listener.Addr().String())
	for i := range n {
		ls, err := host.Listen(settings.Listen{Caller: local, Operator: local, Peer: local})
		require.NoError(t, err)
		c.sockets = append(c.sockets, ls)
		c.settings = append(c.settings, settings.Settings{
			Name: fmt.Sprint("nord-", i), Domain: "nord", Platform: c.addr, Operator: settings.Operator{Token: "secret"},
			Limits: settings.Limits{Body: 1 << 20, Queue: 64, Deadline: time.Minute, DrainTimeout: testTimeout},
		})
	}
	for i := range c.settings {
		for j := range c.settings {
			if i != j {
				c.settings[i].Peers = append(c.settings[i].Peers, settings.Peer{Name: c.settings[j].Name, Domain: "nord", Address: addrOf(c.sockets[j].Peer)})
			}
		}
	}
	return c
}

func addrOf(ln net.Listener) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }

func (c *testHosts) startHost(i int) *host.Host {
	h := host.New(c.settings[i], slog.New(slog.DiscardHandler), time.Now)
	require.NoError(c.t, h.LoadKeys())
	h.Start(c.sockets[i])
	c.t.Cleanup(h.Kill)
	c.hosts[i] = h
	return h
}

func (c *testHosts) operator(i int) *client.Client {
	return client.New(addrOf(c.sockets[i].Operator), "secret", nil)
}

func (c *testHosts) setRow(i int, row string, fields map[string]any) error {
	return c.operator(i).SetRow(context.Background(), row, "", fields)
}

func (c *testHosts) waitFor(what string, f func() bool) {
	c.t.Helper()
	require.Eventually(c.t, f, testTimeout, 10*time.Millisecond, what)
}

func (c *testHosts) waitReady(i int) { c.t.Helper(); c.waitFor("ready", c.hosts[i].Ready) }

func (c *testHosts) weight(i int, row string) int64 {
	r, _ := c.hosts[i].Row(row)
	return r.Weight
}

// The log writes an edit and its answer is lost. The operator must get the verdict on the
// record. Otherwise an edit that is in force would be reported as failed.
func TestLostAppendAnswerIsSettledByTheRecord(t *testing.T) {
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	c.platform.SetFaults(standin.PlatformFaults{LoseAnswers: 1})
	require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": 7}))
	require.Equal(t, int64(7), c.weight(0, "scan"))
	require.Equal(t, int64(1), c.platform.Appends())
}

// The log is down for hours while operators try to edit. They get "not accepted", and the last
// accepted table stays in force.
func TestEditWhileTheLogIsDownIsNotAccepted(t *testing.T) {
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": 7}))
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	var status *client.StatusError
	require.ErrorAs(t, c.setRow(0, "scan", map[string]any{"weight": 8}), &status)
	require.Equal(t, 503, status.Status)
	require.Contains(t, status.Reason, "not accepted")
	c.platform.SetFaults(standin.PlatformFaults{})
	require.NoError(t, c.setRow(0, "print", nil))
	require.Equal(t, int64(7), c.weight(0, "scan"))
}

// The log accepts an edit, but no host can read it back. The operator gets the edit's id and
// finds the verdict under it once the log can be read.
func TestUnreadEditIsUnknownUntilItIsFound(t *testing.T) {
	t.Parallel()
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	c.platform.SetFaults(standin.PlatformFaults{FailReads: true})
	// The read that waits for the next record could still be answered.
	c.waitFor("reads fail", func() bool { return c.hosts[0].Count("table.unread") > 0 })
	err := c.setRow(0, "scan", map[string]any{"weight": 7})
	var unsure *client.UnsureError
	require.ErrorAs(t, err, &unsure)
	var state struct{ State string }
	require.NoError(t, c.operator(0).Get(context.Background(), "/edits/"+unsure.ID, &state))
	require.Equal(t, "unknown", state.State)
	c.platform.SetFaults(standin.PlatformFaults{})
	c.waitFor("verdict", func() bool {
		return c.operator(0).Get(context.Background(), "/edits/"+unsure.ID, &state) == nil && state.State == "accepted"
	})
}

// putEdit sends an edit of a row under an id and returns the status.
func (c *testHosts) putEdit(i int, id, row, fields string) int {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.t.Context(), http.MethodPut, "http://"+c.sockets[i].Operator.Addr().String()+"/table/"+row, strings.NewReader(fields))
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer secret")
	req.Header.Set(operator.HeaderEdit, id)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(c.t, err)
	require.NoError(c.t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against an edit that comes into force after its repetition was answered "not accepted": the
// first append has no answer, and the log refuses the one of the repetition.
func TestRefusedRepetitionOfAnUnansweredEditIsUnknown(t *testing.T) {
	t.Parallel()
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	c.platform.SetFaults(standin.PlatformFaults{FailReads: true})
	c.waitFor("reads fail", func() bool { return c.hosts[0].Count("table.unread") > 0 })
	c.platform.SetFaults(standin.PlatformFaults{FailReads: true, LoseAnswers: 1})
	require.Equal(t, http.StatusGatewayTimeout, c.putEdit(0, "e1", "scan", `{"weight":7}`))
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	require.Equal(t, http.StatusGatewayTimeout, c.putEdit(0, "e1", "scan", `{"weight":7}`))
	require.Equal(t, http.StatusServiceUnavailable, c.putEdit(0, "e2", "scan", `{"weight":8}`))
	c.platform.SetFaults(standin.PlatformFaults{})
	c.waitFor("edit is in force", func() bool { return c.weight(0, "scan") == 7 })
}

// Hosts are replaced while the log is down. A host with peers must start with their table. A
// host that has never seen a table must not accept work, because it would refuse every caller or
// ignore every limit.
func TestHostThatStartsWhileTheLogIsDownTakesThePeersTable(t *testing.T) {
	c := newTestHosts(t, 3)
	c.settings[2].Peers = nil
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": 7}))
	c.platform.SetFaults(standin.PlatformFaults{Down: true})
	c.startHost(2)
	c.startHost(1)
	c.waitReady(1)
	require.Equal(t, int64(7), c.weight(1, "scan"))
	require.False(t, c.hosts[2].Ready())
	c.platform.SetFaults(standin.PlatformFaults{})
	c.waitReady(2)
	require.Equal(t, int64(7), c.weight(2, "scan"))
}

// The log has trimmed records that a new host needs. The host must start from the snapshot that
// another host wrote in time, even though it knows no peer.
func TestNewHostStartsFromTheSnapshotInATrimmedLog(t *testing.T) {
	c := newTestHosts(t, 2)
	c.settings[1].Peers = nil
	c.startHost(0)
	c.waitReady(0)
	c.platform.SetFaults(standin.PlatformFaults{Retain: 8})
	require.NoError(t, c.setRow(0, "first", nil))
	for i := range 20 {
		require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": i + 1}))
	}
	c.startHost(1)
	c.waitReady(1)
	c.waitFor("both rows are in force", func() bool { return c.weight(1, "scan") == 20 && c.weight(1, "first") == 1 })
}

// The log answers with a page that lacks a record, or with an outdated one. The host must keep
// its table and read again, rather than apply the records after the gap.
func TestBadPagesOfTheLogAreNotFolded(t *testing.T) {
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"weight": 1}))
	c.platform.SetFaults(standin.PlatformFaults{Hole: 2, Stale: 1})
	c.waitFor("a stale page was read", func() bool { return c.hosts[0].Count("table.stale") > 0 })
	require.Equal(t, int64(1), c.weight(0, "scan"))
	c.platform.SetFaults(standin.PlatformFaults{Hole: 2})
	done := make(chan error, 2)
	go func() { done <- c.setRow(0, "scan", map[string]any{"weight": 2}) }()
	go func() { done <- c.setRow(0, "print", nil) }()
	c.waitFor("gap", func() bool { return c.hosts[0].Count("table.gap") > 0 })
	require.Equal(t, int64(1), c.weight(0, "scan"))
	c.platform.SetFaults(standin.PlatformFaults{})
	require.NoError(t, <-done)
	require.NoError(t, <-done)
	require.Equal(t, int64(2), c.weight(0, "scan"))
}

// Two operators edit the same row through two hosts at the same time. Exactly one edit is
// accepted. The other operator is told so, with the current row.
func TestOneOfTwoRacingOperatorsIsToldThatItLost(t *testing.T) {
	c := newTestHosts(t, 2)
	for i := range c.hosts {
		c.startHost(i)
		c.waitReady(i)
	}
	require.NoError(t, c.setRow(0, "scan", nil))
	c.waitFor("the row is in force on both hosts", func() bool { return c.weight(1, "scan") == 1 })
	ctx := context.Background()
	done := make(chan error, 2)
	for i := range c.hosts {
		go func() { done <- c.operator(i).SetRow(ctx, "scan", "1", map[string]any{"weight": i + 2}) }()
	}
	one, two := <-done, <-done
	if one != nil {
		one, two = two, one
	}
	require.NoError(t, one)
	var race *client.RaceError
	require.ErrorAs(t, two, &race)
	require.Contains(t, string(race.Row), `"version":2`)
}

// A row is confined to other failure domains. Its requests and jobs must be refused here with
// the reason, and not run where the row may not run.
func TestRowOfOtherDomainsIsRefused(t *testing.T) {
	c := newTestHosts(t, 1)
	c.startHost(0)
	c.waitReady(0)
	require.NoError(t, c.setRow(0, "scan", map[string]any{"domains": []string{"sued"}}))
	caller := client.New(addrOf(c.sockets[0].Caller), "", nil)
	reply, err := caller.Do(context.Background(), client.Request{Workload: "scan", Method: "GET"})
	require.NoError(t, err)
	require.Equal(t, 421, reply.Status)
	require.Equal(t, client.Refused, reply.Outcome)
	_, err = caller.Submit(context.Background(), client.Job{Workload: "scan", Tasks: 1, Time: 1})
	require.ErrorContains(t, err, "runs only in sued")
}

// A quota is moved between two failure domains. The growing domain gets its part only after
// every host of the shrinking one has read the edit and the log says so.
func TestQuotaMovesAfterTheShrinkingDomainHasSettled(t *testing.T) {
	c := newTestHosts(t, 2)
	c.settings[1].Domain, c.settings[0].Peers[0].Domain = "sued", "sued"
	c.startHost(0)
	c.waitReady(0)
	ctx := context.Background()
	put := func(nord, sued int) {
		body := map[string]any{"tasks": 10, "domains": map[string]int{"nord": nord, "sued": sued}}
		require.NoError(t, c.operator(0).Put(ctx, "/quotas/x", "", body, nil))
	}
	put(0, 1)
	put(1, 0)
	share, ok := c.hosts[0].OrganisationShare("x")
	require.True(t, ok)
	require.Zero(t, share.Tasks, "no host of sued has read the edit")
	c.startHost(1)
	c.waitFor("settled", func() bool { s, _ := c.hosts[0].OrganisationShare("x"); return s.Tasks == 10 })
	share, _ = c.hosts[1].OrganisationShare("x")
	require.Zero(t, share.Tasks)
}
