package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"pollencroft/internal/cell"
	"pollencroft/internal/operator"
	"pollencroft/internal/table"
)

// maxArguments is the maximum number of arguments after the verb: a row name and its fields.
const maxArguments = 16

// tableVerbs maps each verb of the table command to its implementation. The empty verb shows
// the table.
var tableVerbs = map[string]func(o remote, words []string) error{
	"":       func(o remote, _ []string) error { return showTable(o) },
	"set":    setRow,
	"drop":   dropRow,
	"dump":   dumpTable,
	"load":   loadTable,
	"log":    func(o remote, _ []string) error { return showLog(o) },
	"status": func(o remote, _ []string) error { return showStatus(o) },
	"quotas": func(o remote, _ []string) error { return showQuotas(o) },
	"quota":  setQuota,
}

func init() {
	var o remote
	var verb string
	words := make([]string, maxArguments)
	register(command{
		name:    "table",
		summary: "show the table; set ROW field=value…, drop ROW, dump FILE, load FILE, log, status, quotas, quota ORGANISATION field=value…",
		flags: func(s *flaggy.Subcommand) {
			o.flags(s, defaultOperatorAddress)
			verb = ""
			clear(words)
			s.AddPositionalValue(&verb, "VERB", 1, false, "nothing to show the table")
			for i := range words {
				s.AddPositionalValue(&words[i], fmt.Sprint("WORD", i+1), i+2, false, "row, file or field=value")
				s.PositionalFlags[len(s.PositionalFlags)-1].Hidden = i > 1
			}
		},
		run: func() error {
			f, ok := tableVerbs[verb]
			if !ok {
				return &cell.ValueError{Field: "verb", Found: verb, Allowed: "set, drop, dump, load, log, status, quotas or quota"}
			}
			return f(o, nonEmptyPrefix(words))
		},
	})
}

// nonEmptyPrefix returns the arguments before the first empty one, because the parser leaves the
// arguments that are not on the command line empty.
func nonEmptyPrefix(words []string) []string {
	for i, w := range words {
		if w == "" {
			return words[:i]
		}
	}
	return words
}

// getPage fetches a page from the host's operator listener and decodes it into the value that
// into points to.
func (o remote) getPage(path string, into any) error {
	c, ctx, cancel, err := o.dial()
	if err != nil {
		return err
	}
	defer cancel()
	return c.Get(ctx, path, into)
}

// printRows prints v as JSON if --json is set. Otherwise it prints an aligned table with the column
// heads in head and the rows that each writes.
func (o remote) printRows(v any, head string, each func(w io.Writer)) error {
	if o.json {
		return printJSON(v)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, head)
	each(w)
	return w.Flush()
}

func showTable(o remote) error {
	var lines []table.Line
	if err := o.getPage("/table", &lines); err != nil {
		return err
	}
	const head = "ROW\tKIND\tCLASS\tTEAM\tWEIGHT\tSLOTS\tQUEUE\tTASKS\tCPU\tMEM\tACCEL\tDOMAINS\tTRIES\tIDEMPOTENT\tDEADLINE\tVERSION"
	return o.printRows(lines, head, func(w io.Writer) {
		for _, l := range lines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%t\t%s\t%d\n",
				l.Name, l.Kind, l.Class, l.Organisation, l.Weight, formatLimit(l.Limits.Slots), formatLimit(l.Limits.Queue), formatLimit(l.Limits.Tasks),
				formatLimit(l.Limits.Capacity.CPU), formatLimit(l.Limits.Capacity.Mem), formatLimit(l.Limits.Capacity.Accel),
				strings.Join(l.Domains, ","), l.Tries, l.Idempotent, l.Deadline, l.Version)
		}
	})
}

// formatLimit formats a limit. The absence of a limit is shown as a dash, because 0 would read as
// "nothing allowed".
func formatLimit(n int64) string {
	if n == 0 || n == table.NoLimit {
		return "-"
	}
	return fmt.Sprint(n)
}

func showLog(o remote) error {
	var past []table.HistoryEntry
	if err := o.getPage("/log", &past); err != nil {
		return err
	}
	return o.printRows(past, "OFFSET\tWHEN\tWHO\tROW\tVERDICT\tWHAT", func(w io.Writer) {
		for _, p := range past {
			verdict := "accepted"
			if !p.Accepted {
				verdict = "void: " + p.Reason
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", p.Offset, p.When.Format(time.RFC3339), p.Author, p.Row, verdict, p.Change)
		}
	})
}

func showStatus(o remote) error {
	var s operator.TableStatus
	if err := o.getPage("/status", &s); err != nil {
		return err
	}
	err := o.printRows(s, "HOST\tDOMAIN\tNEXT\tMARK\tHEARD", func(w io.Writer) {
		for _, h := range s.Hosts {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%08x\t%s\n", h.Host, h.Domain, h.Next, h.Mark, h.Heard.Format(time.RFC3339))
		}
	})
	if s.Unknown > 0 && !o.json {
		fmt.Printf("%d records are of kinds that this version does not know\n", s.Unknown)
	}
	return err
}

func showQuotas(o remote) error {
	var all []table.Quota
	if err := o.getPage("/quotas", &all); err != nil {
		return err
	}
	return o.printRows(all, "ORGANISATION\tDOMAIN\tTASKS\tCPU\tMEM\tACCEL\tWAITS FOR\tVERSION", func(w io.Writer) {
		for _, q := range all {
			for d, s := range q.Shares {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\n", q.Organisation, d, formatLimit(s.Tasks), formatLimit(s.Capacity.CPU),
					formatLimit(s.Capacity.Mem), formatLimit(s.Capacity.Accel), strings.Join(q.Unconfirmed, ","), q.Version)
			}
		}
	})
}

// fields parses arguments of the form field=value. A dot in a field name addresses a field of a
// nested object.
func fields(words []string) (map[string]any, error) {
	all := map[string]any{}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, &cell.ValueError{Field: "fields", Found: word, Allowed: "field=value"}
		}
		parts := strings.Split(name, ".")
		into := all
		for _, p := range parts[:len(parts)-1] {
			sub, ok := into[p].(map[string]any)
			if !ok {
				sub = map[string]any{}
				into[p] = sub
			}
			into = sub
		}
		into[parts[len(parts)-1]] = jsonValue(value)
	}
	return all, nil
}

// jsonValue returns s unchanged if it is valid JSON, such as a number or a boolean, and encodes
// it as a JSON string otherwise.
func jsonValue(s string) json.RawMessage {
	if json.Valid([]byte(s)) {
		return json.RawMessage(s)
	}
	b, _ := json.Marshal(s)
	return b
}
