package member

import "slices"

// AssignEvenly assigns each key to one of names by rendezvous hashing, with at most an equal
// part of the keys, rounded up, for each name. Plain hashing of a few racks could assign all of
// them to one host, and its death would stop all starts in its failure domain until the leases
// expire.
func AssignEvenly(keys, names []string) map[string]string {
	if len(names) == 0 {
		return map[string]string{}
	}
	most := (len(keys) + len(names) - 1) / len(names)
	sorted := slices.Sorted(slices.Values(keys))
	shared := make(map[string]string, len(sorted))
	load := map[string]int{}
	for _, key := range sorted {
		open := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return load[n] >= most })
		first, _ := Rank(key, open)
		shared[key] = first
		load[first]++
	}
	return shared
}
