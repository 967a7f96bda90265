package configurer

import (
	"errors"
	"fmt"
	"slices"
)

// Route maps a database name to a group of upstreams.
type Route struct {
	ID    string `json:"id"`
	Group string `json:"group"`
	// Open allows clients to connect without a key.
	Open bool `json:"open,omitempty"`
	// Organisations are the ids of those that may use the route; an empty list
	// allows all.
	Organisations []string `json:"organisations,omitempty"`
}

// Allows reports whether an organisation may use the route.
func (r Route) Allows(organisation string) bool {
	return r.Open || len(r.Organisations) == 0 || slices.Contains(r.Organisations, organisation)
}

// Validate returns an error if a field is missing or the fields contradict each
// other.
func (r Route) Validate() error {
	if r.ID == "" || r.Group == "" {
		return errors.New("configurer: route needs an id and a group")
	}
	if r.Open && len(r.Organisations) > 0 {
		return fmt.Errorf("configurer: route %s: an open route admits everyone and lists no organisations", r.ID)
	}
	return nil
}
