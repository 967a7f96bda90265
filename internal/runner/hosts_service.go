package runner

import (
	"context"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/server"
)

// hostsService serves the RPCs of other entry hosts.
type hostsService struct {
	server *server.Server
}

// Cancel executes a cancel request that another host forwarded.
func (s hostsService) Cancel(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelAnswer, error) {
	return &messenger.CancelAnswer{Found: s.server.CancelStatement(ctx, r.GetPid(), r.GetSecret())}, nil
}

// EndHandoffs ends the sessions that a host handed off before its shutdown.
func (s hostsService) EndHandoffs(_ context.Context, r *messenger.EndHandoffsRequest) (*messenger.EndHandoffsAnswer, error) {
	s.server.EndHandoffsFrom(r.GetFrom())
	return &messenger.EndHandoffsAnswer{}, nil
}
