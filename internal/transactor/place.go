package transactor

import "github.com/shallotstage/shallotstage/pkg/balancer"

// Place is where an entry host stands.
type Place struct {
	DataCentre string
	Region     string
	// Regions maps data centres to regions.
	Regions map[string]string
}

// DistanceTo classes a data centre.
func (p Place) DistanceTo(dataCentre string) balancer.Distance {
	switch {
	case dataCentre == p.DataCentre:
		return balancer.DistanceDataCentre
	case p.Regions[dataCentre] == p.Region:
		return balancer.DistanceRegion
	}
	return balancer.DistanceFar
}
