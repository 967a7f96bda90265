package transactor

import "github.com/shallotstage/shallotstage/pkg/balancer"

// Location is the location of an entry host.
type Location struct {
	DataCentre string
	Region     string
	// Regions maps data centres to regions.
	Regions map[string]string
}

// RegionOf returns the region of a data centre, or an empty string if it is unknown.
func (l Location) RegionOf(dataCentre string) string {
	if dataCentre == l.DataCentre {
		return l.Region
	}
	return l.Regions[dataCentre]
}

// DistanceTo classifies the distance to a data centre.
func (l Location) DistanceTo(dataCentre string) balancer.Distance {
	switch {
	case dataCentre == l.DataCentre:
		return balancer.DistanceDataCentre
	case l.Regions[dataCentre] == l.Region:
		return balancer.DistanceRegion
	}
	return balancer.DistanceFar
}
