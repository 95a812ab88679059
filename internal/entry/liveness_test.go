package entry_test

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/entry"
	"pollencroft/internal/standin/users"
)

const (
	stateTopic = "state"
	claimKey   = "!"
)

// silentHost returns the address of a host that accepts connections and never answers.
func silentHost(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// claimOf returns the value of a host's claim.
func claimOf(name string, addr netip.AddrPort) []byte {
	return []byte(name + " " + addr.String() + " 1 1 1")
}

// checkStalledLeader makes a host check its leader c1, which has claimed and has been stalled
// since. The function meanwhile stores something during the check. It returns whether the host
// considers the leader alive, and which leader it follows afterwards.
func checkStalledLeader(t *testing.T, meanwhile func(log *users.Log)) (works bool, leader string) {
	log := users.NewLog(1, time.Now)
	f := entry.NewFollower(t, slog.New(slog.DiscardHandler), "b1", nil, "", log.For("b1"), nil)
	defer f.Stop()
	c1 := silentHost(t)
	log.Put(stateTopic, claimKey, claimOf("c1", c1))
	f.LearnLeader("c1", c1, 1)
	// This is after the first read of what the leader has stored. The host waits longer than
	// usual for the answer of a new leader.
	timer := time.AfterFunc(400*time.Millisecond, func() { meanwhile(log) })
	defer timer.Stop()
	works = f.LeaderAlive()
	return works, f.LeaderName()
}

// Guards against another host's claim being taken for progress of a stalled leader.
func TestClaimOfAnotherHostIsNoProgressOfTheLeader(t *testing.T) {
	_, leader := checkStalledLeader(t, func(log *users.Log) {
		log.Put(stateTopic, claimKey, claimOf("c2", silentHost(t)))
	})
	require.Equal(t, "c2", leader)
}

// Guards against a host's own failed claim being taken for progress of the leader.
func TestOwnClaimIsNoProgressOfTheLeader(t *testing.T) {
	works, leader := checkStalledLeader(t, func(log *users.Log) {
		log.Put(stateTopic, claimKey, claimOf("b1", netip.MustParseAddrPort("127.0.0.1:1")))
	})
	require.False(t, works)
	require.Equal(t, "c1", leader)
}

// The leader has claimed and is too slow to answer. What it stores shows that it is alive.
func TestStoredProgressShowsThatTheLeaderIsAlive(t *testing.T) {
	works, leader := checkStalledLeader(t, func(log *users.Log) {
		log.Put(stateTopic, "0001", []byte("{}"))
	})
	require.True(t, works)
	require.Equal(t, "c1", leader)
}

// Guards against the last append of a leader that stepped down being taken for progress of its
// successor.
func TestAppendOfPreviousLeaderIsNoProgressOfItsSuccessor(t *testing.T) {
	log := users.NewLog(1, time.Now)
	f := entry.NewFollower(t, slog.New(slog.DiscardHandler), "b1", nil, "", log.For("b1"), nil)
	defer f.Stop()
	previous, next := silentHost(t), silentHost(t)
	log.Put(stateTopic, claimKey, claimOf("c1", previous))
	f.LearnLeader("c1", previous, 1)
	f.SetPeerAddr("c2", next.String())
	f.SetLeaderName("c2")
	timer := time.AfterFunc(400*time.Millisecond, func() { log.Put(stateTopic, "0001", []byte("{}")) })
	defer timer.Stop()
	require.False(t, f.LeaderAlive())
}
