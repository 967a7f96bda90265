// Package keeper is the replicated state machine of the control hosts. It holds
// the latest configuration, the announced upstreams, each service's primary, the
// promotions with their fencing tokens, the control hosts, the entry hosts and the
// evacuated data centres.
//
// # Usage
//
//	s := keeper.New(decode)
//	outcome := s.Apply(command, index)
//	body, err := s.Marshal()
//	s, err = keeper.Unmarshal(body, decode)
//
// A State is deterministic: the same commands in the same order give the same
// state on every control host. It is not safe for concurrent use.
package keeper

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"

	"github.com/shallotstage/shallotstage/internal/decoder"
)

// maxTombstones limits the removed upstreams that are kept to reject their late
// announcements.
const maxTombstones = 4096

// DecodeFunc decodes an operator's document. The result must depend on the
// document alone, so that all control hosts decode the same configuration.
type DecodeFunc func(document []byte) (Configuration, error)

// State is the replicated state.
type State struct {
	// Document is the current configuration as the operator sent it.
	Document []byte `json:"document,omitempty"`
	// Upstreams are keyed by ID.
	Upstreams map[string]Upstream `json:"upstreams"`
	// Removed holds the last announcement of each removed upstream, by ID.
	Removed map[string]Upstream `json:"removed"`
	// Primaries maps a service to the ID of its primary.
	Primaries map[string]string `json:"primaries"`
	// Promotions are keyed by service.
	Promotions map[string]Promotion `json:"promotions"`
	// Superseded holds, by ID, the upstreams that a promotion replaced as primary
	// and that have not announced themselves as replicas since. The value is their
	// service.
	Superseded map[string]string `json:"superseded,omitempty"`
	// Members are keyed by ID.
	Members map[string]Member `json:"members"`
	// Hosts are the names of entry hosts that may hold shares of the
	// organisations' rates.
	Hosts map[string]bool `json:"hosts"`
	// Peers are the addresses and locations of the entry hosts, by name.
	Peers map[string]Peer `json:"peers"`
	// Evacuations maps each evacuated data centre to the log index of the order.
	Evacuations map[string]uint64 `json:"evacuations,omitempty"`

	configuration Configuration
	decode        DecodeFunc
	ignored       []*decoder.EntryError
	// revision counts the changes that are sent to entry hosts.
	revision uint64
	// peersRevision counts the commands that may change Peers.
	peersRevision uint64
}

// Outcome is the result of a command.
type Outcome struct {
	// Changed is false for a stale or repeated command.
	Changed bool
	// Token is the fencing token of a promotion.
	Token uint64
	// Err is set for an invalid command.
	Err error
}

// New returns an empty state.
func New(decode DecodeFunc) *State {
	s := &State{decode: decode}
	s.makeMaps()
	return s
}

// makeMaps makes the maps that are missing.
func (s *State) makeMaps() {
	if s.Upstreams == nil {
		s.Upstreams = map[string]Upstream{}
	}
	if s.Removed == nil {
		s.Removed = map[string]Upstream{}
	}
	if s.Primaries == nil {
		s.Primaries = map[string]string{}
	}
	if s.Promotions == nil {
		s.Promotions = map[string]Promotion{}
	}
	if s.Superseded == nil {
		s.Superseded = map[string]string{}
	}
	if s.Members == nil {
		s.Members = map[string]Member{}
	}
	if s.Hosts == nil {
		s.Hosts = map[string]bool{}
	}
	if s.Peers == nil {
		s.Peers = map[string]Peer{}
	}
	if s.Evacuations == nil {
		s.Evacuations = map[string]uint64{}
	}
}

