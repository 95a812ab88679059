package ledger_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
)

var start = time.Unix(1_700_000_000, 0)

func open(l *ledger.Ledger, at time.Duration, key string, digest uint64) ledger.Verdict {
	return l.Step(start.Add(at), ledger.Open{Key: key, Digest: digest, Attempt: 1})[0].(ledger.Verdict)
}

// A client repeats a request whose answer it missed. The request must not run again: the
// repeat gets the first answer.
func TestRepeatGetsTheStoredAnswer(t *testing.T) {
	l := ledger.New(ledger.DefaultLimits, start)
	require.Equal(t, ledger.Fresh, open(l, time.Minute, "k", 1).State)
	require.Equal(t, ledger.Running, open(l, time.Minute, "k", 1).State)
	require.Equal(t, ledger.Mismatch, open(l, time.Minute, "k", 2).State)
	l.Step(start.Add(time.Minute), ledger.Close{Key: "k", Answer: ledger.Answer{Outcome: cell.Done, Status: 200}})
	v := open(l, time.Minute, "k", 1)
	require.Equal(t, ledger.Answered, v.State)
	require.Equal(t, 200, v.Answer.Status)
}

// A home was replaced a second ago and lost its memory. It must not report a key as fresh
// that its previous incarnation may have seen; otherwise the request runs twice.
func TestRestartedHomeDoesNotConfirmKeys(t *testing.T) {
	l := ledger.New(ledger.DefaultLimits, start)
	require.Equal(t, ledger.Unconfirmed, open(l, time.Second, "k", 1).State)
}

func TestRefusedKeyIsFreshAgain(t *testing.T) {
	l := ledger.New(ledger.DefaultLimits, start)
	open(l, time.Minute, "k", 1)
	l.Step(start.Add(time.Minute), ledger.Close{Key: "k", Answer: ledger.Answer{Outcome: cell.Refused}})
	require.Equal(t, ledger.Fresh, open(l, time.Minute, "k", 1).State)
}

// A flood of keys fills a home's memory, and the oldest key is evicted. From then on the
// home must not report a repeat of it, or any key of the same age, as fresh.
func TestForgottenKeyIsNeverFreshAgain(t *testing.T) {
	limits := ledger.DefaultLimits
	limits.MaxKeys = 2
	l := ledger.New(limits, start)
	for i := range byte(3) {
		key := timedKey(start.Add(time.Hour), i)
		require.Equal(t, ledger.Fresh, open(l, time.Hour+time.Duration(i)*time.Second, key, 1).State)
	}
	require.Equal(t, 2, l.Len())
	require.Equal(t, ledger.Unconfirmed, open(l, time.Hour+4*time.Second, timedKey(start.Add(time.Hour), 0), 1).State)
	require.Equal(t, ledger.Unconfirmed, open(l, time.Hour+4*time.Second, "untimed", 1).State)
	require.Equal(t, ledger.Fresh, open(l, time.Hour+9*time.Second, timedKey(start.Add(time.Hour+9*time.Second), 9), 1).State)

	l.Step(start.Add(3*time.Hour), ledger.Tick{})
	require.Zero(t, l.Len())
	again := ledger.Open{Key: timedKey(start.Add(time.Hour+9*time.Second), 9), Digest: 1, Attempt: 2}
	require.Equal(t, ledger.Unconfirmed, l.Step(start.Add(3*time.Hour), again)[0].(ledger.Verdict).State)
}

// Large answers fill a home's memory, and the oldest answer is dropped. The home still
// knows that the request was answered: its repeat is answered with unknown and does not
// run.
func TestDroppedAnswerIsUnknown(t *testing.T) {
	limits := ledger.DefaultLimits
	limits.MaxBytes = 15
	l := ledger.New(limits, start)
	for _, key := range []string{"a", "b"} {
		require.Equal(t, ledger.Fresh, open(l, time.Hour, key, 1).State)
		l.Step(start.Add(time.Hour), ledger.Close{Key: key, Answer: ledger.Answer{Outcome: cell.Done, Body: make([]byte, 10)}})
	}
	require.EqualValues(t, 10, l.Bytes())
	require.Equal(t, cell.Unknown, open(l, time.Hour, "a", 1).Answer.Outcome)
	require.Equal(t, cell.Done, open(l, time.Hour, "b", 1).Answer.Outcome)
}

