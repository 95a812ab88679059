package table_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/table"
)

var now = time.Unix(1_700_000_000, 0)

func entry(t *testing.T, offset int64, e table.Edit) table.Entry {
	t.Helper()
	b, err := table.Encode(e)
	require.NoError(t, err)
	return table.Entry{Offset: offset, Body: b}
}

// Two operators open the same row and both save. The slower one must learn that the edit was
// rejected; otherwise a user would see an accepted limit vanish.
func TestLaterOfTwoRacingEditsIsVoid(t *testing.T) {
	tab := table.New()
	tab.Step(time.Time{}, table.Records{Entries: []table.Entry{
		entry(t, 1, table.Edit{ID: "a", Row: "scan", Fields: json.RawMessage(`{"class":"urgent"}`)}),
		entry(t, 2, table.Edit{ID: "b", Row: "scan", Fields: json.RawMessage(`{"class":"bulk"}`)}),
	}})
	row, version := tab.Row("scan")
	require.Equal(t, "urgent", row.Class)
	require.Equal(t, int64(1), version)
	j, ok := tab.Verdict("b")
	require.True(t, ok)
	require.False(t, j.Accepted)
}

// The log's reply to an append is lost and the host appends the same edit again. The operator must
// see one change, not two.
func TestEditAppendedTwiceCountsOnce(t *testing.T) {
	tab := table.New()
	e := table.Edit{ID: "a", Row: "scan", Fields: json.RawMessage(`{"weight":4}`)}
	acts := tab.Step(time.Time{}, table.Records{Entries: []table.Entry{entry(t, 1, e), entry(t, 2, e)}})
	require.Len(t, acts, 3)
	_, version := tab.Row("scan")
	require.Equal(t, int64(1), version)
}

func TestApplyNamesTheWrongField(t *testing.T) {
	wrong := map[string]string{
		`{"weight":-1}`:           "weight",
		`{"weight":"x"}`:          "weight",
		`{"colour":1}`:            "colour",
		`{"class":"soon"}`:        "class",
		`{"limits":{"slots":-4}}`: "limits.slots",
		`{"kind":"cron"}`:         "kind",
		`{"deadline":"a while"}`:  "duration",
		`[]`:                      "",
		`{"weight":1}{}`:          "body",
		`{"domains":["a","a"]}`:   "domains",
		`{"deadline":"9000h"}`:    "deadline",
	}
	for text, field := range wrong {
		_, err := table.Row{Name: "scan", Kind: table.Service, Class: "normal", Weight: 1, Tries: 1, Deadline: cell.Duration{Duration: time.Second}}.Apply(json.RawMessage(text))
		var val *cell.ValueError
		require.ErrorAs(t, err, &val, text)
		require.Equal(t, field, val.Field, text)
	}
}

// An operator gives a bulk row a huge weight by mistake. Rows of the same class would wait for
// hours. The edit must be void for every reader, and must be rejected before it is written.
func TestWeightThatStarvesARowIsRefused(t *testing.T) {
	tab := table.New()
	var entries []table.Entry
	for i := range 3 {
		e := table.Edit{ID: fmt.Sprint(i), Row: fmt.Sprint("row", i), Fields: json.RawMessage(`{"class":"bulk","weight":400}`)}
		entries = append(entries, entry(t, int64(i+1), e))
	}
	tab.Step(now, table.Records{Entries: entries})
	low := table.Edit{ID: "low", Row: "low", Fields: json.RawMessage(`{"class":"bulk","weight":1}`)}
	require.ErrorAs(t, tab.Preview(low), new(*cell.ValueError))
	tab.Step(now, table.Records{Entries: []table.Entry{entry(t, 4, low)}})
	j, _ := tab.Verdict("low")
	require.False(t, j.Accepted)
	low.Fields = json.RawMessage(`{"class":"urgent","weight":1}`)
	require.NoError(t, tab.Preview(low))
}

