package incarnation_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollencroft/internal/incarnation"
)

// Guards against two incarnations with one name, which would share runs, leases and tickets, and
// against orders to another ID than the entry's, whatever characters that ID has.
func TestNamesAreUnambiguous(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := incarnation.Name{ID: rapid.StringMatching(`[a@0-9-]{0,6}`).Draw(t, "id"), HasBorn: rapid.Bool().Draw(t, "has born")}
		if n.HasBorn {
			n.Born = rapid.Int64().Draw(t, "born")
		}
		require.Equal(t, n, incarnation.Parse(n.String()))
	})
	require.Equal(t, "i-7", incarnation.Name{ID: "i-7"}.String())
	require.Equal(t, "i-7@12", incarnation.Name{ID: "i-7", Born: 12, HasBorn: true}.String())
}

// Guards against an incarnation that counts as ended because of one of another worker, or of an older
// one.
func TestOnlyALaterIncarnationReplaces(t *testing.T) {
	plain, former, next := incarnation.Parse("i"), incarnation.Parse("i@5"), incarnation.Parse("i@6")
	require.True(t, next.Replaces(former))
	require.True(t, next.Replaces(plain))
	require.False(t, former.Replaces(next))
	require.False(t, former.Replaces(former))
	require.False(t, plain.Replaces(former))
	require.False(t, next.Replaces(incarnation.Parse("j@5")))
}
