package configurer

import (
	"errors"
	"fmt"
)

// Lifecycle is the state of an upstream's membership in the fleet.
type Lifecycle string

// The lifecycle states of an upstream.
const (
	LifecycleAnnounced Lifecycle = "announced"
	LifecycleServing   Lifecycle = "serving"
	LifecycleSuspected Lifecycle = "suspected"
	LifecycleDraining  Lifecycle = "draining"
	LifecycleGone      Lifecycle = "gone"
)

// Upstream is one database server of a group.
type Upstream struct {
	ID    string `json:"id"`
	Group string `json:"group"`
	// Address is the host and port of the PostgreSQL protocol.
	Address string `json:"address"`
	// PlatformAddress is the host and port of the platform's HTTP API.
	PlatformAddress string `json:"platform_address"`
	DataCentre      string `json:"data_centre"`
	Region          string `json:"region"`
	// Slots is the maximum number of statements that run concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections.
	Connections int `json:"connections"`
	// Instance identifies the upstream's data. It changes if the data is lost.
	Instance  string    `json:"instance,omitempty"`
	Lifecycle Lifecycle `json:"lifecycle"`
}

// AcceptsRequests reports whether new requests may be sent to the upstream. A
// suspected upstream accepts requests from hosts whose own probes it answers.
func (u Upstream) AcceptsRequests() bool {
	return u.Lifecycle == LifecycleServing || u.Lifecycle == LifecycleSuspected
}

// Validate returns an error if a field is missing or out of range.
func (u Upstream) Validate() error {
	if u.ID == "" || u.Group == "" || u.Address == "" {
		return errors.New("configurer: upstream needs an id, a group and an address")
	}
	if u.Slots < 1 || u.Connections < 1 {
		return fmt.Errorf("configurer: upstream %s: slots and connections must be at least 1", u.ID)
	}
	return nil
}
