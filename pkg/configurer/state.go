// Package configurer holds the replicated configuration of the fleet and applies
// versioned changes to it.
//
// A State is immutable once published. Apply returns a new State that shares all
// unmodified maps with the old one, so that requests can read a State through an
// atomic pointer without locks.
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
	"maps"
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
	Objectives    map[string]Objective
	ControlHosts  map[string]ControlHost
}

// Apply returns the state after a change. Versions need not be consecutive, but a
// change at or below the state's version is an error, so that the configuration
// never reverts.
func (s State) Apply(c Change) (State, error) { return s.ApplyAll([]Change{c}) }

// ApplyAll returns the state after several changes, which may have different
// versions. Either all changes take effect or none.
func (s State) ApplyAll(changes []Change) (State, error) {
	next := s
	copied := map[Kind]bool{}
	for _, c := range changes {
		if c.Version <= s.Version || c.Version < next.Version {
			return s, fmt.Errorf("configurer: change version %d is not above %d", c.Version, s.Version)
		}
		if !copied[c.Kind] {
			next.copyMap(c.Kind)
			copied[c.Kind] = true
		}
		if err := next.applyChange(c); err != nil {
			return s, err
		}
		next.Version = c.Version
	}
	return next, nil
}

// copyMap replaces the map of one kind by a copy, which can then be modified.
func (s *State) copyMap(kind Kind) {
	switch kind {
	case KindOrganisation:
		s.Organisations = maps.Clone(s.Organisations)
		if s.Organisations == nil {
			s.Organisations = map[string]Organisation{}
		}
	case KindKey:
		s.Keys = maps.Clone(s.Keys)
		if s.Keys == nil {
			s.Keys = map[string]Key{}
		}
	case KindRoute:
		s.Routes = maps.Clone(s.Routes)
		if s.Routes == nil {
			s.Routes = map[string]Route{}
		}
	case KindGroup:
		s.Groups = maps.Clone(s.Groups)
		if s.Groups == nil {
			s.Groups = map[string]Group{}
		}
	case KindUpstream:
		s.Upstreams = maps.Clone(s.Upstreams)
		if s.Upstreams == nil {
			s.Upstreams = map[string]Upstream{}
		}
	case KindHost:
		s.Hosts = maps.Clone(s.Hosts)
		if s.Hosts == nil {
			s.Hosts = map[string]Host{}
		}
	case KindObjective:
		s.Objectives = maps.Clone(s.Objectives)
		if s.Objectives == nil {
			s.Objectives = map[string]Objective{}
		}
	case KindControlHost:
		s.ControlHosts = maps.Clone(s.ControlHosts)
		if s.ControlHosts == nil {
			s.ControlHosts = map[string]ControlHost{}
		}
	}
}

// applyChange stores or removes one entry. The map of its kind must have been
// copied with copyMap.
func (s *State) applyChange(c Change) error {
	if c.Body == nil {
		return s.deleteEntry(c)
	}
	switch c.Kind {
	case KindOrganisation:
		var o Organisation
		if err := decode(c, &o); err != nil {
			return err
		}
		s.Organisations[c.ID] = o
	case KindKey:
		var k Key
		if err := decode(c, &k); err != nil {
			return err
		}
		s.Keys[c.ID] = k
	case KindRoute:
		var r Route
		if err := decode(c, &r); err != nil {
			return err
		}
		s.Routes[c.ID] = r
	case KindGroup:
		var g Group
		if err := decode(c, &g); err != nil {
			return err
		}
		s.Groups[c.ID] = g
	case KindUpstream:
		var u Upstream
		if err := decode(c, &u); err != nil {
			return err
		}
		s.Upstreams[c.ID] = u
	case KindHost:
		var h Host
		if err := decode(c, &h); err != nil {
			return err
		}
		s.Hosts[c.ID] = h
	case KindObjective:
		var o Objective
		if err := decode(c, &o); err != nil {
			return err
		}
		s.Objectives[c.ID] = o
	case KindControlHost:
		var h ControlHost
		if err := decode(c, &h); err != nil {
			return err
		}
		s.ControlHosts[c.ID] = h
	default:
		return fmt.Errorf("configurer: unknown kind %q", c.Kind)
	}
	return nil
}

func (s *State) deleteEntry(c Change) error {
	switch c.Kind {
	case KindOrganisation:
		delete(s.Organisations, c.ID)
	case KindKey:
		delete(s.Keys, c.ID)
	case KindRoute:
		delete(s.Routes, c.ID)
	case KindGroup:
		delete(s.Groups, c.ID)
	case KindUpstream:
		delete(s.Upstreams, c.ID)
	case KindHost:
		delete(s.Hosts, c.ID)
	case KindObjective:
		delete(s.Objectives, c.ID)
	case KindControlHost:
		delete(s.ControlHosts, c.ID)
	default:
		return fmt.Errorf("configurer: unknown kind %q", c.Kind)
	}
	return nil
}

// validator is implemented by all entry types.
type validator interface{ Validate() error }

func decode(c Change, e validator) error {
	if err := json.Unmarshal(c.Body, e); err != nil {
		return fmt.Errorf("configurer: decode %s %s: %w", c.Kind, c.ID, err)
	}
	if err := e.Validate(); err != nil {
		return fmt.Errorf("configurer: %s %s: %w", c.Kind, c.ID, err)
	}
	return nil
}

// Snapshot returns the changes that recreate the state from an empty one. All of
// them have the state's version.
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
	for id, e := range s.Objectives {
		add(KindObjective, id, e)
	}
	for id, e := range s.ControlHosts {
		add(KindControlHost, id, e)
	}
	sort.Slice(changes, func(i, j int) bool {
		if changes[i].Kind != changes[j].Kind {
			return changes[i].Kind < changes[j].Kind
		}
		return changes[i].ID < changes[j].ID
	})
	return changes, firstErr
}
