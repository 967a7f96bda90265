package demonstrator

import (
	"fmt"
	"time"
)

// DataCentre describes one data centre of a layout.
type DataCentre struct {
	Name   string
	Region string
	// Entries is the number of entry hosts.
	Entries int
}

// Layout describes the topology, sizes and latencies of a fleet.
type Layout struct {
	Name        string
	DataCentres []DataCentre
	Groups      int
	// Slots and Connections are the limits of each upstream.
	Slots       int
	Connections int
	// ConnectDelay is added to the time that a new upstream connection takes.
	ConnectDelay time.Duration
	// Lag is the replicas' replication lag.
	Lag time.Duration
	// LocalLatency, RegionLatency and ClientLatency are one-way latencies.
	LocalLatency  time.Duration
	RegionLatency time.Duration
	ClientLatency time.Duration
	// LinkBits is the bandwidth between the regions in each direction, in bits
	// per second.
	LinkBits      float64
	Organisations []OrganisationSize
	// GroupName is the prefix of the groups' names.
	GroupName string
	// Owners is the number of entry hosts of each data centre that connect to
	// a group's upstreams; zero means all.
	Owners int
}

// OrganisationSize is an organisation's rate limit and demand.
type OrganisationSize struct {
	ID    string
	Rate  float64
	Burst float64
	// Demand is the request rate of its callers as a multiple of Rate.
	Demand float64
}

// organisations returns 8 organisations. The first three are large, and the third
// sends several times its rate.
func organisations(prefix string) []OrganisationSize {
	var out []OrganisationSize
	for i := 1; i <= 8; i++ {
		o := OrganisationSize{ID: fmt.Sprintf("%s_%d", prefix, i), Rate: 40, Burst: 40, Demand: 0.6}
		if i <= 3 {
			o.Rate, o.Burst = 150, 100
		}
		if i == 3 {
			o.Demand = 4
		}
		out = append(out, o)
	}
	return out
}

// baseLayout returns the settings that both layouts have in common.
func baseLayout(prefix string) Layout {
	return Layout{
		Groups: 3, ConnectDelay: 10 * time.Millisecond, Lag: 20 * time.Millisecond,
		RegionLatency: 30 * time.Millisecond, LinkBits: 30e6, Organisations: organisations(prefix),
	}
}

// Association is the layout of the Prairie Merchants Search Audit Association.
func Association() Layout {
	l := baseLayout("prairie")
	l.Name, l.GroupName = "association", "audit-ledger"
	l.DataCentres = []DataCentre{{"regina-a", "sask", 2}, {"saskatoon-a", "sask", 2}, {"winnipeg-a", "manitoba", 2}}
	l.Slots, l.Connections = 5, 30
	l.LocalLatency, l.ClientLatency = 1500*time.Microsecond, time.Millisecond
	return l
}

// Zupcanik is the layout of Zupčanik Grupa.
func Zupcanik() Layout {
	l := baseLayout("radionica")
	l.Name, l.GroupName = "zupcanik", "radionica-db"
	l.DataCentres = []DataCentre{{"split-hala", "dalmacija", 2}, {"zadar-hala", "dalmacija", 2}, {"osijek-hala", "slavonija", 2}}
	l.Slots, l.Connections = 3, 40
	l.LocalLatency, l.ClientLatency = 500*time.Microsecond, 3*time.Millisecond
	return l
}
