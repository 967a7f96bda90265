// Package appointer decides when a service gets another primary and which
// upstream it is.
//
// Nobody reports that a primary is dead. The evidence is what entry hosts see
// when they call it, and the announcements that it does or does not send. A
// primary that announces its end is replaced while it still serves.
//
// # Usage
//
//	decision := appointer.Decide(evidence)
//	if decision.Candidate != "" { ... }
//
// Decide is pure: the same evidence gives the same decision.
package appointer

import (
	"fmt"
	"time"

	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

const (
	// settleTime is how long a leader waits for announcements before it takes
	// the absence of a primary for a fact: two announcement intervals.
	settleTime = 2500 * time.Millisecond
	// mutedAfter is the silence of announcements after which one host's
	// evidence is enough.
	mutedAfter = 3 * time.Second
	// orderPatience is how long an answered order may take to show. A worker
	// may carry it out late.
	orderPatience = 4 * time.Second
	// orderLimit ends a decision whose order stays without an answer.
	orderLimit = 14 * time.Second
	// deadLimit ends a decision whose candidate does not answer any more.
	deadLimit = 700 * time.Millisecond
)

// Seen is what is known of one upstream.
type Seen struct {
	Upstream keeper.Upstream
	// Reaching and Missing are the hosts that were lately answered by it, and
	// those that cannot connect to it.
	Reaching, Missing int
	// Announced is the time since its last announcement.
	Announced time.Duration
	// Position is the newest position that its log is known to hold.
	Position tracker.Position
}

// isLost reports whether the evidence says that the upstream does not serve.
func (s Seen) isLost() bool {
	if s.Missing > s.Reaching && s.Missing >= 2 {
		return true
	}
	return s.Missing > s.Reaching && s.Announced > mutedAfter
}

// Order is a promotion under way.
type Order struct {
	Candidate string
	Age       time.Duration
	// Answered is the time since the platform took the order; zero means not
	// yet.
	Answered time.Duration
	// Refused is true when the platform will not carry the order out.
	Refused bool
}

// Evidence is what the leading control host knows of one service.
type Evidence struct {
	Service string
	// Primary is the upstream that leads, or empty.
	Primary string
	// Upstreams are keyed by ID.
	Upstreams map[string]Seen
	// Order is the newest promotion, or nil when it is done or given up.
	Order *Order
	// Led is how long this control host has led.
	Led time.Duration
	// Orphaned is how long the service has had no primary; zero when it has
	// one.
	Orphaned time.Duration
}

// Decision is an order to give, if Candidate is set.
type Decision struct {
	Candidate string
	Reason    string
}

// Decide returns what to do about a service's primary.
func Decide(e Evidence) Decision {
	if e.Order != nil && e.waits(*e.Order) {
		return Decision{}
	}
	reason := e.need()
	if reason == "" {
		return Decision{}
	}
	candidate := e.candidate()
	if candidate == "" {
		return Decision{}
	}
	return Decision{Candidate: candidate, Reason: reason}
}

// waits reports whether an order may still come into effect.
func (e Evidence) waits(o Order) bool {
	if o.Refused {
		return false
	}
	candidate, ok := e.Upstreams[o.Candidate]
	if !ok || candidate.Upstream.Life != keeper.LifeReady {
		return false
	}
	if candidate.isLost() && o.Age > deadLimit {
		return false
	}
	if o.Answered > 0 {
		return o.Answered < orderPatience
	}
	return o.Age < orderLimit
}

// need returns why the service needs another primary, or nothing.
func (e Evidence) need() string {
	primary, ok := e.Upstreams[e.Primary]
	switch {
	case e.Primary == "" || !ok:
		if e.Led < settleTime || e.Orphaned < settleTime {
			return ""
		}
		return fmt.Sprintf("no primary for %s", e.Orphaned.Round(time.Millisecond))
	case primary.Upstream.Life == keeper.LifeDraining:
		return "primary " + e.Primary + " announced its end"
	case primary.isLost():
		return fmt.Sprintf("primary %s: %d hosts cannot connect, %d were answered, last announced %s ago",
			e.Primary, primary.Missing, primary.Reaching, primary.Announced.Round(time.Millisecond))
	}
	return ""
}

// candidate returns the upstream that holds most of the log among those that
// serve.
func (e Evidence) candidate() string {
	best := ""
	for id, s := range e.Upstreams {
		if id == e.Primary || s.Upstream.Life != keeper.LifeReady || s.isLost() || s.Announced > mutedAfter {
			continue
		}
		if best == "" || e.better(s, e.Upstreams[best]) {
			best = id
		}
	}
	return best
}

func (e Evidence) better(a, b Seen) bool {
	if a.Position != b.Position {
		return b.Position.Less(a.Position)
	}
	return a.Upstream.ID < b.Upstream.ID
}
