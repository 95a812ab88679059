package ledger_test

import (
	"slices"
	"strconv"
	"time"

	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
)

// simulation runs entry hosts, homes and backend servers with the real state machines. A
// test chooses which message is delivered next and which host crashes.
type simulation struct {
	now     time.Time
	limits  ledger.Limits
	hosts   []ledger.Host
	ledgers map[string]*ledger.Ledger
	inc     map[string]int64
	dead    map[string]bool
	paused  map[string]bool
	cut     map[string]bool          // domains cut off from the others
	skew    map[string]time.Duration // how far a host's clock is ahead
	ran     map[string]int
	tries   int
	rule    rule
	// lossy chooses whether a message is delivered, delayed or lost. late holds the delayed
	// messages.
	lossy func(n int) int
	late  []func()
}

var cellHosts = []ledger.Host{
	{Name: "nord-0", Domain: "nord"}, {Name: "nord-1", Domain: "nord"}, {Name: "nord-2", Domain: "nord"},
	{Name: "sued-0", Domain: "sued"}, {Name: "sued-1", Domain: "sued"}, {Name: "sued-2", Domain: "sued"},
}

// rule changes the rules of a simulation. allRules changes none.
type rule struct {
	// older makes homes confirm keys from this long before their start.
	older time.Duration
	group func(*ledger.Group)
	// byLive chooses the homes from the hosts that are taken to be alive.
	byLive bool
}

var allRules = rule{group: func(*ledger.Group) {}}

// brokenRules each leave out one rule that the at-most-once guarantee depends on.
var brokenRules = map[string]rule{
	"one home is enough":    {group: func(g *ledger.Group) { g.RequiredWeight = 1 }},
	"blind counts as fresh": {group: allRules.group, older: time.Hour},
}

func newSimulation(hosts []ledger.Host, rule rule) *simulation {
	w := &simulation{
		now: start, limits: ledger.DefaultLimits, hosts: hosts, ledgers: map[string]*ledger.Ledger{}, inc: map[string]int64{},
		dead: map[string]bool{}, paused: map[string]bool{}, cut: map[string]bool{}, skew: map[string]time.Duration{}, ran: map[string]int{}, rule: rule, lossy: func(int) int { return 0 },
	}
	for _, h := range hosts {
		w.replace(h.Name)
	}
	w.now = w.now.Add(time.Hour)
	return w
}

// replace restarts a host without its memory.
func (w *simulation) replace(name string) {
	w.ledgers[name] = ledger.New(w.limits, w.clock(name).Add(-w.rule.older))
	w.inc[name]++
	w.dead[name], w.paused[name] = false, false
}

func (w *simulation) clock(name string) time.Time { return w.now.Add(w.skew[name]) }

// stepHome passes an event to a home at the home's own time.
func (w *simulation) stepHome(name string, ev ledger.Event) []ledger.Action {
	return w.ledgers[name].Step(w.clock(name), ev)
}

func (w *simulation) domain(name string) string {
	i := slices.IndexFunc(w.hosts, func(h ledger.Host) bool { return h.Name == name })
	return w.hosts[i].Domain
}

func (w *simulation) isDown(name string) bool { return w.dead[name] || w.paused[name] }

func (w *simulation) reaches(from, to string) bool {
	a, b := w.domain(from), w.domain(to)
	return !w.isDown(from) && !w.isDown(to) && (a == b || !w.cut[a] && !w.cut[b])
}

// tick advances the time. Live hosts send heartbeats.
func (w *simulation) tick(d time.Duration) {
	w.now = w.now.Add(d)
	for name := range w.ledgers {
		heartbeats := map[string]ledger.Heartbeat{}
		for _, h := range w.hosts {
			if w.reaches(h.Name, name) {
				heartbeats[h.Name] = ledger.Heartbeat{Incarnation: w.inc[h.Name], At: w.clock(name)}
			}
		}
		if !w.isDown(name) {
			w.stepHome(name, ledger.HostHeartbeats{Heartbeats: heartbeats})
			w.stepHome(name, ledger.Tick{})
		}
	}
}

// try is one try at one entry host. actions are the pending actions, and reply is what the
// caller got.
type try struct {
	w       *simulation
	host    string
	inc     int64
	run     *ledger.Try
	key     string
	actions []ledger.TryAction
	reply   *ledger.Answer
	ran     int
	waiting *ledger.AwaitHome
}

