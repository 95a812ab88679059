package report

import (
	"strings"
	"time"

	"pollencroft/internal/timeline"
)

// event is what one log line says.
type event interface{ event() }

// submission is what the lines about a submitted job have in common. The domain is that of the host.
type submission struct{ id, queue, organisation, domain, host string }

type accepted struct{ submission }

// rejected is a submission that was answered with an error. If retry is not empty, the caller was
// asked to return after that many seconds.
type rejected struct {
	submission
	code   int
	reason string
	retry  string
}

type queued struct{ id, queue, organisation, host string }

type ended struct {
	id, queue, organisation, state string
	term                           int64
	took, objective                time.Duration
	waits                          waitTimes
	// phased means that the line names the phases of the job's runs.
	phased bool
	phases phaseTimes
}

// stepWaits says that a step has waited for long and still waits.
type stepWaits struct{ step, queue, organisation, reason, detail string }

// stopped says that a run is stopped. If it is stopped for another step, beneficiary names that.
type stopped struct {
	task, queue, organisation, why, beneficiary string
	run                                         int
}

// load is a leader's summary of what waits and what is in use. Processors are in millicores.
type load struct {
	term                int64
	used, free, queries int64
	waiting             []waitingWork
}

type waitingWork struct {
	rank, steps, cpu int64
	reason           string
}

func (accepted) event()  {}
func (rejected) event()  {}
func (queued) event()    {}
func (ended) event()     {}
func (stepWaits) event() {}
func (stopped) event()   {}
func (load) event()      {}

// reasons are what a step may wait for, as the leader's lines name it.
var reasons = [...]string{"host", "advice", "room", "quota"}

// waitTimes are waiting times by reason.
type waitTimes [len(reasons)]time.Duration

func (w waitTimes) total() time.Duration {
	var sum time.Duration
	for _, d := range w {
		sum += d
	}
	return sum
}

func (w waitTimes) String() string {
	var all []string
	for r, d := range w {
		if d > 0 {
			all = append(all, reasons[r]+" "+seconds(d))
		}
	}
	return strings.Join(all, ", ")
}

// decoders return what the lines with a message say.
var decoders = map[string]func(*attrs) event{
	"caller: accepted.": func(a *attrs) event { return accepted{a.submission()} },
	"caller: refused.":  decodeRejected,
	"sched: queued.": func(a *attrs) event {
		return queued{id: a.text("id"), queue: a.text("queue"), organisation: a.text("organisation"), host: a.host}
	},
	"sched: ended.": decodeEnded,
	"sched: step waits.": func(a *attrs) event {
		return stepWaits{step: a.text("id"), queue: a.text("queue"), organisation: a.text("organisation"), reason: a.text("reason"), detail: a.text("detail")}
	},
	"sched: stop.": decodeStopped,
	"sched: load.": decodeLoad,
}

// submitMethod is the method of requests that submit a job. Rejected requests of other methods don't
// concern the load.
const submitMethod = "POST"

func decodeRejected(a *attrs) event {
	if a.e.Attrs["queue"] == nil || a.e.Attrs["method"] != submitMethod {
		return nil
	}
	return rejected{submission: a.submission(), code: int(a.number("code")), reason: a.text("reason"), retry: a.text("retry")}
}

func decodeEnded(a *attrs) event {
	e := ended{
		id: a.text("id"), queue: a.text("queue"), organisation: a.text("organisation"), state: a.text("detail"),
		term: a.number("term"), took: a.duration("took"), objective: a.duration("objective"),
	}
	for r, reason := range reasons {
		name := "wait-" + reason
		if _, ok := a.e.Attrs[name]; ok {
			e.waits[r] = a.duration(name)
		}
	}
	for p, phase := range phases {
		name := "phase-" + phase
		if _, ok := a.e.Attrs[name]; ok {
			e.phased, e.phases[p] = true, a.duration(name)
		}
	}
	return e
}

// beneficiaryPrefix is how the leader writes that a run was stopped for a step.
const beneficiaryPrefix = "gives way to "

func decodeStopped(a *attrs) event {
	why := a.text("detail")
	s := stopped{task: a.text("id"), queue: a.text("queue"), organisation: a.text("organisation"), run: int(a.number("run")), why: why}
	if step, ok := strings.CutPrefix(why, beneficiaryPrefix); ok {
		s.why, s.beneficiary = strings.TrimSuffix(beneficiaryPrefix, " to "), step
	}
	return s
}

func decodeLoad(a *attrs) event {
	l := load{term: a.number("term"), used: a.number("used"), free: a.number("free"), queries: a.number("queries")}
	all, ok := a.e.Attrs["waiting"].([]any)
	a.bad = a.bad || !ok
	for _, v := range all {
		fields, _ := v.(map[string]any)
		w := attrs{e: timeline.Entry{Attrs: fields}}
		l.waiting = append(l.waiting, waitingWork{rank: w.number("rank"), steps: w.number("steps"), cpu: w.number("cpu"), reason: w.text("reason")})
		a.bad = a.bad || w.bad
	}
	return l
}

// attrs reads the attributes of a line. bad is set if one is missing or of another type.
type attrs struct {
	e    timeline.Entry
	host string
	bad  bool
}

func (a *attrs) text(name string) string {
	s, ok := a.e.Attrs[name].(string)
	a.bad = a.bad || !ok
	return s
}

func (a *attrs) number(name string) int64 {
	n, ok := a.e.Attrs[name].(float64)
	a.bad = a.bad || !ok
	return int64(n)
}

// duration reads a duration, which log lines contain in nanoseconds.
func (a *attrs) duration(name string) time.Duration { return time.Duration(a.number(name)) }

func (a *attrs) submission() submission {
	return submission{id: a.text("id"), queue: a.text("queue"), organisation: a.text("organisation"), domain: domainOf(a.e), host: a.host}
}

// domainOf returns the failure domain of the host that wrote a line, or unknown if the line does not
// say it.
func domainOf(e timeline.Entry) string {
	if d, ok := e.Attrs["domain"].(string); ok && d != "" {
		return d
	}
	return unknown
}

// hostOf returns the host that wrote a line: as the line names it, or else the last word that the
// collector has put before the line.
func hostOf(e timeline.Entry) string {
	if h, ok := e.Attrs["hostname"].(string); ok {
		return h
	}
	if words := strings.Fields(e.From); len(words) > 0 {
		return words[len(words)-1]
	}
	return unknown
}

// jobOf returns the job of a task's or step's name.
func jobOf(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}
