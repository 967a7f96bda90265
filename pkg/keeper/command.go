package keeper

// CommandKind is the kind of change that a command makes.
type CommandKind string

// The kinds of commands.
const (
	CommandConfigure      CommandKind = "configure"
	CommandUpdateUpstream CommandKind = "observe"
	CommandRemoveUpstream CommandKind = "remove"
	CommandPromote        CommandKind = "promote"
	CommandSetMember      CommandKind = "member"
	// CommandHostJoined and CommandHostLeft maintain the set of entry hosts that
	// may hold shares of the organisations' rates.
	CommandHostJoined CommandKind = "host_joined"
	CommandHostLeft   CommandKind = "host_left"
	// CommandEvacuate orders that nothing more is sent to the upstreams of a data
	// centre, and CommandEndEvacuation revokes the order.
	CommandEvacuate      CommandKind = "evacuate"
	CommandEndEvacuation CommandKind = "end_evacuation"
)

// Command is one entry of the replicated log.
type Command struct {
	Kind CommandKind `json:"kind"`
	// Version and Document are set for CommandConfigure.
	Version  uint64 `json:"version,omitempty"`
	Document []byte `json:"document,omitempty"`
	// Upstream is set for CommandUpdateUpstream; its ID, IncarnationStart and
	// Sequence for CommandRemoveUpstream.
	Upstream *Upstream `json:"upstream,omitempty"`
	// Service, Candidate, Requester and Reason are set for CommandPromote.
	Service   string `json:"service,omitempty"`
	Candidate string `json:"candidate,omitempty"`
	Requester string `json:"holder,omitempty"`
	Reason    string `json:"reason,omitempty"`
	// Planned is set for CommandPromote if the current primary still serves.
	Planned bool `json:"planned,omitempty"`
	// Host is set for CommandHostJoined and CommandHostLeft, Peer for the former.
	Host string `json:"host,omitempty"`
	Peer Peer   `json:"peer,omitzero"`
	// Member is set for CommandSetMember.
	Member *Member `json:"member,omitempty"`
	// DataCentre is set for CommandEvacuate and CommandEndEvacuation.
	DataCentre string `json:"data_centre,omitempty"`
}

// Member is a control host and the addresses at which it is reached.
type Member struct {
	// ID identifies the data directory: a host that lost its directory gets a new
	// ID.
	ID string `json:"id"`
	// Node is the host name of the machine.
	Node string `json:"node"`
	// PeerAddress receives consensus messages and the reports of entry hosts.
	PeerAddress string `json:"peer_address"`
	// OperatorAddress receives calls from operators and upstreams.
	OperatorAddress string `json:"operator_address"`
	DataCentre      string `json:"data_centre"`
	Region          string `json:"region"`
}

// Promotion is the latest decision about a service's primary.
type Promotion struct {
	Service   string `json:"service"`
	Candidate string `json:"candidate"`
	// Requester is the control host that requests the promotion.
	Requester string `json:"holder"`
	// Token is the fencing token that invalidates older promotions: the log index
	// of the decision.
	Token  uint64 `json:"token"`
	Reason string `json:"reason"`
	// Planned is true if the current primary still serves and hands over.
	Planned bool `json:"planned,omitempty"`
	// Done is true once the candidate has announced itself as the primary.
	Done bool `json:"done,omitempty"`
}
