package sched

import (
	"maps"
	"slices"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/policy"
)

// advice holds what the policy service has answered about one step.
type advice struct {
	// tickets holds the ticket of each worker that may run the step. An expired ticket still shows
	// that the worker may run it. denied holds the workers that may never run it.
	tickets map[string]ticket
	denied  map[string]bool
	// allowed lists the incarnations in tickets, sorted.
	allowed []string
	// queriedAt is when the query in flight was sent to host; queried lists the workers that it
	// names.
	queriedAt time.Time
	host      string
	queried   []string
	giveUpAt  time.Time
	nextQuery time.Time
	valid     time.Duration
	queue     string
}

type ticket struct {
	text  string
	until time.Time
}

const (
	// ticketMargin is how long before its expiry a ticket is no longer used: the start has to be
	// stored and sent within that time.
	ticketMargin = 250 * time.Millisecond
	// queryGrace is how long after its expected time a query is given up. The service is punctual:
	// a late answer was lost in a network cut or at a busy host.
	queryGrace = 500 * time.Millisecond
	// queryRetryDelay is the pause after no worker was found worth querying for a step that is not
	// in the most urgent queues. Without it every pass would check every worker for each step of a
	// backlog of thousands.
	queryRetryDelay = 100 * time.Millisecond
	// maxQueryWorkers is how many workers one query may name.
	maxQueryWorkers = 100
	// querySpare is the factor by which a query names more workers than the tasks need at the
	// measured share of allowed workers.
	querySpare = 1.3
	// maxExtraCost is the share by which a query may take longer in order to cover more workers
	// than the tasks need now. The answers stay valid, and later queries don't have to ask again in
	// vain. The extra workers cost almost nothing where the service takes most of its time for any
	// query, regardless of the number of workers.
	maxExtraCost = 0.25
	// initialAllowRate is the assumed share of allowed workers before any answer was measured, and
	// rateWeight the weight of a new measurement.
	initialAllowRate = 0.5
	rateWeight       = 0.1
)

// ticket returns the ticket with which a task may start on a worker, or false if there is no valid
// one. Queues without advice need no ticket.
func (s *Sched) ticket(t *flow.Task, w *worker) (string, bool) {
	if s.queue(t.Job).Advice == nil {
		return "", true
	}
	a, ok := s.advice[t.Step]
	if !ok {
		return "", false
	}
	got, ok := a.tickets[w.Incarnation]
	if !ok || !s.now.Before(got.until) {
		return "", false
	}
	return got.text, true
}

// hasTicket reports whether any worker has a valid ticket for the step, or the step needs none.
func (s *Sched) hasTicket(r readyStep) bool {
	if r.queue.Advice == nil {
		return true
	}
	a, ok := s.advice[r.stage]
	if !ok {
		return false
	}
	for _, got := range a.tickets {
		if s.now.Before(got.until) {
			return true
		}
	}
	return false
}

// allowedWorkers lists the workers of a pool that are known to be allowed to run a step. A step
// that the policy service was asked about has about a dozen, out of hundreds.
func (s *Sched) allowedWorkers(r readyStep, p *pool) []*worker {
	if r.queue.Advice == nil {
		return p.workers
	}
	a, ok := s.advice[r.stage]
	if !ok {
		return nil
	}
	all := make([]*worker, 0, len(a.allowed))
	for _, incarnation := range a.allowed {
		if w, ok := s.workers[incarnation]; ok && w.Service == r.queue.Service && w.usable(s.now) {
			all = append(all, w)
		}
	}
	return all
}

func (s *Sched) expireTicket(t *flow.Task, w *worker) {
	if a, ok := s.advice[t.Step]; ok {
		if got, ok := a.tickets[w.Incarnation]; ok {
			got.until = time.Time{}
			a.tickets[w.Incarnation] = got
		}
	}
}

// maybeQuery queries the policy service about a step with n waiting tasks, if no query is in flight
// and one is worthwhile.
func (s *Sched) maybeQuery(r readyStep, p *pool, n int) {
	a := s.adviceFor(r.stage)
	if !a.queriedAt.IsZero() {
		s.earmark(r, a)
		return
	}
	if s.now.Before(a.nextQuery) || p.knownFull(r.stage.Spec.Demand()) {
		return
	}
	name := s.hosts.PickOnce(s.queryKind(r), s.now)
	if name == "" {
		return
	}
	named := s.workersToQuery(r, a, p, n)
	if len(named) == 0 {
		if s.isLong(r.queue) {
			a.nextQuery = s.now.Add(queryRetryDelay)
		}
		return
	}
	s.queryPolicy(r, a, name, named)
	s.earmark(r, a)
}

// isLong reports whether a queue is not among the most urgent ones, whose queries are short.
func (s *Sched) isLong(q flow.Queue) bool { return q.Rank > s.top }

