package ledger

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pollencroft/internal/member"
)

// Each home of a key has a weight. A try needs homes with more than half of the weight of
// the group to hold the key. Any two such sets of homes overlap, no matter which hosts each
// side takes to be alive.
const (
	// groupSize is the largest number of homes of a key in one failure domain.
	groupSize = 3
	// ownWeight is the weight of a home in the failure domain itself. Two of these homes
	// are always enough, so that a domain that is cut off from the others keeps working.
	ownWeight = 2
	// A domain of two hosts gets witnesses in other domains. With two of the three
	// witnesses, one host keeps working when the other is gone.
	witnesses     = 3
	witnessWeight = 1
)

// Host is an entry host as the settings list it.
type Host struct{ Name, Domain string }

// Group lists the hosts that may be homes of a key for one failure domain.
type Group struct {
	Domain string
	// Homes are in the order in which they are asked.
	Homes []Home
	// RequiredWeight is the total weight of the homes that must hold the key.
	RequiredWeight int
	// Digest is the hash of the names of the homes.
	Digest uint64
}

// Home is an entry host that may hold a key.
type Home struct {
	Name   string
	Weight int
}

// Plan chooses the homes of keys. It depends only on the list of entry hosts in the
// settings. If it depended on which hosts are taken to be alive, hosts that disagree could
// each find two homes that have never seen the key.
type Plan struct {
	self    Host
	domains map[string][]string
}

// NewPlan returns the plan of the host self. others are all other hosts of the settings.
func NewPlan(self Host, others []Host) Plan {
	p := Plan{self: self, domains: map[string][]string{}}
	for _, h := range append([]Host{self}, others...) {
		p.domains[h.Domain] = append(p.domains[h.Domain], h.Name)
	}
	for _, names := range p.domains {
		slices.Sort(names)
	}
	return p
}

// Groups returns the groups that a try of a key has to ask. A first try needs only the
// group of its own failure domain, so that a domain that is cut off keeps working. A later
// try needs the groups of all domains, because the try before it may have gone to another
// domain; their order is the same on all hosts. live reports which hosts are taken to be
// alive and affects only the order in which homes are asked.
func (p Plan) Groups(key string, attempt int, live func(name string) bool) []Group {
	if attempt <= 1 {
		return []Group{p.group(key, p.self.Domain, live)}
	}
	var all []Group
	for _, domain := range p.domainNames() {
		all = append(all, p.group(key, domain, live))
	}
	return all
}

func (p Plan) domainNames() []string {
	var all []string
	for domain := range p.domains {
		all = append(all, domain)
	}
	slices.Sort(all)
	return all
}

func (p Plan) group(key, domain string, live func(string) bool) Group {
	homes := withWeight(topRanked(key, p.domains[domain], groupSize), ownWeight)
	if len(homes) == groupSize-1 {
		homes = append(homes, withWeight(topRanked(key, p.hostsOutside(domain), witnesses), witnessWeight)...)
	}
	g := Group{Domain: domain, Homes: homes, RequiredWeight: totalWeight(homes)/2 + 1, Digest: digest(homes)}
	slices.SortStableFunc(homes, func(a, b Home) int {
		return cmp.Or(liveRank(live(a.Name))-liveRank(live(b.Name)), b.Weight-a.Weight)
	})
	return g
}

func withWeight(names []string, weight int) []Home {
	homes := make([]Home, len(names))
	for i, name := range names {
		homes[i] = Home{Name: name, Weight: weight}
	}
	return homes
}

func totalWeight(homes []Home) int {
	n := 0
	for _, h := range homes {
		n += h.Weight
	}
	return n
}

func liveRank(live bool) int {
	if live {
		return 0
	}
	return 1
}

func (p Plan) hostsOutside(domain string) []string {
	var all []string
	for _, name := range p.domainNames() {
		if name != domain {
			all = append(all, p.domains[name]...)
		}
	}
	return all
}

// MatchesGroup reports whether this host's settings name the same homes as the settings of
// the host that asks. Groups from different settings may not overlap.
func (p Plan) MatchesGroup(ev Open) bool {
	return p.group(ev.Key, ev.Domain, func(string) bool { return true }).Digest == ev.Group
}

func topRanked(key string, names []string, n int) []string {
	rest := slices.Clone(names)
	var best []string
	for len(best) < n && len(rest) > 0 {
		first, second := member.Rank(key, rest)
		best = append(best, first)
		if second != "" && len(best) < n {
			best = append(best, second)
		}
		rest = slices.DeleteFunc(rest, func(name string) bool { return name == first || name == second })
	}
	return best
}

func digest(homes []Home) uint64 {
	d := xxhash.New()
	for _, h := range slices.SortedFunc(slices.Values(homes), func(a, b Home) int { return strings.Compare(a.Name, b.Name) }) {
		_, _ = d.WriteString(h.Name)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
