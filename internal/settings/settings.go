// Package settings reads and checks the TOML settings of one entry host.
package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings are the settings of one entry host.
type Settings struct {
	Name     string
	Domain   string
	Listen   Listen
	Platform netip.AddrPort
	Peers    []Peer
	Operator Operator
	TLS      TLS
	Limits   Limits
	Trace    Trace
	Log      string
}

// Listen holds the addresses that a host listens on.
type Listen struct {
	Caller, Operator, Peer netip.AddrPort
}

// Peer is another entry host.
type Peer struct {
	Name, Domain string
	Address      netip.AddrPort
}

// Operator holds the token that clients of the operators' listener must present.
type Operator struct{ Token string }

// TLS names the PEM files for connections between hosts and to operators: this host's certificate,
// its key, and the certificate authorities that it trusts. Without them connections are not
// encrypted.
type TLS struct{ Cert, Key, CA string }

// Limits bound the load that one host accepts.
type Limits struct {
	// Body is the largest request or reply body in bytes.
	Body int64
	// Queue is how many requests may wait.
	Queue int64
	// Deadline is the longest time that a caller may ask to wait.
	Deadline time.Duration
	// StartupWait is how long a started host waits before it uses its share of the backend servers,
	// so that requests sent by a previous process of the same name have ended. It may be 0s only
	// when the whole cell starts for the first time.
	StartupWait time.Duration
	// Conns is how many connections each listener for callers and operators accepts at a time.
	// Memory is how many bytes of callers' requests the host holds.
	Conns, Memory int64
	// ShutdownDelay is how long a stopping host still accepts callers after it reports that it is
	// not ready: the time that the load balancer may need to notice. Zero closes at once.
	ShutdownDelay time.Duration
	// DrainTimeout bounds the duration of a planned stop.
	DrainTimeout time.Duration
}

// Trace configures where spans are sent. At most one of the fields is set.
type Trace struct {
	File     string
	Endpoint string
}

// Defaults for keys that are missing from a file.
const (
	DefaultBody = 1 << 20
	// MaxBody in base64 still fits into one message between hosts.
	MaxBody              = 4 << 20
	DefaultQueue         = 4096
	DefaultDeadline      = time.Minute
	DefaultConns         = 2048
	DefaultMemory        = 96 << 20
	DefaultShutdownDelay = time.Second
	DefaultDrain         = 30 * time.Second
	DefaultLog           = "info"
)

// Load reads a settings file. It returns all errors in the file at once, as Faults.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(path, b)
}

// Parse reads settings from text. The path only appears in the faults.
func Parse(path string, text []byte) (Settings, error) {
	r, fault := newReader(path, text)
	if fault != nil {
		return Settings{}, Faults{*fault}
	}
	s := read(r)
	r.rejectUnknown()
	s.check(r)
	if len(r.faults) > 0 {
		slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
		return Settings{}, r.faults
	}
	return s, nil
}

// Keys returns every key that a settings file may hold, sorted.
func Keys() []string {
	r := &reader{values: map[string]any{peerKey(0, "name"): ""}, lines: map[string]int{}, read: map[string]bool{}}
	read(r)
	return slices.Sorted(maps.Keys(r.read))
}

func read(r *reader) Settings {
	s := Settings{
		Name:   r.word("name"),
		Domain: r.word("domain"),
		Listen: Listen{
			Caller:   r.address("listen.caller"),
			Operator: r.address("listen.operator"),
			Peer:     r.address("listen.peer"),
		},
		Platform: r.address("platform.address"),
		Peers:    r.peers(),
		Operator: Operator{Token: r.text("operator.token", "")},
		TLS:      TLS{Cert: r.text("tls.cert", ""), Key: r.text("tls.key", ""), CA: r.text("tls.ca", "")},
		Limits: Limits{
			Body:          r.count("limits.body", DefaultBody),
			Queue:         r.count("limits.queue", DefaultQueue),
			Deadline:      r.duration("limits.deadline", DefaultDeadline),
			Conns:         r.count("limits.conns", DefaultConns),
			Memory:        r.count("limits.memory", DefaultMemory),
			ShutdownDelay: r.duration("limits.leave", DefaultShutdownDelay),
			DrainTimeout:  r.duration("limits.drain", DefaultDrain),
		},
		Trace: Trace{File: r.text("trace.file", ""), Endpoint: r.text("trace.endpoint", "")},
		Log:   r.oneOf("log", DefaultLog, "debug", "info", "warn", "error"),
	}
	s.Limits.StartupWait = r.durationFrom("limits.settle", 0, s.Limits.Deadline)
	return s
}

func (s Settings) check(r *reader) {
	if s.Trace.File != "" && s.Trace.Endpoint != "" {
		r.addFault("trace.endpoint", s.Trace.Endpoint, "no value while trace.file is set")
	}
	for key, path := range map[string]string{"tls.cert": s.TLS.Cert, "tls.key": s.TLS.Key, "tls.ca": s.TLS.CA} {
		if path == "" && s.TLS != (TLS{}) {
			r.addFault(key, missing, "a file, because the other TLS keys are set")
		}
	}
	seen := map[string]bool{s.Name: true}
	for i, p := range s.Peers {
		if p.Name != "" && seen[p.Name] {
			r.addFault(peerKey(i, "name"), p.Name, "a name that no other host has")
		}
		seen[p.Name] = true
	}
	if s.Limits.Body > MaxBody {
		r.addFault("limits.body", strconv.FormatInt(s.Limits.Body, 10), fmt.Sprintf("at most %d", MaxBody))
	}
	if strings.Contains(s.Domain, ".") {
		r.addFault("domain", s.Domain, "a word without dots")
	}
}
