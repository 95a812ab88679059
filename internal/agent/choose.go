// Package agent sends a leader's orders to workers through other hosts. A request to a worker costs
// a host far more processor time than the decision behind it, so one host cannot send the orders
// for a thousand workers. Agents send them instead; the leader exchanges batches with a few agents
// and remains the only one that decides.
package agent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// DefaultWorkersPerCore is the number of workers to which a host sends orders for each of its cores.
// A worker of 64 processors takes four orders a second, and an order about 0.2 ms.
const DefaultWorkersPerCore = 250

// Host is an entry host as far as the choice of agents depends on it. Power is its number of cores.
type Host struct {
	Name, Domain string
	Power        float64
}

// strongShare is the power that an agent must have, as a share of the strongest host's, the leader
// included: a new leader may know only a few weak hosts. A host also
// serves callers, and a weak one would answer late.
const strongShare = 0.5

// choose returns the agents of each failure domain, for the given number of workers by domain. They
// are in the same failure domain as the workers, so that a domain that is cut off takes no orders
// for other domains with it. There are none if a leader of that power can send all orders itself,
// and none in a domain without a strong host.
func choose(hosts []Host, workers map[string]int, power, perCore float64) map[string][]string {
	sum, strongest := 0, power
	for _, n := range workers {
		sum += n
	}
	if float64(sum) <= power*perCore {
		return nil
	}
	byDomain := map[string][]Host{}
	for _, h := range hosts {
		strongest = max(strongest, h.Power)
		byDomain[h.Domain] = append(byDomain[h.Domain], h)
	}
	chosen := map[string][]string{}
	for domain, n := range workers {
		all := slices.DeleteFunc(byDomain[domain], func(h Host) bool { return h.Power < strongShare*strongest })
		slices.SortFunc(all, func(a, b Host) int { return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Name, b.Name)) })
		left := float64(n)
		for _, h := range all {
			// A second agent is worth its messages once the first has half as much again to do.
			if len(chosen[domain]) > 0 && left < h.Power*perCore/2 {
				break
			}
			chosen[domain] = append(chosen[domain], h.Name)
			left -= h.Power * perCore
		}
	}
	return chosen
}

// pick returns the agent for a worker, the same one for as long as it is among the agents.
func pick(agents []string, worker string) string {
	best, most := "", uint64(0)
	for _, name := range agents {
		if score := xxhash.Sum64String(name + " " + worker); best == "" || score > most {
			best, most = name, score
		}
	}
	return best
}
