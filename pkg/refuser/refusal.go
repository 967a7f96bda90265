// Package refuser describes refused requests: why a request was refused, what
// became of it, and how that is told to a PostgreSQL client.
//
// # Usage
//
// A component that cannot serve a request returns a Refusal:
//
//	return refuser.New(refuser.ReasonRateExceeded, "organisation prairie_1")
//
// The caller's side turns it into an ErrorResponse with Response. The text of
// DETAIL always begins with the verdict, so that a client can act on it
// without parsing the message:
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

// Refusal is the error of a request that the proxy did not serve.
type Refusal struct {
	Reason  Reason
	Verdict Verdict
	// Detail names the object concerned, for example an organisation.
	Detail string
	// Upstream is the upstream that failed, when the refusal is due to one.
	Upstream string
	// RetryAfter is zero when no time is known.
	RetryAfter time.Duration
	// Err is the cause and may be nil.
	Err error
}

// New returns a Refusal with the usual verdict of its reason.
func New(reason Reason, detail string) *Refusal {
	return &Refusal{Reason: reason, Verdict: catalogue[reason].verdict, Detail: detail}
}

// Wrap returns a Refusal with the usual verdict of its reason and a cause.
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

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Err }

// Response returns the message sent to the client.
func (r *Refusal) Response() *pgproto3.ErrorResponse {
	e := catalogue[r.Reason]
	detail := "verdict=" + string(r.Verdict)
	if r.Detail != "" {
		detail += "; " + r.Detail
	}
	if r.RetryAfter > 0 {
		detail += "; retry_after=" + r.RetryAfter.Round(time.Millisecond).String()
	}
	severity := "ERROR"
	if e.fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
		Detail:              detail,
		Hint:                e.hint,
	}
}

// From returns the Refusal inside err, or nil.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
