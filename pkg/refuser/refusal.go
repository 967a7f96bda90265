// Package refuser describes refused requests: why a request was refused, whether
// it may have taken effect, and how the refusal is reported to a PostgreSQL
// client.
//
// # Usage
//
// A component that cannot serve a request returns a Refusal:
//
//	return refuser.New(refuser.ReasonRateExceeded, "organisation prairie_1")
//
// The client-facing side converts it to a protocol message with ErrorResponse.
// DETAIL always begins with the verdict, so that a client can act on it without
// parsing the message:
//
//	ERROR:  53400: organisation is over its rate
//	DETAIL: verdict=not_run; organisation prairie_1
//	HINT:   Retry after the stated delay.
package refuser

import (
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Refusal is the error for a request that the proxy did not serve.
type Refusal struct {
	Reason  Reason
	Verdict Verdict
	// Detail identifies the affected object, for example an organisation.
	Detail string
	// Upstream is the id of the upstream whose failure caused the refusal, if any.
	Upstream string
	// RetryAfter is the time to wait before a retry, or zero if it is unknown.
	RetryAfter time.Duration
	// Err is the underlying error and may be nil.
	Err error
}

// New returns a Refusal with the default verdict of its reason.
func New(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Verdict: responses[reason].verdict, Detail: detail}
}

// Wrap returns a Refusal with the default verdict of its reason that wraps err.
func Wrap(reason Reason, detail string, err error) *Refusal {
	r := New(reason, detail)
	r.Err = err
	return r
}

// WithVerdict returns a copy of r with another verdict.
func (r *Refusal) WithVerdict(v Verdict) *Refusal {
	c := *r
	c.Verdict = v
	return &c
}

// Error implements error.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("refuser: %s (%s): %s", r.Reason, r.Verdict, r.Detail)
	if r.Err != nil {
		s += ": " + r.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (r *Refusal) Unwrap() error { return r.Err }

// ErrorResponse returns the message sent to the client.
func (r *Refusal) ErrorResponse() *pgproto3.ErrorResponse {
	resp := responses[r.Reason]
	detail := "verdict=" + string(r.Verdict)
	if r.Detail != "" {
		detail += "; " + r.Detail
	}
	if r.RetryAfter > 0 {
		detail += "; retry_after=" + r.RetryAfter.Round(time.Millisecond).String()
	}
	severity := "ERROR"
	if resp.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                resp.code,
		Message:             resp.message,
		Detail:              detail,
		Hint:                resp.hint,
	}
}

// AsRefusal returns the Refusal that err wraps, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
