// Package outlier detects backend servers that should get no work: servers that fail or never
// answer requests, slow ones, unreachable ones and ones that leave. A row whose requests fail
// by their own fault makes all servers fail alike, so none is quarantined for it, and no more
// than a configured share of the servers is quarantined on suspicion.
package outlier

import (
	"maps"
	"slices"
	"time"
)

// Limits bounds what is quarantined.
type Limits struct {
	// MaxShare is the maximum share of the servers that may be quarantined on suspicion.
	MaxShare float64
	// FailureRate is the failure rate from which a server is suspect. Slowness is how many
	// times as long as on the other servers its requests must take for that.
	FailureRate, Slowness float64
	// MinResults is how many results a server must have before it can be suspect.
	MinResults int
	// StuckAfter is the minimum age at which a request without an answer counts as failed.
	StuckAfter time.Duration
	// Pause is how long a server gets no work the first time. It doubles each time up to
	// MaxPause.
	Pause, MaxPause time.Duration
	// LeavingPause is how long a server that leaves gets no work.
	LeavingPause time.Duration
}

// DefaultLimits is suitable for the backend servers of one failure domain.
var DefaultLimits = Limits{
	MaxShare: 0.34, FailureRate: 0.5, Slowness: 4, MinResults: 5, StuckAfter: time.Second,
	Pause: 2 * time.Second, MaxPause: time.Minute, LeavingPause: 30 * time.Second,
}

// State says how much work a server may get.
type State string

// The states of a server.
const (
	Trusted State = "trusted"
	// Quarantined servers get no work until their pause is over.
	Quarantined State = "aside"
	// Trial servers get one request at a time until enough of them have succeeded.
	Trial State = "trial"
	// Unavailable servers leave or cannot be reached. This is known, not suspected.
	Unavailable State = "gone"
)

// requiredTrials is how many requests must succeed before a server is trusted again.
const requiredTrials = 3

// alpha is the weight of a new result in the moving averages.
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

// Detector is the outlier detection of one host.
type Detector struct {
	limits   Limits
	servers  map[string]*server
	inFlight map[string]*request
	// meanTimes holds the average time of each row's requests over all servers.
	meanTimes map[string]float64
	lastCheck time.Time
}

// New returns a detector that knows no servers.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, servers: map[string]*server{}, inFlight: map[string]*request{}, meanTimes: map[string]float64{}}
}

// Step handles one event and returns the changes of servers' states.
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

// recordTime compares the time of a request with the average of its row on all servers.
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
	// The first results have equal weights. With a fixed weight, a server that fails all
	// requests from the first one on would have a low failure rate for a long time.
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

// nextPause doubles a server's pause each time that it is quarantined or found unreachable
// again before it is trusted.
func (o *Detector) nextPause(s *server) time.Duration {
	s.pause = min(max(2*s.pause, o.limits.Pause), o.limits.MaxPause)
	return s.pause
}

// detect compares a server with the others and quarantines it if it is an outlier.
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

// otherMedians returns the median failure rate and slowness of the trusted servers other than
// the named one.
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

// checkInterval is how often requests without answers are checked.
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
			// A server that never answers gives no result until the deadline, and would get one
			// request after another until then. No answer is a stronger sign than a failure,
			// which may be the request's own fault, so it counts twice.
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

// MaxSlots returns how many of its slots a server may use now.
func (o *Detector) MaxSlots(backend string, slots int) int {
	s, ok := o.servers[backend]
	switch {
	case !ok || s.state == Trusted:
		return slots
	case s.state == Trial:
		return min(1, slots)
	default:
		return 0
	}
}

// announceTime is how long this host announces to its peers that a server told it that it
// leaves. It is shorter than LeavingPause, so that two hosts cannot keep each other believing
// it forever.
const announceTime = 5 * time.Second

// LeavingServers lists the servers that recently told this host itself that they leave.
func (o *Detector) LeavingServers(now time.Time) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(o.servers)) {
		if s := o.servers[name]; !s.leavingSince.IsZero() && now.Sub(s.leavingSince) < announceTime {
			all = append(all, name)
		}
	}
	return all
}

// UntrustedStates returns the states of all servers that are not trusted.
func (o *Detector) UntrustedStates() map[string]State {
	all := map[string]State{}
	for name, s := range o.servers {
		if s.state != Trusted {
			all[name] = s.state
		}
	}
	return all
}
