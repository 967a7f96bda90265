// Package keeper keeps the state that control hosts agree on: the newest
// configuration, the upstreams that announced themselves, each service's
// primary, the promotions with their fencing tokens, and the control hosts.
//
// # Usage
//
//	s := keeper.New(decode)
//	outcome := s.Apply(command, index)
//	body, err := s.Marshal()
//	s, err = keeper.Unmarshal(body, decode)
//
// A State is plain: the same commands in the same order give the same state on
// every control host. Its user serialises the calls.
package keeper

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
)

// maxTombstones bounds the removed upstreams that are remembered, so that a
// late announcement does not bring one back.
const maxTombstones = 4096

// DecodeFunc decodes an operator's document. It must depend on nothing else.
type DecodeFunc func(document []byte) (Configuration, error)

// State is the agreed state.
type State struct {
	// Document is the configuration in force as the operator sent it.
	Document []byte `json:"document,omitempty"`
	// Upstreams are keyed by ID.
	Upstreams map[string]Upstream `json:"upstreams"`
	// Removed are the last announcements of upstreams that left.
	Removed map[string]Upstream `json:"removed"`
	// Primaries maps a service to the upstream that leads it.
	Primaries map[string]string `json:"primaries"`
	// Promotions are keyed by service.
	Promotions map[string]Promotion `json:"promotions"`
	// Members are keyed by ID.
	Members map[string]Member `json:"members"`
	// Hosts are the names of entry hosts that may hold shares.
	Hosts map[string]bool `json:"hosts"`
	// Peers are the entry hosts as they are reached, by name.
	Peers map[string]Peer `json:"peers"`

	configuration Configuration
	decode        DecodeFunc
	// revision counts the changes that entry hosts must learn of.
	revision uint64
	// peersRevision counts the changes of Peers.
	peersRevision uint64
}

// Outcome tells what a command did.
type Outcome struct {
	// Changed is false for a command that was overtaken or repeated.
	Changed bool
	// Token is the fencing token of a promotion.
	Token uint64
	// Err is set for a command that cannot be carried out.
	Err error
}

// New returns an empty state.
func New(decode DecodeFunc) *State {
	return &State{
		Upstreams: map[string]Upstream{}, Removed: map[string]Upstream{}, Primaries: map[string]string{},
		Promotions: map[string]Promotion{}, Members: map[string]Member{}, Hosts: map[string]bool{}, Peers: map[string]Peer{}, decode: decode,
	}
}

// Unmarshal reads the form that Marshal writes. An empty body is an empty
// state.
func Unmarshal(body []byte, decode DecodeFunc) (*State, error) {
	s := New(decode)
	if len(body) == 0 {
		return s, nil
	}
	if err := json.Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("keeper: decode state: %w", err)
	}
	if len(s.Document) == 0 {
		return s, nil
	}
	configuration, err := decode(s.Document)
	if err != nil {
		return nil, fmt.Errorf("keeper: decode configuration: %w", err)
	}
	s.configuration = configuration
	return s, nil
}

// Marshal returns the state for a snapshot.
func (s *State) Marshal() ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("keeper: encode state: %w", err)
	}
	return body, nil
}

// Configuration returns the configuration in force.
func (s *State) Configuration() Configuration { return s.configuration }

// Revision rises with each change of upstreams, primaries, promotions and
// members.
func (s *State) Revision() uint64 { return s.revision }

// PeersRevision rises with each change of Peers.
func (s *State) PeersRevision() uint64 { return s.peersRevision }

// Apply carries out the command at a log index.
func (s *State) Apply(c Command, index uint64) Outcome {
	switch c.Kind {
	case CommandConfigure:
		return s.configure(c)
	case CommandObserve:
		if c.Upstream == nil {
			return Outcome{Err: fmt.Errorf("keeper: command %d names no upstream", index)}
		}
		return s.changed(s.observe(*c.Upstream))
	case CommandRemove:
		if c.Upstream == nil {
			return Outcome{Err: fmt.Errorf("keeper: command %d names no upstream", index)}
		}
		return s.changed(s.remove(*c.Upstream))
	case CommandPromote:
		s.Promotions[c.Service] = Promotion{Service: c.Service, Candidate: c.Candidate, Holder: c.Holder, Token: index, Reason: c.Reason}
		s.revision++
		return Outcome{Changed: true, Token: index}
	case CommandMember:
		if c.Member == nil {
			return Outcome{Err: fmt.Errorf("keeper: command %d names no member", index)}
		}
		return s.changed(s.admit(*c.Member))
	case CommandHostJoined:
		changed := !s.Hosts[c.Host] || s.Peers[c.Host] != c.Peer
		s.Hosts[c.Host], s.Peers[c.Host] = true, c.Peer
		s.peersRevision++
		return Outcome{Changed: changed}
	case CommandHostLeft:
		changed := s.Hosts[c.Host]
		delete(s.Hosts, c.Host)
		delete(s.Peers, c.Host)
		s.peersRevision++
		return Outcome{Changed: changed}
	}
	return Outcome{Err: fmt.Errorf("keeper: unknown command %q at %d", c.Kind, index)}
}

