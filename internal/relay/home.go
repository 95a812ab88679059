package relay

import (
	"context"
	"sync"

	"github.com/rcrowley/go-metrics"

	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
	"pollencroft/internal/member"
	"pollencroft/internal/peer"
)

// homeState is the state of this host as a home of keys.
type homeState struct {
	mu      sync.Mutex
	waiting map[string]chan ledger.Verdict
}

// OpenKey answers an Open on behalf of this host as a home of the key.
func (x *Relay) OpenKey(ev ledger.Open) ledger.Verdict {
	if !x.Plan.MatchesGroup(ev) {
		x.Log.Warn("ledger: the asking host's settings name other homes for a key.", "host", ev.Host, "domain", ev.Domain)
		return ledger.Verdict{Key: ev.Key, State: ledger.Unconfirmed}
	}
	x.home.mu.Lock()
	defer x.home.mu.Unlock()
	v := x.Ledger.Step(x.Clock(), ev)[0].(ledger.Verdict)
	metrics.GetOrRegisterCounter("ledger."+string(v.State), x.Metrics).Inc(1)
	return v
}

// CloseKey records how a keyed request ended.
func (x *Relay) CloseKey(ev ledger.Close) { x.stepHome(ev) }

// CloseKeys records how several keyed requests ended.
func (x *Relay) CloseKeys(all []ledger.Close) {
	for _, ev := range all {
		x.CloseKey(ev)
	}
}

// AwaitKey returns when the running try of a key has ended, when the time in m has passed,
// or when ctx is done.
func (x *Relay) AwaitKey(ctx context.Context, m peer.AwaitKey) ledger.Verdict {
	id := cell.NewID()
	c := make(chan ledger.Verdict, 1)
	x.home.mu.Lock()
	if x.home.waiting == nil {
		x.home.waiting = map[string]chan ledger.Verdict{}
	}
	x.home.waiting[id] = c
	x.home.mu.Unlock()
	x.stepHome(ledger.Await{Key: m.Key, ID: id, Until: x.Clock().Add(m.Remaining.Duration)})
	select {
	case v := <-c:
		return v
	case <-ctx.Done():
	}
	x.stepHome(ledger.CancelAwait{ID: id})
	x.home.mu.Lock()
	delete(x.home.waiting, id)
	x.home.mu.Unlock()
	return ledger.Verdict{Key: m.Key, State: ledger.Running}
}

func (x *Relay) stepHome(ev ledger.Event) {
	x.home.mu.Lock()
	defer x.home.mu.Unlock()
	for _, a := range x.Ledger.Step(x.Clock(), ev) {
		if w, ok := a.(ledger.Woken); ok && x.home.waiting[w.ID] != nil {
			x.home.waiting[w.ID] <- w.Verdict
			delete(x.home.waiting, w.ID)
		}
	}
}

// tickHome advances the time of the ledger and passes it the heartbeats of the entry hosts,
// so that a repeat does not wait for a host that is gone.
func (x *Relay) tickHome() {
	_, beats := x.Members()
	heartbeats := map[string]ledger.Heartbeat{x.Name: {Incarnation: x.Incarnation, At: x.Clock()}}
	for _, b := range beats {
		heartbeats[b.Name] = ledger.Heartbeat{Incarnation: b.Incarnation, At: b.ReceivedAt}
	}
	x.stepHome(ledger.HostHeartbeats{Heartbeats: heartbeats})
	x.stepHome(ledger.Tick{})
	x.updateGauges()
}

// updateGauges updates the metrics of this home. ledger.reach is the period in milliseconds
// for which the home knows every key that it was asked about.
func (x *Relay) updateGauges() {
	x.home.mu.Lock()
	defer x.home.mu.Unlock()
	set := func(name string, v int64) { metrics.GetOrRegisterGauge(name, x.Metrics).Update(v) }
	set("ledger.keys", int64(x.Ledger.Len()))
	set("ledger.bytes", x.Ledger.Bytes())
	set("ledger.reach", x.Clock().Sub(x.Ledger.Since()).Milliseconds())
	set("peer.silent", x.Peers.Silent())
	set("minion.dropped", x.Backends.Dropped())
}

// liveHosts returns a function that reports whether a host of any failure domain is taken
// to be alive.
func (x *Relay) liveHosts() func(string) bool {
	_, beats := x.Members()
	live := map[string]bool{x.Name: true}
	now := x.Clock()
	for _, b := range beats {
		live[b.Name] = !b.Leaving && now.Sub(b.ReceivedAt) <= member.SilenceTimeout
	}
	return func(name string) bool { return live[name] }
}
