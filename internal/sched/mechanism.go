package sched

import "slices"

// Mechanism is a part of the scheduling policy that can be switched off, to measure its effect or
// because it misbehaves.
type Mechanism string

const (
	// AdaptUrgentHosts adapts the number of hosts that are kept free of long queries to the load of
	// urgent ones.
	AdaptUrgentHosts Mechanism = "keep-few-hosts"
	// QueryMoreWorkers names more workers in a query than the tasks need now.
	QueryMoreWorkers Mechanism = "name-more"
	// PrefetchTickets gets tickets while workers are still full.
	PrefetchTickets Mechanism = "ask-ahead"
	// ReserveForWide reserves capacity for tasks that need half a worker or more.
	ReserveForWide Mechanism = "reserve-for-wide"
	// PreemptBulk stops bulk tasks that save their progress in favour of more urgent work.
	PreemptBulk Mechanism = "give-way"
	// OnTimeFirst places work first that can still be on time.
	OnTimeFirst Mechanism = "in-time-first"
	// LimitPassTime limits the share of the leader's time that passes take.
	LimitPassTime Mechanism = "pace-passes"
	// PassUrgentFirst places the most urgent steps by themselves while a pass over all steps has to
	// wait for its share of time.
	PassUrgentFirst Mechanism = "urgent-passes"
	// PreferBySpeed places tasks by the measured speeds of workers and their kinds.
	PreferBySpeed Mechanism = "prefer-by-speed"
	// SelectOnTime chooses the jobs that are to be on time while not all can be.
	SelectOnTime Mechanism = "select-on-time"
	// LearnTimes expects run times by those of runs that have ended, instead of as declared.
	LearnTimes Mechanism = "learn-times"
	// ReportLoad reports the loads because of which hosts reject jobs beyond an organisation's rate.
	ReportLoad Mechanism = "reject-late"
)

// Mechanisms lists all mechanisms.
func Mechanisms() []Mechanism {
	return []Mechanism{AdaptUrgentHosts, QueryMoreWorkers, PrefetchTickets, ReserveForWide, PreemptBulk, OnTimeFirst, LimitPassTime, PassUrgentFirst, PreferBySpeed, SelectOnTime, LearnTimes, ReportLoad}
}

// enabled reports whether a mechanism is in use.
func (s *Sched) enabled(m Mechanism) bool { return !slices.Contains(s.limits.Disabled, m) }
