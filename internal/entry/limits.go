package entry

import (
	"cmp"
	"time"

	"pollencroft/internal/http1"
)

const (
	// defaultMemory is the memory of a host whose settings don't set it, in MiB.
	defaultMemory = 284
	// reservedFiles is how many descriptors are not available for connections.
	reservedFiles = 200
	// callerFiles is the part of the other descriptors that connections of callers may use. The rest
	// is for the store, the workers and other hosts.
	callerFiles = 0.8
	// callerConnMemory is the part of the memory that open connections of callers may take,
	// callerBodyMemory the part that large requests may take in addition.
	callerConnMemory = 0.45
	callerBodyMemory = 1.0 / 16
	// jobMemory is the part of a leader's memory that jobs may take.
	jobMemory = 0.4
)

// Timeouts of callers' connections.
const (
	// headerTimeout is the time that the table's limits allow for reading a request header.
	headerTimeout = 3 * time.Second
	// idleTimeout is longer than callers keep connections open between requests.
	idleTimeout = 30 * time.Second
)

// checkLimits are the limits of readiness checks and of reads of the metrics.
var checkLimits = http1.Limits{Conns: 64, Bytes: 1 << 20, Header: headerTimeout, Idle: idleTimeout}

// memory returns the memory of the process in bytes.
func (s Settings) memory() int64 { return cmp.Or(s.Memory, defaultMemory) << 20 }

// jobMemory returns how much memory jobs may take in a leader, in bytes.
func (s Settings) jobMemory() int64 { return int64(jobMemory * float64(s.memory())) }

// callerLimits returns the limits of callers' connections, which follow from the host's machine.
func (s Settings) callerLimits() http1.Limits {
	conns := int(callerConnMemory * float64(s.memory()) / http1.ConnCost)
	if s.Files > 0 {
		conns = min(conns, max(int(callerFiles*float64(s.Files-reservedFiles)), 1))
	}
	return http1.Limits{Conns: conns, Bytes: int64(callerBodyMemory * float64(s.memory())), Header: headerTimeout, Idle: idleTimeout}
}

// maxHeader returns the largest header of a request.
func (h *Host) maxHeader() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.table == nil || h.table.MaxHeader <= 0 {
		return http1.MaxHeader
	}
	return min(h.table.MaxHeader, http1.MaxHeader)
}
