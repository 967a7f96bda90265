package launcher

import (
	"slices"

	"github.com/shallotstage/shallotstage/internal/broker"
	"github.com/shallotstage/shallotstage/pkg/placer"
)

// connectionOwners maps an upstream's ID to the owners of its connections.
type connectionOwners map[string]upstreamOwners

// upstreamOwners are the hosts that lend connections to one upstream.
type upstreamOwners struct {
	// owners are those of each part, in order of preference. An organisation uses one
	// part.
	owners [][]broker.Owner
	// lenders are the owners of each part, and after them the host of this data centre
	// that opens connections while no owner can be reached.
	lenders [][]broker.Owner
	// fallback is that host, or empty.
	fallback string
}

// newUpstreamOwners returns the owners of an upstream. hosts are those of each part, and
// local are the hosts of this data centre.
func newUpstreamOwners(id, dataCentre string, hosts [][]string, local []string, addressOf func(host string) string) upstreamOwners {
	u := upstreamOwners{}
	others := slices.DeleteFunc(slices.Clone(local), func(h string) bool { return slices.Contains(slices.Concat(hosts...), h) })
	if len(others) > 0 {
		u.fallback = others[placer.PickOwner(id, dataCentre, len(others))]
	}
	for _, ranked := range hosts {
		var owners []broker.Owner
		for _, host := range ranked {
			owners = append(owners, broker.Owner{Host: host, Address: addressOf(host)})
		}
		u.owners = append(u.owners, owners)
		lenders := slices.Clone(owners)
		if u.fallback != "" {
			lenders = append(lenders, broker.Owner{Host: u.fallback, Address: addressOf(u.fallback)})
		}
		u.lenders = append(u.lenders, lenders)
	}
	if len(u.owners) == 0 && u.fallback != "" {
		u.lenders = [][]broker.Owner{{{Host: u.fallback, Address: addressOf(u.fallback)}}}
	}
	return u
}

// ofPart returns the hosts of the part that an organisation uses.
func ofPart(parts [][]broker.Owner, upstream, organisation string) []broker.Owner {
	if len(parts) == 0 {
		return nil
	}
	return parts[placer.PickPart(upstream, organisation, len(parts))]
}
