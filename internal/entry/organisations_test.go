package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin/users"
)

// organisationsTable has a route with keys, and a public one.
const organisationsTable = `{"version":%d,"routes":[
{"name":"scan","host":"jobs.example","pathPrefix":"/scan/","service":"pass","maxAttempts":3,"stretch":1.5,"targetLatencyMs":250,"public":false},
{"name":"open","host":"jobs.example","pathPrefix":"/open/","service":"pass","maxAttempts":3,"stretch":1.5,"targetLatencyMs":250,"public":true}],
"services":[{"name":"pass"}],"limits":{"maxBodyBytes":20000},
"tenants":[{"name":"a","apiKeys":[%s],"maxCount":{"cpu":1000}},{"name":"b","apiKeys":["kb"]}]}`

// putOrganisations puts a table into force in which organisation a has these keys.
func (c *cluster) putOrganisations(version int, keys ...string) {
	c.log.Put("op", "config", fmt.Appendf(nil, organisationsTable, version, `"`+strings.Join(keys, `","`)+`"`))
}

// organisationsCluster starts hosts with organisations.
func organisationsCluster(t *testing.T, hosts int) *cluster {
	c := newCluster(t, hosts, 3, 50*time.Millisecond)
	c.putOrganisations(2, "ka")
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.callAs(h, "", http.MethodGet, prefix, "").code == http.StatusUnauthorized }, waitTimeout, 10*time.Millisecond)
	}
	return c
}

// callAs makes a call with a key; an empty key means none.
func (c *cluster) callAs(h *testHost, key, method, path, body string) response {
	return c.callWithKey(h.cfg.Listen.Caller, key, method, path, body)
}

func (c *cluster) callWithKey(addr netip.AddrPort, key, method, path, body string) response {
	header := http.Header{}
	if key != "" {
		header.Set("Authorization", "Bearer "+key)
	}
	return c.callWithHeader(addr, header, method, path, body)
}

func (c *cluster) waitCompletedAs(h *testHost, key, path string) {
	c.t.Helper()
	require.Eventually(c.t, func() bool { return c.callAs(h, key, http.MethodGet, path, "").body == `{"state":"completed"}` }, waitTimeout, 20*time.Millisecond)
}

// Guards against calls that are served without a valid key, and against jobs of refused calls that
// are stored.
func TestCallsNeedAValidKey(t *testing.T) {
	c := organisationsCluster(t, 2)
	for _, h := range c.hosts {
		for _, key := range []string{"", "unknown-secret", "ka kb"} {
			for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
				a := c.callAs(h, key, method, prefix+jobID(1), oneTask)
				require.Equal(t, http.StatusUnauthorized, a.code, "%s with %q", method, key)
				require.Contains(t, a.body, "key")
			}
			require.Equal(t, http.StatusUnauthorized, c.callAs(h, key, http.MethodGet, prefix, "").code)
		}
		require.Equal(t, http.StatusGone, c.callAs(h, "ka", http.MethodGet, prefix+jobID(1), "").code)
	}
	h := c.follower()
	require.Equal(t, http.StatusOK, c.callAs(h, "ka", http.MethodPost, prefix+jobID(2), oneTask).code)
	require.Equal(t, http.StatusOK, c.callAs(h, "", http.MethodPost, "/open/"+jobID(3), oneTask).code)
	c.waitCompletedAs(h, "ka", prefix+jobID(2))
	c.waitCompletedAs(h, "", "/open/"+jobID(3))
	require.NotContains(t, c.logs.String(), "unknown-secret")
}

// Guards against a key that goes on to work after it was taken away, also on a connection that was
// open before, and against a new key that does not work.
func TestChangedKeysAreInForceOnAllHosts(t *testing.T) {
	c := organisationsCluster(t, 3)
	c.putOrganisations(3, "kn")
	for _, h := range c.hosts {
		require.Eventually(t, func() bool {
			return c.callAs(h, "ka", http.MethodPost, prefix+jobID(1), oneTask).code == http.StatusUnauthorized
		}, tableDeadline, 20*time.Millisecond)
		require.Equal(t, http.StatusOK, c.callAs(h, "kn", http.MethodGet, prefix, "").code)
	}
}

