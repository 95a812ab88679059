package ledger

import (
	"net/http"
	"slices"
	"strconv"

	"pollencroft/internal/cell"
)

// maxRounds bounds how often a try starts over after another try released the key. Without
// the bound, two concurrent tries could block each other forever.
const maxRounds = 4

// TryEvent is an input of Try.Step.
type TryEvent interface{ tryEvent() }

// Begin starts the try.
type Begin struct{}

// HomeAnswered carries a home's answer to an AskHome or an AwaitHome.
type HomeAnswered struct {
	Home    string
	Verdict Verdict
}

// HomeSilent reports that a home gave no answer, whether or not the question reached it.
type HomeSilent struct{ Home string }

// RequestEnded reports how the request ended after a Send.
type RequestEnded struct{ Answer Answer }

// Canceled reports that the caller has gone or the deadline has passed before the request
// was sent.
type Canceled struct{}

func (Begin) tryEvent()        {}
func (HomeAnswered) tryEvent() {}
func (HomeSilent) tryEvent()   {}
func (RequestEnded) tryEvent() {}
func (Canceled) tryEvent()     {}

// TryAction is an output of Try.Step, for the caller to carry out. Each step returns
// exactly one of AskHome, AwaitHome, Send and Reply, as its last action.
type TryAction interface{ tryAction() }

// AskHome sends an Open to a home.
type AskHome struct {
	Home string
	Open Open
}

// AwaitHome asks a home to report when the running try has ended.
type AwaitHome struct{ Home, Key string }

// Send sends the request to a backend server, once.
type Send struct{}

// Reply returns the final answer to the caller.
type Reply struct{ Answer Answer }

// RecordEnd tells a home how the try ended. Its answer is not awaited.
type RecordEnd struct {
	Home  string
	Close Close
}

func (AskHome) tryAction()   {}
func (AwaitHome) tryAction() {}
func (Send) tryAction()      {}
func (Reply) tryAction()     {}
func (RecordEnd) tryAction() {}

// Try is the state machine of one try of a keyed request at its entry host. It sends the
// request only after enough homes of every group hold its key.
type Try struct {
	open   Open
	groups []Group
	round  int
	// group and home are the indexes of the next home to ask. heldWeight is the weight of
	// the homes of the group that hold the key.
	group, home, heldWeight int
	// mayHold lists the homes that may hold the key for this round.
	mayHold []string
	sent    bool
	done    bool
}

// NewTry returns a try. The fields Domain and Group of open are set from the groups.
func NewTry(open Open, groups []Group) *Try { return &Try{open: open, groups: groups} }

// Step handles one event. After a Reply it ignores all events.
func (r *Try) Step(ev TryEvent) []TryAction {
	if r.done {
		return nil
	}
	switch ev := ev.(type) {
	case Begin:
		return r.askNext()
	case HomeAnswered:
		return r.onHomeAnswered(ev)
	case HomeSilent:
		return r.onHomeSilent()
	case RequestEnded:
		return r.onRequestEnded(ev.Answer)
	case Canceled:
		return r.finishUnsent(unknown(http.StatusGatewayTimeout, "time ran out while the key was looked up"))
	}
	return nil
}

// roundID identifies the round. It prevents a late Close of an earlier round from releasing
// the key that a home holds for this one.
func (r *Try) roundID() string { return r.open.Try + "/" + strconv.Itoa(r.round) }

func (r *Try) askNext() []TryAction {
	g := r.groups[r.group]
	if r.heldWeight >= g.RequiredWeight {
		r.group, r.home, r.heldWeight = r.group+1, 0, 0
		if r.group == len(r.groups) {
			r.sent = true
			return []TryAction{Send{}}
		}
		g = r.groups[r.group]
	}
	if r.heldWeight+totalWeight(g.Homes[r.home:]) < g.RequiredWeight {
		return r.finishUnsent(unknown(http.StatusServiceUnavailable, "too few homes in "+g.Domain+" vouch for the key"))
	}
	home := g.Homes[r.home].Name
	r.home++
	r.mayHold = append(r.mayHold, home)
	open := r.open
	open.Try, open.Domain, open.Group = r.roundID(), g.Domain, g.Digest
	return []TryAction{AskHome{Home: home, Open: open}}
}

func (r *Try) onHomeSilent() []TryAction {
	if len(r.mayHold) == 0 {
		// The awaited home is gone; the other homes may know how the try ended.
		return r.restart()
	}
	return r.askNext()
}

func (r *Try) onHomeAnswered(ev HomeAnswered) []TryAction {
	switch ev.Verdict.State {
	case Fresh:
		r.heldWeight += r.groups[r.group].Homes[r.home-1].Weight
		return r.askNext()
	case Answered:
		return r.finishUnsent(*ev.Verdict.Answer)
	case Released:
		return r.restart()
	case Running:
		if len(r.mayHold) == 0 {
			return r.finishUnsent(unknown(http.StatusConflict, "an earlier try still runs"))
		}
		return append(r.releaseKey(), AwaitHome{Home: ev.Home, Key: r.open.Key})
	case Lost:
		return r.finishUnsent(unknown(http.StatusServiceUnavailable, "an earlier try was running on a host that is gone"))
	case Mismatch:
		return r.finishUnsent(refused(http.StatusUnprocessableEntity, "Idempotency-Key was used with another request"))
	case FutureKey:
		return r.finishUnsent(refused(http.StatusBadRequest, "Idempotency-Key's time is ahead of the clock"))
	default:
		return r.askNext()
	}
}

func (r *Try) restart() []TryAction {
	back := r.releaseKey()
	r.round++
	if r.round == maxRounds {
		return append(back, r.finishUnsent(unknown(http.StatusConflict, "other tries of the key were in the way"))...)
	}
	r.group, r.home, r.heldWeight = 0, 0, 0
	return append(back, r.askNext()...)
}

// releaseKey releases the key at the homes that may hold it, for a request that was not
// sent.
func (r *Try) releaseKey() []TryAction {
	return r.recordEnd(Answer{Outcome: cell.Refused})
}

func (r *Try) recordEnd(a Answer) []TryAction {
	var all []TryAction
	for _, home := range r.mayHold {
		all = append(all, RecordEnd{Home: home, Close: Close{Key: r.open.Key, Digest: r.open.Digest, Try: r.roundID(), Answer: a}})
	}
	r.mayHold = nil
	return all
}

// finishUnsent ends a try whose request was not sent.
func (r *Try) finishUnsent(a Answer) []TryAction {
	if r.sent {
		return nil
	}
	r.done = true
	return append(r.releaseKey(), Reply{Answer: a})
}

func (r *Try) onRequestEnded(a Answer) []TryAction {
	if !r.sent {
		return nil
	}
	r.done = true
	r.mayHold = slices.Compact(slices.Sorted(slices.Values(r.mayHold)))
	return append(r.recordEnd(a), Reply{Answer: a})
}

func unknown(status int, reason string) Answer {
	return Answer{Outcome: cell.Unknown, Status: status, Reason: reason}
}

func refused(status int, reason string) Answer {
	return Answer{Outcome: cell.Refused, Status: status, Reason: reason}
}
