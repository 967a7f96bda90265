package demonstrator

import "time"

// Outcome is what a caller saw of one request.
type Outcome string

// The outcomes.
const (
	// OutcomeServed means that the whole answer arrived.
	OutcomeServed Outcome = "served"
	// OutcomeNotRun means a refusal that says so.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run.
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
	// Due is when the request should have been sent.
	Due   time.Time
	Start time.Time
	End   time.Time
}

// Latency is counted from when the request was due, so that a slow answer
// counts against the requests behind it.
func (o Observation) Latency() time.Duration { return o.End.Sub(o.Due) }

// isRefusal reports whether the request was refused.
func (o Observation) isRefusal() bool { return o.Outcome != OutcomeServed }
