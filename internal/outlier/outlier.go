// Package outlier sets aside backend servers that do worse than the rest: ones
// that fail or swallow requests, slow ones, ones that cannot be reached and
// ones that leave. A row's own fault makes all servers fail alike and so
// condemns none, and never more than a set share is set aside on suspicion.
package outlier

import (
	"maps"
	"slices"
	"time"
)

// Limits bound what is set aside.
type Limits struct {
	// MaxShare is the largest part of the servers that suspicion may set aside.
	MaxShare float64
	// FailureRate is the failure rate, and Slowness how many times the others' time,
	// from which a server is suspect.
	FailureRate, Slowness float64
	// MinResults is how many results must have been seen.
	MinResults int
	// StuckAfter is the least age at which a request without answer is a failure.
	StuckAfter time.Duration
	// Pause is the first time without work; it doubles up to MaxPause.
	Pause, MaxPause time.Duration
	// LeavingPause is how long a server that leaves gets no work.
	LeavingPause time.Duration
}

// DefaultLimits suit the minions of one failure domain.
var DefaultLimits = Limits{
	MaxShare: 0.34, FailureRate: 0.5, Slowness: 4, MinResults: 5, StuckAfter: time.Second,
	Pause: 2 * time.Second, MaxPause: time.Minute, LeavingPause: 30 * time.Second,
}

// State is what a server may get.
type State string

// The states of a server.
const (
	Trusted State = "trusted"
	// Quarantined gets nothing until its rest is over.
	Quarantined State = "aside"
	// Trial gets one request at a time until enough of them went well.
	Trial State = "trial"
	// Unavailable leaves or cannot be reached. It is known, not suspected.
	Unavailable State = "gone"
)

// requiredTrials is how many requests must go well before a server is trusted again.
const requiredTrials = 3

// alpha weighs a new result against the former ones.
const alpha = 0.125

type server struct {
	state                 State
	until                 time.Time
	pause                 time.Duration
	leavingSince          time.Time
	results, passedTrials int
	failureRate           float64
	slowness              float64
}

type request struct {
	backend, row string
	since        time.Time
	stuck        bool
}

// Detector is the core of one host.
type Detector struct {
	limits   Limits
	servers  map[string]*server
	inFlight map[string]*request
	// meanTimes are the rows' mean meanTimes over all servers.
	meanTimes map[string]float64
	lastCheck time.Time
}

// New returns a core that knows no servers.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, servers: map[string]*server{}, inFlight: map[string]*request{}, meanTimes: map[string]float64{}}
}

// Step takes one event and returns which servers changed their state.
func (o *Detector) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Sent:
		o.inFlight[ev.ID] = &request{backend: ev.Backend, row: ev.Row, since: now}
	case Ended:
		return o.ended(now, ev)
	case LeavingReported:
		return o.leavingReported(now, ev.Leaving)
	case ServersListed:
		o.setServers(ev.Backends)
	case Tick:
		return o.tick(now)
	}
	return nil
}

func (o *Detector) setServers(names []string) {
	for _, name := range names {
		if o.servers[name] == nil {
			o.servers[name] = &server{state: Trusted}
		}
	}
	for name := range o.servers {
		if !slices.Contains(names, name) {
			delete(o.servers, name)
		}
	}
}

func (o *Detector) ended(now time.Time, ev Ended) []Action {
	f, ok := o.inFlight[ev.ID]
	if !ok {
		return nil
	}
	delete(o.inFlight, ev.ID)
	s, ok := o.servers[f.backend]
	if !ok {
		return nil
	}
	switch ev.Result {
	case Leaving:
		s.leavingSince = now
		return o.markUnavailable(now, f.backend, o.limits.LeavingPause, "it leaves")
	case Unreachable:
		return o.markUnavailable(now, f.backend, o.nextPause(s), "it takes no connections")
	case Succeeded:
		o.recordTime(s, f, now.Sub(f.since))
	}
	if f.stuck && ev.Result == Failed {
		return nil
	}
	return o.recordResult(now, f.backend, ev.Result == Failed)
}

// recordTime compares a request's recordTime with its row's on all servers.
func (o *Detector) recordTime(s *server, f *request, took time.Duration) {
	mean, ok := o.meanTimes[f.row]
	if !ok {
		mean = took.Seconds()
	}
	o.meanTimes[f.row] = mean + alpha*(took.Seconds()-mean)
	if mean > 0 {
		s.slowness += alpha * (took.Seconds()/mean - s.slowness)
	}
}

func (o *Detector) recordResult(now time.Time, name string, failed bool) []Action {
	s := o.servers[name]
	s.results++
	x := 0.0
	if failed {
		x = 1
	}
	// The first results count alike; with a fixed weight a server that fails
	// everything from its first request on would look half good for long.
	s.failureRate += max(alpha, 1/float64(s.results)) * (x - s.failureRate)
	switch s.state {
	case Trial:
		return o.recordTrial(now, name, failed)
	case Trusted:
		return o.detect(now, name)
	default:
		return nil
	}
}

