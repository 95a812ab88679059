package ledger_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/ledger"
)

func init() {
	// A fixed seed makes the result in CI reproducible.
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

// invariantError reports how a history violated an invariant.
type invariantError struct{ what, key string }

func (e *invariantError) Error() string { return fmt.Sprintf("%s: key %s", e.what, e.key) }

// history is a random sequence of tries, faults and messages. draw returns a random number
// below n.
type history struct {
	*simulation
	draw       func(n int) int
	keys       []string
	firstTried map[string]time.Time
	tries      []*try
}

// twoHosts has a domain of two hosts, the smallest that can lose a host, beside a larger
// domain.
var twoHosts = []ledger.Host{cellHosts[0], cellHosts[1], cellHosts[3], cellHosts[4], cellHosts[5]}

func newHistory(draw func(int) int, rule rule) *history {
	hosts := [][]ledger.Host{cellHosts, twoHosts}[draw(2)]
	w := newSimulation(hosts, rule)
	w.limits.MaxKeys = 2 + draw(3)
	for _, h := range hosts {
		w.skew[h.Name] = time.Duration(draw(1000)) * time.Millisecond
		w.replace(h.Name)
	}
	w.tick(time.Duration(draw(60)) * time.Second)
	w.lossy = draw
	return &history{simulation: w, draw: draw, firstTried: map[string]time.Time{}}
}

// newTry starts a try of a caller or of a load balancer. The balancer repeats a first try
// in the same domain and within the repeat window, as the operators are instructed.
func (h *history) newTry() {
	if len(h.keys) == 0 || h.draw(3) == 0 {
		ahead := time.Duration(h.draw(6000)-3000) * time.Millisecond
		h.keys = append(h.keys, timedKey(h.now.Add(ahead), byte(len(h.keys))))
	}
	key := h.keys[len(h.keys)-1-h.draw(min(2, len(h.keys)))]
	host := h.hosts[h.draw(len(h.hosts))]
	attempt := 2
	began, tried := h.firstTried[key]
	if host.Domain == "nord" && (!tried || h.now.Sub(began) < ledger.DefaultLimits.RepeatWindow) {
		attempt = 1 + h.draw(2)
	}
	if !tried {
		h.firstTried[key] = h.now
	}
	if h.isDown(host.Name) {
		return
	}
	seen := h.draw(8)
	alive := func(name string) bool { return (len(name)+int(name[len(name)-1])+seen)%3 != 0 }
	h.tries = append(h.tries, h.try(host.Name, key, 1, attempt, alive))
}

func (h *history) fault() {
	name := h.hosts[h.draw(len(h.hosts))].Name
	switch h.draw(7) {
	case 6:
		h.paused[name] = !h.paused[name]
	case 5:
		if len(h.late) > 0 {
			i := h.draw(len(h.late))
			h.late[i]()
			h.late = slices.Delete(h.late, i, i+1)
		}
	case 0:
		h.dead[name] = true
	case 1, 2:
		h.replace(name)
	case 3:
		h.cut["nord"] = !h.cut["nord"]
	case 4:
		h.tick(time.Duration(h.draw(4000)) * time.Millisecond)
	}
}

func (h *history) play(steps int) error {
	for range steps {
		switch h.draw(8) {
		case 0:
			h.newTry()
		case 1:
			h.fault()
		default:
			if len(h.tries) > 0 {
				t := h.tries[len(h.tries)-1-h.draw(min(4, len(h.tries)))]
				t.pollWait()
				t.step()
			}
		}
		if err := h.check(); err != nil {
			return err
		}
	}
	return nil
}

func (h *history) check() error {
	for key, n := range h.ran {
		if n > 1 {
			return &invariantError{"ran twice", key}
		}
	}
	for _, t := range h.tries {
		switch {
		case t.reply == nil:
		case t.reply.Outcome == cell.Refused && t.ran > 0:
			return &invariantError{"refused but ran", t.key}
		case t.reply.Outcome == cell.Done && h.ran[t.key] != 1:
			return &invariantError{"done but did not run", t.key}
		}
	}
	return nil
}

// Hosts crash, are replaced without their memory, lose contact with other domains and
// disagree about which hosts are alive, while repeats of requests arrive at any host. No
// request may run twice, and no caller may get a false outcome.
func TestNoHistoryRunsAKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		require.NoError(t, newHistory(draw, allRules).play(120))
	})
}

// The check of random histories must detect each rule that is left out.
func TestHistoriesFindBrokenRules(t *testing.T) {
	rules := maps.Clone(brokenRules)
	rules["homes follow from who is live"] = rule{group: allRules.group, byLive: true}
	for name, rule := range rules {
		seed, err := uint64(0), error(nil)
		for ; seed < 5000 && err == nil; seed++ {
			r := rand.New(rand.NewPCG(seed, 1))
			err = newHistory(r.IntN, rule).play(120)
		}
		require.Error(t, err, name)
		t.Logf("%s: history %d: %v", name, seed, err)
	}
	done := 0
	for seed := range uint64(5000) {
		r := rand.New(rand.NewPCG(seed, 1))
		h := newHistory(r.IntN, allRules)
		require.NoError(t, h.play(120), "history %d", seed)
		done += len(h.ran)
	}
	t.Logf("all rules in force: %d keys ran in 5000 histories", done)
}
