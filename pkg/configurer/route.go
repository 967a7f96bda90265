package configurer

import (
	"errors"
	"fmt"
	"slices"
)

// Route leads a database name to a group of upstreams.
type Route struct {
	ID    string `json:"id"`
	Group string `json:"group"`
	// Open lets callers in without a key.
	Open bool `json:"open,omitempty"`
	// Organisations are the admitted ones; an empty list admits all.
	Organisations []string `json:"organisations,omitempty"`
}

// Admits reports whether an organisation may use the route.
func (r Route) Admits(organisation string) bool {
	return r.Open || len(r.Organisations) == 0 || slices.Contains(r.Organisations, organisation)
}

// Validate returns an error when a field is missing.
func (r Route) Validate() error {
	if r.ID == "" || r.Group == "" {
		return errors.New("configurer: route needs an id and a group")
	}
	if r.Open && len(r.Organisations) > 0 {
		return fmt.Errorf("configurer: route %s: an open route admits everyone and lists no organisations", r.ID)
	}
	return nil
}
