package transactor

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/shallotstage/shallotstage/internal/connector"
	"github.com/shallotstage/shallotstage/internal/logger"
	"github.com/shallotstage/shallotstage/pkg/tracker"
)

// recordRun updates the upstream tracker with the result of a run.
func (r *request) recordRun(ctx context.Context, l *connector.Lease, answers []connector.Answer, err error, took time.Duration) {
	upstreams := r.session.server.Upstreams
	var position tracker.Position
	for _, a := range answers {
		position = a.Position
		if a.Failure != connector.FailureNone {
			took = 0
		}
	}
	upstreams.RequestFinished(l.Upstream, len(answers) > 0, took, position)
	if err == nil {
		return
	}
	var queueErr *connector.QueueError
	var connectErr *connector.ConnectError
	var evacuatedErr *connector.EvacuatedError
	if errors.As(err, &evacuatedErr) {
		return
	}
	var regionErr *connector.RegionError
	var warmupErr *connector.WarmupError
	var ownerErr *connector.OwnerError
	if !errors.As(err, &ownerErr) && !errors.As(err, &queueErr) && !errors.As(err, &regionErr) && !errors.As(err, &warmupErr) && (!errors.As(err, &connectErr) || connectErr.Failure == connector.FailureNone) {
		upstreams.StartProbe(context.WithoutCancel(ctx), l.Upstream)
	}
	r.session.server.Log.Info(failureEvent(err), zap.String("request", r.statement.ID), zap.String("upstream", l.Upstream), zap.Error(err))
}

// failureEvent returns the event for the error of a run.
func failureEvent(err error) logger.Event {
	var queueErr *connector.QueueError
	var connectErr *connector.ConnectError
	var setupErr *connector.SetupError
	var timeout net.Error
	switch {
	case errors.As(err, &queueErr):
		return logger.EventUpstreamQueueRefused
	case errors.As(err, &connectErr), errors.As(err, &setupErr):
		return logger.EventUpstreamConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return logger.EventUpstreamAnswerLate
	}
	return logger.EventUpstreamConnectionLost
}

// recordSample stores a position whose answer proves that the upstream was the
// primary.
func (r *request) recordSample(sentAt time.Time, q connector.Request, a connector.Answer) {
	if q.Verb == connector.VerbBegin && !q.ReadOnly && r.use.mayAcknowledge() {
		r.session.server.Upstreams.AddSample(r.route.Service, sentAt, a.Position)
	}
}