func (o *Detector) recordTrial(now time.Time, name string, failed bool) []Action {
	s := o.servers[name]
	if failed {
		return o.setState(name, Quarantined, now.Add(o.nextPause(s)), "its trial failed")
	}
	if s.passedTrials++; s.passedTrials < requiredTrials {
		return nil
	}
	s.pause, s.results, s.failureRate, s.slowness = 0, 0, 0, 1
	return o.setState(name, Trusted, time.Time{}, "its trials went well")
}

// nextPause doubles a server's rest each time that it is set aside in a row.
func (o *Detector) nextPause(s *server) time.Duration {
	s.pause = min(max(2*s.pause, o.limits.Pause), o.limits.MaxPause)
	return s.pause
}

// detect compares a server with the others.
func (o *Detector) detect(now time.Time, name string) []Action {
	s := o.servers[name]
	if s.results < o.limits.MinResults {
		return nil
	}
	fails, slowness := o.otherMedians(name)
	why := ""
	switch {
	case s.failureRate >= o.limits.FailureRate && s.failureRate >= 2*fails:
		why = "it fails more than the others"
	case slowness > 0 && s.slowness >= o.limits.Slowness*slowness:
		why = "it is slower than the others"
	default:
		return nil
	}
	if !o.mayQuarantine() {
		return nil
	}
	return o.setState(name, Quarantined, now.Add(o.nextPause(s)), why)
}

// otherMedians are the medians of the servers that are trusted, but for one.
func (o *Detector) otherMedians(name string) (fails, slowness float64) {
	var f, t []float64
	for other, s := range o.servers {
		if other != name && s.state == Trusted && s.results > 0 {
			f, t = append(f, s.failureRate), append(t, s.slowness)
		}
	}
	return median(f), median(t)
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

func (o *Detector) mayQuarantine() bool {
	n := 0
	for _, s := range o.servers {
		if s.state == Quarantined || s.state == Trial {
			n++
		}
	}
	return n+1 <= int(o.limits.MaxShare*float64(len(o.servers)))
}

func (o *Detector) leavingReported(now time.Time, names []string) []Action {
	var acts []Action
	for _, name := range names {
		if s, ok := o.servers[name]; ok && s.state != Unavailable {
			acts = append(acts, o.markUnavailable(now, name, o.limits.LeavingPause, "a peer says that it leaves")...)
		}
	}
	return acts
}

func (o *Detector) markUnavailable(now time.Time, name string, d time.Duration, why string) []Action {
	o.servers[name].until = now.Add(d)
	return o.setState(name, Unavailable, now.Add(d), why)
}

func (o *Detector) setState(name string, to State, until time.Time, why string) []Action {
	s := o.servers[name]
	from := s.state
	s.state, s.until, s.passedTrials = to, until, 0
	if from == to {
		return nil
	}
	return []Action{StateChanged{Backend: name, State: to, Reason: why}}
}

// checkInterval is how often requests without answers are looked at.
const checkInterval = 250 * time.Millisecond

func (o *Detector) tick(now time.Time) []Action {
	if now.Sub(o.lastCheck) < checkInterval {
		return nil
	}
	o.lastCheck = now
	var acts []Action
	for _, id := range slices.Sorted(maps.Keys(o.inFlight)) {
		f := o.inFlight[id]
		if s := o.servers[f.backend]; s != nil && !f.stuck && now.Sub(f.since) > o.stuckAfter(f.row) {
			// A server that swallows requests gives no result until the
			// deadline; meanwhile it would get one request after another.
			// Silence is a stronger sign than a failure, which may be the
			// request's own, and counts twice.
			f.stuck = true
			acts = append(acts, o.recordResult(now, f.backend, true)...)
			acts = append(acts, o.recordResult(now, f.backend, true)...)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(o.servers)) {
		s := o.servers[name]
		if (s.state == Quarantined || s.state == Unavailable) && !s.until.After(now) {
			acts = append(acts, o.setState(name, Trial, time.Time{}, "its rest is over")...)
		}
	}
	return acts
}

func (o *Detector) stuckAfter(row string) time.Duration {
	return max(o.limits.StuckAfter, time.Duration(10*o.meanTimes[row]*float64(time.Second)))
}

// MaxSlots is how many of slots a server may get now.
func (o *Detector) MaxSlots(minion string, slots int) int {
	s, ok := o.servers[minion]
	switch {
	case !ok || s.state == Trusted:
		return slots
	case s.state == Trial:
		return min(1, slots)
	default:
		return 0
	}
}

// announceTime is how long a first-hand sign of leaving is told to peers. It ends
// before Away, so that two hosts cannot keep each other believing it for ever.
const announceTime = 5 * time.Second

// LeavingServers lists the servers that told this host itself that they leave.
func (o *Detector) LeavingServers(now time.Time) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(o.servers)) {
		if s := o.servers[name]; !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < announceTime {
			all = append(all, name)
		}
	}
	return all
}

// UntrustedStates lists the servers that are not trusted.
func (o *Detector) UntrustedStates() map[string]State {
	all := map[string]State{}
	for name, s := range o.servers {
		if s.state != Trusted {
			all[name] = s.state
		}
	}
	return all
}
