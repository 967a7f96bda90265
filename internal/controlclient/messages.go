package controlclient

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/spender"
	"github.com/shallotstage/shallotstage/pkg/tracker"
	"github.com/shallotstage/shallotstage/pkg/warmer"
)

// RPCPath is the path of the call between an entry host and the leading control
// host: a stream of Reports in exchange for a stream of Updates.
const RPCPath = "/shallotstage.Control/Attend"

// Report is the message from an entry host to a control host.
type Report struct {
	// Sequence increases with each report of a stream.
	Sequence uint64 `json:"sequence"`
	// Host is the machine's name; Incarnation differs after each start of the
	// process.
	Host        string `json:"host,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	DataCentre  string `json:"data_centre,omitempty"`
	// PeerAddress is the address of this host for other entry hosts.
	PeerAddress string `json:"peer_address,omitempty"`
	// Hosts is the number of entry hosts in the last update.
	Hosts int `json:"hosts,omitempty"`
	// Version is the version of the configuration in use.
	Version uint64 `json:"version"`
	// Index is the log index up to which this host has followed the topology: it
	// acknowledges no answer of an upstream that was replaced as primary up to then.
	Index uint64 `json:"index,omitempty"`
	// HoldsLease is true if this host may hold a lease on primaries that an earlier
	// stream gave it.
	HoldsLease bool `json:"holds_lease,omitempty"`
	// AcceptsChanges is true if this host understands Update.TopologyChange and
	// Update.ConfigurationChange.
	AcceptsChanges bool `json:"accepts_changes,omitempty"`
	// LostLeader is the leader that the entry host has lost contact with.
	LostLeader string `json:"lost,omitempty"`
	// ShuttingDown is true while the process is shutting down.
	ShuttingDown     bool             `json:"leaving,omitempty"`
	Shares           spender.Report   `json:"shares"`
	UpstreamStatuses []UpstreamStatus `json:"sights,omitempty"`
	// WarmupWanted are all cold upstreams to which this host wants the grant to send. It
	// has given up the grants of all others.
	WarmupWanted []string `json:"warmup_wanted,omitempty"`
}

// UpstreamStatus is a host's latest status of an upstream.
type UpstreamStatus struct {
	Upstream string `json:"upstream"`
	// Reachable is false while the upstream does not accept connections.
	Reachable bool `json:"reachable"`
	// Answered is true if the upstream answered within the last interval.
	Answered bool             `json:"heard,omitempty"`
	Position tracker.Position `json:"position"`
}

// Update is the message from a control host to an entry host.
type Update struct {
	// ReportSequence is the sequence number of the answered report, or zero.
	ReportSequence uint64 `json:"answers,omitempty"`
	// Leader is the address of the leader if this host does not lead. An empty
	// address means that no leader is known.
	NotLeading bool   `json:"not_leading,omitempty"`
	Leader     string `json:"leader,omitempty"`
	// Configuration is a compressed keeper.Configuration, set if the host has an
	// older version.
	Configuration CompressedJSON `json:"configuration,omitempty"`
	// ConfigurationChange is a compressed ConfigurationChange, sent in place of
	// Configuration to a host that has the version before.
	ConfigurationChange CompressedJSON `json:"configuration_change,omitempty"`
	// Topology is a compressed Topology, set in the first update and when it has
	// changed.
	Topology CompressedJSON `json:"topology,omitempty"`
	// TopologyChange is a compressed TopologyChange, sent in place of Topology to a
	// host that has the one before.
	TopologyChange CompressedJSON `json:"topology_change,omitempty"`
	// Hosts is the number of entry hosts; zero means no change.
	Hosts int `json:"hosts,omitempty"`
	// Peers are the entry hosts that lend connections, as a compressed map of
	// keeper.Peer by name, set when it has changed.
	Peers CompressedJSON `json:"peers,omitempty"`
	// GrantNumber is the number of the grant in Extras, which is valid for
	// Lease from the time when the answered report was sent. Zero means no
	// change.
	GrantNumber uint64             `json:"grant,omitempty"`
	Extras      map[string]float64 `json:"extras,omitempty"`
	Lease       time.Duration      `json:"lease,omitempty"`
	// PrimaryLease is how long the host may act at primaries, from the time when the
	// answered report was sent. Zero means no change.
	PrimaryLease time.Duration `json:"primary_lease,omitempty"`
	// WarmupGrants are the grants to send to cold upstreams, by ID, from the time when
	// the answered report was sent. One that is missing is not renewed.
	WarmupGrants map[string]warmer.Grant `json:"warmup_grants,omitempty"`
	// EvacuationAges holds, by data centre, how old the orders are that the sender
	// applied while it led. It comes with each topology and change of topology.
	EvacuationAges map[string]time.Duration `json:"evacuation_ages,omitempty"`
}

// Topology is the agreed state of upstreams and control hosts.
type Topology struct {
	Revision uint64 `json:"revision"`
	// Index is the log index up to which the topology includes all commands.
	Index      uint64                      `json:"index"`
	Upstreams  map[string]keeper.Upstream  `json:"upstreams"`
	Primaries  map[string]string           `json:"primaries"`
	Promotions map[string]keeper.Promotion `json:"promotions"`
	Members    map[string]keeper.Member    `json:"members"`
	// Evacuations maps each evacuated data centre to the log index of the order. A
	// control host of an earlier build sends none.
	Evacuations map[string]uint64 `json:"evacuations"`
}
