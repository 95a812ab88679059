package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Rank returns the name that rendezvous hashing assigns to a key, and the name that follows it
// if the first is removed. The second is empty if there is only one name.
func Rank(key string, names []string) (first, second string) {
	if len(names) == 0 {
		return "", ""
	}
	first = lookup(key, names)
	if len(names) == 1 {
		return first, ""
	}
	// The library's Remove corrupts its index when it removes the last name but one, so the
	// second name is looked up among the remaining names.
	rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == first })
	return first, lookup(key, rest)
}

func lookup(key string, names []string) string {
	return rendezvous.New(names, xxhash.Sum64String).Lookup(key)
}
