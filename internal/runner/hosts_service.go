package runner

import (
	"context"

	"github.com/shallotstage/shallotstage/internal/messenger"
	"github.com/shallotstage/shallotstage/internal/server"
)

// hostsService serves other entry hosts.
type hostsService struct {
	server *server.Server
}

// Cancel carries out a cancel request that reached another host.
func (s hostsService) Cancel(ctx context.Context, r *messenger.CancelRequest) (*messenger.CancelAnswer, error) {
	return &messenger.CancelAnswer{Found: s.server.Cancel(ctx, r.GetPid(), r.GetSecret())}, nil
}

// EndHandoffs ends the sessions of a host that shuts down.
func (s hostsService) EndHandoffs(_ context.Context, r *messenger.EndHandoffsRequest) (*messenger.EndHandoffsAnswer, error) {
	s.server.EndHandoffs(r.GetFrom())
	return &messenger.EndHandoffsAnswer{}, nil
}
