package coordinator

import (
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/elector"
	"github.com/shallotstage/shallotstage/pkg/keeper"
)

// evacuationHandOverTimeout bounds the wait for open transactions at an evacuated primary
// that the platform itself keeps from committing once it is replaced. Entry hosts end
// them earlier, when the limit of the evacuation is near.
const evacuationHandOverTimeout = 5 * time.Second

// recordEvacuation logs an evacuation that was ordered or ended, and records when the
// leader applied an order of its own term. An entry of an earlier term may have been
// given long before this host applied it.
func (c *Coordinator) recordEvacuation(command keeper.Command, e elector.Entry, out keeper.Outcome) {
	ordered := command.Kind == keeper.CommandEvacuate
	if !out.Changed || !ordered && command.Kind != keeper.CommandEndEvacuation {
		return
	}
	c.Log.Info(logger.EventEvacuationChanged, zap.String("data_centre", command.DataCentre), zap.Bool("evacuated", ordered), zap.Uint64("index", e.Index))
	if !c.leadership.leading {
		return
	}
	delete(c.leadership.evacuatedAt, command.DataCentre)
	if ordered && e.Term == c.leadership.term {
		c.leadership.evacuatedAt[command.DataCentre] = c.Now()
	}
}

// evacuationAges returns how old the orders are that were given in this leadership. An
// entry host takes the others for older than the limit unless it knows them.
func (c *Coordinator) evacuationAges(now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for dataCentre, at := range c.leadership.evacuatedAt {
		ages[dataCentre] = now.Sub(at)
	}
	return ages
}

// isEvacuated reports whether the data centre of an upstream is evacuated.
func (c *Coordinator) isEvacuated(u keeper.Upstream) bool {
	_, ordered := c.state.Evacuations[u.DataCentre]
	return ordered
}

// evacuated returns the evacuated data centres for package failoverplanner.
func (c *Coordinator) evacuated() map[string]bool {
	out := make(map[string]bool, len(c.state.Evacuations))
	for dataCentre := range c.state.Evacuations {
		out[dataCentre] = true
	}
	return out
}
