package burner

import "github.com/shallotstage/shallotstage/pkg/refuser"

// Outcome classifies how statements count against an objective.
type Outcome string

// Outcomes of statements.
const (
	OutcomeServed Outcome = "served"
	// OutcomeSlow means served, but slower than the latency bound of the
	// objective.
	OutcomeSlow Outcome = "slow"
	// OutcomeFailed means refused or lost for a reason that the fleet is
	// responsible for.
	OutcomeFailed Outcome = "failed"
	// OutcomeOverRate means refused because the host had no tokens left for the
	// organisation.
	OutcomeOverRate Outcome = "over_rate"
	// OutcomeCallerError means refused for a reason that the caller is
	// responsible for. It does not count against the objective.
	OutcomeCallerError Outcome = "caller"
)

// OutcomeOf returns the outcome for a refusal reason.
func OutcomeOf(reason refuser.Reason) Outcome {
	switch reason {
	case refuser.ReasonRateExceeded:
		return OutcomeOverRate
	case refuser.ReasonKeyRejected, refuser.ReasonKeyWithdrawn, refuser.ReasonRouteUnknown, refuser.ReasonRouteForbidden,
		refuser.ReasonUnsupported, refuser.ReasonBatchTooLarge, refuser.ReasonProtocolViolation, refuser.ReasonShuttingDown:
		return OutcomeCallerError
	}
	return OutcomeFailed
}
