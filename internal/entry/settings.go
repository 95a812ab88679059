package entry

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"pollencroft/internal/sched"
)

// Settings are the settings of an entry host on the users' platform. Unknown keys are ignored,
// because the platform may add keys.
type Settings struct {
	Name   string `toml:"name"`
	Domain string `toml:"domain"`
	// Listen holds the addresses on which the host listens. Advertise is the address at which other
	// hosts reach Peer, if it is another one.
	Listen struct {
		Caller    netip.AddrPort `toml:"caller"`
		Ready     netip.AddrPort `toml:"ready"`
		Peer      netip.AddrPort `toml:"peer"`
		Advertise netip.AddrPort `toml:"advertise"`
		Metrics   netip.AddrPort `toml:"metrics"`
	} `toml:"listen"`
	// Store is the address of the platform's store. Policy is the address of the service that
	// decides which workers may run a step; it may be empty.
	Store  netip.AddrPort `toml:"store"`
	Policy string         `toml:"policy"`
	// Parts is the number of partitions of a topic in the store.
	Parts int `toml:"parts"`
	// ReadRate is the bandwidth in MB/s that all reads of the store share. Zero means
	// defaultReadRate.
	ReadRate float64 `toml:"readrate"`
	// Power is the number of cores of the host. The strongest host leads.
	Power float64 `toml:"power"`
	// Memory is the maximum memory use of the process, in MiB. Zero means defaultMemory.
	Memory int64 `toml:"memory"`
	// Files is the maximum number of descriptors of the process. Zero means that it is not limited.
	Files int `toml:"files"`
	// Times holds time limits. Each is a duration such as "900ms".
	Times struct {
		// Lease is the longest lease that workers grant.
		Lease Duration `toml:"lease"`
		// Stop is how long a run may take to stop.
		Stop Duration `toml:"stop"`
		// Grace is how long a planned stop of this host may take.
		Grace Duration `toml:"grace"`
		// Keep is how long the state of an ended job is reported.
		Keep Duration `toml:"keep"`
		// Trust is how long a host that cannot read the table goes on to accept and cancel jobs by
		// the keys that it knows. Zero means defaultTrust.
		Trust Duration `toml:"trust"`
	} `toml:"times"`
	// Agents says when a leader sends orders to workers through other hosts.
	Agents struct {
		// Workers is the number of workers to which a host sends orders for each of its cores. Zero
		// means agent.DefaultWorkersPerCore.
		Workers float64 `toml:"workers"`
	} `toml:"agents"`
	Log string `toml:"log"`
	// Off lists mechanisms of the scheduler that are switched off.
	Off []sched.Mechanism `toml:"off"`
}

// defaultTrust is used if the settings don't set the time.
const defaultTrust = Duration(5 * time.Second)

// Duration is a duration in a settings file.
type Duration time.Duration

// UnmarshalText parses a duration such as 1.5s.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return errors.Wrap(err, "read duration")
}

// FieldError is returned for a key that is missing or invalid.
type FieldError struct{ Path, Key, Reason string }

func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Path, e.Key, e.Reason)
}

// peerAddr returns the address at which other hosts reach this one.
func (s Settings) peerAddr() netip.AddrPort {
	if s.Listen.Advertise.IsValid() {
		return s.Listen.Advertise
	}
	return s.Listen.Peer
}

// Load reads and checks a settings file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		return Settings{}, &FieldError{Path: path, Key: "file", Reason: err.Error()}
	}
	return s, s.check(path)
}

func (s Settings) check(path string) error {
	missing := func(key string) error { return &FieldError{Path: path, Key: key, Reason: "is missing"} }
	switch {
	case s.Name == "":
		return missing("name")
	case s.Domain == "":
		return missing("domain")
	case !s.Listen.Caller.IsValid():
		return missing("listen.caller")
	case !s.Listen.Ready.IsValid():
		return missing("listen.ready")
	case !s.Listen.Peer.IsValid():
		return missing("listen.peer")
	case !s.Store.IsValid():
		return missing("store")
	case s.Parts < 1:
		return missing("parts")
	}
	if s.Policy != "" {
		if _, err := netip.ParseAddrPort(s.Policy); err != nil {
			return &FieldError{Path: path, Key: "policy", Reason: err.Error()}
		}
	}
	for _, m := range s.Off {
		if !slices.Contains(sched.Mechanisms(), m) {
			return &FieldError{Path: path, Key: "off", Reason: fmt.Sprintf("%q is none of %q", m, sched.Mechanisms())}
		}
	}
	return s.checkNumbers(path)
}

func (s Settings) checkNumbers(path string) error {
	for key, v := range map[string]float64{"readrate": s.ReadRate, "agents.workers": s.Agents.Workers} {
		if v < 0 {
			return &FieldError{Path: path, Key: key, Reason: "has to be 0 or more"}
		}
	}
	if s.Memory < 0 {
		return &FieldError{Path: path, Key: "memory", Reason: "has to be 0 or more"}
	}
	if s.Files != 0 && s.Files <= reservedFiles {
		return &FieldError{Path: path, Key: "files", Reason: fmt.Sprintf("has to be 0 or more than %d", reservedFiles)}
	}
	if s.Times.Trust < 0 {
		return &FieldError{Path: path, Key: "times.trust", Reason: "has to be 0s or more"}
	}
	times := map[string]Duration{"times.lease": s.Times.Lease, "times.stop": s.Times.Stop, "times.grace": s.Times.Grace, "times.keep": s.Times.Keep}
	for key, d := range times {
		if d <= 0 {
			return &FieldError{Path: path, Key: key, Reason: "has to be more than 0s"}
		}
	}
	return nil
}
