package commands_test

import (
	"io"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/commands"
	"pollencroft/internal/host"
	"pollencroft/internal/settings"
	"pollencroft/internal/standin"
)

// run executes one command line and returns its exit status and output.
func run(t *testing.T, args ...string) (int, string) {
	t.Helper()
	r, w, err := os.Pipe()
	require.NoError(t, err)
	out, errs := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = w, w
	status := commands.Run(args)
	os.Stdout, os.Stderr = out, errs
	require.NoError(t, w.Close())
	b, err := io.ReadAll(r)
	require.NoError(t, err)
	return status, string(b)
}

// Two operators edit a dump of the whole table at the same time. The operator who loads the file
// last must change only the rows they edited. A row that both edited must not be overwritten:
// the command reports it as lost and prints both values.
func TestLoadShowsALostRaceWithBothValues(t *testing.T) {
	srv := httptest.NewServer(standin.NewPlatform().Handler())
	defer srv.Close()
	local := netip.MustParseAddrPort("127.0.0.1:0")
	ls, err := host.Listen(settings.Listen{Caller: local, Operator: local, Peer: local})
	require.NoError(t, err)
	h := host.New(settings.Settings{
		Name: "nord-1", Domain: "nord", Platform: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		Operator: settings.Operator{Token: "secret"}, Limits: settings.Limits{DrainTimeout: time.Second},
	}, slog.New(slog.DiscardHandler), time.Now)
	h.Start(ls)
	defer h.Kill()
	require.Eventually(t, h.Ready, 20*time.Second, 10*time.Millisecond)
	at := []string{"--host", ls.Operator.Addr().String(), "--token", "secret"}
	table := func(words ...string) (int, string) {
		return run(t, append(append([]string{"table"}, words...), at...)...)
	}
	file := filepath.Join(t.TempDir(), "table.toml")

	status, out := table("set", "scan", "class=urgent", "limits.slots=40", `domains=["nord","sued"]`)
	require.Zero(t, status, out)
	_, _ = table("set", "print", "class=bulk")
	_, _ = table("set", "watch", "weight=2")
	status, out = table("dump", file)
	require.Zero(t, status, out)

	_, _ = table("set", "scan", "weight=7")
	_, _ = table("set", "print", "weight=4")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	edited := strings.Replace(string(text), "[rows.scan]\n", "[rows.scan]\nidempotent = true\n", 1)
	edited = strings.Replace(edited, "idempotent = false\n", "", 3)
	edited = strings.ReplaceAll(edited, "[rows.print]\n", "[rows.print]\nidempotent = false\n")
	edited = strings.Replace(edited, "weight = 2", "weight = 3", 1)
	require.NoError(t, os.WriteFile(file, []byte(edited+"\n[rows.late]\ncolour = 1\n"), 0o600))
	status, out = table("load", file)
	require.Equal(t, 1, status)
	require.Contains(t, out, "colour")
	row, _ := h.Row("watch")
	require.Equal(t, int64(2), row.Weight, "nothing is written while one row is wrong")

	require.NoError(t, os.WriteFile(file, []byte(edited), 0o600))
	status, out = table("load", file)
	require.Equal(t, 1, status)
	require.Contains(t, out, "watch: accepted")
	require.Contains(t, out, "scan: lost\n  idempotent: yours is true, in force is false\n  weight: yours is 1, in force is 7\n")
	require.NotContains(t, out, "print")

	_, out = table()
	require.Contains(t, out, "nord,sued")
	_, out = table("log")
	require.Contains(t, out, `{"weight":7}`)
	_, out = table("status")
	require.Contains(t, out, "nord-1")
	status, out = table("quota", "team-a", "tasks=9", "domains.nord=1", "domains.sued=2")
	require.Zero(t, status, out)
	_, out = table("quotas", "--json")
	require.Contains(t, out, `"tasks": 6`)
}
