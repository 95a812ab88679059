package commands

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"pollencroft/internal/cell"
	"pollencroft/internal/tablefile"
	"pollencroft/pkg/client"
)

func firstArgument(words []string, what string) (string, error) {
	if len(words) == 0 {
		return "", &cell.ValueError{Field: what, Found: "missing", Allowed: "a name"}
	}
	return words[0], nil
}

// putPage sends an edit to the host. The first argument is the name of the row or organisation, which is
// appended to page, and the others are its fields. what names the first argument in errors.
func (o remote) putPage(page, what string, words []string) error {
	name, err := firstArgument(words, what)
	if err != nil {
		return err
	}
	body, err := fields(words[1:])
	if err != nil {
		return err
	}
	c, ctx, cancel, err := o.dial()
	if err != nil {
		return err
	}
	defer cancel()
	var now any
	if err := c.Put(ctx, page+name, "", body, &now); err != nil {
		return err
	}
	if o.json {
		return printJSON(now)
	}
	return nil
}

func setRow(o remote, words []string) error { return o.putPage("/table/", "row", words) }

func setQuota(o remote, words []string) error { return o.putPage("/quotas/", "team", words) }

func dropRow(o remote, words []string) error {
	name, err := firstArgument(words, "row")
	if err != nil {
		return err
	}
	c, ctx, cancel, err := o.dial()
	if err != nil {
		return err
	}
	defer cancel()
	return c.DropRow(ctx, name, "")
}

// dumpTable writes the table to a file. Together with loadTable it replaces an "edit" command
// that starts the operator's editor, because a process of this program must not start other
// processes. The operator runs the editor between the two commands.
func dumpTable(o remote, words []string) error {
	file, err := firstArgument(words, "file")
	if err != nil {
		return err
	}
	var rows []json.RawMessage
	if err := o.getPage("/table", &rows); err != nil {
		return err
	}
	text, err := tablefile.Dump(rows)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, text, 0o600), "write table")
}

// LostError reports how many of the changed rows were not written because of a concurrent edit.
type LostError struct{ Lost, Sent int }

func (e *LostError) Error() string {
	return fmt.Sprintf("%d of %d changed rows lost a race; dump again and repeat them", e.Lost, e.Sent)
}

// rowResult is the outcome of one changed row.
type rowResult struct {
	Row   string                 `json:"row"`
	State string                 `json:"state"`
	Lost  []tablefile.Difference `json:"lost,omitempty"`
}

// loadTable sends the rows that were changed in a file written by dumpTable.
func loadTable(o remote, words []string) error {
	file, err := firstArgument(words, "file")
	if err != nil {
		return err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read table")
	}
	changes, err := tablefile.Changes(text)
	if err != nil {
		return err
	}
	// All rows are validated before the first one is written, so that a mistyped column in one
	// row does not leave the file half applied.
	for _, ch := range changes {
		if err := o.sendChange(ch, true); err != nil && !errors.As(err, new(*client.RaceError)) {
			return errors.Wrapf(err, "row %s", ch.Row)
		}
	}
	return o.sendAll(changes)
}

func (o remote) sendAll(changes []tablefile.Change) error {
	lost := 0
	results := make([]rowResult, 0, len(changes))
	for _, ch := range changes {
		res, err := o.sendAndCompare(ch)
		if err != nil {
			return err
		}
		if res.State == "lost" {
			lost++
		}
		results = append(results, res)
		if !o.json {
			printResult(res)
		}
	}
	if o.json {
		if err := printJSON(results); err != nil {
			return err
		}
	}
	if lost > 0 {
		return &LostError{Lost: lost, Sent: len(changes)}
	}
	return nil
}

func (o remote) sendAndCompare(ch tablefile.Change) (rowResult, error) {
	err := o.sendChange(ch, false)
	var race *client.RaceError
	switch {
	case err == nil:
		return rowResult{Row: ch.Row, State: "accepted"}, nil
	case errors.As(err, &race):
		diff, err := ch.Compare(race.Row)
		return rowResult{Row: ch.Row, State: "lost", Lost: diff}, err
	default:
		return rowResult{}, errors.Wrapf(err, "row %s", ch.Row)
	}
}

func printResult(r rowResult) {
	fmt.Printf("%s: %s\n", r.Row, r.State)
	for _, d := range r.Lost {
		fmt.Printf("  %s: yours is %v, in force is %v\n", d.Column, d.Wanted, d.Current)
	}
}

// sendChange sends one change to the host. If try is set, the host only validates the change.
func (o remote) sendChange(ch tablefile.Change, try bool) error {
	c, ctx, cancel, err := o.dial()
	if err != nil {
		return err
	}
	defer cancel()
	version := strconv.FormatInt(ch.Version, 10)
	path := "/table/" + ch.Row
	switch {
	case try && ch.Drop:
		return nil
	case try:
		return c.Put(ctx, path+"?try=1", version, ch.Fields, nil)
	case ch.Drop:
		return c.DropRow(ctx, ch.Row, version)
	default:
		return c.Put(ctx, path, version, ch.Fields, nil)
	}
}