// A client's clock runs ahead. Its keys would look newer than a home that started after
// their first try, and would be taken as fresh twice.
func TestKeyFromTheFutureIsRefused(t *testing.T) {
	l := ledger.New(ledger.DefaultLimits, start)
	require.Equal(t, ledger.FutureKey, open(l, time.Hour, timedKey(start.Add(time.Hour+2*time.Second), 0), 1).State)
	require.Equal(t, ledger.Unconfirmed, open(l, time.Second, timedKey(start.Add(2*time.Second), 0), 1).State, "the time in the key is within the clock skew of the start")
}

// A repeat waits for the running first try. It is notified as soon as that try ends,
// releases the key or runs out of time, and no earlier.
func TestRepeatWaitsForTheRunningTry(t *testing.T) {
	later := start.Add(time.Hour)
	ask := ledger.Open{Key: "k", Digest: 1, Attempt: 1, Try: "t", Remaining: cell.Duration{Duration: time.Second}}
	wait := ledger.Await{Key: "k", ID: "w", Until: later.Add(time.Minute)}
	ends := map[ledger.State]struct {
		at time.Duration
		ev ledger.Event
	}{
		ledger.Answered: {0, ledger.Close{Key: "k", Try: "t", Answer: ledger.Answer{Outcome: cell.Done}}},
		ledger.Released: {0, ledger.Close{Key: "k", Try: "t", Answer: ledger.Answer{Outcome: cell.Refused}}},
		ledger.Lost:     {3 * time.Second, ledger.Tick{}},
		ledger.Running:  {0, ledger.Close{Key: "k", Try: "another", Answer: ledger.Answer{Outcome: cell.Refused}}},
	}
	for state, end := range ends {
		l := ledger.New(ledger.DefaultLimits, start)
		l.Step(later, ask)
		require.Empty(t, l.Step(later, wait))
		require.Empty(t, l.Step(later, ledger.Tick{}))
		acts := l.Step(later.Add(end.at), end.ev)
		if state == ledger.Running {
			require.Empty(t, acts, "a Close of another try must not end this one")
			acts = l.Step(later, ledger.Await{Key: "k", ID: "v", Until: later})
			require.Empty(t, acts)
			continue
		}
		require.Len(t, acts, 1, state)
		require.Equal(t, "w", acts[0].(ledger.Woken).ID)
		require.Equal(t, state, acts[0].(ledger.Woken).Verdict.State)
	}
}

// Operators change the list of entry hosts, and for a while hosts use different lists.
// Homes of different groups may not overlap, so they do not confirm keys for each other.
func TestHostsWithOtherSettingsDoNotConfirm(t *testing.T) {
	old := ledger.NewPlan(cellHosts[0], cellHosts[1:])
	renamed := ledger.NewPlan(cellHosts[0], append([]ledger.Host{{Name: "nord-9", Domain: "nord"}}, cellHosts[2:]...))
	g := old.Groups("k", 1, live)[0]
	ev := ledger.Open{Key: "k", Domain: g.Domain, Group: g.Digest}
	require.True(t, ledger.NewPlan(cellHosts[3], append([]ledger.Host{cellHosts[4], cellHosts[5]}, cellHosts[:3]...)).MatchesGroup(ev))
	require.False(t, renamed.MatchesGroup(ev))
}

// The answer to a request is large. Its repeat must not count the home that transfers the
// answer as silent.
func TestLargeAnswerIsReturnedByAwait(t *testing.T) {
	l := ledger.New(ledger.DefaultLimits, start)
	open(l, time.Hour, "k", 1)
	l.Step(start.Add(time.Hour), ledger.Close{Key: "k", Answer: ledger.Answer{Outcome: cell.Done, Body: make([]byte, 1<<20)}})
	require.Equal(t, ledger.Running, open(l, time.Hour, "k", 1).State)
	acts := l.Step(start.Add(time.Hour), ledger.Await{Key: "k", ID: "w", Until: start.Add(2 * time.Hour)})
	require.Len(t, acts[0].(ledger.Woken).Verdict.Answer.Body, 1<<20)
}