// A record is damaged in transit to one host. If that host skipped it, it alone would miss an
// accepted edit, so it must read the record again. A record that is damaged in the log itself must
// not stop every host forever.
func TestDamagedRecordIsReadAgainBeforeItIsPassedOver(t *testing.T) {
	good := entry(t, 1, table.Edit{ID: "a", Row: "scan"})
	bad := table.Entry{Offset: 1, Body: bytes.Replace(good.Body, []byte("scan"), []byte("spam"), 1)}
	tab := table.New()
	require.Equal(t, []table.Action{table.Gap{Want: 1, Found: 1}}, tab.Step(now, table.Records{Entries: []table.Entry{bad}}))
	tab.Step(now, table.Records{Entries: []table.Entry{good}})
	require.Len(t, tab.Lines(), 1)

	stuck := table.New()
	for range 3 {
		stuck.Step(now, table.Records{Entries: []table.Entry{bad}})
	}
	require.Equal(t, int64(2), stuck.NextOffset())
	require.Empty(t, stuck.Lines())
}

// The log returns a page that lacks records in between, or one that ends before a record that was
// already read. A host that folded such a page would apply other limits than all other hosts, and
// an accepted edit would be reverted.
func TestGapAndOldAnswerChangeNothing(t *testing.T) {
	first := entry(t, 1, table.Edit{ID: "a", Row: "scan"})
	second := entry(t, 2, table.Edit{ID: "b", Row: "scan", Base: 1, Fields: json.RawMessage(`{"weight":2}`)})
	third := entry(t, 3, table.Edit{ID: "c", Row: "scan", Base: 2, Fields: json.RawMessage(`{"weight":3}`)})
	tab := table.New()
	acts := tab.Step(now, table.Records{Entries: []table.Entry{first, third}})
	require.Equal(t, table.Gap{Want: 2, Found: 3}, acts[len(acts)-1])
	tab.Step(now, table.Records{Entries: []table.Entry{second, third}})
	require.Empty(t, tab.Step(now, table.Records{Entries: []table.Entry{first, second}}))
	require.Empty(t, tab.Step(now, table.Records{}))
	row, version := tab.Row("scan")
	require.Equal(t, int64(3), row.Weight)
	require.Equal(t, int64(3), version)
}

// A newer host writes a record that this version does not know. Stopping there would freeze this
// host's table. Losing the record in a snapshot would hide it from newer hosts that start from that
// snapshot.
func TestUnknownRecordIsPassedOverAndKept(t *testing.T) {
	b, err := json.Marshal(map[string]any{"kind": "later", "sum": xxhash.Sum64String("later\x00{}"), "body": map[string]any{}})
	require.NoError(t, err)
	tab := table.New()
	tab.Step(now, table.Records{Entries: []table.Entry{{Offset: 1, Body: b}, entry(t, 2, table.Edit{ID: "a", Row: "scan"})}})
	require.Equal(t, int64(3), tab.NextOffset())
	require.Len(t, tab.Lines(), 1)
	parts, err := tab.Snapshot(now)
	require.NoError(t, err)
	other := table.New()
	require.Equal(t, []table.Action{table.Restored{Next: 3}}, other.Step(now, table.PeerCopy{Parts: parts}))
	require.Equal(t, tab.Fingerprint(), other.Fingerprint())
	require.Equal(t, []table.SkippedRecord{{Offset: 1, Body: b}}, other.SkippedRecords())
}

// The record of an accepted edit is read a second time, after the row was dropped and after a host
// started from a snapshot. The row must not reappear there.
func TestSnapshotKeepsTheVerdictsThatLaterRecordsHangOn(t *testing.T) {
	e := table.Edit{ID: "a", Row: "scan"}
	tab, other := table.New(), table.New()
	tab.Step(now, table.Records{Entries: []table.Entry{entry(t, 1, e), entry(t, 2, table.Edit{ID: "b", Row: "scan", Base: 1, Drop: true})}})
	parts, err := tab.Snapshot(now)
	require.NoError(t, err)
	other.Step(now, table.PeerCopy{Parts: parts})
	for _, x := range []*table.Table{tab, other} {
		x.Step(now, table.Records{Entries: []table.Entry{entry(t, 3, e)}})
		require.Empty(t, x.Lines())
	}
}