// Guards against a host that cannot read the table and serves a key that was taken away, or tells
// the caller that a key is invalid or a route missing that may be new.
func TestHostWithoutTheTableVouchesForNoKey(t *testing.T) {
	c := organisationsCluster(t, 2)
	h := c.follower()
	c.log.BreakReads("op", users.Silent)
	require.Eventually(t, func() bool {
		return c.callAs(h, "new", http.MethodGet, prefix, "").code == http.StatusServiceUnavailable
	}, waitTimeout, 50*time.Millisecond)
	a := c.callAs(h, "", http.MethodGet, "/new/", "")
	require.Equal(t, http.StatusServiceUnavailable, a.code, "a route that may be new")
	require.NotEmpty(t, a.header.Get("Retry-After"))
	c.log.Put("op", "config", fmt.Appendf(nil, organisationsTable, 3, `"kn"`))
	require.Eventually(t, func() bool {
		a := c.callAs(h, "ka", http.MethodPost, prefix+jobID(1), oneTask)
		return a.code == http.StatusServiceUnavailable && a.header.Get("Retry-After") != ""
	}, waitTimeout, 50*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, c.callAs(h, "ka", http.MethodDelete, prefix+jobID(1), "").code)
}

// Guards against a caller who reads, cancels or replaces another organisation's job, also after all
// hosts were lost.
func TestJobsBelongToTheirOrganisation(t *testing.T) {
	c := organisationsCluster(t, 2)
	require.Equal(t, http.StatusOK, c.callAs(c.follower(), "ka", http.MethodPost, prefix+jobID(1), oneTask).code)
	require.Equal(t, http.StatusConflict, c.callAs(c.follower(), "kb", http.MethodPost, prefix+jobID(1), twoSteps).code)
	check := func() {
		for _, h := range c.hosts {
			c.waitCompletedAs(h, "ka", prefix+jobID(1))
			for _, key := range []string{"kb", ""} {
				path := prefix
				if key == "" {
					path = "/open/"
				}
				require.Equal(t, http.StatusGone, c.callAs(h, key, http.MethodGet, path+jobID(1), "").code)
				require.Equal(t, http.StatusGone, c.callAs(h, key, http.MethodDelete, path+jobID(1), "").code)
			}
		}
	}
	check()
	for _, h := range c.hosts {
		h.Kill()
	}
	for name := range c.hosts {
		c.start(name)
	}
	c.waitReady()
	check()
	require.Len(t, c.checker.Runs(), 1)
}

// Guards against a job that takes the place of another organisation's job with the same id when a
// new leader reads the store.
func TestSecondJobWithTheIDOfAnotherOrganisationHarmsNothing(t *testing.T) {
	c := organisationsCluster(t, 3)
	hosts := []*testHost{c.hosts["h0"], c.hosts["h1"]}
	require.Equal(t, http.StatusOK, c.callAs(hosts[0], "ka", http.MethodPost, prefix+jobID(1), twoSteps).code)
	c.callAs(hosts[1], "kb", http.MethodPost, prefix+jobID(1), oneTask)
	c.callAs(hosts[1], "kb", http.MethodDelete, prefix+jobID(1), "")
	time.Sleep(20 * time.Millisecond)
	for _, h := range c.hosts {
		h.Kill()
	}
	for name := range c.hosts {
		c.start(name)
	}
	c.waitReady()
	c.waitCompletedAs(c.follower(), "ka", prefix+jobID(1))
	require.Len(t, c.checker.Runs(), 7)
	require.Empty(t, c.checker.Violations())
}

// Guards against a job that can never run within its organisation's quota and that is accepted.
func TestJobThatExceedsTheQuotaIsRefusedAtOnce(t *testing.T) {
	c := organisationsCluster(t, 1)
	for body, code := range map[string]int{
		`{"spec":"t","steps":[{"count":3,"cpu":500,"gang":true,"estimateMs":100}]}`: http.StatusUnprocessableEntity,
		`{"spec":"t","steps":[{"count":1,"cpu":1001,"estimateMs":100}]}`:            http.StatusUnprocessableEntity,
		`{"spec":"t","steps":[{"count":5,"cpu":500,"estimateMs":100}]}`:             http.StatusOK,
	} {
		a := c.callAs(c.leader(), "ka", http.MethodPost, prefix+jobID(1), body)
		require.Equal(t, code, a.code, body)
		if code != http.StatusOK {
			require.Contains(t, a.body, "quota")
		}
	}
	c.waitCompletedAs(c.leader(), "ka", prefix+jobID(1))
}
