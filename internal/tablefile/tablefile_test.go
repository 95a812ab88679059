package tablefile_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/tablefile"
)

var rows = []json.RawMessage{
	json.RawMessage(`{"name":"print","class":"bulk","weight":1,"limits":{"room":{"mem":1099511627777}},"domains":["a"],"deadline":"10s","version":4}`),
	json.RawMessage(`{"name":"scan","class":"urgent","weight":5,"limits":{},"deadline":"1s","version":9}`),
}

func dump(t *testing.T) string {
	t.Helper()
	b, err := tablefile.Dump(rows)
	require.NoError(t, err)
	return string(b)
}

// An operator changes one cell of the dumped table and sends it back. Only this row may be sent:
// sending the others would undo changes that colleagues made since the dump.
func TestOnlyChangedRowsAreSent(t *testing.T) {
	text := dump(t)
	all, err := tablefile.Changes([]byte(text))
	require.NoError(t, err)
	require.Empty(t, all)

	text = strings.Replace(text, "weight = 5", "weight = 6", 1) + "\n[rows.fresh]\nweight = 2\n"
	all, err = tablefile.Changes([]byte(text))
	require.NoError(t, err)
	require.Len(t, all, 2)
	require.Equal(t, tablefile.Change{Row: "fresh", Fields: tablefile.Row{"weight": int64(2)}}, all[0])
	require.Equal(t, "scan", all[1].Row)
	require.Equal(t, int64(9), all[1].Version)
	diff, err := all[1].Compare(json.RawMessage(`{"name":"scan","class":"urgent","weight":7,"limits":{},"deadline":"1s","version":11}`))
	require.NoError(t, err)
	require.Equal(t, []tablefile.Difference{{Column: "weight", Wanted: int64(6), Current: int64(7)}}, diff)
	diff, err = all[0].Compare(json.RawMessage(`null`))
	require.NoError(t, err)
	require.Len(t, diff, 1)
}

func TestFileFaultsAreNamed(t *testing.T) {
	for text, field := range map[string]string{
		"[rows.scan]\nversion = \"x\"\n": "scan.version",
		"[rows.scan]\ndrop = 1\n":        "scan.drop",
	} {
		_, err := tablefile.Changes([]byte(text))
		var val *cell.ValueError
		require.ErrorAs(t, err, &val)
		require.Equal(t, field, val.Field)
	}
	_, err := tablefile.Changes([]byte("[row.scan]\n"))
	require.Error(t, err)
}