// withSnapshotAppended appends a snapshot's record at the end, as a slow writer does.
func withSnapshotAppended(rest []table.Entry, snapshot []byte) []table.Entry {
	last := rest[len(rest)-1]
	return append(rest, table.Entry{Offset: last.Offset + 1, Body: snapshot})
}

// A host was cut off for longer than the log keeps records. It starts from the newest snapshot in
// the remaining records. If that does not cover the missing records, it keeps its table and asks
// the peers.
func TestHostBehindATrimStartsFromTheSnapshot(t *testing.T) {
	log, tab := newLog(t), table.New()
	for i := range 20 {
		log.edit(fmt.Sprint("row", i))
	}
	tab.Step(now, table.Records{Entries: log.all})
	parts, err := tab.Snapshot(now)
	require.NoError(t, err)
	for _, p := range parts {
		log.add(p)
	}
	log.edit("last")
	tab.Step(now, table.Records{Entries: log.all})

	behind := table.New()
	require.Equal(t, table.SnapshotMissing{Want: 1}, behind.Step(now, table.TrimmedLog{Entries: log.all[21:]})[0], "the log no longer holds the snapshot")
	require.Equal(t, table.SnapshotMissing{Want: 1}, behind.Step(now, table.TrimmedLog{})[0])
	require.Equal(t, table.Restored{Next: 21}, behind.Step(now, table.TrimmedLog{Entries: log.all[20:]})[0])
	require.Equal(t, tab.Lines(), behind.Lines())
	require.Equal(t, tab.Fingerprint(), behind.Fingerprint())
	log.all = append(log.all[:20:20], log.all[21:]...)
	require.Equal(t, table.SnapshotMissing{Want: 1}, table.New().Step(now, table.TrimmedLog{Entries: withSnapshotAppended(log.all[20:], parts[0])})[0], "a record after the offset of the snapshot is missing")
	require.Empty(t, behind.Step(now, table.PeerCopy{Parts: parts}), "an older copy must not replace a newer table")
	require.Equal(t, int64(23), behind.NextOffset())
}

// The log trims the only snapshot, or all records grow old because nobody edits. A host that starts
// afterwards would have no table. Therefore a snapshot must be written in time, and not by all
// hosts at once.
func TestSnapshotIsDueWellBeforeTheTrim(t *testing.T) {
	log, tab := newLog(t), table.New()
	for range 20 {
		log.edit("scan")
	}
	tab.Step(now, table.Records{Entries: log.all})
	require.Empty(t, tab.Step(now, table.Tick{Oldest: 1}), "no record is trimmed yet")
	require.Empty(t, tab.Step(now, table.Tick{Oldest: 5, Rank: 1}), "the host of rank 0 writes first")
	require.NotEmpty(t, tab.Step(now, table.Tick{Oldest: 5}))
	require.Empty(t, tab.Step(now, table.Tick{Oldest: 5}), "the snapshot was already requested")
	acts := tab.Step(now.Add(10*time.Second), table.Tick{Oldest: 5, Rank: 1})
	require.NotEmpty(t, acts, "the host of rank 0 did not write the snapshot")
	for _, a := range acts {
		log.add(a.(table.Append).Body)
	}
	tab.Step(now, table.Records{Entries: log.all})
	require.Empty(t, tab.Step(now, table.Tick{Oldest: 5}))
	require.NotEmpty(t, tab.Step(now.Add(table.SnapshotAge+time.Second), table.Tick{Oldest: 5}), "the snapshot is older than SnapshotAge")
	for range 600 {
		log.edit("scan")
	}
	tab = table.New()
	tab.Step(now, table.Records{Entries: log.all[600:]})
	tab.Step(now, table.Records{Entries: log.all[:22]})
	require.Empty(t, tab.Step(now, table.Tick{Oldest: 1}))
	tab.Step(now, table.Records{Entries: log.all})
	require.NotEmpty(t, tab.Step(now, table.Tick{Oldest: 1}), "many records follow the snapshot")
}
