package placer

import "fmt"

const (
	// narrowLinkMegabits is the bandwidth of a host's link, in Mbit/s, below which
	// several hosts share the connections to an upstream. A statement takes 1.5 to 2 kB
	// of its owner's link in each direction, so one host with 2 Mbit/s carries about 120
	// a second, fewer than an upstream runs.
	narrowLinkMegabits = 10
	// narrowLinkParts is the number of hosts that share them then.
	narrowLinkParts = 3
)

// PartsFor returns the number of parts into which the connections to an upstream are
// divided, each with owners of its own, for hosts with links of the given bandwidth in
// Mbit/s; zero means unknown. It answers bursts in which the link of a single owner would
// be full.
func PartsFor(linkMegabits float64) int {
	if linkMegabits <= 0 || linkMegabits >= narrowLinkMegabits {
		return 1
	}
	return narrowLinkParts
}

// PickPart returns the part of an upstream's connections, out of n, that an organisation
// uses.
func PickPart(upstream, organisation string, n int) int { return PickOwner(upstream, organisation, n) }

// AssignParts returns up to maxOwners owners for each part of each upstream's
// connections, in order of preference, like AssignBounded. parts is the number of parts by
// upstream.
func AssignParts(parts map[string]int, hosts []string, maxOwners int) map[string][][]string {
	if len(hosts) == 0 {
		return nil
	}
	var names []string
	for upstream, n := range parts {
		for i := range n {
			names = append(names, partName(upstream, i))
		}
	}
	assigned := AssignBounded(names, hosts, maxOwners)
	owners := make(map[string][][]string, len(parts))
	for upstream, n := range parts {
		for i := range n {
			owners[upstream] = append(owners[upstream], assigned[partName(upstream, i)])
		}
	}
	return owners
}

// partName returns the name by which the owners of a part are assigned. The first one is
// the upstream itself, so that an undivided upstream keeps its owners.
func partName(upstream string, part int) string {
	if part == 0 {
		return upstream
	}
	return fmt.Sprintf("%s part %d", upstream, part)
}
