package logs_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/logs"
)

// The reader of the log has stopped. A decision that waited for its log line to be written would
// stop, too.
func TestStoppedReaderDoesNotBlockWriter(t *testing.T) {
	r, out := io.Pipe()
	w := logs.NewWriter(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("Write blocks while the reader has stopped")
	}
	require.Positive(t, w.Dropped())
	require.NoError(t, r.Close())
	w.Close(time.Minute)
}

// A flood of lines with the same message is cut to its rate limit and the cut is reported. Other
// messages, warnings and errors still pass.
func TestFloodStaysWithinRateLimit(t *testing.T) {
	now := time.Unix(0, 0)
	var buf bytes.Buffer
	log := slog.New(logs.NewHandler(slog.NewTextHandler(&buf, nil), func() time.Time { return now }))
	for range 10_000 {
		log.Info("flood")
		now = now.Add(time.Millisecond)
	}
	log.Info("other")
	log.Warn("flood")
	now = now.Add(time.Minute)
	log.With("a", 1).WithGroup("g").Info("other")
	text := buf.String()
	require.LessOrEqual(t, strings.Count(text, "msg=flood"), 120+10*40+1)
	require.Equal(t, 2, strings.Count(text, "msg=other"))
	require.Contains(t, text, "lines were left out")
}

// Guards against reports of what was left out that do not say which lines, that lack lines dropped
// for a slow reader, or that a process takes with it when it ends.
func TestOmissionsAreReportedByMessage(t *testing.T) {
	now := time.Unix(0, 0).UTC()
	var buf bytes.Buffer
	h := logs.NewHandler(slog.NewJSONHandler(&buf, nil), func() time.Time { return now })
	r, out := io.Pipe()
	w := logs.NewWriter(out)
	h.CountDropped(w)
	log := slog.New(h)
	for range 130 {
		log.Info("flood")
	}
	for w.Dropped() == 0 {
		_, err := w.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NoError(t, h.Flush(t.Context()))
	require.Contains(t, buf.String(), `"lines":11,"since":"1970-01-01T00:00:00Z","by":{"flood":10},"dropped":1}`)
	require.Equal(t, int64(11), h.Omitted())
	buf.Reset()
	require.NoError(t, h.Flush(t.Context()))
	require.Empty(t, buf.String())
	require.NoError(t, r.Close())
	w.Close(time.Minute)
}
