package placer

import "sort"

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
	load := make([]int, len(hosts))
	left := make([]candidate, 0, len(hosts))
	owners := make(map[string][]string, len(ordered))
	for _, thing := range ordered {
		left = left[:0]
		for i, h := range hosts {
			left = append(left, candidate{scored{h, score(thing, h)}, i, load[i] >= most})
		}
		ranked := make([]string, 0, min(ranks, len(hosts)))
		for len(ranked) < cap(ranked) {
			best := bestOf(left)
			if len(ranked) == 0 {
				load[left[best].index]++
			}
			ranked = append(ranked, left[best].host)
			left[best] = left[len(left)-1]
			left = left[:len(left)-1]
		}
		owners[thing] = ranked
	}
	return owners
}

// candidate is a host that may own a thing.
type candidate struct {
	scored
	index int
	// full is true when the host owns as many things as it may.
	full bool
}

// bestOf returns the index of the best candidate: one that is not full, with the
// highest score.
func bestOf(candidates []candidate) int {
	best := 0
	for i, c := range candidates {
		if c.full != candidates[best].full {
			if candidates[best].full {
				best = i
			}
			continue
		}
		if c.before(candidates[best].scored) {
			best = i
		}
	}
	return best
}

// Pick returns which of n owners of a thing a host uses, so that the hosts are
// divided between them.
func Pick(thing, host string, n int) int { return int(score(host, thing) % uint64(max(1, n))) }
