package member

import "slices"

// AssignEvenly gives each key to one of names, by rendezvous hashing with an even
// load: no name gets more than its part, rounded up. Plain hashing of a few
// racks may give all of them to one host, whose death would then stop every
// start in its failure domain until the leases lapse.
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
