package coordinator

import (
	"context"
	"errors"
	"maps"
	"sync"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/failoverplanner"
	"github.com/shallotstage/shallotstage/pkg/keeper"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// queryPositions asks the upstreams but the primary for their positions, once each and
// at the same time, and adds the answers to the evidence. Where commits wait for replicas,
// upstreams that are shutting down are asked as well: they may have received one that
// others lack.
func (c *Coordinator) queryPositions(ctx context.Context, e *failoverplanner.Evidence) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	answered := maps.Clone(e.Upstreams)
	for id, s := range e.Upstreams {
		if id == e.Primary || (s.Upstream.Lifecycle != keeper.LifecycleReady && e.SyncReplicas == 0) {
			continue
		}
		wait.Go(func() {
			status, err := c.QueryStatus(ctx, s.Upstream)
			if err != nil {
				c.Log.Info(logger.EventReplicationStatusUnknown, zap.String("upstream", id), zap.Error(err))
			}
			mu.Lock()
			defer mu.Unlock()
			answered[id] = addAnswer(s, status, err)
		})
	}
	wait.Wait()
	e.Upstreams, e.Queried = answered, true
}

// addAnswer adds an upstream's answer to its observed state. Without an answer, or with
// one that does not tell the position, what hosts reported stays.
func addAnswer(s failoverplanner.UpstreamHealth, status connector.ReplicationStatus, err error) failoverplanner.UpstreamHealth {
	var busy *connector.BusyError
	switch {
	case err == nil:
		s.Response, s.Position, s.Lag = failoverplanner.ResponseStatus, status.ReceivedPosition, status.Lag
	case errors.As(err, &busy):
		s.Response = failoverplanner.ResponseBusy
		if !busy.Applied.IsZero() {
			s.Position = busy.Applied
		}
	default:
		return s
	}
	// An upstream that answers now is running, whatever hosts reported before.
	s.SinceAnnouncement = 0
	return s
}

// receivedPosition queries a position up to which an upstream has certainly received the
// log: of a busy one, what it has applied. For a primary both are the same.
func (c *Coordinator) receivedPosition(ctx context.Context, u keeper.Upstream) (tracker.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	status, err := c.QueryStatus(ctx, u)
	var busy *connector.BusyError
	if errors.As(err, &busy) && !busy.Applied.IsZero() {
		return busy.Applied, nil
	}
	return status.ReceivedPosition, err
}
