package access_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/access"
)

var limits = access.Limits{Refuse: 2 * time.Second, Trust: 5 * time.Second}

func directory(all ...access.Organisation) access.Directory {
	d, _ := access.NewDirectory(all)
	return d
}

func keys(texts ...string) []access.Key {
	var all []access.Key
	for _, t := range texts {
		all = append(all, access.HashKey(t))
	}
	return all
}

func TestKeyFindsItsOrganisation(t *testing.T) {
	d := directory(access.Organisation{Name: "a", Keys: keys("k1", "k2")}, access.Organisation{Name: "b", Keys: keys("k3")})
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		got, err := limits.Authorize(d, access.HashKey(key), time.Second, true)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

// Guards against a key that no table contains, or no longer contains, and that is served.
func TestUnknownKeyIsRefused(t *testing.T) {
	for _, d := range []access.Directory{{}, directory(), directory(access.Organisation{Name: "a", Keys: keys("k1")})} {
		for _, changes := range []bool{false, true} {
			_, err := limits.Authorize(d, access.HashKey("k2"), time.Second, changes)
			require.ErrorAs(t, err, new(*access.UnknownKeyError))
		}
	}
}

// Guards against a key that is refused as invalid by a host that has not read the table for so long
// that the key may be new.
func TestKeyThatMayBeNewIsNotRefusedAsInvalid(t *testing.T) {
	_, err := limits.Authorize(directory(), access.HashKey("k1"), 3*time.Second, false)
	require.ErrorAs(t, err, new(*access.StaleTableError))
}

// Guards against a key that was taken away and that a host without the table goes on to accept jobs
// by.
func TestOldTableAuthorizesNoChange(t *testing.T) {
	d := directory(access.Organisation{Name: "a", Keys: keys("k1")})
	_, err := limits.Authorize(d, access.HashKey("k1"), 6*time.Second, true)
	require.ErrorAs(t, err, new(*access.StaleTableError))
	got, err := limits.Authorize(d, access.HashKey("k1"), 6*time.Second, false)
	require.NoError(t, err)
	require.Equal(t, "a", got)
}

// Guards against a caller that is taken for one of two organisations with the same key.
func TestKeyOfTwoOrganisationsBelongsToNeither(t *testing.T) {
	d, ambiguous := access.NewDirectory([]access.Organisation{
		{Name: "a", Keys: keys("k1", "k1", "shared")}, {Name: "b", Keys: keys("shared", "k2")}, {Name: "c", Keys: keys("shared")},
	})
	require.NotEmpty(t, ambiguous)
	_, err := limits.Authorize(d, access.HashKey("shared"), 0, true)
	require.ErrorAs(t, err, new(*access.UnknownKeyError))
	for key, want := range map[string]string{"k1": "a", "k2": "b"} {
		got, err := limits.Authorize(d, access.HashKey(key), 0, true)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
}

func TestHeaderIsParsed(t *testing.T) {
	for _, text := range []string{"Bearer k1", "bearer k1", "BEARER   k1 "} {
		k, err := access.ParseHeader([]string{text})
		require.NoError(t, err, text)
		require.Equal(t, access.HashKey("k1"), k)
	}
	for _, values := range [][]string{
		nil, {""}, {"Bearer"}, {"Bearer "}, {"k1"}, {"Basic k1"}, {"Bearer k1 k2"}, {"Bearer k1,k2"}, {"Bearer k1", "Bearer k1"}, {"Bearer " + strings.Repeat("k", 5000)},
	} {
		_, err := access.ParseHeader(values)
		require.ErrorAs(t, err, new(*access.MissingKeyError), "%q", values)
	}
}

// Guards against a key that can be read from a log.
func TestKeyIsShownAsThePrefixOfItsHash(t *testing.T) {
	require.Len(t, access.HashKey("secret").String(), 8)
	require.NotContains(t, access.HashKey("secret").String(), "secret")
}

func TestOnlyTheOwnerMayTouchAJob(t *testing.T) {
	require.True(t, access.Owns("a", "a"))
	require.True(t, access.Owns("a", ""), "a job of no organisation")
	require.False(t, access.Owns("a", "b"))
	require.False(t, access.Owns("", "b"), "a caller of a public route")
}

func FuzzParseHeader(f *testing.F) {
	for _, s := range []string{"Bearer k1", "Bearer", "\x00", "bearer \t"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := access.ParseHeader([]string{s})
		if err == nil && k == access.HashKey("") {
			t.Fatal("an empty key is accepted")
		}
	})
}
