package keeper

import "time"

// View is the part of the replicated state that an entry host has received. It
// must not be modified once it is shared.
type View struct {
	Configuration Configuration
	// Upstreams are keyed by ID.
	Upstreams map[string]Upstream
	// Primaries maps a service to the ID of its primary.
	Primaries map[string]string
	// Promotions are keyed by service.
	Promotions map[string]Promotion
	// Members are the control hosts, keyed by ID.
	Members map[string]Member
	// Hosts is the number of entry hosts among which rates and connections are
	// divided.
	Hosts int
	// Peers are the entry hosts that share their upstream connections, by name.
	Peers map[string]Peer
	// Evacuations maps each evacuated data centre to the log index of the order.
	Evacuations map[string]uint64
	// EvacuationAges holds how old orders were when the view arrived. The age of an
	// order that was given before the sender led is unknown and missing.
	EvacuationAges map[string]time.Duration
	// Revision is the version of Upstreams, Primaries, Promotions, Members and
	// Evacuations.
	Revision uint64
	// Index is the log index up to which Upstreams, Primaries, Promotions, Members
	// and Evacuations include all commands. Unlike Revision, it is the same on all control
	// hosts.
	Index uint64

	byService map[string][]Upstream
}

// Peer is the address and location of an entry host, as other hosts reach it.
type Peer struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// BuildServiceIndex builds the index for ByService. It must be called once,
// before the view is shared.
func (v *View) BuildServiceIndex() {
	v.byService = map[string][]Upstream{}
	for _, u := range v.Upstreams {
		v.byService[u.Service] = append(v.byService[u.Service], u)
	}
}

// ByService returns the upstreams of a service in unspecified order.
func (v *View) ByService(service string) []Upstream { return v.byService[service] }

// Promotion returns the promotion of a service that has not come into effect yet,
// or false.
func (v *View) Promotion(service string) (Promotion, bool) {
	p := v.Promotions[service]
	if _, ok := v.Upstreams[p.Candidate]; !ok || p.Done || v.Primaries[service] == p.Candidate {
		return Promotion{}, false
	}
	return p, true
}

// PromotionCandidate returns the ID of the upstream that is being promoted to
// primary of a service, or an empty string.
func (v *View) PromotionCandidate(service string) string {
	p, _ := v.Promotion(service)
	return p.Candidate
}
