package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/cell"
	"pollencroft/internal/member"
)

var now = time.Unix(1_700_000_000, 0)

// A host becomes silent. Its peers must take over its work soon: until they notice, every
// request that they send to it is wasted time.
func TestSilentPeerIsGone(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a", Domain: "d"})
	acts := m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Domain: "d", Ack: true}})
	require.Equal(t, []member.Action{member.LiveChanged{Live: []string{"a", "b"}}}, acts)
	require.Equal(t, []string{"a", "b"}, m.LiveIn("d"))
	// Two ticks that are far apart would look like a pause of this host itself.
	require.Empty(t, m.Step(now.Add(member.SilenceTimeout/2), member.Tick{}))
	require.Empty(t, m.Step(now.Add(member.SilenceTimeout), member.Tick{}))
	acts = m.Step(now.Add(member.SilenceTimeout+1), member.Tick{})
	require.Equal(t, []member.Action{member.LiveChanged{Live: []string{"a"}}}, acts)
}

// A host was restarted, and a heartbeat of its previous incarnation arrives late. It must not
// overwrite the state of the new incarnation.
func TestOldIncarnationIsIgnored(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a", Domain: "d"})
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Incarnation: 2, FreeSlots: 5}})
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Incarnation: 1, FreeSlots: 0}})
	require.Equal(t, 5, m.Heartbeats()[0].FreeSlots)
}

// Guards against two hosts that lead the same rack. A heartbeat that the peer sent before it
// heard this host arrives after a newer one, and this host counts the peer as gone.
func TestOvertakenHeartbeatIsIgnored(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a"})
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Seq: 2, Ack: true}})
	require.Empty(t, m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Seq: 1}}))
	require.Equal(t, []string{"a", "b"}, m.Live())
	require.NotEmpty(t, m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Seq: 3}}))
}

func TestRankNamesTwoDifferentHosts(t *testing.T) {
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		first, second := member.Rank(key, []string{"x", "y", "z"})
		require.NotEqual(t, first, second)
		again, _ := member.Rank(key, []string{"x", "y", "z"})
		require.Equal(t, first, again)
	}
	first, second := member.Rank("a", []string{"x"})
	require.Equal(t, "x", first)
	require.Empty(t, second)
}

// A link works in one direction only: this host hears a peer that does not hear it. Each would
// act on its own view, and work sent to the peer would be lost. The peer's heartbeats say that
// it hears nothing, so both hosts treat the link as down.
func TestOneWayLinkIsDeadForBoth(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a"})
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b"}})
	require.Equal(t, []string{"a"}, m.Live())
	require.Equal(t, 1, m.OneWayCount())
	require.True(t, m.HearsFrom(now, "b"))
	require.False(t, m.HearsFrom(now.Add(time.Minute), "b"))
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Ack: true}})
	require.Equal(t, []string{"a", "b"}, m.Live())
}

// This host is paused for a minute. Its peers send heartbeats all the time, but this host has
// not read any of them yet. It must not take over everything that they lead.
func TestOwnPauseIsNotThePeersSilence(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a"})
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Ack: true}})
	require.Empty(t, m.Step(now.Add(time.Minute), member.Tick{}))
	require.Equal(t, 1, m.PauseCount())
	later := now.Add(time.Minute)
	for i := range 20 {
		m.Step(later.Add(time.Duration(i)*100*time.Millisecond), member.Tick{})
	}
	require.Equal(t, []string{"a"}, m.Live(), "b is silent while this host is running")
}

// A peer's process dies. Sending to it fails at once, long before the silence timeout.
func TestFailedSendMarksAPeerAsGoneUntilItIsHeard(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a"})
	beat := member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Ack: true}}
	m.Step(now, beat)
	require.NotEmpty(t, m.Step(now, member.SendFailed{Name: "b"}))
	require.Equal(t, []string{"a"}, m.Live())
	m.Step(now, beat)
	require.Equal(t, []string{"a", "b"}, m.Live())
}

// The platform's list still shows a host as leaving that was restarted long ago under the same
// name. The heartbeats of the new incarnation take precedence.
func TestLaggingListDoesNotHideARestartedHost(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a"})
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Incarnation: 1, Ack: true}})
	m.Step(now.Add(time.Second), member.LeavingListed{Leaving: []string{"b"}})
	require.Equal(t, []string{"a"}, m.Live())
	m.Step(now.Add(1500*time.Millisecond), member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Incarnation: 2, Ack: true}})
	require.Equal(t, []string{"a", "b"}, m.Live())
	m.Step(now.Add(1500*time.Millisecond), member.LeavingListed{})
	require.Equal(t, []string{"a", "b"}, m.Live())
}

// A host of a large cell has a long heartbeat period towards distant peers. They must not count
// it as dead between two heartbeats.
func TestLongHeartbeatPeriodExtendsTheTimeout(t *testing.T) {
	m := member.New(member.Heartbeat{Name: "a"})
	far := member.FarPeriod(45)
	m.Step(now, member.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", Ack: true, Period: cell.Duration{Duration: far}}})
	for at := time.Duration(0); at <= 4*far; at += 500 * time.Millisecond {
		m.Step(now.Add(at), member.Tick{})
		require.Equal(t, at <= 3*far, len(m.Live()) == 2, at)
	}
}

func TestPeriodsBoundTheMessages(t *testing.T) {
	for n := 1; n <= 300; n++ {
		near, far := float64(n)/member.NearPeriod(n).Seconds(), float64(n)/member.FarPeriod(n).Seconds()
		require.LessOrEqual(t, near, 5.001, n)
		require.LessOrEqual(t, far, 2.001, n)
	}
}
