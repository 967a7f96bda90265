package controlclient

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// ConfigurationChange is the difference between two versions of the configuration.
type ConfigurationChange struct {
	// From is the version to change, Version that of the result.
	From    uint64 `json:"from"`
	Version uint64 `json:"version"`
	// Routes and Keys are those that are new or have changed, RemovedRoutes and
	// RemovedKeys those that are gone.
	Routes        map[string]keeper.Route `json:"routes,omitempty"`
	RemovedRoutes []string                `json:"removed_routes,omitempty"`
	Keys          map[string]string       `json:"keys,omitempty"`
	RemovedKeys   []string                `json:"removed_keys,omitempty"`
	// Services and Organisations are whole; nil means unchanged.
	Services      map[string]keeper.Service      `json:"services"`
	Organisations map[string]keeper.Organisation `json:"organisations"`
	// TransactionIdleTimeout is that of the result.
	TransactionIdleTimeout time.Duration `json:"transaction_idle"`
}

// ConfigurationChangeOf returns the change from one version to a later one.
func ConfigurationChangeOf(from, to keeper.Configuration) ConfigurationChange {
	c := ConfigurationChange{
		From: from.Version, Version: to.Version, Routes: map[string]keeper.Route{}, Keys: map[string]string{}, TransactionIdleTimeout: to.TransactionIdleTimeout,
	}
	for name, route := range to.Routes {
		if old, ok := from.Routes[name]; !ok || !old.Equal(route) {
			c.Routes[name] = route
		}
	}
	for name := range from.Routes {
		if _, ok := to.Routes[name]; !ok {
			c.RemovedRoutes = append(c.RemovedRoutes, name)
		}
	}
	for key, organisation := range to.Keys {
		if old, ok := from.Keys[key]; !ok || old != organisation {
			c.Keys[key] = organisation
		}
	}
	for key := range from.Keys {
		if _, ok := to.Keys[key]; !ok {
			c.RemovedKeys = append(c.RemovedKeys, key)
		}
	}
	slices.Sort(c.RemovedRoutes)
	slices.Sort(c.RemovedKeys)
	if !maps.Equal(from.Services, to.Services) {
		c.Services = to.Services
	}
	if !maps.EqualFunc(from.Organisations, to.Organisations, keeper.Organisation.Equal) {
		c.Organisations = to.Organisations
	}
	return c
}

// Apply returns the configuration after the change. It returns false if the change is
// one of another version.
func (c ConfigurationChange) Apply(configuration keeper.Configuration) (keeper.Configuration, bool) {
	if configuration.Version != c.From {
		return configuration, false
	}
	next := configuration
	next.Version, next.TransactionIdleTimeout = c.Version, c.TransactionIdleTimeout
	next.Routes, next.Keys = map[string]keeper.Route{}, map[string]string{}
	maps.Copy(next.Routes, configuration.Routes)
	maps.Copy(next.Routes, c.Routes)
	for _, name := range c.RemovedRoutes {
		delete(next.Routes, name)
	}
	maps.Copy(next.Keys, configuration.Keys)
	maps.Copy(next.Keys, c.Keys)
	for _, key := range c.RemovedKeys {
		delete(next.Keys, key)
	}
	if c.Services != nil {
		next.Services = c.Services
	}
	if c.Organisations != nil {
		next.Organisations = c.Organisations
	}
	return next, true
}
