// Package configurer holds the agreed configuration of the fleet and applies
// versioned changes to it.
//
// A State is immutable once published. Apply returns a new State that shares
// all untouched maps with the old one, so that traffic can read a State
// through an atomic pointer without locks.
//
// # Usage
//
//	change, err := configurer.Put(configurer.KindRoute, r.ID, r)
//	change.Version = state.Version + 1
//	next, err := state.Apply(change)
package configurer

import (
	"encoding/json"
	"fmt"
	"sort"
)

// State is the configuration at one version. The zero value is empty.
type State struct {
	Version       uint64
	Organisations map[string]Organisation
	Keys          map[string]Key
	Routes        map[string]Route
	Groups        map[string]Group
	Upstreams     map[string]Upstream
	Hosts         map[string]Host
}

// Apply returns the state after a change. Versions rise by any step above
// zero; a change at or below the state's version is an error, so that the
// configuration never goes back.
func (s State) Apply(c Change) (State, error) {
	if c.Version <= s.Version {
		return s, fmt.Errorf("configurer: change version %d is not above %d", c.Version, s.Version)
	}
	next, err := s.put(c)
	if err != nil {
		return s, err
	}
	next.Version = c.Version
	return next, nil
}

// ApplyAll returns the state after several changes of one or more versions.
// Changes of the same version belong together: either all take effect or none.
func (s State) ApplyAll(changes []Change) (State, error) {
	next := s
	for _, c := range changes {
		if c.Version <= s.Version || c.Version < next.Version {
			return s, fmt.Errorf("configurer: change version %d is not above %d", c.Version, s.Version)
		}
		applied, err := next.put(c)
		if err != nil {
			return s, err
		}
		next = applied
		next.Version = c.Version
	}
	return next, nil
}

// put returns s with one entry stored or removed. The version stays.
func (s State) put(c Change) (State, error) {
	switch c.Kind {
	case KindOrganisation:
		return s.putOrganisation(c)
	case KindKey:
		return s.putKey(c)
	case KindRoute:
		return s.putRoute(c)
	case KindGroup:
		return s.putGroup(c)
	case KindUpstream:
		return s.putUpstream(c)
	case KindHost:
		return s.putHost(c)
	}
	return s, fmt.Errorf("configurer: unknown kind %q", c.Kind)
}

// entry is any stored struct.
type entry interface{ Validate() error }

func decode(c Change, e entry) error {
	if c.Body == nil {
		return nil
	}
	if err := json.Unmarshal(c.Body, e); err != nil {
		return fmt.Errorf("configurer: decode %s %s: %w", c.Kind, c.ID, err)
	}
	if err := e.Validate(); err != nil {
		return fmt.Errorf("configurer: %s %s: %w", c.Kind, c.ID, err)
	}
	return nil
}

// Snapshot returns changes that build the state from an empty one. All carry
// the state's version.
func (s State) Snapshot() ([]Change, error) {
	var changes []Change
	var firstErr error
	add := func(kind Kind, id string, e any) {
		c, err := Put(kind, id, e)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		c.Version = s.Version
		changes = append(changes, c)
	}
	for id, e := range s.Organisations {
		add(KindOrganisation, id, e)
	}
	for id, e := range s.Keys {
		add(KindKey, id, e)
	}
	for id, e := range s.Routes {
		add(KindRoute, id, e)
	}
	for id, e := range s.Groups {
		add(KindGroup, id, e)
	}
	for id, e := range s.Upstreams {
		add(KindUpstream, id, e)
	}
	for id, e := range s.Hosts {
		add(KindHost, id, e)
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Kind != changes[j].Kind {
			return changes[i].Kind < changes[j].Kind
		}
		return changes[i].ID < changes[j].ID
	})
	return changes, firstErr
}
