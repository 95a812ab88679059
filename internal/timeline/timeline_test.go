package timeline_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/timeline"
)

const logs = `12.1 nord-2 {"time":"2026-03-04T11:05:12.2Z","level":"INFO","msg":"sched: start taken.","id":"a1.0.0.3","worker":"w7","run":1}
12.0 nord-1 {"time":"2026-03-04T11:05:12.1Z","level":"INFO","msg":"caller: accepted.","id":"a1","queue":"scan"}
not a log line
12.3 nord-2 {"time":"2026-03-04T11:05:12.3Z","level":"INFO","msg":"sched: done.","id":"a11.0.0.3"}
`

func ExampleRead() {
	lines, err := timeline.Read(strings.NewReader(logs), "a1")
	if err != nil {
		fmt.Println(err)
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	// Output:
	// 11:05:12.100 12.0 nord-1 caller: accepted. id=a1 queue=scan
	// 11:05:12.200 12.1 nord-2 sched: start taken. id=a1.0.0.3 run=1 worker=w7
}

func TestTooLongLineIsAnError(t *testing.T) {
	_, err := timeline.Read(strings.NewReader(strings.Repeat("x", 2<<20)), "a1")
	require.Error(t, err)
}
