// Package report sums up, from the log lines of any number of hosts, which jobs were accepted and
// rejected, waited, were late and were stopped for others, by window of time, queue, organisation
// and failure domain.
package report

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pollencroft/internal/logs"
	"pollencroft/internal/timeline"
)

// Options say how to sum up.
type Options struct {
	// Window is the length of the windows of time.
	Window time.Duration
	// By lists what to sum up by, of Dimensions.
	By []string
	// Jobs is how many jobs each list of single jobs shows.
	Jobs int
}

// Dimensions are what a report can sum up by, besides windows of time.
var Dimensions = []string{"queue", "organisation", "domain"}

// OptionError reports an option that has no meaning.
type OptionError struct{ Option, Found, Allowed string }

func (e *OptionError) Error() string {
	return fmt.Sprintf("%s: found %q, allowed is %s", e.Option, e.Found, e.Allowed)
}

func (o Options) check() error {
	if o.Window <= 0 {
		return &OptionError{"window", o.Window.String(), "more than 0"}
	}
	if o.Jobs < 0 {
		return &OptionError{"jobs", fmt.Sprint(o.Jobs), "0 or more"}
	}
	for _, d := range o.By {
		if !slices.Contains(Dimensions, d) {
			return &OptionError{"by", d, strings.Join(Dimensions, ", ")}
		}
	}
	return nil
}

// unknown stands for a queue, organisation, domain or host that no line names.
const unknown = "-"

type key struct {
	window                      time.Time
	queue, organisation, domain string
}

// row is the sums of one key.
type row struct {
	accepted, rejected, returned, ended, failed, late, waited, waiting, stopped int

	waits waitTimes
}

// outcome is what the report tells about one job.
type outcome struct {
	id, queue, organisation, domain, host string

	accepted       bool
	counted        bool
	acceptedAt     time.Time
	queuedAt       time.Time
	queuedBy       string
	refused        *refusal
	ended          *ended
	waitsSince     time.Time
	waitDetail     string
	waitingWindows map[time.Time]bool
}

// refusal is a rejection after which the caller was asked to return.
type refusal struct {
	at time.Time
	rejectionKey
}

type rejectionKey struct {
	key
	code          int
	reason, retry string
}

// rejectionSums are the rejections with one code, reason and Retry-After, and when their callers
// returned, in milliseconds. after is nil until one has returned.
type rejectionSums struct {
	n, returned, untimed, away int
	after                      *hdrhistogram.Histogram
}

// stopKey is whose runs were stopped in a window, why and for whom.
type stopKey struct {
	window time.Time

	queue, organisation, why, forQueue, forOrganisation string
}

type runKey struct {
	task string
	run  int
}

// loadSums are the sums over the load summaries of one window.
type loadSums struct {
	term, n             int64
	used, free, queries int64
	waiting             map[waitKey]waitingWork
}

type waitKey struct {
	rank   int64
	reason string
}

// Report is the sums over the lines that were read.
type Report struct {
	o          Options
	lines      int
	unreadable int
	omissions  *omissions
	rows       map[key]*row
	latencies  map[key]*latencySums
	jobs       map[string]*outcome
	rejections map[rejectionKey]*rejectionSums
	stops      map[stopKey]int
	stoppedRun map[runKey]bool
	loads      map[time.Time]*loadSums
	terms      map[int64]bool
	notices    []string
}

type timedEvent struct {
	at time.Time
	event
}

// Read sums up the log lines of r. If r cannot be read to its end, it returns the report of what was
// read with the error.
func Read(r io.Reader, o Options) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	rep := &Report{
		o: o, omissions: newOmissions(o.Window), rows: map[key]*row{}, latencies: map[key]*latencySums{}, jobs: map[string]*outcome{},
		rejections: map[rejectionKey]*rejectionSums{}, stops: map[stopKey]int{}, stoppedRun: map[runKey]bool{},
		loads: map[time.Time]*loadSums{}, terms: map[int64]bool{},
	}
	var all []timedEvent
	unreadable, err := timeline.Scan(r, func(e timeline.Entry) {
		rep.lines++
		if ev := rep.decode(e); ev != nil {
			all = append(all, timedEvent{e.At, ev})
		}
	})
	rep.unreadable = unreadable
	slices.SortStableFunc(all, func(a, b timedEvent) int { return a.at.Compare(b.at) })
	for _, ev := range all {
		rep.learn(ev)
	}
	for _, ev := range all {
		rep.add(ev)
	}
	rep.finish()
	return rep, err
}

