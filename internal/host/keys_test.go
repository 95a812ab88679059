package host_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/keys"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
	"pollencroft/internal/settings"
	"pollencroft/internal/share"
	"pollencroft/internal/standin"
	"pollencroft/pkg/client"
)

func issueCert(t *testing.T, a *standin.Authority, name string) settings.TLS {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, a.Issue(dir, name, time.Now().Add(time.Hour)))
	return settings.TLS{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
}

func (c *testHosts) useTLS(a *standin.Authority, i int) {
	c.settings[i].TLS = issueCert(c.t, a, keys.Name(c.settings[i].Name, c.settings[i].Domain))
}

func tlsConfig(t *testing.T, files settings.TLS, name string) *tls.Config {
	t.Helper()
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	require.NoError(t, err)
	text, err := os.ReadFile(files.CA)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(text))
	return &tls.Config{Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: name}
}

// A host with a valid certificate claims to be another host, which could make the other count as
// gone. Operators need certificates of their own: neither a host's certificate nor none is
// sufficient to edit the table.
func TestHostsSpeakOnlyForThemselvesAndOperatorsShowKeys(t *testing.T) {
	a, err := standin.NewAuthority()
	require.NoError(t, err)
	c := newTestHosts(t, 3)
	for i := range c.settings {
		c.settings[i].Operator.Token = ""
		c.useTLS(a, i)
	}
	c.startHost(0)
	c.startHost(1)
	c.waitReady(0)
	c.waitReady(1)
	name := keys.Name(c.settings[0].Name, c.settings[0].Domain)
	ctx := context.Background()
	operator := func(cfg *tls.Config) *client.Client { return client.NewTLS(addrOf(c.sockets[0].Operator), "", cfg) }
	var status *client.StatusError
	host := tlsConfig(t, c.settings[2].TLS, name)
	require.ErrorAs(t, operator(host).SetRow(ctx, "scan", "", nil), &status)
	require.Equal(t, 401, status.Status)
	none := host.Clone()
	none.Certificates = nil
	require.ErrorAs(t, operator(none).SetRow(ctx, "scan", "", nil), &status)
	good := tlsConfig(t, issueCert(t, a, keys.Operator), name)
	require.NoError(t, operator(good).SetRow(ctx, "scan", "", nil))
	require.Error(t, client.New(addrOf(c.sockets[0].Operator), "", nil).Get(ctx, "/table", nil), "no TLS")
	c.waitFor("the other host gets the row over TLS and the log", func() bool { return c.weight(1, "scan") == 1 })
	var hosts struct{ Live []string }
	c.waitFor("hosts receive each other's heartbeats over TLS", func() bool {
		return operator(good).Get(ctx, "/hosts", &hosts) == nil && len(hosts.Live) == 2
	})

	liar := peer.NewClients(map[string]netip.AddrPort{"nord-0": addrOf(c.sockets[0].Peer)})
	defer liar.Close()
	liar.SetDialer(func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		return (&tls.Dialer{Config: host}).DialContext(ctx, "tcp", addr.String())
	})
	lie := peer.Beat{Heartbeat: member.Heartbeat{Name: "nord-1", Incarnation: 1 << 60, Leaving: true}}
	require.ErrorAs(t, liar.Ask(ctx, "nord-0", lie, nil), new(*peer.RefusedError))
	require.ErrorAs(t, liar.Ask(ctx, "nord-0", peer.Leave{Name: "nord-1"}, nil), new(*peer.RefusedError))
	require.ErrorAs(t, liar.Ask(ctx, "nord-0", peer.AnnounceSlots{Announcement: share.Announcement{Name: "nord-1", Released: true}}, nil), new(*peer.RefusedError))
	require.Equal(t, int64(3), c.hosts[0].Count("keys.lie"))
	require.NoError(t, operator(good).Get(ctx, "/hosts", &hosts))
	require.Len(t, hosts.Live, 2)
}
