package burner

import "github.com/shallotstage/shallotstage/pkg/refuser"

// Outcome says how statements count against an objective.
type Outcome string

// The outcomes.
const (
	OutcomeServed Outcome = "served"
	// OutcomeSlow was served later than the objective's latency bound.
	OutcomeSlow Outcome = "slow"
	// OutcomeFailed was refused or lost for a reason that the fleet answers
	// for.
	OutcomeFailed Outcome = "failed"
	// OutcomeOverRate was refused because the organisation's share was spent
	// where the statement arrived.
	OutcomeOverRate Outcome = "over_rate"
	// OutcomeCaller was refused for a reason that the caller answers for. It
	// does not count.
	OutcomeCaller Outcome = "caller"
)

// OutcomeOf returns how a refusal counts.
func OutcomeOf(reason refuser.Reason) Outcome {
	switch reason {
	case refuser.ReasonRateExceeded:
		return OutcomeOverRate
	case refuser.ReasonKeyRejected, refuser.ReasonKeyWithdrawn, refuser.ReasonRouteUnknown, refuser.ReasonRouteForbidden,
		refuser.ReasonUnsupported, refuser.ReasonBatchTooLarge, refuser.ReasonProtocolViolation, refuser.ReasonShuttingDown:
		return OutcomeCaller
	}
	return OutcomeFailed
}
