// Package permitter decides in which regions a request may run.
//
// A route and an organisation may each list the regions that they permit. Where
// both have a list, both apply.
//
// # Usage
//
//	regions := permitter.Effective(route.PermittedRegions, organisation.PermittedRegions)
//	if regions.Permits("west") { ... }
//
// Effective is a pure function: the same arguments give the same set.
package permitter

import "slices"

// Set is a set of permitted regions. The zero value permits every region.
type Set struct {
	restricted bool
	regions    []string
}

// Effective returns the regions that all lists permit. An empty list permits every
// region. Lists without a common region give a set that permits none.
func Effective(lists ...[]string) Set {
	var s Set
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case !s.restricted:
			s = Set{restricted: true, regions: slices.Clone(list)}
		default:
			s.regions = slices.DeleteFunc(s.regions, func(region string) bool { return !slices.Contains(list, region) })
		}
	}
	return s
}

// IsRestricted reports whether the set excludes any region.
func (s Set) IsRestricted() bool { return s.restricted }

// Permits reports whether the set contains a region. A restricted set never contains
// an unknown region, which has an empty name.
func (s Set) Permits(region string) bool {
	return !s.restricted || region != "" && slices.Contains(s.regions, region)
}
