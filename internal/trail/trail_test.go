package trail_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/trail"
)

func note(at int, id string) trail.Note {
	return trail.Note{At: time.Unix(int64(at), 0), ID: id, Component: "lead", Message: fmt.Sprint("note ", at)}
}

// A job moves to another leader, and the reply to the handover is lost, so that the handover is
// repeated. An operator who asks why the job waits must see the earlier decisions, each once and in
// order.
func TestNotesOfPreviousLeaderAreMergedOnce(t *testing.T) {
	old, successor := trail.New(100), trail.New(100)
	for i := range 20 {
		old.Add(note(i, "j"))
	}
	successor.Add(note(30, "j"))
	for range 2 {
		successor.Merge(old.Excerpt("j", 4))
	}
	var got []string
	for _, n := range successor.ByID("j") {
		got = append(got, n.Message)
	}
	require.Equal(t, []string{"note 0", "note 17", "note 18", "note 19", "note 30"}, got)
}

func TestTrailKeepsTheNewestNotes(t *testing.T) {
	tr := trail.New(3)
	for i := range 5 {
		tr.Add(note(i, "j"))
	}
	require.Len(t, tr.ByID("j"), 3)
	require.Equal(t, "note 2", tr.ByID("j")[0].Message)
	require.Empty(t, tr.ByID("other"))
}
