package entry_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
)

const settingsText = `name = "nord-1"
domain = "nord"
store = "10.0.0.1:80"
parts = 16
policy = "10.0.0.2:80"
memory = 284
later = "passed over"
[listen]
caller = "10.1.0.1:1"
ready = "10.1.0.1:2"
peer = "10.1.0.1:3"
[times]
lease = "10000ms"
stop = "900ms"
grace = "6.0s"
keep = "120s"
`

func load(t *testing.T, text string) (entry.Settings, error) {
	path := filepath.Join(t.TempDir(), "entry.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return entry.Load(path)
}

func TestSettingsAreRead(t *testing.T) {
	cfg, err := load(t, settingsText)
	require.NoError(t, err)
	require.Equal(t, entry.Duration(6*time.Second), cfg.Times.Grace)
	require.Equal(t, uint16(3), cfg.Listen.Peer.Port())
}

// Guards against limits of callers that ordinary ones meet, or that a machine cannot bear.
func TestLimitsOfCallersFollowFromTheMachine(t *testing.T) {
	for _, m := range []struct {
		memory int64
		files  int
		conns  int
	}{{0, 0, 3271}, {284, 4100, 3120}, {536, 8192, 6174}, {160, 1000, 640}, {284, 201, 1}} {
		l := entry.Settings{Memory: m.memory, Files: m.files}.CallerLimits()
		require.Equal(t, m.conns, l.Conns, "%d MiB, %d descriptors", m.memory, m.files)
		require.GreaterOrEqual(t, l.Bytes, m.memory<<20/16)
	}
}

// Guards against a host behind a proxy that tells the others the address on which it listens.
func TestAdvertisedAddressIsTold(t *testing.T) {
	cfg, err := load(t, settingsText)
	require.NoError(t, err)
	require.Equal(t, cfg.Listen.Peer, cfg.PeerAddr())
	cfg, err = load(t, strings.Replace(settingsText, "[listen]", "[listen]\nadvertise = \"10.2.0.1:4\"", 1))
	require.NoError(t, err)
	require.Equal(t, netip.MustParseAddrPort("10.2.0.1:4"), cfg.PeerAddr())
	require.Equal(t, uint16(3), cfg.Listen.Peer.Port())
}

// A required key is missing or has an invalid value. Loading the settings fails with an error
// that names the key, so that no host starts that accepts callers and can serve none.
func TestMissingOrInvalidSettingIsNamed(t *testing.T) {
	for key, line := range map[string]string{
		"name": `name = "nord-1"`, "domain": `domain = "nord"`, "store": `store = "10.0.0.1:80"`, "parts": `parts = 16`,
		"listen.caller": `caller = "10.1.0.1:1"`, "listen.ready": `ready = "10.1.0.1:2"`, "listen.peer": `peer = "10.1.0.1:3"`,
		"times.lease": `lease = "10000ms"`, "times.stop": `stop = "900ms"`, "times.grace": `grace = "6.0s"`, "times.keep": `keep = "120s"`,
	} {
		_, err := load(t, strings.Replace(settingsText, line+"\n", "", 1))
		require.ErrorAs(t, err, new(*entry.FieldError), key)
		require.ErrorContains(t, err, key)
	}
	for _, bad := range []string{`policy = "nowhere"`, `store = "x"`, `parts = "many"`, `off = ["gravity"]`, `readrate = -1.0`, `memory = -1`, `files = 200`} {
		key, _, _ := strings.Cut(bad, " ")
		text := strings.Replace(settingsText, key+" = ", "#", 1)
		_, err := load(t, bad+"\n"+text)
		require.ErrorAs(t, err, new(*entry.FieldError), bad)
	}
	_, err := load(t, settingsText+"\n[agents]\nworkers = -1.0\n")
	require.ErrorContains(t, err, "agents.workers")
}
