package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is one error in a settings file.
type Fault struct {
	File    string
	Line    int
	Key     string
	Found   string
	Allowed string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d: %s is %s, allowed is %s", f.File, f.Line, f.Key, f.Found, f.Allowed)
}

// Faults are all errors in a settings file, sorted by line.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

const missing = "missing"

// reader looks up values by dotted key and collects faults.
type reader struct {
	path   string
	values map[string]any
	lines  map[string]int
	read   map[string]bool
	faults Faults
}

func newReader(path string, text []byte) (*reader, *Fault) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, syntaxFault(path, err)
	}
	r := &reader{path: path, values: map[string]any{}, lines: keyLines(text), read: map[string]bool{}}
	flatten("", tree, r.values)
	return r, nil
}

func syntaxFault(path string, err error) *Fault {
	f := &Fault{File: path, Line: 1, Key: "file", Found: err.Error(), Allowed: "TOML"}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		f.Line, _ = d.Position()
		f.Key = strings.Join(d.Key(), ".")
		f.Found = d.Error()
	}
	return f
}

func flatten(prefix string, v any, into map[string]any) {
	switch v := v.(type) {
	case map[string]any:
		for k, sub := range v {
			flatten(strings.TrimPrefix(prefix+"."+k, "."), sub, into)
		}
	case []any:
		for i, sub := range v {
			flatten(fmt.Sprintf("%s[%d]", prefix, i), sub, into)
		}
	default:
		into[prefix] = v
	}
}

// keyLines returns the line of each key, under the same dotted names as flatten.
func keyLines(text []byte) map[string]int {
	lines := map[string]int{}
	counts := map[string]int{}
	table := ""
	var p unstable.Parser
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyName(&p, e)
		switch e.Kind {
		case unstable.Table:
			table = name
		case unstable.ArrayTable:
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
		case unstable.KeyValue:
			name = strings.TrimPrefix(table+"."+name, ".")
			lines[name] = line
			continue
		}
		lines[table] = line
	}
	return lines
}

func keyName(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 1
	it := e.Key()
	for it.Next() {
		n := it.Node()
		if len(parts) == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		parts = append(parts, string(n.Data))
	}
	return strings.Join(parts, "."), line
}

func (r *reader) addFault(key, found, allowed string) {
	line, ok := r.lines[key]
	if !ok {
		line = max(1, r.lines[key[:max(0, strings.LastIndex(key, "."))]])
	}
	r.faults = append(r.faults, Fault{File: r.path, Line: line, Key: key, Found: found, Allowed: allowed})
}

func (r *reader) lookup(key string) (any, bool) {
	r.read[key] = true
	v, ok := r.values[key]
	return v, ok
}

func (r *reader) text(key, or string) string {
	v, ok := r.lookup(key)
	if !ok {
		return or
	}
	s, ok := v.(string)
	if !ok {
		r.addFault(key, fmt.Sprint(v), "a string")
	}
	return s
}

func (r *reader) word(key string) string {
	if _, ok := r.lookup(key); !ok {
		r.addFault(key, missing, "a word without spaces or slashes")
		return ""
	}
	s := r.text(key, "")
	if strings.ContainsAny(s, " \t/") || s == "" {
		r.addFault(key, fmt.Sprintf("%q", s), "a word without spaces or slashes")
	}
	return s
}

func (r *reader) address(key string) netip.AddrPort {
	if _, ok := r.lookup(key); !ok {
		r.addFault(key, missing, "an IP address and a port")
		return netip.AddrPort{}
	}
	s := r.text(key, "")
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		r.addFault(key, fmt.Sprintf("%q", s), "an IP address and a port")
	}
	return a
}

func (r *reader) count(key string, or int64) int64 {
	v, ok := r.lookup(key)
	if !ok {
		return or
	}
	n, ok := v.(int64)
	if !ok || n < 1 {
		r.addFault(key, fmt.Sprint(v), "a positive integer")
	}
	return n
}

func (r *reader) duration(key string, or time.Duration) time.Duration {
	return r.durationFrom(key, time.Nanosecond, or)
}

// durationFrom reads a duration that must be at least least.
func (r *reader) durationFrom(key string, least, or time.Duration) time.Duration {
	s := r.text(key, or.String())
	d, err := time.ParseDuration(s)
	if err != nil || d < least {
		r.addFault(key, fmt.Sprintf("%q", s), "a time such as 250ms or 3s")
	}
	return d
}

func (r *reader) oneOf(key, or string, allowed ...string) string {
	s := r.text(key, or)
	if !slices.Contains(allowed, s) {
		r.addFault(key, fmt.Sprintf("%q", s), strings.Join(allowed, ", "))
	}
	return s
}

func peerKey(i int, field string) string { return fmt.Sprintf("peers[%d].%s", i, field) }

func (r *reader) peers() []Peer {
	var all []Peer
	for i := 0; r.hasPrefix(fmt.Sprintf("peers[%d].", i)); i++ {
		all = append(all, Peer{
			Name:    r.word(peerKey(i, "name")),
			Domain:  r.word(peerKey(i, "domain")),
			Address: r.address(peerKey(i, "address")),
		})
	}
	return all
}

func (r *reader) hasPrefix(prefix string) bool {
	for key := range r.values {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

func (r *reader) rejectUnknown() {
	for _, key := range slices.Sorted(maps.Keys(r.values)) {
		if !r.read[key] {
			r.addFault(key, "an unknown key", "a key of the settings page")
		}
	}
}
