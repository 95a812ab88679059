package member_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/member"
)

// A failure domain has two racks and three hosts. If one host led both racks, its death would
// delay every urgent job of the domain until the leases expire.
func TestFewRacksAreNotAllLedByOneHost(t *testing.T) {
	names := []string{"x", "y", "z"}
	for _, racks := range [][]string{{"a", "b"}, {"c", "d"}, {"e", "f"}, {"g", "h"}} {
		shared := member.AssignEvenly(racks, names)
		require.NotEqual(t, shared[racks[0]], shared[racks[1]])
	}
	require.Equal(t, map[string]string{"a": "x", "b": "x"}, member.AssignEvenly([]string{"a", "b"}, []string{"x"}))
	require.Empty(t, member.AssignEvenly([]string{"a"}, nil))
}
