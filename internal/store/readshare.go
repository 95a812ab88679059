package store

import "time"

const (
	// defaultReadRate is the store's read bandwidth in MB/s if the settings do not name it.
	defaultReadRate = 80
	// queryReadShare is the share of that bandwidth that all hosts together may use for state
	// queries. The next leader has to read everything in the meantime.
	queryReadShare = 0.25
	// firstReadBytes is the assumed size of a read before the first one: three pages of 500 records.
	firstReadBytes = 2 << 20
)

// ReadShare limits how much a host reads to its share of the store's bandwidth. Without a leader
// every host gets queries that only the store can answer. Each of them reads pages of hundreds of
// kilobytes, and a hundred hosts that do so at once leave no bandwidth for the next leader.
type ReadShare struct {
	// rate is the bandwidth for all hosts together in bytes a second.
	rate float64
	// last is when the last read ended, bytes how much the last successful one read.
	last  time.Time
	bytes int
}

// NewReadShare returns the share of a host in the reads of a store with that bandwidth in MB/s; zero
// means defaultReadRate.
func NewReadShare(megabytes float64) ReadShare {
	if megabytes <= 0 {
		megabytes = defaultReadRate
	}
	return ReadShare{rate: queryReadShare * megabytes * 1e6}
}

// Wait returns how long a host has to wait before it may read. The hosts read in turn: the first of
// them at once, each other one after those before it.
func (s *ReadShare) Wait(now time.Time, rank, hosts int) time.Duration {
	bytes := s.bytes
	if bytes == 0 {
		bytes = firstReadBytes
	}
	turn := time.Duration(float64(bytes) / s.rate * float64(time.Second))
	period := time.Duration(hosts) * turn
	if s.last.IsZero() || now.Sub(s.last) >= period {
		return time.Duration(rank) * turn
	}
	return period - now.Sub(s.last)
}

// Record records a read that has just ended.
func (s *ReadShare) Record(now time.Time, bytes int) {
	s.last = now
	if bytes > 0 {
		s.bytes = bytes
	}
}
