package placer

import (
	"sort"
)

// Spread ranks hosts as owners of things, the best first, at most ranks of them
// for each. It is rendezvous hashing with a bound: no host is the best owner of
// more things than an even division gives. Every host computes the same owners
// from the same arguments, and a change of hosts or things moves few others.
func Spread(things, hosts []string, ranks int) map[string][]string {
	if len(hosts) == 0 {
		return nil
	}
	ordered := append([]string(nil), things...)
	sort.Strings(ordered)
	most := (len(ordered) + len(hosts) - 1) / len(hosts)
	load := map[string]int{}
	owners := make(map[string][]string, len(ordered))
	for _, thing := range ordered {
		ranked := rank(thing, hosts)
		// Hosts that own less than the bound come first, the others after them.
		sort.SliceStable(ranked, func(i, j int) bool { return load[ranked[i]] < most && load[ranked[j]] >= most })
		load[ranked[0]]++
		owners[thing] = ranked[:min(ranks, len(ranked))]
	}
	return owners
}

// rank returns hosts by their score for a thing, the best first.
func rank(thing string, hosts []string) []string {
	candidates := make([]scored, 0, len(hosts))
	for _, h := range hosts {
		candidates = append(candidates, scored{h, score(thing, h)})
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(candidates[j]) })
	ranked := make([]string, 0, len(hosts))
	for _, c := range candidates {
		ranked = append(ranked, c.host)
	}
	return ranked
}

// Pick returns which of n owners of a thing a host uses, so that the hosts are
// divided between them.
func Pick(thing, host string, n int) int { return int(score(host, thing) % uint64(max(1, n))) }
