package server

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/burner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// owed is the objective of a session, found again when the configuration
// changes.
type owed struct {
	version   uint64
	objective configurer.Objective
}

// objective returns what the session's statements are owed.
func (c *session) objective(state *configurer.State) configurer.Objective {
	if c.owed.version != state.Version || c.owed.objective.Availability == 0 {
		c.owed = owed{version: state.Version, objective: state.Objective(c.organisation, c.routeID)}
	}
	return c.owed.objective
}

// countServed counts a unit whose answer is complete.
func (c *session) countServed(u *unit) {
	objective := c.objective(c.server.State())
	cell := burner.Cell{Organisation: c.organisation, Route: c.routeID, Outcome: burner.OutcomeServed}
	if objective.IsSlow(time.Since(c.unitStart)) {
		cell.Outcome = burner.OutcomeSlow
		cell.Group = c.group
	}
	c.count(cell, len(u.executed), objective)
}

// countRefused counts a unit that was refused.
func (c *session) countRefused(u *unit, r *refuser.Refusal) {
	c.server.Meter.Refused(r)
	state := c.server.State()
	cell := burner.Cell{
		Organisation: c.organisation, Route: c.routeID, Outcome: burner.OutcomeOf(r.Reason), Reason: r.Reason,
		Group: c.group, Upstream: r.Upstream, Term: state.Groups[c.group].Term,
	}
	c.count(cell, max(1, len(u.executed)), c.objective(state))
}

func (c *session) count(cell burner.Cell, n int, objective configurer.Objective) {
	c.server.Burn.Add(cell, n)
	switch cell.Outcome {
	case burner.OutcomeServed:
		c.server.Meter.Burned(c.organisation, n, 0)
	case burner.OutcomeSlow, burner.OutcomeFailed:
		c.server.Meter.Burned(c.organisation, n, float64(n)/objective.Budget())
	}
}
