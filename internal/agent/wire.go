package agent

import (
	"cmp"
	"time"

	"pollencroft/internal/flow"
	"pollencroft/internal/incarnation"
	"pollencroft/internal/peer"
	"pollencroft/internal/sched"
	"pollencroft/platform"
)

// worker returns the worker that an action is an order to, or false if it is none.
func worker(a sched.Action) (sched.Address, bool) {
	switch a := a.(type) {
	case sched.Start:
		return a.To, true
	case sched.Stop:
		return a.To, true
	case sched.Hold:
		return a.To, true
	case sched.Pace:
		return a.To, true
	default:
		return sched.Address{}, false
	}
}

// encode returns an order in the format in which agents receive it. The text of a job is sent once
// for all of its tasks in a batch.
func encode(id, term int64, a sched.Action) peer.Order {
	to, _ := worker(a)
	// The ID stands by itself, so that agents of older builds reach the worker, too.
	name := incarnation.Parse(to.Incarnation)
	o := peer.Order{ID: id, Worker: name.ID, Addr: to.Addr}
	if name.HasBorn {
		o.Born = &name.Born
	}
	switch a := a.(type) {
	case sched.Start:
		o.Kind, o.Token, o.Task, o.Run, o.Checkpoint, o.Ticket, o.Deadline = peer.StartOrder, ownToken(a.Token, term), a.Task.String(), a.Run, a.Checkpoint, a.Ticket, milliseconds(a.Deadline)
	case sched.Stop:
		o.Kind, o.Token, o.Task, o.Run = peer.StopOrder, ownToken(a.Token, term), a.Task.String(), a.Run
	case sched.Hold:
		o.Kind, o.Token, o.Deadline, o.AckedEnd, o.Wait, o.Probe = peer.HoldOrder, ownToken(a.Token, term), milliseconds(a.Deadline), a.AckedEnd, a.Wait.Milliseconds(), a.Probe
	case sched.Pace:
		o.Kind, o.Token, o.Task, o.Run, o.Percent = peer.PaceOrder, ownToken(a.Token, term), a.Task.String(), a.Run, a.Percent
	}
	return o
}

// ownToken returns an order's token if it is not the term, which the message has.
func ownToken(token, term int64) int64 {
	if token == term {
		return 0
	}
	return token
}

// decode returns the action that an order stands for, or false if it is not a valid order.
func decode(m peer.Orders, o peer.Order) (sched.Action, bool) {
	name := incarnation.Name{ID: o.Worker}
	if o.Born != nil {
		name.Born, name.HasBorn = *o.Born, true
	}
	to := sched.Address{Incarnation: name.String(), Addr: o.Addr}
	// Leaders of older builds have one token for all orders.
	token := cmp.Or(o.Token, m.Term)
	if o.Kind == peer.HoldOrder {
		return sched.Hold{
			To: to, Token: token, Deadline: fromMilliseconds(o.Deadline), AckedEnd: o.AckedEnd, Wait: time.Duration(o.Wait) * time.Millisecond, Probe: o.Probe,
		}, to.Addr.IsValid()
	}
	task, ok := flow.ParseName(o.Task)
	ok = ok && to.Addr.IsValid()
	switch o.Kind {
	case peer.StartOrder:
		text, known := m.Texts[task.Job]
		return sched.Start{
			To: to, Token: token, Task: task, Run: o.Run, Text: text, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Deadline: fromMilliseconds(o.Deadline),
		}, ok && known
	case peer.StopOrder:
		return sched.Stop{To: to, Token: token, Task: task, Run: o.Run}, ok
	case peer.PaceOrder:
		return sched.Pace{To: to, Token: token, Task: task, Run: o.Run, Percent: o.Percent}, ok
	default:
		return nil, false
	}
}

// encodeHold returns a worker's answer to a hold in the format in which leaders receive it.
func encodeHold(id int64, r sched.HoldReply) peer.OrderResult {
	got := peer.OrderResult{ID: id, Outcome: int(r.Outcome), Clock: milliseconds(r.Clock), AnsweredBy: r.AnsweredBy, MoreEnds: r.MoreEnds}
	for _, l := range r.Running {
		got.Running = append(got.Running, peer.ListedRun{Task: l.Task.String(), Run: l.Run, Checkpoint: l.Checkpoint, Percent: l.Percent, Metric: l.Metric})
	}
	for _, e := range r.Ended {
		got.Ended = append(got.Ended, peer.EndedRun{Number: e.Number, Task: e.Task.String(), Run: e.Run, How: int(e.How), Checkpoint: e.Checkpoint})
	}
	return got
}

// event returns the event for the result of an order, or nil if the order has none. A result whose
// outcome this build does not know leaves open what the worker did.
func event(a sched.Action, r peer.OrderResult, sent, received time.Time) sched.Event {
	outcome := sched.Outcome(r.Outcome)
	if outcome < sched.Accepted || outcome > sched.Unanswered {
		outcome = sched.Unanswered
	}
	switch a := a.(type) {
	case sched.Start:
		return sched.StartReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: outcome}
	case sched.Stop:
		return sched.StopReply{Task: a.Task, Run: a.Run, Worker: a.To.Incarnation, Outcome: outcome}
	case sched.Hold:
		return holdReply(a, outcome, r, sent, received)
	default:
		return nil
	}
}

func holdReply(a sched.Hold, outcome sched.Outcome, r peer.OrderResult, sent, received time.Time) sched.HoldReply {
	h := sched.HoldReply{
		Worker: a.To.Incarnation, Outcome: outcome, AnsweredBy: r.AnsweredBy, Probe: a.Probe, AckedEnd: a.AckedEnd, Sent: sent, Received: received, Clock: fromMilliseconds(r.Clock),
		// Agents of older builds do not say whether there are more.
		MoreEnds: r.MoreEnds || len(r.Ended) >= platform.MaxListedEnds,
	}
	for _, l := range r.Running {
		if task, ok := flow.ParseName(l.Task); ok {
			h.Running = append(h.Running, sched.RunStatus{Task: task, Run: l.Run, Checkpoint: l.Checkpoint, Percent: l.Percent, Metric: l.Metric})
		}
	}
	for _, e := range r.Ended {
		if task, ok := flow.ParseName(e.Task); ok {
			h.Ended = append(h.Ended, sched.RunEnd{Number: e.Number, Task: task, Run: e.Run, How: sched.Ending(e.How), Checkpoint: e.Checkpoint})
		}
	}
	return h
}

// lost returns the event for an order of which it is not known whether the worker carried it out.
func lost(a sched.Action, sent, now time.Time) sched.Event {
	return event(a, peer.OrderResult{Outcome: int(sched.Unanswered)}, sent, now)
}

func milliseconds(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func fromMilliseconds(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
