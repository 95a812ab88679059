package model

import (
	"fmt"
	"slices"

	"pollencroft/internal/job"
	"pollencroft/internal/lease"
	"pollencroft/internal/takeover"
)

// maxMessages limits how many messages may be in flight at once.
const maxMessages = 6

// maxRankings limits how often the former leader loses or regains its racks.
const maxRankings = 2

// choice is one event that may happen next: its kind and, if it concerns a
// message, the index of the message.
type choice struct {
	what    string
	message int
}

// The kinds of events.
const (
	timePasses = "time passes"
	delivered  = "is delivered"
	givenUp    = "is given up"
	pauses     = "the former leader pauses or resumes"
	takesOver  = "the next leader takes over"
	replaced   = "the former leader is replaced"
	unranked   = "the former leader loses or regains its racks"
)

// choices returns all events that may happen in this state.
func (w *World) choices() []choice {
	all := []choice{{what: timePasses}}
	for i, m := range w.messages {
		if w.deliverable(m) {
			all = append(all, choice{delivered, i})
		}
		if !m.lost && !w.hosts[m.host].paused {
			all = append(all, choice{givenUp, i})
		}
	}
	all = append(all, choice{what: pauses})
	if !w.takenOver {
		all = append(all, choice{what: takesOver})
	}
	if w.restarts == 0 {
		all = append(all, choice{what: replaced})
	}
	if w.rankings < maxRankings && !w.hosts[former].paused {
		all = append(all, choice{what: unranked})
	}
	return all
}

// name describes a choice in words, for the path to a violation.
func (w *World) name(c choice) string {
	if c.what != delivered && c.what != givenUp {
		return c.what
	}
	m := w.messages[c.message]
	part := "question"
	if m.done {
		part = "answer"
	}
	return fmt.Sprintf("%s %s of %s to %s %s", m.kind, part, m.holder, m.worker, c.what)
}

func (w *World) do(c choice) {
	switch c.what {
	case timePasses:
		w.advanceTime()
	case delivered:
		w.deliver(c.message)
	case givenUp:
		w.giveUp(c.message)
	case pauses:
		w.pause()
	case takesOver:
		w.takenOver = true
		w.inherit(w.hosts[next])
	case replaced:
		w.restart()
	case unranked:
		w.rankings++
		if w.rankings%2 == 0 {
			w.lead(w.hosts[former])
			return
		}
		w.lease(w.hosts[former], lease.Wanted{})
	}
}

func (w *World) deliverable(m message) bool { return !m.done || !w.hosts[m.host].paused }

// advanceTime advances the time by one step, which is half an anchor lease.
func (w *World) advanceTime() {
	w.now = w.now.Add(step)
	for _, name := range []string{former, next} {
		if h := w.hosts[name]; !h.paused {
			w.tick(h)
		}
	}
}

func (w *World) tick(h *host) {
	w.lease(h, lease.Tick{})
	w.stepTakeover(h, takeover.LogRead{Asked: w.now})
}

func (w *World) pause() {
	a := w.hosts[former]
	a.paused = !a.paused
	if !a.paused {
		w.tick(a)
	}
}

// restart replaces the former leader by a host of the same name without any
// state. Requests that its predecessor sent stay in flight and may still be
// carried out, but their answers are dropped.
func (w *World) restart() {
	w.restarts++
	w.messages = slices.DeleteFunc(slices.Clone(w.messages), func(m message) bool { return m.host == former && m.done })
	for i := range w.messages {
		w.messages[i].lost = w.messages[i].lost || w.messages[i].host == former
	}
	w.hosts[former] = w.newHost(former, 2)
	w.inherit(w.hosts[former])
}

func (w *World) removeMessage(i int) message {
	m := w.messages[i]
	w.messages = slices.Delete(slices.Clone(w.messages), i, i+1)
	return m
}

// deliver delivers a request to its worker, which carries it out, or an answer to its host.
func (w *World) deliver(i int) {
	m := w.removeMessage(i)
	if !m.done {
		k := w.machines[slices.Index(w.names(), m.worker)]
		m = k.answer(w.now, m)
		m.done = true
		if !m.lost {
			w.messages = append(w.messages, m)
		}
		return
	}
	w.handleAnswer(w.hosts[m.host], m)
}

// giveUp makes the sender treat a message as lost. A request that is not carried
// out yet may still be carried out at any later time.
func (w *World) giveUp(i int) {
	m := w.removeMessage(i)
	if !m.done {
		m.lost = true
		w.messages = append(w.messages, m)
	}
	h := w.hosts[m.host]
	switch m.kind {
	case "take", "renew":
		w.lease(h, lease.Unanswered{Worker: m.worker})
	case "start":
		w.lease(h, lease.StartAnswered{Worker: m.worker, Task: m.task})
		w.job(h, job.Unsure{Task: m.task, Attempt: m.attempt, Deadline: m.deadline})
	}
}

func (w *World) handleAnswer(h *host, m message) {
	m.reading.Sent = m.sent
	switch {
	case m.kind == "start":
		w.lease(h, lease.StartAnswered{Worker: m.worker, Task: m.task, OutcomeKnown: true})
		if m.late {
			w.job(h, job.NotStarted{Task: m.task, Attempt: m.attempt})
			return
		}
		w.job(h, job.Started{Task: m.task, Attempt: m.attempt})
	case m.kind == "give":
	case m.refused:
		w.stepTakeover(h, takeover.WorkerContact{Worker: m.worker})
		w.lease(h, lease.Refused{Worker: m.worker, Remaining: m.reading.Remaining, Sent: m.sent})
	case m.kind == "take":
		w.lease(h, lease.Granted{Worker: m.worker, Reading: m.reading})
	default:
		w.lease(h, lease.Renewed{Worker: m.worker, Reading: m.reading})
	}
}