// Unmarshal decodes a state that Marshal encoded. An empty body gives an empty
// state. Entries that cannot be decoded, perhaps those of another build, are left out:
// see Ignored.
func Unmarshal(body []byte, decode DecodeFunc) (*State, error) {
	if len(body) == 0 {
		return New(decode), nil
	}
	s := &State{}
	ignored, err := decoder.Decode(body, s)
	if err != nil {
		return nil, fmt.Errorf("keeper: decode state: %w", err)
	}
	s.ignored, s.decode = ignored, decode
	s.makeMaps()
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

// Ignored returns the entries that Unmarshal left out.
func (s *State) Ignored() []*decoder.EntryError { return s.ignored }

// Marshal encodes the state for a snapshot.
func (s *State) Marshal() ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("keeper: encode state: %w", err)
	}
	return body, nil
}

// Configuration returns the current configuration.
func (s *State) Configuration() Configuration { return s.configuration }

// Revision returns a number that increases with each change of upstreams,
// primaries, promotions, members and evacuations.
func (s *State) Revision() uint64 { return s.revision }

// PeersRevision returns a number that increases whenever Peers may have changed.
func (s *State) PeersRevision() uint64 { return s.peersRevision }

// Apply applies the command at a log index.
func (s *State) Apply(c Command, index uint64) Outcome {
	switch c.Kind {
	case CommandConfigure:
		return s.configure(c)
	case CommandUpdateUpstream:
		if c.Upstream == nil {
			return Outcome{Err: fmt.Errorf("keeper: command %d names no upstream", index)}
		}
		return s.recordChange(s.observe(*c.Upstream))
	case CommandRemoveUpstream:
		if c.Upstream == nil {
			return Outcome{Err: fmt.Errorf("keeper: command %d names no upstream", index)}
		}
		return s.recordChange(s.remove(*c.Upstream))
	case CommandPromote:
		s.Promotions[c.Service] = Promotion{Service: c.Service, Candidate: c.Candidate, Requester: c.Requester, Token: index, Reason: c.Reason, Planned: c.Planned}
		s.revision++
		return Outcome{Changed: true, Token: index}
	case CommandSetMember:
		if c.Member == nil {
			return Outcome{Err: fmt.Errorf("keeper: command at index %d has no member", index)}
		}
		return s.recordChange(s.setMember(*c.Member))
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
	case CommandEvacuate:
		return s.evacuate(c.DataCentre, index)
	case CommandEndEvacuation:
		_, ordered := s.Evacuations[c.DataCentre]
		delete(s.Evacuations, c.DataCentre)
		return s.recordChange(ordered)
	}
	return Outcome{Err: fmt.Errorf("keeper: unknown command %q at %d", c.Kind, index)}
}

// maxEvacuations limits the evacuated data centres: the state is sent to every host.
const maxEvacuations = 256

// ErrTooManyEvacuations means that maxEvacuations orders are in effect.
var ErrTooManyEvacuations = fmt.Errorf("keeper: %d data centres are evacuated already", maxEvacuations)

// evacuate records an order. One that is in effect keeps its index.
func (s *State) evacuate(dataCentre string, index uint64) Outcome {
	if dataCentre == "" {
		return Outcome{Err: fmt.Errorf("keeper: command %d names no data centre", index)}
	}
	if _, ordered := s.Evacuations[dataCentre]; ordered {
		return Outcome{}
	}
	if len(s.Evacuations) >= maxEvacuations {
		return Outcome{Err: ErrTooManyEvacuations}
	}
	s.Evacuations[dataCentre] = index
	return s.recordChange(true)
}

func (s *State) recordChange(changed bool) Outcome {
	if changed {
		s.revision++
	}
	return Outcome{Changed: changed}
}

// configure applies a configuration with a higher version and ignores others.
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

// IsNewAnnouncement reports whether an announcement differs from the replicated
// state and is newer than it.
func (s *State) IsNewAnnouncement(u Upstream) bool {
	old, ok := s.Upstreams[u.ID]
	if !ok {
		removed, wasRemoved := s.Removed[u.ID]
		return !wasRemoved || u.isNewerThan(removed)
	}
	return u.isNewerThan(old) && !u.sameState(old)
}

