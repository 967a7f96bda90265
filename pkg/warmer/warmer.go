// Package warmer bounds the statements that a cold upstream receives from all hosts
// together.
//
// The control leader grants the right to send to a cold upstream to one host at a time,
// with a rate and a duration. The holder counts the duration from before it sent the
// report that the grant answers; the granter counts it from its answer and adds a bound
// on clock drift. A host without a grant sends nothing to a cold upstream. Each new
// holder starts with an empty token bucket, so that a window in which the grant changes
// hands holds no more statements than one with a single holder.
//
// # Usage
//
//	wanted := announced.Cold(now)            // the host owns these
//	h.RecordReport(7, wanted, now)           // the host sends report 7
//	g.HandleReport("regina-a-1", wanted)     // the leader receives it
//	ok := g.Grant("i-1", "regina-a-1", now)  // the leader answers it
//	h.Apply(7, grants, now)                  // the host receives the answer
//	ok, wait := h.Take("i-1", 1, false, now) // before a statement is sent
//
// Times come from a clock that also advances while the machine is suspended. The types
// are not safe for concurrent use.
package warmer

import (
	"math"
	"time"
)

// Grant is the right to send to one cold upstream.
type Grant struct {
	// Rate is the number of statements a second, Burst the most at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// TTL is the duration, from the time when the answered report was sent.
	TTL time.Duration `json:"ttl"`
}

// maxBurst is the largest burst of a grant: the begin of a transaction and its first
// statement are sent together.
const maxBurst = 2

// Budget returns the rate and burst of a grant for an upstream that may receive
// rate x overshoot + slack statements in any second. A second holds at most Rate + Burst
// statements, rounded down. Rate is zero if none may be sent. With fewer than two a
// second no transaction can begin.
func Budget(rate, overshoot, slack float64) Grant {
	most := math.Floor(rate*overshoot + slack)
	if rate <= 0 || most < 1 {
		return Grant{}
	}
	burst := min(maxBurst, most)
	// Below most + 1, a second holds at most that many whole statements.
	return Grant{Rate: min(rate, most+0.99-burst), Burst: burst}
}
