package server

import (
	"time"

	"github.com/shallotstage/shallotstage/pkg/burner"
	"github.com/shallotstage/shallotstage/pkg/configurer"
	"github.com/shallotstage/shallotstage/pkg/refuser"
)

// cachedObjective is the service level objective of a session, looked up again
// when the configuration changes.
type cachedObjective struct {
	version   uint64
	objective configurer.Objective
}

// objective returns the service level objective of the session's statements.
func (c *session) objective(state *configurer.State) configurer.Objective {
	if c.cachedObjective.version != state.Version || c.cachedObjective.objective.Availability == 0 {
		c.cachedObjective = cachedObjective{version: state.Version, objective: state.Objective(c.organisation, c.routeID)}
	}
	return c.cachedObjective.objective
}

// countServed counts a request whose response is complete.
func (c *session) countServed(req *request) {
	objective := c.objective(c.server.State())
	labels := burner.Labels{Organisation: c.organisation, Route: c.routeID, Outcome: burner.OutcomeServed}
	if objective.IsSlow(time.Since(c.requestStart)) {
		labels.Outcome = burner.OutcomeSlow
		labels.Group = c.group
	}
	c.count(labels, len(req.executed), objective)
}

// countRefused counts a request that was refused.
func (c *session) countRefused(req *request, r *refuser.Refusal) {
	c.server.Meter.AddRefusal(r)
	state := c.server.State()
	labels := burner.Labels{
		Organisation: c.organisation, Route: c.routeID, Outcome: burner.OutcomeOf(r.Reason), Reason: r.Reason,
		Group: c.group, Upstream: r.Upstream, Term: state.Groups[c.group].Term,
	}
	c.count(labels, max(1, len(req.executed)), c.objective(state))
}

func (c *session) count(labels burner.Labels, n int, objective configurer.Objective) {
	c.server.SLOCounter.Add(labels, n)
	switch labels.Outcome {
	case burner.OutcomeServed:
		c.server.Meter.AddObjectiveStatements(c.organisation, n, 0)
	case burner.OutcomeSlow, burner.OutcomeFailed:
		c.server.Meter.AddObjectiveStatements(c.organisation, n, float64(n)/objective.ErrorBudget())
	}
}