// observe stores an upstream's announcement. It returns false for a stale one.
func (s *State) observe(u Upstream) bool {
	if removed, ok := s.Removed[u.ID]; ok && !u.isNewerThan(removed) {
		return false
	}
	old, known := s.Upstreams[u.ID]
	if known && !u.isNewerThan(old) {
		return false
	}
	for id, other := range s.Upstreams {
		if id == u.ID || other.Address != u.Address {
			continue
		}
		if other.IncarnationStart > u.IncarnationStart {
			return false
		}
		// A newer upstream has taken over the address.
		s.removeUpstream(other)
	}
	delete(s.Removed, u.ID)
	s.Upstreams[u.ID] = u
	s.updatePrimary(old, u, known && old.IncarnationStart == u.IncarnationStart)
	return true
}

// updatePrimary updates the primary of a service after an announcement of u.
func (s *State) updatePrimary(old, u Upstream, sameIncarnation bool) {
	current := s.Primaries[u.Service]
	if u.Role == RoleReplica {
		delete(s.Superseded, u.ID)
		if current == u.ID {
			delete(s.Primaries, u.Service)
		}
		return
	}
	if u.Role != RolePrimary || (sameIncarnation && old.Role == RolePrimary && current != "") {
		return
	}
	promotion := s.Promotions[u.Service]
	isCandidate := promotion.Candidate == u.ID
	if _, superseded := s.Superseded[u.ID]; superseded && !isCandidate {
		// A replaced primary does not know of the promotion yet.
		return
	}
	if current != u.ID && !sameIncarnation && s.isPromoted(u.Service, current) {
		// The former primary restarted and does not know of the promotion yet.
		return
	}
	if current != "" && current != u.ID {
		s.Superseded[current] = u.Service
	}
	delete(s.Superseded, u.ID)
	s.Primaries[u.Service] = u.ID
	if isCandidate {
		promotion.Done = true
		s.Promotions[u.Service] = promotion
	}
}

// isPromoted reports whether id is the candidate of the service's latest
// promotion and has not been removed.
func (s *State) isPromoted(service, id string) bool {
	_, exists := s.Upstreams[id]
	return exists && id != "" && s.Promotions[service].Candidate == id
}

// remove removes an upstream that signed off. It returns false when the upstream
// is unknown or has restarted since.
func (s *State) remove(u Upstream) bool {
	old, ok := s.Upstreams[u.ID]
	if !ok || (u.IncarnationStart != 0 && u.IncarnationStart < old.IncarnationStart) {
		return false
	}
	s.removeUpstream(old)
	return true
}

func (s *State) removeUpstream(u Upstream) {
	delete(s.Upstreams, u.ID)
	delete(s.Superseded, u.ID)
	if s.Primaries[u.Service] == u.ID {
		delete(s.Primaries, u.Service)
	}
	s.Removed[u.ID] = u
	if len(s.Removed) > maxTombstones {
		s.evictOldestTombstones()
	}
}

func (s *State) evictOldestTombstones() {
	ids := make([]string, 0, len(s.Removed))
	for id := range s.Removed {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		a, b := s.Removed[ids[i]], s.Removed[ids[j]]
		if a.IncarnationStart != b.IncarnationStart {
			return a.IncarnationStart < b.IncarnationStart
		}
		return ids[i] < ids[j]
	})
	for _, id := range ids[:len(ids)/2] {
		delete(s.Removed, id)
	}
}

// setMember adds or updates a control host. Another member at the same address
// is a former ID of a host that lost its data directory, so it is dropped.
func (s *State) setMember(m Member) bool {
	if s.Members[m.ID] == m {
		return false
	}
	maps.DeleteFunc(s.Members, func(id string, other Member) bool {
		return id != m.ID && other.PeerAddress == m.PeerAddress
	})
	s.Members[m.ID] = m
	return true
}
