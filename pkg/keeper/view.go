package keeper

// View is what an entry host knows of the agreed state. It is immutable once
// it is shared.
type View struct {
	Configuration Configuration
	// Upstreams are keyed by ID.
	Upstreams map[string]Upstream
	// Primaries maps a service to the upstream that leads it.
	Primaries map[string]string
	// Promotions are keyed by service.
	Promotions map[string]Promotion
	// Members are the control hosts.
	Members map[string]Member
	// Hosts is the number of entry hosts that share the services.
	Hosts int
	// Peers are the entry hosts that lend connections, by name.
	Peers map[string]Peer
	// Revision names the state of Upstreams, Primaries, Promotions and Members.
	Revision uint64

	byService map[string][]Upstream
}

// Peer is an entry host as the others reach it.
type Peer struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Index prepares the view for ByService. It is called once, before the view is
// shared.
func (v *View) Index() {
	v.byService = map[string][]Upstream{}
	for _, u := range v.Upstreams {
		v.byService[u.Service] = append(v.byService[u.Service], u)
	}
}

// ByService returns the upstreams of a service in no order.
func (v *View) ByService(service string) []Upstream { return v.byService[service] }

// Candidate returns the upstream that is to lead a service, or an empty ID.
func (v *View) Candidate(service string) string {
	p := v.Promotions[service]
	if _, ok := v.Upstreams[p.Candidate]; !ok || v.Primaries[service] == p.Candidate {
		return ""
	}
	return p.Candidate
}