func (s *State) changed(changed bool) Outcome {
	if changed {
		s.revision++
	}
	return Outcome{Changed: changed}
}

// configure takes a higher version. An equal or lower one changes nothing.
func (s *State) configure(c Command) Outcome {
	if c.Version <= s.configuration.Version {
		return Outcome{}
	}
	configuration, err := s.decode(c.Document)
	if err != nil {
		return Outcome{Err: fmt.Errorf("keeper: configuration %d: %w", c.Version, err)}
	}
	s.Document, s.configuration = c.Document, configuration
	return Outcome{Changed: true}
}

// IsNews reports whether an announcement tells something that is not agreed
// on yet.
func (s *State) IsNews(u Upstream) bool {
	old, ok := s.Upstreams[u.ID]
	if !ok {
		removed, gone := s.Removed[u.ID]
		return !gone || u.follows(removed)
	}
	return u.follows(old) && !u.sameStanding(old)
}

// observe takes an upstream's announcement. It returns false for one that is
// late.
func (s *State) observe(u Upstream) bool {
	if removed, ok := s.Removed[u.ID]; ok && !u.follows(removed) {
		return false
	}
	old, known := s.Upstreams[u.ID]
	if known && !u.follows(old) {
		return false
	}
	for id, other := range s.Upstreams {
		if id == u.ID || other.Address != u.Address {
			continue
		}
		if other.Born > u.Born {
			return false
		}
		// The address belongs to a newer incarnation.
		s.bury(other)
	}
	delete(s.Removed, u.ID)
	s.Upstreams[u.ID] = u
	s.follow(old, u, known && old.Born == u.Born)
	return true
}

// follow keeps the primary of the upstream's service.
func (s *State) follow(old, u Upstream, same bool) {
	current := s.Primaries[u.Service]
	switch {
	case u.Role == RolePrimary && (!same || old.Role != RolePrimary || current == ""):
		if current != u.ID && !same && s.isPromoted(u.Service, current) {
			// A restarted primary of before the last promotion.
			return
		}
		s.Primaries[u.Service] = u.ID
	case u.Role == RoleReplica && current == u.ID:
		delete(s.Primaries, u.Service)
	}
}

// isPromoted reports whether the newest promotion of a service chose id and
// id is there.
func (s *State) isPromoted(service, id string) bool {
	_, there := s.Upstreams[id]
	return there && id != "" && s.Promotions[service].Candidate == id
}

// remove takes an upstream's farewell.
func (s *State) remove(u Upstream) bool {
	old, ok := s.Upstreams[u.ID]
	if !ok || (u.Born != 0 && u.Born < old.Born) {
		return false
	}
	s.bury(old)
	return true
}

func (s *State) bury(u Upstream) {
	delete(s.Upstreams, u.ID)
	if s.Primaries[u.Service] == u.ID {
		delete(s.Primaries, u.Service)
	}
	s.Removed[u.ID] = u
	if len(s.Removed) > maxTombstones {
		s.forgetOldest()
	}
}

func (s *State) forgetOldest() {
	ids := make([]string, 0, len(s.Removed))
	for id := range s.Removed {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := s.Removed[ids[i]], s.Removed[ids[j]]
		if a.Born != b.Born {
			return a.Born < b.Born
		}
		return ids[i] < ids[j]
	})
	for _, id := range ids[:len(ids)/2] {
		delete(s.Removed, id)
	}
}

// admit takes a control host's address. Another member at the same address
// has lost its folder and is forgotten.
func (s *State) admit(m Member) bool {
	if s.Members[m.ID] == m {
		return false
	}
	maps.DeleteFunc(s.Members, func(id string, other Member) bool {
		return id != m.ID && other.PeerAddress == m.PeerAddress
	})
	s.Members[m.ID] = m
	return true
}
