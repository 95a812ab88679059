// Package tablefile writes the table as a TOML file that operators edit, and determines which rows
// they changed when it reads the file back.
package tablefile

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

// Keys of a row in the file that are not columns. The key "seen" holds a checksum of the row as it
// was dumped. Without it, a row that another operator has changed in the meantime would look as if
// this operator had changed it back.
const (
	keyVersion  = "version"
	keyChecksum = "seen"
	keyDrop     = "drop"
	keyName     = "name"
)

// Row holds the columns of one row as JSON values.
type Row map[string]any

// Change is one row that the operator changed in the file. Version is the version that was dumped,
// zero for a new row.
type Change struct {
	Row     string
	Version int64
	Drop    bool
	Fields  Row
}

const fileHeader = `# Change rows here and send them with "pollencroft table load FILE". Leave
# version and seen as they are; "drop = true" drops a row; a new row has neither.

`

// Dump encodes the table, given as the JSON of its rows, as a TOML file.
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

// decodeRow decodes a row and keeps whole numbers as integers. A plain decode would turn 2^40 bytes
// into a floating-point number, which the table rejects.
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

// Changes returns the rows of a file that differ from what was dumped, sorted by name. Errors in
// the file are cell.ValueErrors or TOML errors with the line.
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

// Difference is one column with the value that the operator wanted and the value in force.
type Difference struct {
	Column  string
	Wanted  any `json:"Mine"`
	Current any `json:"Theirs"`
}

// Compare returns the columns in which a rejected change differs from the row in force. The row is
// given as JSON, null if it no longer exists.
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
