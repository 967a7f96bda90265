package balancer_test

import (
	"time"
)

// upstreamDataCentres are the data centres of a service's three upstreams.
var upstreamDataCentres = []int{0, 1, 3}

// oneWay is the latency between data centres of one region, by region, and
// between regions.
func oneWay(a, b int) time.Duration {
	switch {
	case a == b:
		return 250 * time.Microsecond
	case a/dataCentresARegion != b/dataCentresARegion:
		return 30 * time.Millisecond
	case a/dataCentresARegion == 0:
		return 900 * time.Microsecond
	}
	return 3400 * time.Microsecond
}

type kind struct {
	name                         string
	rate                         float64
	service, objective, deadline time.Duration
	primary                      bool
}

type deployment struct {
	name                 string
	hosts, organisations int
	kinds                []kind
}

var deployments = []deployment{
	{"first", 83, 84, []kind{
		{"primary", 94.5, 6 * time.Millisecond, 800 * time.Millisecond, 8 * time.Second, true},
		{"stale", 164, 30 * time.Millisecond, 1200 * time.Millisecond, 12 * time.Second, false},
		{"own", 443, 18 * time.Millisecond, 3 * time.Second, 8 * time.Second, false},
	}},
	{"second", 66, 76, []kind{
		{"primary", 119, 3800 * time.Microsecond, 800 * time.Millisecond, 8 * time.Second, true},
		{"stale", 119, 19 * time.Millisecond, 1200 * time.Millisecond, 12 * time.Second, false},
		{"own", 554, 12 * time.Millisecond, 1500 * time.Millisecond, 8 * time.Second, false},
	}},
}

// maxConnections is the number of connections that an upstream accepts.
const maxConnections = 70

// decisions are the decisions under test.
type decisions struct {
	// placement places organisations at upstreams, at most replicaHomes or
	// primaryHomes of them at each.
	placement                  bool
	replicaHomes, primaryHomes int
	// evictByUse closes connections as evictor decides, and not the longest idle.
	evictByUse bool
	// ownerConnections are the limits of the first and the second owner.
	ownerConnections [2]int
	// reports are the owners' load reports, with the round trips, and spill the
	// decisions of spiller.
	reports, spill bool
}

// fault is what goes wrong from faultBegin to faultEnd.
type fault string

type organisation struct {
	name   string
	weight float64
	large  bool
}

type statement struct {
	kind         *kind
	organisation *organisation
	host         *host
	service      int
	arrived      time.Duration
	excluded     map[int]bool
}

// result counts what callers got.
type result struct{ served, late, refusedAtOnce, refusedLate int }

func (r result) total() int { return r.served + r.late + r.refusedAtOnce + r.refusedLate }

// share returns the fraction that was served within the objective.
func (r result) share() float64 { return float64(r.served) / float64(max(1, r.total())) }