// decode returns what a line says, or nil if the report does not need it.
func (r *Report) decode(e timeline.Entry) event {
	e.At = e.At.UTC()
	host := hostOf(e)
	if e.Message == logs.OmissionMessage {
		r.omissions.reportedBy(host, e)
		return nil
	}
	decode, ok := decoders[e.Message]
	if !ok {
		return nil
	}
	if e.At.IsZero() {
		r.omissions.malformedLine(e)
		return nil
	}
	r.omissions.follow(host, e.Message, e.At)
	a := &attrs{e: e, host: host}
	ev := decode(a)
	if a.bad {
		r.omissions.malformedLine(e)
		return nil
	}
	return ev
}

// job returns what is known about a job.
func (r *Report) job(id string) *outcome {
	j, ok := r.jobs[id]
	if !ok {
		j = &outcome{id: id, queue: unknown, organisation: unknown, domain: unknown, waitingWindows: map[time.Time]bool{}}
		r.jobs[id] = j
	}
	return j
}

// learn notes whose job it is: not every line says it, and the lines of several hosts may be in any
// order.
func (r *Report) learn(ev timedEvent) {
	switch e := ev.event.(type) {
	case accepted:
		j := r.job(e.id)
		j.is(e.queue, e.organisation)
		if !j.accepted {
			j.accepted, j.acceptedAt, j.domain, j.host = true, ev.at, e.domain, e.host
		}
	case rejected:
		j := r.job(e.id)
		j.is(e.queue, e.organisation)
		if j.domain == unknown {
			j.domain = e.domain
		}
	case queued:
		j := r.job(e.id)
		j.is(e.queue, e.organisation)
		if j.queuedAt.IsZero() {
			j.queuedAt, j.queuedBy = ev.at, e.host
		}
	case ended:
		r.job(e.id).is(e.queue, e.organisation)
	case stepWaits:
		r.job(jobOf(e.step)).is(e.queue, e.organisation)
	case stopped:
		r.job(jobOf(e.task)).is(e.queue, e.organisation)
	case load:
	}
}

func (j *outcome) is(queue, organisation string) {
	j.queue = queue
	if organisation != "" {
		j.organisation = organisation
	}
}

// key returns the key of an event about a job. domain is the job's unless the event names another.
func (r *Report) key(at time.Time, j *outcome, domain string) key {
	k := key{window: at.Truncate(r.o.Window)}
	for _, d := range r.o.By {
		switch d {
		case "queue":
			k.queue = j.queue
		case "organisation":
			k.organisation = j.organisation
		case "domain":
			k.domain = domain
		}
	}
	return k
}

// row returns the sums of a key.
func (r *Report) row(at time.Time, j *outcome, domain string) *row {
	k := r.key(at, j, domain)
	if r.rows[k] == nil {
		r.rows[k] = &row{}
	}
	return r.rows[k]
}

// add adds an event to the sums. Events are added in order of time.
func (r *Report) add(ev timedEvent) {
	switch e := ev.event.(type) {
	case accepted:
		j := r.job(e.id)
		r.returned(ev.at, j, e.domain)
		// A caller that did not hear the answer submits the same job again.
		if !j.counted {
			j.counted = true
			r.row(ev.at, j, e.domain).accepted++
		}
	case rejected:
		r.addRejected(ev.at, e)
	case queued:
	case ended:
		r.addEnded(ev.at, e)
	case stepWaits:
		j := r.job(jobOf(e.step))
		j.waitsSince, j.waitDetail = ev.at, e.detail
		if w := ev.at.Truncate(r.o.Window); !j.waitingWindows[w] {
			j.waitingWindows[w] = true
			r.row(ev.at, j, j.domain).waiting++
		}
	case stopped:
		r.addStopped(ev.at, e)
	case load:
		r.addLoad(ev.at, e)
	}
}

// maxReturnTime is the longest time until the return of a caller that is told apart from longer ones.
const maxReturnTime = time.Hour

