package planner

import (
	"fmt"
	"strings"
)

// IntentKind identifies the operation that an operator requests.
type IntentKind string

// The kinds of intents.
const (
	IntentAdmitOrganisation    IntentKind = "admit_organisation"
	IntentWithdrawOrganisation IntentKind = "withdraw_organisation"
	IntentChangeRate           IntentKind = "change_rate"
	IntentGrantKey             IntentKind = "grant_key"
	IntentWithdrawKey          IntentKind = "withdraw_key"
	IntentPutRoute             IntentKind = "put_route"
	IntentRemoveRoute          IntentKind = "remove_route"
	IntentDrainUpstream        IntentKind = "drain_upstream"
	IntentReturnUpstream       IntentKind = "return_upstream"
	IntentPutObjective         IntentKind = "put_objective"
	IntentRemoveObjective      IntentKind = "remove_objective"
	IntentReplaceControlHost   IntentKind = "replace_control_host"
	IntentReturnControlHost    IntentKind = "return_control_host"
	IntentForgetControlHost    IntentKind = "forget_control_host"
)

// Intent is a change requested by an operator. Fields that its kind does not use
// are empty.
type Intent struct {
	// ID is chosen by the operator and makes the request idempotent.
	ID     string     `json:"id"`
	Author string     `json:"author"`
	Kind   IntentKind `json:"kind"`
	// Target is the id of the organisation, key, route, upstream, objective or
	// control host.
	Target        string   `json:"target"`
	Organisation  string   `json:"organisation,omitempty"`
	Rate          float64  `json:"rate,omitempty"`
	Burst         float64  `json:"burst,omitempty"`
	Verifier      string   `json:"verifier,omitempty"`
	Group         string   `json:"group,omitempty"`
	Open          bool     `json:"open,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
	Availability  float64  `json:"availability,omitempty"`
	LatencyMS     uint32   `json:"latency_ms,omitempty"`
	Successor     string   `json:"successor,omitempty"`
	Reason        string   `json:"reason,omitempty"`
}

// Validate returns an error if a field that every kind requires is missing or
// the ID is malformed.
func (i Intent) Validate() error {
	if i.ID == "" || i.Author == "" || i.Target == "" {
		return fmt.Errorf("planner: intent needs an id, an author and a target")
	}
	if strings.ContainsAny(i.ID, " \t\n/") {
		return fmt.Errorf("planner: intent id %q must not hold spaces or slashes", i.ID)
	}
	return nil
}

// Equal reports whether two intents have the same content.
func (i Intent) Equal(o Intent) bool { return fmt.Sprintf("%+v", i) == fmt.Sprintf("%+v", o) }
