package chart_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/chart"
)

func TestEmbeddedChartsAreValid(t *testing.T) {
	for _, name := range []string{"task", "job", "request", "host", "lease", "run"} {
		c, err := chart.Load(name)
		require.NoError(t, err)
		require.NotEmpty(t, c.States())
	}
}

func TestParseRejectsInvalidCharts(t *testing.T) {
	broken := map[string]string{
		"unreachable": "start='a'\nfinal=['b']\n[states.a]\ngo='b'\n[states.c]\ngo='b'",
		"undescribed": "start='a'\nfinal=['b']\n[states.a]\ngo='c'\nend='b'",
		"way out":     "start='a'\nfinal=['b']\n[states.a]\ngo='b'\n[states.b]\ngo='a'",
		"lost final":  "start='a'\nfinal=['b','d']\n[states.a]\ngo='b'",
	}
	for name, text := range broken {
		_, err := chart.Parse(name, []byte(text))
		require.ErrorAs(t, err, new(*chart.FileError), name)
	}
}

func TestNextRejectsUnknownEvents(t *testing.T) {
	c := chart.MustLoad("request")
	s, err := c.Next("queued", "send")
	require.NoError(t, err)
	require.Equal(t, chart.State("sent"), s)
	_, err = c.Next("done", "send")
	require.ErrorAs(t, err, new(*chart.TransitionError))
	require.True(t, c.Final("done"))
}