// returned notes that a caller that was asked to return submits its job again.
func (r *Report) returned(at time.Time, j *outcome, domain string) {
	if j.refused == nil {
		return
	}
	s := r.rejections[j.refused.rejectionKey]
	s.returned++
	if s.after == nil {
		s.after = hdrhistogram.New(1, maxReturnTime.Milliseconds(), 2)
	}
	// A longer time is recorded as the longest one, which is always within the range.
	_ = s.after.RecordValue(min(at.Sub(j.refused.at).Milliseconds(), maxReturnTime.Milliseconds()))
	r.row(at, j, domain).returned++
	j.refused = nil
}

func (r *Report) addRejected(at time.Time, e rejected) {
	j := r.job(e.id)
	r.returned(at, j, e.domain)
	// What follows a colon differs from request to request.
	reason, _, _ := strings.Cut(e.reason, ":")
	k := rejectionKey{r.key(at, j, e.domain), e.code, reason, e.retry}
	s, ok := r.rejections[k]
	if !ok {
		s = &rejectionSums{}
		r.rejections[k] = s
	}
	s.n++
	if e.retry != "" {
		j.refused = &refusal{at, k}
	}
	r.row(at, j, e.domain).rejected++
}

// addEnded adds a final state. A leader writes the line again if the job's record is stored again,
// and so does its successor.
func (r *Report) addEnded(at time.Time, e ended) {
	j := r.job(e.id)
	if j.ended != nil {
		if j.ended.state != e.state {
			r.notice("job %s ended as %s in term %d and as %s in term %d", e.id, j.ended.state, j.ended.term, e.state, e.term)
		}
		return
	}
	j.ended = &e
	w := r.row(at, j, j.domain)
	w.ended++
	if e.state == "failed" {
		w.failed++
	}
	if e.late() {
		w.late++
		r.addLatency(at, j)
	}
	if e.waits.total() > 0 {
		w.waited++
	}
	for i, d := range e.waits {
		w.waits[i] += d
	}
}

// late reports whether the job missed its objective. A cancelled job misses nothing.
func (e ended) late() bool {
	return e.state != "cancelled" && e.objective > 0 && e.took > e.objective
}

func (r *Report) addStopped(at time.Time, e stopped) {
	k := runKey{e.task, e.run}
	if r.stoppedRun[k] {
		return
	}
	r.stoppedRun[k] = true
	j := r.job(jobOf(e.task))
	r.row(at, j, j.domain).stopped++
	// Numbers in a reason differ from run to run.
	why := strings.TrimSpace(strings.TrimRight(e.why, "0123456789.µnmsh "))
	s := stopKey{window: at.Truncate(r.o.Window), queue: j.queue, organisation: j.organisation, why: why, forQueue: unknown, forOrganisation: unknown}
	if e.beneficiary != "" {
		other := r.job(jobOf(e.beneficiary))
		s.forQueue, s.forOrganisation = other.queue, other.organisation
	}
	r.stops[s]++
}

// addLoad adds a leader's summary. If two leaders report in one window, the later term counts: the
// earlier one has lost the lead and may not know it.
func (r *Report) addLoad(at time.Time, e load) {
	w := at.Truncate(r.o.Window)
	r.terms[e.term] = true
	s := r.loads[w]
	if s == nil || s.term < e.term {
		s = &loadSums{term: e.term, waiting: map[waitKey]waitingWork{}}
		r.loads[w] = s
	}
	if s.term > e.term {
		return
	}
	s.n++
	s.used, s.free, s.queries = s.used+e.used, s.free+e.free, s.queries+e.queries
	for _, x := range e.waiting {
		k := waitKey{x.rank, x.reason}
		sum := s.waiting[k]
		sum.steps, sum.cpu = sum.steps+x.steps, sum.cpu+x.cpu
		s.waiting[k] = sum
	}
}

// finish counts the callers that did not return, and adds the notices.
func (r *Report) finish() {
	for _, j := range r.jobs {
		if j.refused == nil {
			continue
		}
		s := r.rejections[j.refused.rejectionKey]
		if j.accepted {
			// By the hosts' clocks the job was accepted before it was rejected.
			s.untimed++
		} else {
			s.away++
		}
	}
	r.compareClocks()
}

func (r *Report) notice(format string, args ...any) {
	r.notices = append(r.notices, fmt.Sprintf(format, args...))
}
