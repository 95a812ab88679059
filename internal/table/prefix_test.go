package table_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/table"
)

// A fixed seed gives the same result on every machine. The command line can set another seed.
func init() {
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.checks", "400")
}

// memoryLog is an in-memory memoryLog.
type memoryLog struct {
	t   require.TestingT
	all []table.Entry
}

func newLog(t require.TestingT) *memoryLog { return &memoryLog{t: t} }

func (l *memoryLog) add(b []byte) {
	l.all = append(l.all, table.Entry{Offset: int64(len(l.all) + 1), Body: b})
}

func (l *memoryLog) edit(row string) {
	b, err := table.Encode(table.Edit{ID: fmt.Sprint(len(l.all)), Row: row})
	require.NoError(l.t, err)
	l.add(b)
}

// Hosts read the log in pieces of any size, some of them twice, late or after a trim, from
// snapshots or from a peer's copy. If two hosts differed at the same offset, or a host went back to
// an earlier offset, an accepted edit would not be in force everywhere.
func TestHostsNeverDisagreeAtAnOffsetAndNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog(t)
		hosts := []*table.Table{table.New(), table.New(), table.New()}
		seen := map[int64]string{}
		t.Repeat(map[string]func(*rapid.T){
			"append": func(t *rapid.T) { l.add(drawRecord(t, len(l.all))) },
			"again": func(t *rapid.T) {
				if len(l.all) > 0 {
					l.add(rapid.SampledFrom(l.all).Draw(t, "entry").Body)
				}
			},
			"snapshot": func(t *rapid.T) {
				parts, err := rapid.SampledFrom(hosts).Draw(t, "writer").Snapshot(now)
				require.NoError(t, err)
				l.add(parts[0])
			},
			"read": func(t *rapid.T) {
				from := rapid.IntRange(0, len(l.all)).Draw(t, "from")
				to := rapid.IntRange(from, len(l.all)).Draw(t, "to")
				step(t, rapid.SampledFrom(hosts).Draw(t, "host"), table.Records{Entries: l.all[from:to]})
			},
			"trimmed": func(t *rapid.T) {
				from := rapid.IntRange(0, len(l.all)).Draw(t, "from")
				step(t, rapid.SampledFrom(hosts).Draw(t, "host"), table.TrimmedLog{Entries: l.all[from:]})
			},
			"copy": func(t *rapid.T) {
				parts, err := rapid.SampledFrom(hosts).Draw(t, "peer").Snapshot(now)
				require.NoError(t, err)
				step(t, rapid.SampledFrom(hosts).Draw(t, "host"), table.PeerCopy{Parts: parts})
			},
			"new": func(t *rapid.T) { hosts[rapid.IntRange(0, 2).Draw(t, "i")] = table.New() },
			"": func(t *rapid.T) {
				for _, h := range hosts {
					text := fmt.Sprint(h.Fingerprint(), h.Lines(), h.Organisations())
					if old, ok := seen[h.NextOffset()]; ok {
						require.Equal(t, old, text, "offset %d", h.NextOffset())
					}
					seen[h.NextOffset()] = text
				}
			},
		})
	})
}

func step(t *rapid.T, h *table.Table, ev table.Event) {
	before := h.NextOffset()
	h.Step(now, ev)
	require.GreaterOrEqual(t, h.NextOffset(), before, "the host went back to an earlier offset")
}

func drawRecord(t *rapid.T, offset int) []byte {
	id := fmt.Sprint(offset)
	base := int64(rapid.IntRange(0, offset).Draw(t, "base"))
	name := rapid.SampledFrom([]string{"scan", "print"}).Draw(t, "name")
	var b []byte
	var err error
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		b, err = table.Encode(table.Edit{ID: id, Row: name, Base: base, Drop: true})
	case 1:
		b, err = table.Encode(table.QuotaEdit{ID: id, Organisation: name, Base: base, Tasks: 7, Domains: map[string]int64{"a": base, "b": 1}})
	case 2:
		b, err = table.Encode(table.ShareConfirmation{Organisation: name, Version: base, Domain: "a"})
	case 3:
		b = []byte(`{"kind":"edit","sum":1,"body":{}}`)
	default:
		fields := fmt.Sprintf(`{"weight":%d}`, rapid.IntRange(-1, 5).Draw(t, "weight"))
		b, err = table.Encode(table.Edit{ID: id, Row: name, Base: base, Fields: json.RawMessage(fields)})
	}
	require.NoError(t, err)
	return b
}

