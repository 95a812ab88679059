package sched

import "slices"

// Mechanism is a part of the policy that can be switched off, so that its worth can be
// measured, and so that an operator can do without one that misbehaves.
type Mechanism string

// The mechanisms.
const (
	// AdaptUrgentHosts keeps hosts free of long questions by what urgent ones take.
	AdaptUrgentHosts Mechanism = "keep-few-hosts"
	// QueryMoreWorkers learns of more workers with a question than the tasks need now.
	QueryMoreWorkers Mechanism = "name-more"
	// PrefetchTickets gets tickets while workers are still full.
	PrefetchTickets Mechanism = "ask-ahead"
	// ReserveForWide holds room for tasks that need half a worker or more.
	ReserveForWide Mechanism = "reserve-for-wide"
	// PreemptBulk stops bulk that saves its progress for more urgent work.
	PreemptBulk Mechanism = "give-way"
	// OnTimeFirst has work go first that can still be in time.
	OnTimeFirst Mechanism = "in-time-first"
	// LimitPassTime bounds what passes take of the lead's time.
	LimitPassTime Mechanism = "pace-passes"
)

// Mechanisms lists all of them.
func Mechanisms() []Mechanism {
	return []Mechanism{AdaptUrgentHosts, QueryMoreWorkers, PrefetchTickets, ReserveForWide, PreemptBulk, OnTimeFirst, LimitPassTime}
}

// enabled tells whether a mechanism is in use.
func (s *Sched) enabled(m Mechanism) bool { return !slices.Contains(s.limits.Disabled, m) }
