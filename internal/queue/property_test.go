package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/cell"
	"pollencroft/internal/queue"
	"pollencroft/internal/randtest"
)

func TestMain(m *testing.M) { randtest.Main(m, 200, 120) }

// model records the queue's decisions and checks each of them.
type model struct {
	t        require.TestingT
	q        *queue.Queue
	now      time.Time
	n        int
	slots    map[string]int
	busy     map[string]int
	rowSlots map[string]int64
	rowBusy  map[string]int64
	waiting  map[string]queue.Enqueue
	sent     map[string]queue.Send
	rows     map[string]string
	lentTo   map[string]string
}

func (m *model) step(ev queue.Event) {
	for _, a := range m.q.Step(m.now, ev) {
		switch a := a.(type) {
		case queue.Send:
			m.decided(a.ID)
			m.busy[a.Backend]++
			m.rowBusy[m.rows[a.ID]]++
			require.LessOrEqual(m.t, m.busy[a.Backend], m.slots[a.Backend], "a backend server gets no more requests than its share")
			if limit := m.rowSlots[m.rows[a.ID]]; limit != 0 {
				require.LessOrEqual(m.t, m.rowBusy[m.rows[a.ID]], limit, "a row gets no more slots than its limit")
			}
			m.sent[a.ID] = a
		case queue.Lend:
			require.False(m.t, m.waiting[a.ID].FromPeer, "a request from a peer is not lent again")
			m.decided(a.ID)
			m.lentTo[a.ID] = a.Peer
		case queue.Refuse:
			m.decided(a.ID)
		}
	}
	free, waiting := m.q.Load()
	require.Equal(m.t, len(m.waiting), waiting, "each request is decided exactly once")
	if free == 0 {
		return
	}
	for _, ask := range m.waiting {
		limit := m.rowSlots[ask.Row.Name]
		held := limit != 0 && m.rowBusy[ask.Row.Name] >= limit
		require.True(m.t, held || ask.Row.Class == cell.Bulk, "a slot is free while request %s waits", ask.ID)
	}
}

func (m *model) decided(id string) {
	require.Contains(m.t, m.waiting, id)
	delete(m.waiting, id)
}

func pick[V any](t *rapid.T, from map[string]V) string {
	var best string
	turn := rapid.IntRange(0, 1<<16).Draw(t, "which")
	for id := range from {
		if best == "" || score(id, turn) < score(best, turn) {
			best = id
		}
	}
	return best
}

func score(id string, turn int) string {
	return fmt.Sprintf("%06d%s", (turn*len(id)+int(id[len(id)-1]))%997, id)
}

// Requests arrive, end, are cancelled and are rejected by peers while servers, rows and peers
// change. Whatever the order, no backend server gets more requests than its share, no row
// exceeds its limit, each request is decided once, and only bulk requests, which leave the
// reserve free, wait while a slot is free.
func TestQueueInvariantsHoldInAnyOrder(t *testing.T) {
	classes := map[string]cell.Class{"scan": cell.Urgent, "menu": cell.Normal, "badge": cell.Bulk}
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, q: queue.New(queue.Limits{Length: 12, Reserve: 0.25}), now: start, slots: map[string]int{}, busy: map[string]int{},
			rowSlots: map[string]int64{}, rowBusy: map[string]int64{}, waiting: map[string]queue.Enqueue{}, sent: map[string]queue.Send{},
			rows: map[string]string{}, lentTo: map[string]string{},
		}
		name := func() string { return rapid.SampledFrom([]string{"scan", "menu", "badge"}).Draw(t, "row") }
		row := func(name string) queue.Row {
			return queue.Row{Name: name, Class: classes[name], Weight: 1, Slots: m.rowSlots[name], MaxQueued: 8}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				m.n++
				a := queue.Enqueue{
					ID: fmt.Sprint("r", m.n), Row: row(name()), FromPeer: rapid.IntRange(0, 4).Draw(t, "lent") == 0,
					Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "left")) * 100 * time.Millisecond),
				}
				m.waiting[a.ID], m.rows[a.ID] = a, a.Row.Name
				m.step(a)
			},
			"end": func(t *rapid.T) {
				if id := pick(t, m.sent); id != "" {
					m.busy[m.sent[id].Backend]--
					m.rowBusy[m.rows[id]]--
					delete(m.sent, id)
					m.step(queue.Ended{ID: id, Took: 30 * time.Millisecond})
				}
			},
			"bounce": func(t *rapid.T) {
				if id := pick(t, m.lentTo); id != "" {
					delete(m.lentTo, id)
					m.waiting[id] = queue.Enqueue{ID: id, Row: row(m.rows[id])}
					m.step(queue.LendRejected{ID: id})
				}
			},
			"hang": func(t *rapid.T) {
				if id := pick(t, m.waiting); id != "" {
					delete(m.waiting, id)
					m.step(queue.Cancelled{ID: id})
				}
			},
			"servers": func(t *rapid.T) {
				var s queue.Shares
				clear(m.slots)
				for i := range rapid.IntRange(0, 3).Draw(t, "minions") {
					share := queue.Share{Backend: fmt.Sprint("m", i), Slots: rapid.IntRange(0, 4).Draw(t, "slots")}
					m.slots[share.Backend] = share.Slots
					s.All = append(s.All, share)
				}
				m.step(s)
			},
			"peers": func(t *rapid.T) {
				m.step(queue.Peers{All: []queue.Peer{{Name: "h2", Free: rapid.IntRange(0, 3).Draw(t, "free")}}})
			},
			"row": func(t *rapid.T) {
				name := name()
				m.rowSlots[name] = int64(rapid.IntRange(-1, 4).Draw(t, "limit"))
				m.step(queue.RowChanged{Row: row(name)})
			},
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				m.step(queue.Tick{})
			},
		})
	})
}
