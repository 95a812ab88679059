package sched

import (
	"slices"
	"time"

	"pollencroft/internal/flow"
)

// advice is what the policy service said of one step.
type advice struct {
	// tickets holds the ticket of each worker that may run the step; a ticket that
	// ran out still tells that the worker may. bad are those that may not, ever.
	tickets map[string]ticket
	denied  map[string]bool
	// allowed lists the lives in good, sorted.
	allowed []string
	// queriedAt is when the question under way was sent, to host, about named.
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
	// ticketMargin is how long before a ticket runs out it is used no more: a start
	// has to be stored and sent in that time.
	ticketMargin = 250 * time.Millisecond
	// queryGrace is how long after its expected time a question is given up: the
	// service is punctual, and what is late is lost in a cut or at a busy host.
	queryGrace = 500 * time.Millisecond
	// queryRetryDelay is the pause after no worker was found worth asking about for a step
	// that is not of the most urgent kind: a backlog of thousands would be looked
	// through, worker by worker, in every pass.
	queryRetryDelay = 100 * time.Millisecond
	// maxQueryWorkers is how many workers one question may name.
	maxQueryWorkers = 100
	// querySpare is by how much more workers are named than the tasks need by the
	// measured share of good ones.
	querySpare = 1.3
	// maxExtraCost is by what share a question may take longer to learn of more workers than
	// the tasks need now: the answer is for good, and the next question names none in
	// vain. It is nearly free where the service takes most of its time for a question
	// whatever it names.
	maxExtraCost = 0.25
	// initialAllowRate is the share of good workers before any was measured, and
	// rateWeight the weight of a new measurement.
	initialAllowRate = 0.5
	rateWeight       = 0.1
)

// ticket returns the ticket with which a task may start on a worker; false if
// there is none that holds. Queues without advice need none.
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

// hasTicket tells whether there is any worker with a ticket for the step, or none
// is needed.
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

// allowedWorkers lists the workers of a pool that may run a step, as far as that is known: a step
// of which the policy service was asked has a dozen, of hundreds.
func (s *Sched) allowedWorkers(r readyStep, p *pool) []*worker {
	if r.queue.Advice == nil {
		return p.workers
	}
	a, ok := s.advice[r.stage]
	if !ok {
		return nil
	}
	all := make([]*worker, 0, len(a.allowed))
	for _, life := range a.allowed {
		if w, ok := s.workers[life]; ok && w.Service == r.queue.Service && w.usable(s.now) {
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

// maybeQuery asks the policy service about a step of which n tasks wait.
func (s *Sched) maybeQuery(r readyStep, p *pool, n int) {
	a := s.adviceFor(r.stage)
	if !a.queriedAt.IsZero() {
		s.earmark(r, a)
		return
	}
	if s.now.Before(a.nextQuery) || p.knownFull(r.stage.Spec.Room()) {
		return
	}
	name := s.pickHostOnce(r.queue)
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

// adviceFor is what is known of a step.
func (s *Sched) adviceFor(st *flow.Stage) *advice {
	a, ok := s.advice[st]
	if !ok {
		a = &advice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		s.advice[st] = a
	}
	return a
}

// queryPolicy has a host queryPolicy the policy service.
func (s *Sched) queryPolicy(r readyStep, a *advice, name string, named []string) {
	cost := r.queue.Advice.Cost(len(named))
	h := s.hosts[name]
	if h.busyUntil.Before(s.now) {
		h.busyUntil = s.now
	}
	h.busyUntil = h.busyUntil.Add(cost)
	h.longQuery = s.isLong(r.queue)
	if !h.longQuery {
		s.urgentUsage.add(cost, s.now)
	}
	a.queriedAt, a.host, a.queried, a.giveUpAt = s.now, name, named, h.busyUntil.Add(queryGrace)
	a.valid, a.queue = r.queue.Advice.Valid, r.queue.Name
	s.emit(QueryPolicy{Host: name, Step: r.stage.Tasks[0].Name.StepName(), Workers: named, Timeout: a.giveUpAt.Sub(s.now)})
}

// earmark sets aside the room that the answer of a step's question is likely to take, so that
// nobody asks for a later step about the same hole.
func (s *Sched) earmark(r readyStep, a *advice) {
	room := r.stage.Spec.Room()
	want := float64(len(r.tasks))
	for _, life := range a.queried {
		w, ok := s.workers[life]
		if !ok || !room.Fits(w.free()) {
			continue
		}
		part := s.allowRate(r.queue)
		if _, known := a.tickets[life]; known {
			part = 1
		}
		likely := min(part*float64(r.taskCapacity(w)), want)
		w.earmarked = w.earmarked.Add(room.Times(likely))
		if want -= likely; want <= 0 {
			return
		}
	}
}

// allowRate is the measured share of workers that may run a step of a queue.
func (s *Sched) allowRate(q flow.Queue) float64 {
	if rate, ok := s.allowRates[q.Name]; ok {
		return rate
	}
	return initialAllowRate
}

func (s *Sched) policyReplied(ev PolicyReply) {
	for _, st := range s.stepsBeingQueried() {
		a := s.advice[st]
		if a.host != ev.Host || st.Tasks[0].Name.StepName() != ev.Step {
			continue
		}
		s.recordReply(a, ev)
	}
	if h, ok := s.hosts[ev.Host]; ok {
		if ev.Failed {
			h.queryFailed(s.now)
		} else {
			h.backoff = 0
		}
	}
}

func (s *Sched) recordReply(a *advice, ev PolicyReply) {
	a.queriedAt = time.Time{}
	if ev.Failed {
		s.emit(Note{ID: ev.Step, What: "advice failed", Detail: ev.Host})
		return
	}
	fresh, good := 0, 0
	for _, life := range a.queried {
		text, ok := ev.Tickets[life]
		_, known := a.tickets[life]
		if !known {
			fresh++
		}
		switch {
		case ok:
			a.tickets[life] = ticket{text: text, until: s.now.Add(a.valid - ticketMargin)}
			if i, found := slices.BinarySearch(a.allowed, life); !found {
				a.allowed = slices.Insert(a.allowed, i, life)
			}
			if !known {
				good++
			}
		default:
			a.denied[life] = true
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

// stepsBeingQueried lists the steps of which a question is under way, in order.
func (s *Sched) stepsBeingQueried() []*flow.Stage {
	var all []*flow.Stage
	for st, a := range s.advice {
		if !a.queriedAt.IsZero() {
			all = append(all, st)
		}
	}
	slices.SortFunc(all, func(a, b *flow.Stage) int { return compareNames(a.Tasks[0].Name, b.Tasks[0].Name) })
	return all
}

// expireQueries gives up questions that took too long.
func (s *Sched) expireQueries() {
	for _, st := range s.stepsBeingQueried() {
		a := s.advice[st]
		if s.now.After(a.giveUpAt) {
			a.queriedAt = time.Time{}
			if h, ok := s.hosts[a.host]; ok {
				h.queryFailed(s.now)
			}
			s.emit(Note{ID: st.Tasks[0].Name.StepName(), What: "advice took too long", Detail: a.host})
		}
	}
}