func (w *simulation) try(host, key string, digest uint64, attempt int, live func(string) bool) *try {
	var others []ledger.Host
	for _, h := range w.hosts {
		if h.Name != host {
			others = append(others, h)
		}
	}
	plan := ledger.NewPlan(ledger.Host{Name: host, Domain: w.domain(host)}, others)
	groups := plan.Groups(key, attempt, live)
	for i := range groups {
		w.rule.group(&groups[i])
		if w.rule.byLive {
			groups[i].Homes = slices.DeleteFunc(groups[i].Homes, func(h ledger.Home) bool { return !live(h.Name) })
			groups[i].Homes = groups[i].Homes[:min(2, len(groups[i].Homes))]
			groups[i].RequiredWeight = 0
			for _, home := range groups[i].Homes {
				groups[i].RequiredWeight += home.Weight
			}
		}
	}
	w.tries++
	open := ledger.Open{
		Key: key, Digest: digest, Attempt: attempt, Try: host + strconv.Itoa(w.tries), Host: host, Incarnation: w.inc[host],
		Remaining: cell.Duration{Duration: 10 * time.Second},
	}
	t := &try{w: w, host: host, inc: w.inc[host], key: key, run: ledger.NewTry(open, groups)}
	t.actions = t.run.Step(ledger.Begin{})
	return t
}

func (t *try) hostReplaced() bool { return t.w.dead[t.host] || t.w.inc[t.host] != t.inc }

// step carries out the next action of the try. It returns false if the try has ended or
// waits, or if its host is down.
func (t *try) step() bool {
	if t.hostReplaced() || t.w.paused[t.host] || len(t.actions) == 0 {
		return false
	}
	a := t.actions[0]
	t.actions = t.actions[1:]
	switch a := a.(type) {
	case ledger.RecordEnd:
		t.w.post(t.host, a.Home, a.Close)
	case ledger.AskHome:
		t.feed(t.ask(a))
	case ledger.AwaitHome:
		t.waiting = &a
		t.pollWait()
	case ledger.Send:
		t.w.ran[t.key]++
		t.ran++
		t.feed(ledger.RequestEnded{Answer: ledger.Answer{Outcome: cell.Done, Status: 200, Body: []byte("whole")}})
	case ledger.Reply:
		t.reply = &a.Answer
	}
	return true
}

// post sends a message whose answer is not awaited. It arrives now, later or never.
func (w *simulation) post(from, to string, ev ledger.Event) {
	if !w.reaches(from, to) {
		return
	}
	switch w.lossy(6) {
	case 1:
	case 2:
		w.late = append(w.late, func() { w.stepHome(to, ev) })
	default:
		w.stepHome(to, ev)
	}
}

func (t *try) feed(ev ledger.TryEvent) { t.actions = append(t.actions, t.run.Step(ev)...) }

func (t *try) ask(a ledger.AskHome) ledger.TryEvent {
	if !t.w.reaches(t.host, a.Home) {
		return ledger.HomeSilent{Home: a.Home}
	}
	switch t.w.lossy(12) {
	case 1: // the answer is lost
		t.w.stepHome(a.Home, a.Open)
		return ledger.HomeSilent{Home: a.Home}
	case 2: // the question arrives after the asking host has stopped waiting
		t.w.late = append(t.w.late, func() { t.w.stepHome(a.Home, a.Open) })
		return ledger.HomeSilent{Home: a.Home}
	}
	v := t.w.stepHome(a.Home, a.Open)[0].(ledger.Verdict)
	return ledger.HomeAnswered{Home: a.Home, Verdict: v}
}

// pollWait asks the home of a waiting try whether the wait is over.
func (t *try) pollWait() {
	if t.waiting == nil || t.hostReplaced() || t.w.paused[t.host] {
		return
	}
	home := t.waiting.Home
	if !t.w.reaches(t.host, home) {
		t.waiting = nil
		t.feed(ledger.HomeSilent{Home: home})
		return
	}
	acts := t.w.stepHome(home, ledger.Await{Key: t.key, ID: "w", Until: t.w.clock(home).Add(time.Minute)})
	t.w.stepHome(home, ledger.CancelAwait{ID: "w"})
	if len(acts) > 0 {
		t.waiting = nil
		t.feed(ledger.HomeAnswered{Home: home, Verdict: acts[0].(ledger.Woken).Verdict})
	}
}

// finish runs a try until its caller got a reply. The wait for a running try is bounded by
// the deadline of that try.
func (t *try) finish() string {
	for range 200 {
		for t.step() {
		}
		if t.reply != nil || t.hostReplaced() {
			break
		}
		t.w.tick(100 * time.Millisecond)
		t.pollWait()
	}
	switch {
	case t.reply == nil:
		return "nothing"
	case t.reply.Status == 422:
		return "422"
	default:
		return string(t.reply.Outcome)
	}
}