// An operator moves quota between failure domains while one of them is cut off and still applies
// its old share. At no time may the shares that the domains apply add up to more than the quota.
func TestQuotaSharesAddUpWhileTheyMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const whole = 100
		l := newLog(t)
		domains := map[string]*table.Table{"a": table.New(), "b": table.New(), "c": table.New()}
		add := func(v any) {
			var b []byte
			var err error
			switch v := v.(type) {
			case table.QuotaEdit:
				b, err = table.Encode(v)
			case table.ShareConfirmation:
				b, err = table.Encode(v)
			}
			require.NoError(t, err)
			l.add(b)
		}
		weight := rapid.Int64Range(0, 9)
		t.Repeat(map[string]func(*rapid.T){
			"edit": func(t *rapid.T) {
				newest := table.New()
				newest.Step(now, table.Records{Entries: l.all})
				base := int64(0)
				if q := newest.Organisations(); len(q) > 0 {
					base = q[0].Version
				}
				add(table.QuotaEdit{
					ID: fmt.Sprint(len(l.all)), Organisation: "x", Base: base, Tasks: whole, Capacity: cell.Size{CPU: whole, Mem: whole, Accel: 1},
					Domains: map[string]int64{"a": weight.Draw(t, "a"), "b": weight.Draw(t, "b"), "c": weight.Draw(t, "c")},
				})
			},
			"read": func(t *rapid.T) {
				d := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
				to := rapid.IntRange(0, len(l.all)).Draw(t, "to")
				domains[d].Step(now, table.Records{Entries: l.all[:to]})
				for _, s := range domains[d].UnconfirmedShares(d) {
					add(s)
				}
			},
			"": func(t *rapid.T) {
				var tasks, cpu, accel int64
				for d, tab := range domains {
					s, _ := tab.OrganisationShare("x", d)
					tasks, cpu, accel = tasks+s.Tasks, cpu+s.Capacity.CPU, accel+s.Capacity.Accel
				}
				require.LessOrEqual(t, tasks, int64(whole))
				require.LessOrEqual(t, cpu, int64(whole))
				require.LessOrEqual(t, accel, int64(1))
				for _, q := range domains["a"].Organisations() {
					if len(q.Unconfirmed) == 0 {
						require.Equal(t, int64(whole), q.Shares["a"].Tasks+q.Shares["b"].Tasks+q.Shares["c"].Tasks)
					}
				}
			},
		})
	})
}

func TestRowShareLeavesNoDomainUnboundedByRounding(t *testing.T) {
	all := []string{"a", "b", "c"}
	row := table.Row{Limits: table.Limits{Tasks: 2}}
	var sum int64
	for _, d := range all {
		s, ok := row.RowShare(d, all)
		require.True(t, ok)
		require.Equal(t, int64(table.NoLimit), s.Capacity.CPU)
		sum += s.Tasks
	}
	require.Equal(t, int64(2), sum)
	row.Domains = []string{"a"}
	_, ok := row.RowShare("b", all)
	require.False(t, ok)
}

// The log can contain anything: half a record, another program's record, or one that an attacker
// wrote. The reader must neither crash nor stop folding because of it.
func FuzzDecode(f *testing.F) {
	for kind, body := range map[string]string{
		"edit": `{"id":"a","row":"scan","base":0,"fields":{"weight":2}}`, "quota": `{"id":"b","team":"x","base":0,"tasks":3,"domains":{"a":1}}`,
		"settle": `{"team":"x","version":1,"domain":"a"}`, "later": `{}`,
		"snapshot": `{"next":4,"part":0,"of":1,"whole":0,"when":0,"piece":"e30="}`,
	} {
		f.Add(kind, []byte(body))
	}
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		sealed, err := json.Marshal(map[string]any{
			"kind": kind, "sum": xxhash.Sum64String(kind + "\x00" + string(body)), "body": json.RawMessage(body),
		})
		if err != nil {
			sealed = body
		}
		for _, b := range [][]byte{body, sealed} {
			tab := table.New()
			for range 3 {
				tab.Step(now, table.Records{Entries: []table.Entry{{Offset: 1, Body: b}}})
			}
			require.Equal(t, int64(2), tab.NextOffset())
			table.New().Step(now, table.TrimmedLog{Entries: []table.Entry{{Offset: 9, Body: b}}})
			table.New().Step(now, table.PeerCopy{Parts: [][]byte{b}})
		}
	})
}
