package placer

import "sort"

// AssignBounded returns up to maxOwners owners for each resource, in order of
// preference. It uses rendezvous hashing with bounded loads: no host is the
// first owner of more resources than an even distribution gives, rounded up.
// Every host computes the same owners from the same arguments, and adding or
// removing a host or a resource moves few others.
func AssignBounded(resources, hosts []string, maxOwners int) map[string][]string {
	if len(hosts) == 0 {
		return nil
	}
	ordered := append([]string(nil), resources...)
	sort.Strings(ordered)
	maxLoad := (len(ordered) + len(hosts) - 1) / len(hosts)
	load := make([]int, len(hosts))
	remaining := make([]candidate, 0, len(hosts))
	owners := make(map[string][]string, len(ordered))
	for _, resource := range ordered {
		remaining = remaining[:0]
		for i, h := range hosts {
			remaining = append(remaining, candidate{scoredHost{h, score(resource, h)}, i, load[i] >= maxLoad})
		}
		ranked := make([]string, 0, min(maxOwners, len(hosts)))
		for len(ranked) < cap(ranked) {
			best := bestCandidate(remaining)
			if len(ranked) == 0 {
				load[remaining[best].index]++
			}
			ranked = append(ranked, remaining[best].host)
			remaining[best] = remaining[len(remaining)-1]
			remaining = remaining[:len(remaining)-1]
		}
		owners[resource] = ranked
	}
	return owners
}

// candidate is a host considered as owner of a resource.
type candidate struct {
	scoredHost
	index int
	// full is true if the host is already the first owner of the maximum number
	// of resources.
	full bool
}

// bestCandidate returns the index of the candidate with the highest score among
// those that are not full, or among all if every one is full.
func bestCandidate(candidates []candidate) int {
	best := 0
	for i, c := range candidates {
		if c.full != candidates[best].full {
			if candidates[best].full {
				best = i
			}
			continue
		}
		if c.ranksBefore(candidates[best].scoredHost) {
			best = i
		}
	}
	return best
}

// PickOwner returns the index of the owner that a host uses out of the n owners
// of a resource. It distributes the hosts evenly over the owners.
func PickOwner(resource, host string, n int) int {
	return int(score(host, resource) % uint64(max(1, n)))
}
