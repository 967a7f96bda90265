package demonstrator

import "time"

// Outcome is the result of a request as its caller saw it.
type Outcome string

// The outcomes.
const (
	// OutcomeServed means that the complete response arrived.
	OutcomeServed Outcome = "served"
	// OutcomeNotRun means that the request was refused with the verdict not_run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request failed and may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Operation is the kind of a caller's request.
type Operation string

// The operations.
const (
	OperationRead        Operation = "read"
	OperationWrite       Operation = "write"
	OperationTransaction Operation = "transaction"
)

// Observation is one request as its caller saw it.
type Observation struct {
	Organisation string
	Group        string
	DataCentre   string
	Operation    Operation
	Outcome      Outcome
	// Code is the SQLSTATE of a refusal.
	Code string
	// Statements is the number of statements of the request.
	Statements int
	// Due is the time at which the request should have been sent.
	Due   time.Time
	Start time.Time
	End   time.Time
}

// Latency is measured from the due time, so that it includes the delay by slow
// earlier requests.
func (o Observation) Latency() time.Duration { return o.End.Sub(o.Due) }

// isRefusal reports whether the request was refused or its outcome is unknown.
func (o Observation) isRefusal() bool { return o.Outcome != OutcomeServed }
