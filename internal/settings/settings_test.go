package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/settings"
)

const validSettings = `name = "nord-1"
domain = "halle-nord"

[listen]
caller = "127.0.0.1:7001"
operator = "127.0.0.1:7002"
peer = "127.0.0.1:7003"

[platform]
address = "127.0.0.1:7000"

[limits]
deadline = "5s"

[[peers]]
name = "nord-2"
domain = "halle-nord"
address = "127.0.0.1:7013"
`

func TestParseReadsEveryKey(t *testing.T) {
	s, err := settings.Parse("a.toml", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, "nord-1", s.Name)
	require.Equal(t, 5*time.Second, s.Limits.Deadline)
	require.Equal(t, 5*time.Second, s.Limits.StartupWait, "a previous process may have sent requests that take the whole deadline")
	require.Equal(t, "nord-2", s.Peers[0].Name)
	require.Equal(t, int64(settings.DefaultBody), s.Limits.Body)
}

// An operator mistypes several keys. All of them must be reported at once with their lines: a host
// that started with half of its settings would serve with limits that nobody chose.
func TestParseReportsEveryFaultWithItsLine(t *testing.T) {
	text := `name = "nord 1"
domain = "halle-nord"
colour = "red"

[listen]
caller = "nowhere"
operator = "127.0.0.1:7002"
peer = "127.0.0.1:7003"

[limits]
body = -1
deadline = "soon"

[[peers]]
name = "nord-2"
domain = "halle-nord"
`
	_, err := settings.Parse("a.toml", []byte(text))
	var faults settings.Faults
	require.ErrorAs(t, err, &faults)
	got := map[string]int{}
	for _, f := range faults {
		got[f.Key] = f.Line
	}
	want := map[string]int{
		"name": 1, "colour": 3, "listen.caller": 6, "limits.body": 11, "limits.deadline": 12,
		"peers[0].address": 14, "platform.address": 1,
	}
	require.Equal(t, want, got)
}

// A body that does not fit into a message between hosts would end with the outcome unknown whenever
// a peer has to help.
func TestParseRejectsBodyLargerThanPeerMessages(t *testing.T) {
	_, err := settings.Parse("a.toml", []byte(strings.Replace(validSettings, "[limits]", "[limits]\nbody = 5000000", 1)))
	require.ErrorContains(t, err, "limits.body")
}

func TestParseReportsSyntaxFaults(t *testing.T) {
	_, err := settings.Parse("a.toml", []byte("name = \n"))
	require.ErrorAs(t, err, new(settings.Faults))
}
