// Package placer assigns owner hosts to groups and to upstreams.
//
// An upstream accepts a few dozen connections, so with hundreds of hosts only a
// few of them can hold connections to it. Owners are chosen by rendezvous hashing
// within each data centre: when a host joins or leaves, only the groups that it
// gains or loses move, and every host computes the same owners from the
// configuration.
//
// # Usage
//
//	p := placer.Placer{PerDataCentre: 2}
//	owners := p.Owners("ledger-1", hosts)
//	ranked := placer.AssignBounded(upstreams, hosts, 2)["upstream-1"]
package placer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstage/shallotstage/pkg/configurer"
)

// Placer assigns owners to groups.
type Placer struct {
	// PerDataCentre is the number of owners in each data centre.
	PerDataCentre int
}

// scoredHost is a host with its rendezvous hash for a group or another resource.
type scoredHost struct {
	host  string
	score uint64
}

// ranksBefore orders hosts by descending score, then by id.
func (s scoredHost) ranksBefore(other scoredHost) bool {
	if s.score != other.score {
		return s.score > other.score
	}
	return s.host < other.host
}

// Owners returns the ids of the hosts that own the group, in order of id.
func (p Placer) Owners(group string, hosts map[string]configurer.Host) []string {
	byDataCentre := map[string][]scoredHost{}
	for id, h := range hosts {
		byDataCentre[h.DataCentre] = append(byDataCentre[h.DataCentre], scoredHost{id, score(group, id)})
	}
	var owners []string
	for _, candidates := range byDataCentre {
		sort.Slice(candidates, func(i, j int) bool { return candidates[i].ranksBefore(candidates[j]) })
		for _, c := range candidates[:min(p.PerDataCentre, len(candidates))] {
			owners = append(owners, c.host)
		}
	}
	sort.Strings(owners)
	return owners
}

func score(resource, host string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(resource)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(host)
	return digest.Sum64()
}
