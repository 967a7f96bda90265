package refuser

import "sort"

// Reason identifies why a request was refused.
type Reason string

// The refusal reasons. docs/REFUSALS.md lists their SQLSTATEs.
const (
	ReasonKeyRejected       Reason = "key_rejected"
	ReasonKeyWithdrawn      Reason = "key_withdrawn"
	ReasonRouteUnknown      Reason = "route_unknown"
	ReasonRouteForbidden    Reason = "route_forbidden"
	ReasonNoAuthority       Reason = "no_authority"
	ReasonRateExceeded      Reason = "rate_exceeded"
	ReasonPoolFull          Reason = "pool_full"
	ReasonNoUpstream        Reason = "no_upstream"
	ReasonNoFloor           Reason = "no_floor"
	ReasonUpstreamLost      Reason = "upstream_lost"
	ReasonTransactionLost   Reason = "transaction_lost"
	ReasonCommitUnsafe      Reason = "commit_unsafe"
	ReasonPrimaryReplaced   Reason = "primary_replaced"
	ReasonUnsupported       Reason = "unsupported"
	ReasonBatchTooLarge     Reason = "batch_too_large"
	ReasonProtocolViolation Reason = "protocol_violation"
	ReasonShuttingDown      Reason = "shutting_down"
	ReasonStatementUnknown  Reason = "statement_unknown"
	ReasonStatementTimeout  Reason = "statement_timeout"
	ReasonUpstreamFailed    Reason = "upstream_failed"
	ReasonInternalError     Reason = "internal_error"
	ReasonRegionForbidden   Reason = "region_not_permitted"
	ReasonUpstreamCold      Reason = "upstream_cold"
	ReasonEvacuated         Reason = "evacuated"
)

type response struct {
	code    string
	verdict Verdict
	message string
	hint    string
	fatal   bool
}

var responses = map[Reason]response{
	ReasonKeyRejected:       {"28P01", NotRun, "key is not valid", "Check the key id and the key.", true},
	ReasonKeyWithdrawn:      {"28000", NotRun, "key was withdrawn", "Connect with another key of the organisation.", true},
	ReasonRouteUnknown:      {"3D000", NotRun, "route does not exist", "The database name selects the route.", true},
	ReasonRouteForbidden:    {"42501", NotRun, "organisation is not admitted to the route", "Ask an operator for admission.", true},
	ReasonNoAuthority:       {"57P03", NotRun, "host has lost contact with the control host", "Retry on another host.", false},
	ReasonRateExceeded:      {"53400", NotRun, "organisation is over its rate", "Retry after the stated delay.", false},
	ReasonPoolFull:          {"53300", NotRun, "no upstream slot became free in time", "Retry later.", false},
	ReasonNoUpstream:        {"57P03", NotRun, "no upstream can serve the request", "Retry later.", false},
	ReasonNoFloor:           {"57P03", NotRun, "position of the session is unknown and the primary does not answer", "Retry later or pass a causal token.", false},
	ReasonUpstreamLost:      {"08007", MayHaveRun, "upstream connection was lost before the answer was complete", "Check the outcome before repeating the request.", false},
	ReasonTransactionLost:   {"40003", NotRun, "upstream connection was lost inside the transaction, which was rolled back", "Repeat the whole transaction.", false},
	ReasonCommitUnsafe:      {"08007", MayHaveRun, "commit was not confirmed by enough upstreams", "Check the outcome before repeating the request.", false},
	ReasonPrimaryReplaced:   {"08007", MayHaveRun, "primary was replaced before the commit could be acknowledged", "Check the outcome before repeating the request.", false},
	ReasonUnsupported:       {"0A000", NotRun, "statement is not supported through the proxy", "See docs/COMPATIBILITY.md.", false},
	ReasonBatchTooLarge:     {"54000", NotRun, "batch exceeds the limit", "Send a Sync more often.", false},
	ReasonProtocolViolation: {"08P01", NotRun, "message does not fit the protocol", "Check the client library.", true},
	ReasonStatementUnknown:  {"26000", NotRun, "prepared statement does not exist", "Prepare it first.", false},
	ReasonStatementTimeout:  {"57014", MayHaveRun, "upstream ended the statement at its time limit", "Check the outcome before repeating the request.", false},
	ReasonUpstreamFailed:    {"08007", MayHaveRun, "upstream reports that the statement failed", "Check the outcome before repeating the request.", false},
	ReasonInternalError:     {"XX000", MayHaveRun, "unexpected error in the proxy", "Check the outcome before repeating the request.", false},
	ReasonRegionForbidden:   {"57P03", NotRun, "no upstream in a permitted region can serve the request", "Retry later or on another route.", false},
	ReasonUpstreamCold:      {"53300", NotRun, "upstream is warming up and gets no more statements now", "Retry after the stated delay.", false},
	ReasonEvacuated:         {"57P03", NotRun, "only upstreams in evacuated data centres could run the request", "Retry later.", false},
	ReasonShuttingDown:      {"57P01", NotRun, "host is shutting down", "Reconnect.", true},
}

// Reasons returns all reasons in alphabetical order.
func Reasons() []Reason {
	rs := make([]Reason, 0, len(responses))
	for r := range responses {
		rs = append(rs, r)
	}
	sort.Slice(rs, func(i, j int) bool { return rs[i] < rs[j] })
	return rs
}

// Code returns the SQLSTATE of r.
func (r Reason) Code() string { return responses[r].code }

// Fatal reports whether a refusal for r ends the client's connection.
func (r Reason) Fatal() bool { return responses[r].fatal }

// DefaultVerdict returns the verdict that applies to r unless the refusal sets
// another.
func (r Reason) DefaultVerdict() Verdict { return responses[r].verdict }
