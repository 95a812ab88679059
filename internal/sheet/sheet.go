// Package sheet writes the table as a TOML file that operators edit and reads
// back which rows they changed.
package sheet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"pollencroft/internal/cell"
)

// Keys of a row in the file that are no columns. Seen is a sum over the row as
// it was dumped: without it, a row that another operator has changed meanwhile
// would look as if this one had changed it back.
const (
	keyVersion  = "version"
	keyChecksum = "seen"
	keyDrop     = "drop"
	keyName     = "name"
)

// Row is one row's columns as JSON values.
type Row map[string]any

// Change is one row that the operator changed in the file. Version is the one
// that was dumped, zero for a new row.
type Change struct {
	Row     string
	Version int64
	Drop    bool
	Fields  Row
}

const fileHeader = `# Change rows here and send them with "pollencroft table load FILE". Leave
# version and seen as they are; "drop = true" drops a row; a new row has neither.

`

// Dump writes the table, given as the JSON of its rows.
func Dump(rows []json.RawMessage) ([]byte, error) {
	all := map[string]Row{}
	for _, raw := range rows {
		row, err := decodeRow(raw)
		if err != nil {
			return nil, err
		}
		name, _ := row[keyName].(string)
		delete(row, keyName)
		version := row[keyVersion]
		delete(row, keyVersion)
		row[keyChecksum] = checksum(row)
		row[keyVersion] = version
		all[name] = row
	}
	var b bytes.Buffer
	b.WriteString(fileHeader)
	err := toml.NewEncoder(&b).Encode(map[string]any{"rows": all})
	return b.Bytes(), errors.Wrap(err, "write table as TOML")
}

// decodeRow keeps whole numbers whole; a plain decode would turn 2^40 bytes into a
// number with a point, which the table refuses.
func decodeRow(raw json.RawMessage) (Row, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var row Row
	if err := d.Decode(&row); err != nil {
		return nil, errors.Wrap(err, "read row")
	}
	convertIntegers(row)
	return row, nil
}

func convertIntegers(m map[string]any) {
	for k, v := range m {
		switch v := v.(type) {
		case json.Number:
			if n, err := v.Int64(); err == nil {
				m[k] = n
			}
		case map[string]any:
			convertIntegers(v)
		}
	}
}

func checksum(columns Row) string {
	b, err := json.Marshal(columns)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(b), 36)
}

// Changes lists the rows of a file that differ from what was dumped, in order
// of name. Errors in the file are cell.ValueErrors or toml's with the line.
func Changes(text []byte) ([]Change, error) {
	var file struct {
		Rows map[string]Row `toml:"rows"`
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, errors.Wrap(err, "read table from TOML")
	}
	var all []Change
	for _, name := range slices.Sorted(maps.Keys(file.Rows)) {
		c, changed, err := parseRow(name, file.Rows[name])
		if err != nil {
			return nil, err
		}
		if changed {
			all = append(all, c)
		}
	}
	return all, nil
}

func parseRow(name string, row Row) (Change, bool, error) {
	c := Change{Row: name, Fields: maps.Clone(row)}
	var ok bool
	if v, has := row[keyVersion]; has {
		if c.Version, ok = v.(int64); !ok {
			return c, false, &cell.ValueError{Field: name + ".version", Found: fmt.Sprint(v), Allowed: "the version that was dumped"}
		}
	}
	if v, has := row[keyDrop]; has {
		if c.Drop, ok = v.(bool); !ok {
			return c, false, &cell.ValueError{Field: name + ".drop", Found: fmt.Sprint(v), Allowed: "true or false"}
		}
	}
	for _, key := range []string{keyVersion, keyDrop, keyChecksum} {
		delete(c.Fields, key)
	}
	return c, c.Drop || row[keyChecksum] != checksum(c.Fields), nil
}

// Difference is one column with the value that was wanted and the one in force.
type Difference struct {
	Column          string
	Wanted, Current any
}

// Compare lists the columns in which a lost change differs from the row in
// force, given as JSON, null when the row is gone.
func (c Change) Compare(theirs json.RawMessage) ([]Difference, error) {
	row, err := decodeRow(theirs)
	if err != nil {
		return nil, err
	}
	var all []Difference
	for _, col := range slices.Sorted(maps.Keys(c.Fields)) {
		if fmt.Sprint(c.Fields[col]) != fmt.Sprint(row[col]) {
			all = append(all, Difference{Column: col, Wanted: c.Fields[col], Current: row[col]})
		}
	}
	return all, nil
}