// maxHostWait is how long a step may wait for a host before it may use those that are kept free for
// urgent queries beyond their share.
const maxHostWait = time.Second

// queryKind returns the kind of a query about a step.
func (s *Sched) queryKind(r readyStep) policy.Kind {
	if !s.isLong(r.queue) {
		return policy.Urgent
	}
	if w, ok := s.waits[r.stage]; ok && w.times[WaitForHost] >= maxHostWait {
		return policy.Overdue
	}
	return policy.Long
}

// adviceFor returns the advice on a step and creates an empty one if there is none.
func (s *Sched) adviceFor(st *flow.Stage) *advice {
	a, ok := s.advice[st]
	if !ok {
		a = &advice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		s.advice[st] = a
	}
	return a
}

// queryPolicy makes a host query the policy service about a step.
func (s *Sched) queryPolicy(r readyStep, a *advice, name string, named []string) {
	cost := r.queue.Advice.Cost(len(named))
	answerBy := s.hosts.Assign(name, cost, s.isLong(r.queue), s.now)
	a.queriedAt, a.host, a.queried, a.giveUpAt = s.now, name, named, answerBy.Add(queryGrace)
	a.valid, a.queue = r.queue.Advice.Valid, r.queue.Name
	step := r.stage.Tasks[0].Name.StepName()
	s.queries[step] = r.stage
	s.emit(QueryPolicy{Host: name, Step: step, Workers: named, Timeout: a.giveUpAt.Sub(s.now)})
}

// earmark sets aside the capacity that the step is likely to take once its query is answered, so
// that no later step queries about the same free capacity.
func (s *Sched) earmark(r readyStep, a *advice) {
	demand := r.stage.Spec.Demand()
	want := float64(len(r.tasks))
	for _, incarnation := range a.queried {
		w, ok := s.workers[incarnation]
		if !ok || !demand.Fits(w.free()) {
			continue
		}
		part := s.allowRate(r.queue)
		if _, known := a.tickets[incarnation]; known {
			part = 1
		}
		likely := min(part*float64(r.taskCapacity(w)), want)
		w.earmarked = w.earmarked.Add(demand.Scale(likely))
		if want -= likely; want <= 0 {
			return
		}
	}
}

// allowRate returns the measured share of workers that may run a step of a queue.
func (s *Sched) allowRate(q flow.Queue) float64 {
	if rate, ok := s.allowRates[q.Name]; ok {
		return rate
	}
	return initialAllowRate
}

func (s *Sched) policyReplied(ev PolicyReply) {
	// The step may be over, and its advice forgotten.
	if a, ok := s.advice[s.queries[ev.Step]]; ok && !a.queriedAt.IsZero() && a.host == ev.Host {
		delete(s.queries, ev.Step)
		s.recordReply(a, ev)
	}
	if ev.Failed {
		s.hosts.Failed(ev.Host, s.now)
	} else {
		s.hosts.Answered(ev.Host)
	}
}

func (s *Sched) recordReply(a *advice, ev PolicyReply) {
	a.queriedAt = time.Time{}
	if ev.Failed {
		s.emit(Note{ID: ev.Step, What: "advice failed", Detail: ev.Host})
		return
	}
	fresh, good := 0, 0
	for _, incarnation := range a.queried {
		text, ok := ev.Tickets[incarnation]
		_, known := a.tickets[incarnation]
		if !known {
			fresh++
		}
		switch {
		case ok:
			a.tickets[incarnation] = ticket{text: text, until: s.now.Add(a.valid - ticketMargin)}
			if i, found := slices.BinarySearch(a.allowed, incarnation); !found {
				a.allowed = slices.Insert(a.allowed, i, incarnation)
			}
			if !known {
				good++
			}
		default:
			a.denied[incarnation] = true
		}
	}
	if fresh > 0 {
		rate, ok := s.allowRates[a.queue]
		if !ok {
			rate = initialAllowRate
		}
		s.allowRates[a.queue] = max(rate+rateWeight*(float64(good)/float64(fresh)-rate), 0.05)
	}
	s.emit(Note{ID: ev.Step, What: "advice", Detail: ev.Host})
}

// expireQueries gives up queries that have taken too long.
func (s *Sched) expireQueries() {
	for _, step := range slices.Sorted(maps.Keys(s.queries)) {
		a, ok := s.advice[s.queries[step]]
		switch {
		case !ok:
			delete(s.queries, step)
		case s.now.After(a.giveUpAt):
			delete(s.queries, step)
			a.queriedAt = time.Time{}
			s.hosts.Failed(a.host, s.now)
			s.emit(Note{ID: step, What: "advice timed out", Detail: a.host})
		}
	}
}
