// Package trail keeps a bounded history of decisions, so that an operator can find out why a job or
// request waits, where it was tried and what was refused.
package trail

import (
	"slices"
	"sync"
	"time"
)

// Note is one decision about one id.
type Note struct {
	At        time.Time `json:"at"`
	ID        string    `json:"id"`
	Component string    `json:"part"`
	Message   string    `json:"what"`
}

// Trail is a ring buffer of the newest notes. It is safe for concurrent use.
type Trail struct {
	mu    sync.Mutex
	notes []Note
	next  int
}

// New returns a trail that keeps the newest size notes.
func New(size int) *Trail { return &Trail{notes: make([]Note, 0, size)} }

// Add stores a note and drops the oldest one if the trail is full.
func (t *Trail) Add(n Note) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.notes) < cap(t.notes) {
		t.notes = append(t.notes, n)
		return
	}
	t.notes[t.next] = n
	t.next = (t.next + 1) % len(t.notes)
}

// Merge adds the notes of another host, except those that are already present: a handover that is
// repeated because its reply was lost delivers them twice.
func (t *Trail) Merge(notes []Note) {
	for _, n := range notes {
		known := func(o Note) bool { return o.At.Equal(n.At) && o.Message == n.Message }
		if !slices.ContainsFunc(t.ByID(n.ID), known) {
			t.Add(n)
		}
	}
}

// Excerpt returns at most n notes about one id: the first one and the last ones.
func (t *Trail) Excerpt(id string, n int) []Note {
	all := t.ByID(id)
	if len(all) <= n {
		return all
	}
	return slices.Delete(all, 1, 1+len(all)-n)
}

// ByID returns the notes about one id, oldest first.
func (t *Trail) ByID(id string) []Note {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Note
	for i := range t.notes {
		n := t.notes[(t.next+i)%len(t.notes)]
		if n.ID == id {
			found = append(found, n)
		}
	}
	slices.SortStableFunc(found, func(a, b Note) int { return a.At.Compare(b.At) })
	return found
}
